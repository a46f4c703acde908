package dispatch

import (
	"maps"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/shortage"
)

const (
	// taskLease is the duration of the leases that orders ask for. It outlasts an election
	// (about 2 s) plus one missed renewal, and is short enough that the tasks of a lost worker
	// are placed again soon.
	taskLease = 5 * time.Second
	// clockDrift is the assumed drift between a worker's clock and the leader's. It covers
	// worker clocks that are 2% slow, plus the drift of the leader's own clock.
	clockDrift = 0.025
	// passInterval is the shortest time between two scheduling passes over all waiting tasks.
	passInterval = 10 * time.Millisecond
	// workerScanInterval and claimScanInterval are the shortest times between two scans of all
	// workers and of all claims for timers that have expired.
	workerScanInterval = 25 * time.Millisecond
	claimScanInterval  = 50 * time.Millisecond
	// jobDeletionInterval is the time between two scans for ended jobs that can be deleted.
	jobDeletionInterval = 5 * time.Second
)

// Scheduler places tasks on workers and follows their runs while this node leads. It is not
// safe for concurrent use.
type Scheduler struct {
	settings Settings
	state    *job.State
	record   func(Decision) // called for each decision

	leading    bool
	term       uint64
	now        time.Duration // newest time of a tick or event, on the leader's clock
	wallMillis int64         // Unix milliseconds at the time now
	actions    []Action
	ops        []job.Op // operations of the next Propose

	workers         map[uint32]*worker
	settled         []uint32             // incarnations that the next operations mark as settled
	lastGeneration  uint64               // newest generation of a worker incarnation in this term
	byName          map[string][]*worker // the incarnations of each name
	workersByNumber []*worker            // cache of sortedWorkers, nil if it has to be rebuilt
	claims          map[claimKey]*claim
	claimsByJob     map[job.ID]map[claimKey]*claim
	learned         learnedClaims
	unclaimedRuns   int                  // claims with isUnclaimed
	proposedClaims  map[job.TaskRef]bool // tasks with a claim that is not committed
	advice          map[job.StepRef]*advice
	reservations    map[job.StepRef]*reservation
	lastFailedOn    map[job.TaskRef]uint32        // number of the worker on which a task failed last
	savedWork       map[job.TaskRef]time.Duration // work in the newest checkpoint, where this leader knows it
	startedJobs     map[job.ID]bool               // open jobs for which a worker has confirmed a start
	proxies         map[string]*advisorProxy
	queuedCalls     []*advisorCall
	grantRates      map[string]float64 // mean fraction of the workers asked about that the advisor grants, by queue
	speeds          speeds

	// ready holds the steps of each job that have tasks to place. staleJobs are the jobs for
	// which it has to be rebuilt.
	ready     map[job.ID][]*readyStep
	ordered   []*readyStep // all ready steps, in the order of the newest pass
	staleJobs map[job.ID]bool
	wakeUps   []wakeUp
	// schedulable holds, by pool, the workers that accept new tasks in the current pass.
	// cpuCapacity is their total processor capacity, and idleCPU the part that is expected to
	// stay idle after the steps handled so far; both are in thousandths of a core.
	schedulable          map[string][]*worker
	cpuCapacity, idleCPU map[string]int64
	// cpuBeyondHeadroom is how much of each pool's processors work below the top priority may
	// still take in the current pass, in thousandths of a core.
	cpuBeyondHeadroom map[string]int64
	allocatedCPU      map[poolPriority]int64 // processors of all claims, in thousandths of a core
	// accounts holds the usage of the accounts by name, with the limits and weights of the
	// configuration accountsConfig.
	accounts       map[string]*accountUsage
	accountsConfig *job.Config
	beyondRate     map[job.ID]bool // open jobs that were accepted beyond the rate of their account
	// topPriority is the priority of the most urgent queue of each pool, computed from the
	// configuration topPriorityConfig, nil before the first pass.
	topPriority       map[string]int
	topPriorityConfig *job.Config

	// loads holds the load of each pool at the start of the newest pass if knowsLoads is set, from which
	// jobs are admitted.
	loads        map[string]*poolLoad
	knowsLoads   bool
	leadingSince time.Duration
	meanWork     map[string]*shortage.MeanWork // by queue
	// rankSteps sets the rank of all ready steps if the order follows costs. Benchmarks replace it.
	rankSteps func([]*readyStep)

	examined        int  // workers examined for steps since this node leads
	needsPass       bool // something has changed that may let tasks be placed
	nextPass        time.Duration
	nextJobDeletion time.Duration
	nextWorkerScan  time.Duration
	nextClaimScan   time.Duration
}

