package placement

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// worker is the scheduler's state of one worker: its capacity, what is allocated on it
// and the restrictions on its use. The Scheduler owns it.
type worker struct {
	Worker
	pool     *pool
	index    *index // of the worker's pool and region
	leaf     int    // in index
	position int    // index in pool.workers

	capacity    vector
	allocated   vector
	allocations []*allocation

	placeable      bool         // see Scheduler.SetPlaceable
	inHeadroom     bool         // in pool.headroomWorkers: set aside for urgent work
	reservation    *reservation // nil if the worker is not reserved
	largeOnly      bool         // in pool.largeOnlyWorkers, until largeOnlyUntil
	largeOnlyUntil time.Duration
	inFreed        bool // in pool.freed.workers
	health         *health
}

// job is a request that has at least one allocation.
type job struct {
	item   *Item
	class  *classQueue
	demand vector // of one task, as declared
	// allocations is indexed by task number; an element is nil once released.
	allocations []*allocation
	liveTasks   int  // tasks with an allocation
	isBurst     bool // runs beyond the team's fair share; see burst.go
	// resubmitted is the same request, accepted again while tasks of an earlier attempt
	// still have allocations. It is queued when the last of them is released.
	resubmitted *Item
}

// allocation is the amount of a worker's capacity that one task takes: in each
// dimension, the larger of the declared amount and the highest reported one.
type allocation struct {
	job       *job
	worker    *worker
	task      int
	position  int // index in worker.allocations
	amount    vector
	startedAt time.Duration
	// expectedEnd is never for a service without a declared or learned run time.
	expectedEnd time.Duration
}

// freeCapacity returns the capacity of w that is not allocated. It is negative in a
// dimension in which more is allocated than the worker has.
func (w *worker) freeCapacity() vector { return w.capacity.minus(w.allocated) }

// acceptsWork reports whether new work may be placed on w.
func (w *worker) acceptsWork() bool { return w.placeable && w.pool != nil }

// offeredCapacity returns the capacity that the index offers to all work. Workers that
// are restricted to some work offer nothing there and are found through their own lists
// (pool.headroomWorkers, pool.largeOnlyWorkers, pool.reservations and pool.probationWorkers).
func (w *worker) offeredCapacity() vector {
	if !w.acceptsWork() || w.inHeadroom || w.largeOnly || w.reservation != nil || w.health.onProbation {
		return allMinusOne
	}
	free := w.freeCapacity()
	if free[dimSlots] <= 0 || free[dimConnections] <= 0 {
		// Every task needs a slot and a connection. Without them, offering nothing
		// lets a search skip the worker whatever its other free capacity.
		return allMinusOne
	}
	return free
}

// canFit reports whether the free capacity of w covers demand.
func (w *worker) canFit(demand *vector) bool {
	free := w.freeCapacity()
	return demand.fitsIn(&free)
}

// updateIndex records the offered capacity in the index.
func (w *worker) updateIndex() {
	if w.index != nil {
		w.index.set(w.leaf, w.offeredCapacity())
	}
}

// capacityTaken updates the index and the pool's freed capacity after the free capacity
// of w has decreased.
func (w *worker) capacityTaken() {
	w.updateIndex()
	if w.pool != nil {
		w.pool.freed.recordTaken(w)
	}
}

// capacityFreed updates the index and the pool's freed capacity after the free or
// offered capacity of w has increased.
func (w *worker) capacityFreed() {
	w.updateIndex()
	if w.pool != nil && w.acceptsWork() {
		w.pool.recordFreed(w)
	}
}

