package dispatch

import (
	"maps"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// taskLease is the lease that orders ask for: long enough to outlast an election
	// (about 2 s) and a missed renewal, short enough that a lost worker's tasks are placed
	// again soon.
	taskLease = 5 * time.Second
	// clockDrift covers worker clocks that are 2% slow, and the leader's own.
	clockDrift = 0.025
	// decideEvery bounds how often all waiting work is looked at.
	decideEvery = 10 * time.Millisecond
	// scanWorkersEvery and scanClaimsEvery bound how often all workers and all claims are
	// looked at for what is due.
	scanWorkersEvery = 5 * time.Millisecond
	scanClaimsEvery  = 25 * time.Millisecond
	// forgetEvery is how often ended jobs are looked at for removal.
	forgetEvery = 5 * time.Second
)

// Scheduler holds the leader's soft state. One goroutine owns it.
type Scheduler struct {
	settings Settings
	state    *job.State
	record   func(Decision)

	leading bool
	term    uint64
	now     time.Duration
	wall    int64 // Unix milliseconds that belong to now
	actions []Action
	ops     []job.Op // for the next Propose

	workers  map[uint32]*worker
	byName   map[string]uint32 // newest announced life
	sorted   []*worker         // workers by number, nil if it has to be made anew
	claims   map[claimKey]*claim
	proposed map[job.TaskRef]bool // claims that are not committed
	advice   map[job.StepRef]*advice
	bookings map[job.StepRef]*booking
	avoid    map[job.TaskRef]uint32 // the worker on which a task failed last
	begun    map[job.ID]bool        // open jobs of which a worker has confirmed a start
	advisors map[string]*advisor
	asks     []*ask
	grants   map[string]float64 // share of workers that the advisor grants, by queue

	// ready holds the steps with waiting tasks of each job; touched are the jobs for which
	// it has to be made anew.
	ready   map[job.ID][]*readyStep
	touched map[job.ID]bool
	wake    []wakeUp
	// pools lists the workers that take new work in the newest pass of decide, capacity is
	// what they have of processors, and idle what it expects to be left of these, by pool.
	pools          map[string][]*worker
	capacity, idle map[string]int64
	// spare is what less urgent work may still take in this pass of each pool's processors.
	spare map[string]int64
	inUse map[share]int64 // thousandths of a core
	// urgent is the priority of the most urgent queue of each pool, by the configuration of
	// urgentVersion; nil if it has to be made anew.
	urgent        map[string]int
	urgentVersion int64

	dirty       bool
	nextDecide  time.Duration
	nextForget  time.Duration
	nextWorkers time.Duration
	nextClaims  time.Duration
}

// New returns a scheduler for a state that the caller applies operations to. record gets
// a line for each decision.
func New(settings Settings, state *job.State, record func(Decision)) *Scheduler {
	s := &Scheduler{settings: settings, record: record}
	s.Reset(state)
	return s
}

// Reset drops the soft state; the node does not lead any more, or has taken a snapshot.
func (s *Scheduler) Reset(state *job.State) {
	s.state, s.leading = state, false
	s.workers, s.byName, s.sorted = map[uint32]*worker{}, map[string]uint32{}, nil
	s.claims, s.proposed = map[claimKey]*claim{}, map[job.TaskRef]bool{}
	s.advice, s.avoid = map[job.StepRef]*advice{}, map[job.TaskRef]uint32{}
	s.inUse, s.urgent = map[share]int64{}, nil
	s.grants, s.begun = map[string]float64{}, map[job.ID]bool{}
	s.bookings = map[job.StepRef]*booking{}
	s.asks, s.actions, s.ops = nil, nil, nil
	s.ready, s.touched, s.wake = map[job.ID][]*readyStep{}, map[job.ID]bool{}, nil
	s.nextDecide, s.nextWorkers, s.nextClaims = 0, 0, 0
	for _, a := range s.advisors {
		a.busy = false
	}
}

// lease is what orders ask for.
func (s *Scheduler) lease() time.Duration {
	if s.settings.MaxLease > 0 {
		return min(taskLease, s.settings.MaxLease)
	}
	return taskLease
}

// leaseBound is how long after the receipt of a clock value every lease that was counted
// from it has ended.
func (s *Scheduler) leaseBound() time.Duration { return s.bound(s.lease()) }

// bound is the longest that d on a worker's clock can last.
func (s *Scheduler) bound(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockDrift))
}

// Lead builds the soft state of a new leader. wall is the time of day that belongs to now.
func (s *Scheduler) BecomeLeader(now time.Duration, wall int64, term uint64) {
	s.Reset(s.state)
	s.leading, s.term, s.now, s.wall = true, term, now, wall
	s.state.Workers(func(w *job.Worker) { s.addWorker(w, now+s.leaseBound()) })
	s.state.OpenJobs(func(j *job.Job) { s.touched[j.ID] = true })
	s.state.Jobs(func(j *job.Job) { s.adoptClaims(j) })
	s.dirty = true
}