// New returns a scheduler that does not lead yet. The caller applies operations to state and
// reports each with Applied. record is called for each decision.
func New(settings Settings, state *job.State, record func(Decision)) *Scheduler {
	s := &Scheduler{settings: settings, record: record}
	s.rankSteps = s.rankByCost
	s.Reset(state)
	return s
}

// Restored is called when the state has been replaced by a snapshot.
func (s *Scheduler) Restored(now time.Duration) { s.learned = learnedClaims{restoredAt: now} }

// Reset drops the soft state, because the node has lost the leadership or restored a snapshot.
func (s *Scheduler) Reset(state *job.State) {
	s.state, s.leading = state, false
	s.workers, s.byName, s.workersByNumber = map[uint32]*worker{}, map[string][]*worker{}, nil
	s.claims, s.claimsByJob, s.proposedClaims = map[claimKey]*claim{}, map[job.ID]map[claimKey]*claim{}, map[job.TaskRef]bool{}
	s.advice, s.lastFailedOn = map[job.StepRef]*advice{}, map[job.TaskRef]uint32{}
	s.savedWork = map[job.TaskRef]time.Duration{}
	s.allocatedCPU, s.topPriority, s.topPriorityConfig = map[poolPriority]int64{}, nil, nil
	s.accounts, s.accountsConfig = map[string]*accountUsage{}, state.Config()
	s.beyondRate = map[job.ID]bool{}
	s.grantRates, s.startedJobs = map[string]float64{}, map[job.ID]bool{}
	s.reservations, s.speeds = map[job.StepRef]*reservation{}, newSpeeds()
	s.queuedCalls, s.actions, s.ops = nil, nil, nil
	s.ready, s.ordered, s.staleJobs, s.wakeUps = map[job.ID][]*readyStep{}, nil, map[job.ID]bool{}, nil
	s.loads, s.knowsLoads, s.meanWork = map[string]*poolLoad{}, false, map[string]*shortage.MeanWork{}
	s.lastGeneration, s.settled, s.unclaimedRuns = 0, nil, 0
	s.nextPass, s.nextWorkerScan, s.nextClaimScan, s.examined = 0, 0, 0, 0
	for _, proxy := range s.proxies {
		proxy.call = nil
	}
}

// ordersByCost reports whether order, preemption, admission and placement follow what they cost
// callers when there is too little capacity.
func (s *Scheduler) ordersByCost() bool {
	return s.settings.OrderByCost || s.state.Config().HasAccounts
}

// leaseDuration returns the duration of the lease that orders ask for.
func (s *Scheduler) leaseDuration() time.Duration {
	if s.settings.MaxLease > 0 {
		return min(taskLease, s.settings.MaxLease)
	}
	return taskLease
}

// longestLease returns the duration of the longest lease that workers grant, as far as it is known.
func (s *Scheduler) longestLease() time.Duration { return max(s.settings.MaxLease, s.leaseDuration()) }

// leaseOfEarlierLeaders returns the longest duration that the leases of an incarnation can have left when a
// leader is elected.
func (s *Scheduler) leaseOfEarlierLeaders(w *job.Worker) time.Duration {
	if w.Settled {
		return s.leaseDuration()
	}
	return s.longestLease()
}

// maxLeaseElapsed returns the time after the receipt of a worker's clock value by which every
// lease that was computed from that value has expired.
func (s *Scheduler) maxLeaseElapsed() time.Duration { return s.maxElapsed(s.leaseDuration()) }

// maxElapsed returns the longest time on the leader's clock that d on a worker's clock can take.
func (s *Scheduler) maxElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + clockDrift))
}

