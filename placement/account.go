package placement

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// worker is the account of one worker. The Scheduler owns it.
type worker struct {
	Worker
	pool     *pool
	index    *index // of its pool and region
	leaf     int
	position int // in pool.workers

	capacity vector
	reserved vector
	tasks    []*reservation

	placeable bool
	headroom  bool // kept for urgent work within its share
	hold      *hold
	kept      bool // for large work, until keptUntil
	keptUntil time.Duration
	freed     bool // in pool.freed.workers
	health    *health
}

// job is a request with at least one reservation.
type job struct {
	item   *Item
	class  *classQueue
	demand vector // of one task, as declared
	// reservations by task number; nil once released.
	reservations []*reservation
	live         int
	onCredit     bool // see credit.go
	// parked is the same request accepted anew while tasks of an earlier attempt still
	// hold their reservation. It is queued when the last of them is released.
	parked *Item
}

// reservation is what one task takes of its worker: in each dimension the larger of
// the declared and the highest reported amount.
type reservation struct {
	job      *job
	worker   *worker
	task     int
	position int // in worker.tasks
	amount   vector
	started  time.Duration
	// end is when the task is expected to end; never if it is a service without a
	// declared run time.
	end time.Duration
}

// freeAmount is what the account of w has left. It is negative in a dimension that is
// over capacity.
func (w *worker) freeAmount() vector { return w.capacity.minus(w.reserved) }

// isOpen reports whether w takes any new work.
func (w *worker) isOpen() bool { return w.placeable && w.pool != nil }

// offered is the amount that w offers to all work through the index. Workers that are
// kept for some work are offered by other means.
func (w *worker) offered() vector {
	if !w.isOpen() || w.headroom || w.kept || w.hold != nil || w.health.onProbation {
		return nothing
	}
	free := w.freeAmount()
	if free[dimSlots] <= 0 || free[dimConnections] <= 0 {
		// Every task needs a slot and a connection. Offering nothing at all lets a
		// search skip the worker whatever it has left of the rest.
		return nothing
	}
	return free
}

// hasRoom reports whether one task of demand fits in the account.
func (w *worker) hasRoom(demand *vector) bool {
	free := w.freeAmount()
	return demand.fits(&free)
}

// refresh records the offered amount in the index.
func (w *worker) refresh() {
	if w.index != nil {
		w.index.set(w.leaf, w.offered())
	}
}

// refreshTaken is refresh after w has lost room.
func (w *worker) refreshTaken() {
	w.refresh()
	if w.pool != nil {
		w.pool.freed.noteTaken(w)
	}
}

// refreshFreed is refresh after w has gained room.
func (w *worker) refreshFreed() {
	w.refresh()
	if w.pool != nil && w.isOpen() {
		w.pool.noteFreed(w)
	}
}

// reserve takes the demand of task of j in the account of w. The caller has checked
// the room, except for a task that is known to run already.
func (s *Scheduler) reserve(now time.Duration, j *job, task int, w *worker) {
	for len(j.reservations) <= task {
		j.reservations = append(j.reservations, nil)
	}
	if j.reservations[task] != nil {
		s.drop(j.reservations[task])
	}
	r := &reservation{job: j, worker: w, task: task, position: len(w.tasks), amount: j.demand, started: now}
	r.end = j.class.team.pool.kinds.expectedEnd(now, j.item)
	j.reservations[task] = r
	j.live++
	w.tasks = append(w.tasks, r)
	s.charge(r, r.amount)
	s.running++
	w.pool.countService(w, j.item, 1)
	w.refreshTaken()
}

// charge adds amount to every account that r counts in.
func (s *Scheduler) charge(r *reservation, amount vector) {
	r.worker.reserved.add(amount)
	class := r.job.class
	class.used.add(amount)
	class.team.used.add(amount)
	class.team.pool.reserved.add(amount)
	if r.job.onCredit {
		class.team.pool.credit.add(amount)
	}
}

// drop removes r from every account. It does not end the job.
func (s *Scheduler) drop(r *reservation) {
	w, j := r.worker, r.job
	s.charge(r, vector{}.minus(r.amount))
	last := len(w.tasks) - 1
	w.tasks[r.position] = w.tasks[last]
	w.tasks[r.position].position = r.position
	w.tasks = w.tasks[:last]
	j.reservations[r.task] = nil
	j.live--
	s.running--
	w.pool.countService(w, j.item, -1)
	j.class.team.noteReleased()
}

// release drops r, offers the room again and ends the job with its last reservation.
func (s *Scheduler) release(now time.Duration, r *reservation) {
	s.drop(r)
	w := r.worker
	if w.pool != nil {
		w.pool.regionOf(w.Region).noteRelease(now)
		if w.pool.isLarge(r.job.item, r.job.demand) {
			w.pool.keep(now, w)
		}
	}
	w.refreshFreed()
	if r.job.live == 0 {
		r.job.class.noteCompleted(now)
	}
	s.endIfDone(now, r.job)
}

// endIfDone forgets j when it has no reservation left, and queues its parked item.
func (s *Scheduler) endIfDone(now time.Duration, j *job) {
	if j.live > 0 {
		return
	}
	delete(s.jobs, j.item.Key)
	j.class.jobs--
	if j.parked != nil {
		s.queued--
		s.Enqueue(now, *j.parked)
		return
	}
	j.class.team.retireIfIdle()
}

// raiseUse raises the reservation to the used amount, at most what the worker holds,
// since no task can use more than that.
func (s *Scheduler) raiseUse(r *reservation, used vector) {
	want := r.amount
	want.raise(used)
	for d := range want {
		want[d] = max(r.amount[d], min(want[d], r.worker.capacity[d]))
	}
	if want == r.amount {
		return
	}
	s.charge(r, want.minus(r.amount))
	r.amount = want
	r.worker.refreshTaken()
}

// jobOf returns the running job of the item, creating it if there is none.
func (s *Scheduler) jobOf(item *Item) *job {
	if j := s.jobs[item.Key]; j != nil {
		return j
	}
	class := s.poolOf(item.Pool).teamOf(item.Team).classOf(item.Class)
	j := &job{item: item, class: class, demand: item.demand()}
	class.jobs++
	class.team.activate()
	s.jobs[item.Key] = j
	return j
}

// demand is what one task takes as declared: its resources, one slot and its connections.
func (i *Item) demand() vector {
	return vectorOf(i.Resources, 1, max(1, i.Connections))
}

// normalize gives every field a value that the rest of the package can rely on.
func (i *Item) normalize() {
	i.Tasks = max(1, min(i.Tasks, maxTasks))
	if i.Workload == "" {
		i.Workload = api.WorkloadBatch
	}
	if i.Class == "" {
		i.Class = api.ClassNormal
	}
}