// allocate allocates capacity of w for a task of j, as much as it demands. The caller has
// checked that it fits, except for a task that is already running.
func (s *Scheduler) allocate(now time.Duration, j *job, task int, w *worker) {
	for len(j.allocations) <= task {
		j.allocations = append(j.allocations, nil)
	}
	if j.allocations[task] != nil {
		s.removeAllocation(j.allocations[task])
	}
	a := &allocation{job: j, worker: w, task: task, position: len(w.allocations), amount: j.demand, startedAt: now}
	a.expectedEnd = j.class.team.pool.kinds.expectedEnd(now, j.item)
	j.allocations[task] = a
	j.liveTasks++
	w.allocations = append(w.allocations, a)
	s.addAllocated(a, a.amount)
	s.running++
	w.pool.countServiceTask(w, j.item, 1)
	w.capacityTaken()
}

// addAllocated adds amount to every total that includes a: worker, class, team, pool and
// burst.
func (s *Scheduler) addAllocated(a *allocation, amount vector) {
	a.worker.allocated.add(amount)
	class := a.job.class
	class.used.add(amount)
	class.team.used.add(amount)
	class.team.pool.allocated.add(amount)
	if a.job.isBurst {
		class.team.pool.burst.add(amount)
	}
}

// removeAllocation subtracts a from every total. It does not remove the job.
func (s *Scheduler) removeAllocation(a *allocation) {
	w, j := a.worker, a.job
	s.addAllocated(a, vector{}.minus(a.amount))
	last := len(w.allocations) - 1
	w.allocations[a.position] = w.allocations[last]
	w.allocations[a.position].position = a.position
	w.allocations = w.allocations[:last]
	j.allocations[a.task] = nil
	j.liveTasks--
	s.running--
	w.pool.countServiceTask(w, j.item, -1)
	j.class.team.unblockForQuota()
}

// release removes a, offers its capacity to other work, and removes the job if this was
// its last allocation.
func (s *Scheduler) release(now time.Duration, a *allocation) {
	s.removeAllocation(a)
	w := a.worker
	if w.pool != nil {
		w.pool.regionOf(w.Region).recordRelease(now)
		if w.pool.isLarge(a.job.item, a.job.demand) {
			w.pool.restrictToLarge(now, w)
		}
	}
	w.capacityFreed()
	if a.job.liveTasks == 0 {
		a.job.class.recordCompletion(now)
	}
	s.removeIfDone(now, a.job)
}

// removeIfDone removes j if it has no allocation left, and queues its resubmitted item.
func (s *Scheduler) removeIfDone(now time.Duration, j *job) {
	if j.liveTasks > 0 {
		return
	}
	delete(s.jobs, j.item.Key)
	j.class.runningJobs--
	if j.resubmitted != nil {
		s.queued--
		s.Enqueue(now, *j.resubmitted)
		return
	}
	j.class.team.deactivateIfIdle()
}

// growAllocation raises a to the used amount, limited to the capacity of the worker,
// since no task can use more than that.
func (s *Scheduler) growAllocation(a *allocation, used vector) {
	grown := a.amount
	grown.setMax(used)
	for d := range grown {
		grown[d] = max(a.amount[d], min(grown[d], a.worker.capacity[d]))
	}
	if grown == a.amount {
		return
	}
	s.addAllocated(a, grown.minus(a.amount))
	a.amount = grown
	a.worker.capacityTaken()
}

// jobOf returns the job of the item and creates it if there is none.
func (s *Scheduler) jobOf(item *Item) *job {
	if j := s.jobs[item.Key]; j != nil {
		return j
	}
	class := s.poolOf(item.Pool).teamOf(item.Team).classOf(item.Class)
	j := &job{item: item, class: class, demand: item.demand()}
	class.runningJobs++
	class.team.activate()
	s.jobs[item.Key] = j
	return j
}

// demand returns the declared demand of one task: its resources, one slot and its
// connections.
func (i *Item) demand() vector {
	return vectorOf(i.Resources, 1, max(1, i.Connections))
}

// normalize bounds the number of tasks and sets defaults for the workload and class.
func (i *Item) normalize() {
	i.Tasks = max(1, min(i.Tasks, maxTasks))
	if i.Workload == "" {
		i.Workload = api.WorkloadBatch
	}
	if i.Class == "" {
		i.Class = api.ClassNormal
	}
}