// BecomeLeader builds the soft state of a new leader. wallMillis is the Unix time at now.
func (s *Scheduler) BecomeLeader(now time.Duration, wallMillis int64, term uint64) {
	s.Reset(s.state)
	s.leading, s.term, s.now, s.wallMillis, s.leadingSince = true, term, now, wallMillis, now
	s.updateTopPriority()
	s.state.Workers(func(w *job.Worker) { s.addWorker(w, now+s.maxElapsed(s.leaseOfEarlierLeaders(w))) })
	s.state.OpenJobs(func(j *job.Job) { s.staleJobs[j.ID] = true })
	s.state.Jobs(func(j *job.Job) {
		s.adoptClaims(j)
		s.countWork(j)
	})
	s.replayRates()
	s.needsPass = true
}

// adoptClaims allocates capacity for a job's claims that earlier leaders made. Whether their
// runs have started is not known until their workers report.
func (s *Scheduler) adoptClaims(j *job.Job) {
	for k, o := range j.Occurrences {
		for i := range o.Steps {
			for n, t := range o.Steps[i].Tasks {
				if t.Phase != job.Claimed {
					continue
				}
				ref := job.TaskRef{StepRef: job.StepRef{Job: j.ID, Occurrence: k, Step: uint16(i)}, Index: uint16(n)}
				s.adoptClaim(ref, t.Run, t.Worker, &j.Spec.Steps[i])
				if t.SpeculativeWorker != 0 {
					s.adoptClaim(ref, t.SpeculativeRun, t.SpeculativeWorker, &j.Spec.Steps[i])
				}
			}
		}
	}
}

// adoptClaim allocates capacity for one claim of an earlier leader. If the worker incarnation is
// over, it proposes to end the run as lost.
func (s *Scheduler) adoptClaim(ref job.TaskRef, run, number uint32, step *job.Step) {
	w := s.workers[number]
	if w == nil {
		// A run cannot outlast its worker's incarnation.
		s.proposeEnd(ref, run, job.EndLost, "")
		return
	}
	c := s.addClaim(ref, run, w, step, claimAdopted)
	c.isStartUnknown, c.isAdopted, c.learnedAt = true, true, s.learned.claimedAt(c.key)
}

// advanceClock sets the time to that of an event. Otherwise a reply that arrives between two
// ticks would get the time of the earlier tick, and a report that was requested before the reply
// arrived could seem to have been requested after it; see claim.mustBeInReport.
func (s *Scheduler) advanceClock(now time.Duration) { s.now = max(s.now, now) }

// Load returns the current load.
func (s *Scheduler) Load() Load {
	return Load{OpenJobs: s.state.OpenCount(), Workers: len(s.workers), QueuedCalls: len(s.queuedCalls), BusyProxies: s.busyProxies(),
		Accounts: s.accountLoads(), Speeds: s.speeds.spread}
}

// Actions returns and clears the actions since the last call, with the proposal first.
func (s *Scheduler) Actions() []Action {
	if len(s.ops) > 0 {
		if len(s.settled) > 0 {
			s.propose(job.Op{SettleWorkers: s.settled})
			s.settled = nil
		}
		s.actions = append([]Action{Propose{s.ops}}, s.actions...)
		s.ops = nil
	}
	out := s.actions
	s.actions = nil
	return out
}

// propose adds an operation to the next Propose.
func (s *Scheduler) propose(op job.Op) { s.ops = append(s.ops, op) }

// proposeEnd proposes to end a run at the current time.
func (s *Scheduler) proposeEnd(ref job.TaskRef, run uint32, kind job.EndKind, checkpoint string) {
	s.propose(job.Op{End: &job.End{Task: ref, Run: run, Kind: kind, Checkpoint: checkpoint, AtMillis: s.wallMillis}})
}

// Tick advances the time and handles expired timers. The caller calls it every few
// milliseconds and after events.
func (s *Scheduler) Tick(now time.Duration, wallMillis int64) {
	s.advanceClock(now)
	s.wallMillis = wallMillis
	if !s.leading {
		return
	}
	if now >= s.nextWorkerScan {
		s.nextWorkerScan = now + workerScanInterval
		s.scanWorkers()
	}
	if now >= s.nextClaimScan {
		s.nextClaimScan = now + claimScanInterval
		s.scanClaims()
		s.wakeDue()
	}
	if now >= s.nextJobDeletion {
		s.nextJobDeletion = now + jobDeletionInterval
		s.deleteExpiredJobs()
		s.dropRemovedQueues()
		s.centerSpeeds()
	}
	if s.needsPass && now >= s.nextPass {
		s.needsPass, s.nextPass = false, now+passInterval
		s.runPass()
	}
	s.sendQueuedCalls()
}