// adoptClaims reserves room for the claims of earlier leaders. Whether they run is known
// when their worker has answered.
func (s *Scheduler) adoptClaims(j *job.Job) {
	for k, o := range j.Occurrences {
		for i := range o.Steps {
			for n, t := range o.Steps[i].Tasks {
				if t.Phase != job.Claimed {
					continue
				}
				ref := job.TaskRef{StepRef: job.StepRef{Job: j.ID, Occurrence: k, Step: uint16(i)}, Index: uint16(n)}
				s.adopt(ref, t.Run, t.Worker, &j.Spec.Steps[i])
				if t.SpeculativeWorker != 0 {
					s.adopt(ref, t.SpeculativeRun, t.SpeculativeWorker, &j.Spec.Steps[i])
				}
			}
		}
	}
}

func (s *Scheduler) adopt(ref job.TaskRef, run, number uint32, step *job.Step) {
	w := s.workers[number]
	if w == nil {
		// The life is over, so everything on it has ended.
		s.proposeEnd(ref, run, job.EndLost, "")
		return
	}
	s.addClaim(ref, run, w, step, claimAdopted)
}

// observe takes the time of an event. A time that lags behind the event would date an
// answer before an order that was sent without knowing it.
func (s *Scheduler) observe(now time.Duration) { s.now = max(s.now, now) }

// Load returns the number of jobs that have not ended and of known worker lives.
func (s *Scheduler) Load() (openJobs, workers int) { return s.state.OpenCount(), len(s.workers) }

// Actions returns what has gathered since the last call, operations first.
func (s *Scheduler) Actions() []Action {
	if len(s.ops) > 0 {
		s.actions = append([]Action{Propose{s.ops}}, s.actions...)
		s.ops = nil
	}
	out := s.actions
	s.actions = nil
	return out
}

func (s *Scheduler) propose(op job.Op) { s.ops = append(s.ops, op) }

func (s *Scheduler) proposeEnd(ref job.TaskRef, run uint32, kind job.EndKind, saved string) {
	s.propose(job.Op{End: &job.End{Task: ref, Run: run, Kind: kind, Checkpoint: saved, AtMillis: s.wall}})
}

// Tick tells the time. The embedder calls it every few milliseconds and after events.
func (s *Scheduler) Tick(now time.Duration, wall int64) {
	s.observe(now)
	s.wall = wall
	if !s.leading {
		return
	}
	if now >= s.nextWorkers {
		s.nextWorkers = now + scanWorkersEvery
		s.tickWorkers()
	}
	if now >= s.nextClaims {
		s.nextClaims = now + scanClaimsEvery
		s.tickClaims()
		s.wakeDue()
	}
	if now >= s.nextForget {
		s.nextForget = now + forgetEvery
		s.forgetEnded()
	}
	if s.dirty && now >= s.nextDecide {
		s.dirty, s.nextDecide = false, now+decideEvery
		s.decide()
	}
	s.sendAsks()
}

// forgetEnded removes jobs whose state need not be known any more.
func (s *Scheduler) forgetEnded() {
	var ids []job.ID
	keep := s.settings.EndedJobRetention.Milliseconds() * 3 / 2 // a margin for clocks that differ
	s.state.Jobs(func(j *job.Job) {
		if j.Outcome != job.Open && s.wall-j.EndedMillis > keep {
			ids = append(ids, j.ID)
		}
	})
	if len(ids) > 0 {
		s.propose(job.Op{DeleteJobs: ids})
	}
	maps.DeleteFunc(s.avoid, func(ref job.TaskRef, _ uint32) bool { return s.openJob(ref.Job) == nil })
	maps.DeleteFunc(s.begun, func(id job.ID, _ bool) bool { return s.openJob(id) == nil })
}

// openJob returns a job that has not ended, or nil.
func (s *Scheduler) openJob(id job.ID) *job.Job {
	if j := s.state.Job(id); j != nil && j.Outcome == job.Open {
		return j
	}
	return nil
}

// HasBegun reports whether a task of a job has started, as far as this leader knows.
func (s *Scheduler) HasStarted(j *job.Job) bool { return j.Started || s.begun[j.ID] }

// PendingJobs returns how many accepted jobs of a queue wait for their first start.
func (s *Scheduler) PendingJobs(queue string) int {
	n := 0
	s.state.OpenJobs(func(j *job.Job) {
		if j.Queue.Name == queue && !s.HasStarted(j) {
			n++
		}
	})
	return n
}

// Applied tells that an operation was applied to the state.
func (s *Scheduler) Applied(now time.Duration, op job.Op) {
	if !s.leading {
		return
	}
	s.observe(now)
	s.dirty = true
	switch {
	case op.Submit != nil:
		s.touched[op.Submit.ID] = true
	case op.Claim != nil:
		s.claimApplied(op.Claim)
	case op.End != nil:
		s.touched[op.End.Task.Job] = true
		s.endApplied(op.End)
	case op.Cancel != nil:
		s.touched[op.Cancel.ID] = true
		s.stopJob(op.Cancel.ID, "job cancelled")
	case op.RegisterWorker != nil:
		s.workerApplied(op.RegisterWorker)
	case op.EndsCommitted != nil:
		s.endsNoted(op.EndsCommitted)
	case op.DeregisterWorker != 0:
		s.removeWorker(op.DeregisterWorker)
	}
}
