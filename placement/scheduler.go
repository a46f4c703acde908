package placement

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// defaultCandidates is the number of workers scored for one placement.
const defaultCandidates = 32

// Scheduler holds the queues and accounts of one partition. It is not safe for
// concurrent use; the goroutine that owns the partition owns it. Time arguments must
// not decrease.
type Scheduler struct {
	cfg    Config
	random *rand.Rand

	pools    map[string]*pool
	poolList []*pool // by name
	tables   map[string]api.Pool
	workers  map[string]*worker
	departed map[string]*health // of workers that have left

	entries   map[api.RequestKey]*entry // queued
	jobs      map[api.RequestKey]*job   // with reservations
	deadlines deadlineQueue
	sequence  uint64
	queued    int
	running   int

	turn         int
	lastDecision time.Duration

	// Reused by each decision.
	turns   turnHeap
	scratch []*worker
	single  [1]*worker
}

// New returns an empty Scheduler.
func New(cfg Config) *Scheduler {
	if cfg.Candidates <= 0 {
		cfg.Candidates = defaultCandidates
	}
	return &Scheduler{
		cfg:      cfg,
		random:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		pools:    map[string]*pool{},
		tables:   map[string]api.Pool{},
		workers:  map[string]*worker{},
		departed: map[string]*health{},
		entries:  map[api.RequestKey]*entry{},
		jobs:     map[api.RequestKey]*job{},
	}
}

// UpsertWorker adds a worker or takes its new description. The reservations, and
// whether it is placeable, stay as they are; a new worker is placeable.
func (s *Scheduler) UpsertWorker(now time.Duration, d Worker) {
	w := s.workerOf(now, d.Name)
	if w.pool != nil {
		if w.Worker == d {
			return
		}
		w.pool.leave(w)
	}
	w.Worker = d
	w.capacity = vectorOf(d.Capacity, d.Slots, d.Connections)
	s.poolOf(d.Pool).join(w)
}

// workerOf returns the account of the worker, creating an empty one without a pool.
func (s *Scheduler) workerOf(now time.Duration, name string) *worker {
	w := s.workers[name]
	if w == nil {
		w = &worker{Worker: Worker{Name: name}, placeable: true, health: s.healthOf(now, name)}
		s.workers[name] = w
	}
	return w
}

// SetPlaceable stops or resumes new placements on a worker. Its account stays.
func (s *Scheduler) SetPlaceable(now time.Duration, name string, placeable bool) {
	w := s.workers[name]
	if w == nil || w.placeable == placeable {
		return
	}
	w.placeable = placeable
	w.refreshFreed()
}

// RemoveWorker forgets a worker and drops its reservations. Its health is kept for a
// while, so that a restart does not clear it.
func (s *Scheduler) RemoveWorker(now time.Duration, name string) {
	w := s.workers[name]
	if w == nil {
		return
	}
	delete(s.workers, name)
	if w.pool != nil {
		w.pool.leave(w)
	}
	for len(w.tasks) > 0 {
		r := w.tasks[len(w.tasks)-1]
		s.drop(r)
		s.endIfDone(now, r.job)
	}
	s.depart(now, w)
}

// SetPools takes the shares and quotas of the tables. Running work keeps its place
// when a quota falls below what the team holds.
func (s *Scheduler) SetPools(pools []api.Pool) {
	s.tables = make(map[string]api.Pool, len(pools))
	for _, t := range pools {
		s.tables[t.Name] = t
	}
	for _, p := range s.poolList {
		p.applyTables(s.tables[p.name])
	}
}

// Enqueue queues an item whose accept is durable. A key that is queued already is
// ignored; a key with reservations of an earlier attempt is queued after their release.
func (s *Scheduler) Enqueue(now time.Duration, item Item) {
	item.normalize()
	if s.entries[item.Key] != nil {
		return
	}
	if j := s.jobs[item.Key]; j != nil {
		if j.parked == nil {
			s.queued++
		}
		j.parked = &item
		return
	}
	s.sequence++
	e := &entry{item: &item, demand: item.demand(), sequence: s.sequence, blockedSince: -1}
	q := s.poolOf(item.Pool).teamOf(item.Team).classOf(item.Class)
	q.team.activate()
	q.push(now, e)
	s.deadlines.push(e)
	s.entries[item.Key] = e
	s.queued++
}

// dequeue takes e out of its lane and the index of keys.
func (s *Scheduler) dequeue(e *entry) {
	e.lane.unlink(e)
	delete(s.entries, e.item.Key)
	s.queued--
}

// Cancel removes a queued item and reports whether there was one. Its cost does not
// depend on the length of the queue.
func (s *Scheduler) Cancel(key api.RequestKey) bool {
	if j := s.jobs[key]; j != nil && j.parked != nil {
		j.parked = nil
		s.queued--
		return true
	}
	e := s.entries[key]
	if e == nil {
		return false
	}
	s.dequeue(e)
	e.lane.class.team.retireIfIdle()
	s.deadlines.left(e)
	e.lane = nil
	return true
}

// Reserve records a task that was found running on a worker, also when the account
// goes over what the worker holds or the worker is not known yet. The item leaves the
// queue, as it must not start a second time.
func (s *Scheduler) Reserve(now time.Duration, item Item, task int, name string) {
	if task < 0 || task >= maxTasks {
		return
	}
	item.normalize()
	s.Cancel(item.Key)
	s.reserve(now, s.jobOf(&item), task, s.workerOf(now, name))
}

// Release ends the reservation of a task. It does nothing if there is none.
func (s *Scheduler) Release(now time.Duration, key api.RequestKey, task int) {
	j := s.jobs[key]
	if j == nil || task < 0 || task >= len(j.reservations) || j.reservations[task] == nil {
		return
	}
	s.release(now, j.reservations[task])
}

// ReportOutcome records how a task of a kind ended on a worker and how long it ran.
func (s *Scheduler) ReportOutcome(now time.Duration, name, kind string, o Outcome, runTime time.Duration) {
	w := s.workers[name]
	if w == nil || w.pool == nil {
		return
	}
	if o == OutcomeSuccess {
		w.pool.kinds.of(kind).learnRunTime(runTime)
	}
	w.pool.noteOutcome(now, w, kind, o != OutcomeSuccess)
}

// ReportUsage records what the tasks of a request were last seen to use, each. A
// reservation grows to the highest use reported and never shrinks.
func (s *Scheduler) ReportUsage(_ time.Duration, key api.RequestKey, used api.Resources) {
	j := s.jobs[key]
	if j == nil {
		return
	}
	amount := vectorOf(used, 0, 0)
	for _, r := range j.reservations {
		if r != nil {
			s.raiseUse(r, amount)
		}
	}
}

// Stats counts what the Scheduler holds.
func (s *Scheduler) Stats() Stats {
	st := Stats{Queued: s.queued, Running: s.running}
	for _, p := range s.poolList {
		st.Workers += len(p.workers)
	}
	return st
}