// deleteExpiredJobs proposes to delete the ended jobs whose retention is over.
func (s *Scheduler) deleteExpiredJobs() {
	var ids []job.ID
	retention := s.settings.EndedJobRetention.Milliseconds() * 3 / 2 // margin for differences between the leaders' clocks
	s.state.Jobs(func(j *job.Job) {
		if j.Outcome != job.Open && s.wallMillis-j.EndedMillis > retention {
			ids = append(ids, j.ID)
		}
	})
	if len(ids) > 0 {
		s.propose(job.Op{DeleteJobs: ids})
	}
	maps.DeleteFunc(s.lastFailedOn, func(ref job.TaskRef, _ uint32) bool { return s.openJob(ref.Job) == nil })
	maps.DeleteFunc(s.savedWork, func(ref job.TaskRef, _ time.Duration) bool { return s.openJob(ref.Job) == nil })
	maps.DeleteFunc(s.beyondRate, func(id job.ID, _ bool) bool { return s.openJob(id) == nil })
	maps.DeleteFunc(s.startedJobs, func(id job.ID, _ bool) bool { return s.openJob(id) == nil })
}

// dropRemovedQueues drops what is known about the load of queues and pools that the configuration no
// longer has.
func (s *Scheduler) dropRemovedQueues() {
	names := map[string]bool{}
	for i := range s.state.Config().Queues {
		names[s.state.Config().Queues[i].Name] = true
	}
	maps.DeleteFunc(s.meanWork, func(name string, _ *shortage.MeanWork) bool { return !names[name] })
	maps.DeleteFunc(s.speeds.ratios, func(name string, _ *average) bool { return !names[name] })
	maps.DeleteFunc(s.loads, func(name string, _ *poolLoad) bool { return s.state.Pool(name) == nil })
}

// openJob returns a job that has not ended, or nil.
func (s *Scheduler) openJob(id job.ID) *job.Job {
	if j := s.state.Job(id); j != nil && j.Outcome == job.Open {
		return j
	}
	return nil
}

// HasStarted reports whether a task of a job has started, as far as this leader knows.
func (s *Scheduler) HasStarted(j *job.Job) bool { return j.Started || s.startedJobs[j.ID] }

// PendingJobs returns the number of open jobs that belong to a queue of the current configuration and have
// not started.
func (s *Scheduler) PendingJobs(q *job.Queue) int {
	n := 0
	s.state.OpenJobs(func(j *job.Job) {
		if s.state.QueueOf(j) == q && !s.HasStarted(j) {
			n++
		}
	})
	return n
}

// Applied handles an operation that the caller has applied to the state.
func (s *Scheduler) Applied(now time.Duration, op job.Op) {
	if op.Claim != nil {
		s.learned.add(now, claimKey{op.Claim.Task, op.Claim.Run}, orderTransit+s.maxElapsed(s.longestLease()))
	}
	if !s.leading {
		return
	}
	s.advanceClock(now)
	s.needsPass = true
	switch {
	case op.Submit != nil:
		s.staleJobs[op.Submit.ID] = true
		if j := s.state.Job(op.Submit.ID); j != nil && j.AcceptedMillis == op.Submit.AcceptedMillis && s.state.Config().HasAccounts {
			s.jobAccepted(j)
		}
		s.countWork(s.state.Job(op.Submit.ID))
	case op.Claim != nil:
		s.claimApplied(op.Claim)
	case op.End != nil:
		s.staleJobs[op.End.Task.Job] = true
		s.endApplied(op.End)
	case op.Cancel != nil:
		s.staleJobs[op.Cancel.ID] = true
		s.stopJob(op.Cancel.ID, "job cancelled")
	case op.RegisterWorker != nil:
		s.workerApplied(op.RegisterWorker)
	case op.EndsCommitted != nil:
		s.endsCommitted(op.EndsCommitted)
	case op.SettleWorkers != nil:
		s.workersSettled(op.SettleWorkers)
	case op.DeregisterWorker != 0:
		s.removeWorker(op.DeregisterWorker)
	}
}
