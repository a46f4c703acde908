package placement

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// worker is the scheduler's state of one worker: its capacity, what is reserved on it
// and the restrictions on its use. The Scheduler owns it.
type worker struct {
	Worker
	pool     *pool
	index    *index // of the worker's pool and region
	leaf     int    // in index
	position int    // index in pool.workers

	capacity     vector
	reserved     vector
	reservations []*reservation

	placeable      bool  // see Scheduler.SetPlaceable
	inHeadroom     bool  // in pool.headroomWorkers: set aside for urgent work
	hold           *hold // nil if the worker is not held
	largeOnly      bool  // in pool.largeOnlyWorkers, until largeOnlyUntil
	largeOnlyUntil time.Duration
	inFreed        bool // in pool.freed.workers
	health         *health
}

// job is a request that holds at least one reservation.
type job struct {
	item   *Item
	class  *classQueue
	demand vector // of one task, as declared
	// reservations is indexed by task number; an element is nil once released.
	reservations []*reservation
	liveTasks    int  // tasks with a reservation
	isBurst      bool // runs beyond the team's fair share; see burst.go
	// resubmitted is the same request, accepted again while tasks of an earlier attempt
	// still hold reservations. It is queued when the last of them is released.
	resubmitted *Item
}

// reservation is the amount of a worker's capacity that one task takes: in each
// dimension, the larger of the declared amount and the highest reported one.
type reservation struct {
	job       *job
	worker    *worker
	task      int
	position  int // index in worker.reservations
	amount    vector
	startedAt time.Duration
	// expectedEnd is never for a service without a declared or learned run time.
	expectedEnd time.Duration
}

// freeCapacity returns the capacity of w that is not reserved. It is negative in a
// dimension in which more is reserved than the worker has.
func (w *worker) freeCapacity() vector { return w.capacity.minus(w.reserved) }

// acceptsWork reports whether new work may be placed on w.
func (w *worker) acceptsWork() bool { return w.placeable && w.pool != nil }

// offeredCapacity returns the capacity that the index offers to all work. Workers that
// are restricted to some work offer nothing there and are found through their own lists
// (pool.headroomWorkers, pool.largeOnlyWorkers, pool.holds and pool.probationWorkers).
func (w *worker) offeredCapacity() vector {
	if !w.acceptsWork() || w.inHeadroom || w.largeOnly || w.hold != nil || w.health.onProbation {
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

// reserve reserves the demand of a task of j on w. The caller has checked that it fits,
// except for a task that is already running.
func (s *Scheduler) reserve(now time.Duration, j *job, task int, w *worker) {
	for len(j.reservations) <= task {
		j.reservations = append(j.reservations, nil)
	}
	if j.reservations[task] != nil {
		s.removeReservation(j.reservations[task])
	}
	r := &reservation{job: j, worker: w, task: task, position: len(w.reservations), amount: j.demand, startedAt: now}
	r.expectedEnd = j.class.team.pool.kinds.expectedEnd(now, j.item)
	j.reservations[task] = r
	j.liveTasks++
	w.reservations = append(w.reservations, r)
	s.addReserved(r, r.amount)
	s.running++
	w.pool.countServiceTask(w, j.item, 1)
	w.capacityTaken()
}

// addReserved adds amount to every total that includes r: worker, class, team, pool and
// burst.
func (s *Scheduler) addReserved(r *reservation, amount vector) {
	r.worker.reserved.add(amount)
	class := r.job.class
	class.used.add(amount)
	class.team.used.add(amount)
	class.team.pool.reserved.add(amount)
	if r.job.isBurst {
		class.team.pool.burst.add(amount)
	}
}

// removeReservation subtracts r from every total. It does not remove the job.
func (s *Scheduler) removeReservation(r *reservation) {
	w, j := r.worker, r.job
	s.addReserved(r, vector{}.minus(r.amount))
	last := len(w.reservations) - 1
	w.reservations[r.position] = w.reservations[last]
	w.reservations[r.position].position = r.position
	w.reservations = w.reservations[:last]
	j.reservations[r.task] = nil
	j.liveTasks--
	s.running--
	w.pool.countServiceTask(w, j.item, -1)
	j.class.team.unblockForQuota()
}

// release removes r, offers its capacity to other work, and removes the job if this was
// its last reservation.
func (s *Scheduler) release(now time.Duration, r *reservation) {
	s.removeReservation(r)
	w := r.worker
	if w.pool != nil {
		w.pool.regionOf(w.Region).recordRelease(now)
		if w.pool.isLarge(r.job.item, r.job.demand) {
			w.pool.restrictToLarge(now, w)
		}
	}
	w.capacityFreed()
	if r.job.liveTasks == 0 {
		r.job.class.recordCompletion(now)
	}
	s.removeIfDone(now, r.job)
}

// removeIfDone removes j if it has no reservation left, and queues its resubmitted item.
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

// growReservation raises r to the used amount, limited to the capacity of the worker,
// since no task can use more than that.
func (s *Scheduler) growReservation(r *reservation, used vector) {
	grown := r.amount
	grown.setMax(used)
	for d := range grown {
		grown[d] = max(r.amount[d], min(grown[d], r.worker.capacity[d]))
	}
	if grown == r.amount {
		return
	}
	s.addReserved(r, grown.minus(r.amount))
	r.amount = grown
	r.worker.capacityTaken()
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
