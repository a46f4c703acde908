package placement

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// defaultCandidates is the default of Config.Candidates.
const defaultCandidates = 32

// Scheduler holds the queues and the capacity accounting of one partition. It is not safe
// for concurrent use; the goroutine that owns the partition owns it. Times passed to
// successive calls must not decrease.
type Scheduler struct {
	cfg    Config
	random *rand.Rand

	pools          map[string]*pool
	poolList       []*pool             // sorted by name
	poolTables     map[string]api.Pool // configured shares and quotas, by pool
	workers        map[string]*worker
	departedHealth map[string]*health // of workers that have left, by name

	entries   map[api.RequestKey]*entry // queued items
	jobs      map[api.RequestKey]*job   // requests with allocations
	deadlines deadlineQueue
	sequence  uint64 // number of entries queued so far
	queued    int    // items, including resubmitted ones
	running   int    // tasks with an allocation

	poolRotation int // rotates the first pool of a decision
	lastDecision time.Duration

	// Buffers that are reused by each decision.
	teamBuffer   readyTeamHeap
	workerBuffer []*worker
	singleWorker [1]*worker
}

// New returns an empty Scheduler.
func New(cfg Config) *Scheduler {
	if cfg.Candidates <= 0 {
		cfg.Candidates = defaultCandidates
	}
	return &Scheduler{
		cfg:            cfg,
		random:         rand.New(rand.NewPCG(cfg.Seed, 0)),
		pools:          map[string]*pool{},
		poolTables:     map[string]api.Pool{},
		workers:        map[string]*worker{},
		departedHealth: map[string]*health{},
		entries:        map[api.RequestKey]*entry{},
		jobs:           map[api.RequestKey]*job{},
	}
}

// UpsertWorker adds a worker or updates its description. The allocations of an existing
// worker, and whether it is placeable, do not change. A new worker is placeable.
func (s *Scheduler) UpsertWorker(now time.Duration, description Worker) {
	w := s.workerOf(now, description.Name)
	if w.pool != nil {
		if w.Worker == description {
			return
		}
		w.pool.removeWorker(w)
	}
	w.Worker = description
	w.capacity = vectorOf(description.Capacity, description.Slots, description.Connections)
	s.poolOf(description.Pool).addWorker(w)
}

// workerOf returns the worker. If there is none, it creates one that is in no pool.
func (s *Scheduler) workerOf(now time.Duration, name string) *worker {
	w := s.workers[name]
	if w == nil {
		w = &worker{Worker: Worker{Name: name}, placeable: true, health: s.restoreHealth(now, name)}
		s.workers[name] = w
	}
	return w
}

// SetPlaceable stops or resumes new placements on a worker. The allocations stay.
func (s *Scheduler) SetPlaceable(now time.Duration, name string, placeable bool) {
	w := s.workers[name]
	if w == nil || w.placeable == placeable {
		return
	}
	w.placeable = placeable
	w.capacityFreed()
}

// RemoveWorker removes a worker and its allocations. Its health is kept for
// departedHealthTTL, so that a restart does not reset it.
func (s *Scheduler) RemoveWorker(now time.Duration, name string) {
	w := s.workers[name]
	if w == nil {
		return
	}
	delete(s.workers, name)
	if w.pool != nil {
		w.pool.removeWorker(w)
	}
	for len(w.allocations) > 0 {
		a := w.allocations[len(w.allocations)-1]
		s.removeAllocation(a)
		s.removeIfDone(now, a.job)
	}
	s.saveHealth(now, w)
}

// SetPools replaces the shares and quotas of all pools. Running work continues when a
// quota falls below what the team uses.
func (s *Scheduler) SetPools(pools []api.Pool) {
	s.poolTables = make(map[string]api.Pool, len(pools))
	for _, t := range pools {
		s.poolTables[t.Name] = t
	}
	for _, p := range s.poolList {
		p.applyTables(s.poolTables[p.name])
	}
}

// Enqueue queues an item whose acceptance has been stored durably. An item whose key is
// already queued is ignored. An item whose key has allocations of an earlier attempt is
// queued after their release.
func (s *Scheduler) Enqueue(now time.Duration, item Item) {
	item.normalize()
	if s.entries[item.Key] != nil {
		return
	}
	if j := s.jobs[item.Key]; j != nil {
		if j.resubmitted == nil {
			s.queued++
		}
		j.resubmitted = &item
		return
	}
	s.sequence++
	e := &entry{item: &item, demand: item.demand(), sequence: s.sequence, queuedAt: now, blockedSince: -1}
	q := s.poolOf(item.Pool).teamOf(item.Team).classOf(item.Class)
	q.team.activate()
	q.push(now, e)
	s.deadlines.push(e)
	s.entries[item.Key] = e
	s.queued++
}

// dequeue removes e from its subqueue and from the entries by key.
func (s *Scheduler) dequeue(e *entry) {
	e.subqueue.unlink(e)
	delete(s.entries, e.item.Key)
	s.queued--
}

// Cancel removes a queued item and reports whether there was one. Its amortized cost does
// not depend on the length of the queue.
func (s *Scheduler) Cancel(key api.RequestKey) bool {
	if j := s.jobs[key]; j != nil && j.resubmitted != nil {
		j.resubmitted = nil
		s.queued--
		return true
	}
	e := s.entries[key]
	if e == nil {
		return false
	}
	s.dequeue(e)
	e.subqueue.class.team.deactivateIfIdle()
	s.deadlines.markStale(e)
	e.subqueue = nil
	return true
}

// Allocate records a task that was found running on a worker, even if the allocations
// then exceed the worker's capacity or the worker is not known yet. The item leaves the
// queue, since it must not start a second time.
func (s *Scheduler) Allocate(now time.Duration, item Item, task int, name string) {
	if task < 0 || task >= maxTasks {
		return
	}
	item.normalize()
	s.Cancel(item.Key)
	s.allocate(now, s.jobOf(&item), task, s.workerOf(now, name))
}

// Release removes the allocation of a task. It does nothing if there is none.
func (s *Scheduler) Release(now time.Duration, key api.RequestKey, task int) {
	j := s.jobs[key]
	if j == nil || task < 0 || task >= len(j.allocations) || j.allocations[task] == nil {
		return
	}
	s.release(now, j.allocations[task])
}

// ReportOutcome records how a task of a kind ended on a worker and how long it ran. It
// updates the worker's health and, after a success, the learned run time of the kind.
func (s *Scheduler) ReportOutcome(now time.Duration, name, kind string, o Outcome, runTime time.Duration) {
	w := s.workers[name]
	if w == nil || w.pool == nil {
		return
	}
	if o == OutcomeSuccess {
		w.pool.kinds.statsOf(kind).learnRunTime(runTime)
	}
	w.pool.recordOutcome(now, w, kind, o != OutcomeSuccess)
}

// ReportUsage records the resources that each task of a request was measured to use. The
// allocations grow to the highest reported usage and never shrink.
func (s *Scheduler) ReportUsage(_ time.Duration, key api.RequestKey, used api.Resources) {
	j := s.jobs[key]
	if j == nil {
		return
	}
	amount := vectorOf(used, 0, 0)
	for _, a := range j.allocations {
		if a != nil {
			s.growAllocation(a, amount)
		}
	}
}

// Stats returns the current counts.
func (s *Scheduler) Stats() Stats {
	st := Stats{Queued: s.queued, Running: s.running}
	for _, p := range s.poolList {
		st.Workers += len(p.workers)
	}
	return st
}
