package dispatch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// renewWait is how long a worker may delay its answer to RenewLease until a run ends. Two
	// renewals fit into a lease, with time left for an election.
	renewWait = time.Second
	// renewRetryMin is the delay after the first of several failed renewals. It doubles with
	// each further failure up to renewRetryMax.
	renewRetryMin = 200 * time.Millisecond
	// renewRetryMax is the longest delay after a failed renewal.
	renewRetryMax = time.Second
	// maxFirstRenewals limits the first renewals of a term that are sent in one scan. The
	// simultaneous answers of hundreds of workers would delay the Raft heartbeats of a leader
	// with little CPU.
	maxFirstRenewals = 24
	// probeInterval is the time after which the first renewal of an incarnation is sent again without
	// waiting for its timeout, if an earlier incarnation may be over: until it arrives, the worker takes
	// orders for the earlier one.
	probeInterval = 150 * time.Millisecond
	// orderTransit is how long after it was sent an order may arrive that is not held up on its way.
	orderTransit = time.Second
	// maxReportAge is the greatest age of a worker's newest report at which the worker still
	// gets new tasks.
	maxReportAge = 2500 * time.Millisecond
	// maxEndsPerReport is the largest number of ends that a worker lists in one report.
	maxEndsPerReport = 500
	// idleWorkerTimeout is how long a worker without claims may send no report or announcement
	// before its incarnation is considered over. Workers announce themselves at least every few
	// seconds.
	idleWorkerTimeout = 15 * time.Second
)

// worker is the leader's soft state of one worker incarnation.
type worker struct {
	info *job.Worker // as registered in the replicated state
	// generation is part of the fencing token; see fencingToken.
	generation uint64
	// clockMillis is the newest clock value received from the worker, clockReceivedAt when it
	// was received.
	clockMillis     int64
	clockReceivedAt time.Duration
	// leaseEnd is the time by which every lease granted so far has certainly expired, leaseBasis on
	// what it rests.
	leaseEnd   time.Duration
	leaseBasis string
	// leaseOrderedAt is when the newest order that asks for a lease was sent. An incarnation that is not
	// known yet may have taken it, and a lease as long as workers grant.
	leaseOrderedAt time.Duration
	// settledAt is when the incarnation can be marked as settled, 0 if it is not known or was proposed.
	settledAt     time.Duration
	allocated     job.Resources // taken by claims
	bestEffortCPU int64         // requested by best-effort tasks, in thousandths of a core
	claims        map[claimKey]*claim
	reserved      map[job.StepRef]job.Resources // capacity reserved for steps
	isSchedulable bool                          // accepts new tasks in the current scheduling pass

	isRenewing           bool          // a RenewLease is in flight
	renewalSentAt        time.Duration // when the newest RenewLease was sent
	nextRenewal          time.Duration
	failedRenewals       int           // consecutive failed renewals
	reportedAt           time.Duration // time of the newest report in this term, 0 if none
	lastSeen             time.Duration // time of the newest report or announcement
	announcementSequence uint64        // of the newest announcement
	hasReported          bool          // has sent a report in this term
	ackedEnd             uint64        // all ends up to this number are committed
	// uncommittedEnd is the number of the newest reported end that is not committed yet, 0 if
	// there is none.
	uncommittedEnd uint64
	isLeaving      bool // the worker shuts down and accepts no new tasks
	// signedOffAt is when the worker said that it ends, 0 if it has not. isSignOffConfirmed is set
	// once that was confirmed.
	signedOffAt        time.Duration
	isSignOffConfirmed bool
	isOver             bool // the incarnation is over; nothing more is sent to it
	hasSuccessor       bool // see updateSuccessors; nothing is sent to it meanwhile
	isDeregistered     bool // its end was proposed
	// movedClaims is the number of its claims that are now on its successor. Until they have ended,
	// the incarnation stays registered, since the log names it as their worker.
	movedClaims int
	health      health
	speed       workerSpeed
}

// The values of worker.leaseBasis.
const (
	leaseNone       = "no lease"
	leaseOfOrder    = "own order"
	leaseOfTakeover = "order of an earlier leader"
	leaseOfRestart  = "order for an earlier incarnation"
)

// boundInheritedLeases handles the first report of an incarnation in this term. From the order that it
// answers, the worker refuses those for earlier incarnations; one that came before may have got it the
// longest lease.
func (s *Scheduler) boundInheritedLeases(w *worker) {
	if !w.info.Settled {
		w.settledAt = s.now + s.maxElapsed(s.longestLease())
		w.extendLease(w.settledAt, leaseOfRestart)
	}
}

// scanSettled notes an incarnation as settled on which no lease of an order for an earlier incarnation can
// be left, so that a new leader need not wait for one. The next operations take that along: without any,
// there are no new claims that a new leader could place again.
func (s *Scheduler) scanSettled(w *worker) {
	if w.settledAt != 0 && s.now >= w.settledAt {
		w.settledAt = 0
		s.settled = append(s.settled, w.info.Number)
	}
}

// workersSettled updates the soft state from incarnations that were marked as settled.
func (s *Scheduler) workersSettled(numbers []uint32) {
	for _, n := range numbers {
		if w, info := s.workers[n], s.state.Worker(n); w != nil && info != nil {
			w.info = info
		}
	}
}

// extendLease records that leases may last until a time.
func (w *worker) extendLease(until time.Duration, basis string) {
	if until > w.leaseEnd {
		w.leaseEnd, w.leaseBasis = until, basis
	}
}

// workerDecision returns a decision about a worker incarnation with what is known about its lease.
func (s *Scheduler) workerDecision(event string, w *worker, reason string) Decision {
	return Decision{Event: event, Worker: w.info.Name, Incarnation: w.info.Number, StartedMillis: w.info.StartedMillis, ClockMillis: w.clockMillis,
		LeaseLeft: w.leaseEnd - s.now, LeaseBasis: w.leaseBasis, Reason: reason, InputAge: s.now - w.reportedAt}
}

// addWorker adds a worker incarnation. leaseEnd is the time by which all leases that earlier
// leaders granted have expired.
func (s *Scheduler) addWorker(info *job.Worker, leaseEnd time.Duration) *worker {
	w := &worker{info: info, leaseEnd: leaseEnd, leaseBasis: leaseNone, claims: map[claimKey]*claim{}, reserved: map[job.StepRef]job.Resources{}, lastSeen: s.now, isLeaving: info.Leaving}
	if leaseEnd > s.now {
		w.leaseBasis = leaseOfTakeover
	}
	for _, other := range s.byName[info.Name] {
		s.extendLeases(other, w)
	}
	s.workers[info.Number], s.workersByNumber = w, nil
	s.byName[info.Name] = append(s.byName[info.Name], w)
	s.renewGeneration(w)
	s.updateSuccessors(info.Name)
	return w
}

// free returns the capacity that is not allocated.
func (w *worker) free() job.Resources { return w.info.Capacity.Minus(w.allocated) }

// canSchedule reports whether new tasks may be placed on the worker.
func (s *Scheduler) canSchedule(w *worker) bool {
	return !w.isLeaving && !w.isOver && !w.hasSuccessor && w.hasReported && w.failedRenewals == 0 && s.now-w.reportedAt < maxReportAge && w.health.canSchedule(s.now) && w.acceptsRuns()
}

// scanWorkers sends the lease renewals that are due, and ends the claims and the incarnations
// of workers that have not answered for too long.
func (s *Scheduler) scanWorkers() {
	firstRenewals := maxFirstRenewals
	for _, w := range s.sortedWorkers() {
		s.scanSignOff(w)
		s.scanSettled(w)
		if w.isOver {
			if len(w.claims) > 0 && s.now-w.lastSeen > idleWorkerTimeout {
				s.loseClaims(w)
			}
			if len(w.claims) == 0 {
				s.deregister(w)
			}
			continue
		}
		if (w.failedRenewals > 0 || w.hasSuccessor) && s.now >= w.leaseEnd {
			s.loseExpiredClaims(w)
		}
		if len(w.claims) == 0 && s.now-w.lastSeen > idleWorkerTimeout {
			s.endIncarnation(w, "silent")
			continue
		}
		if !s.isRenewalDue(w) {
			continue
		}
		if !w.hasReported {
			if firstRenewals == 0 {
				continue
			}
			firstRenewals--
		}
		s.renewLease(w)
	}
}

// loseExpiredClaims loses the claims on a worker whose lease has ended. A start that no report has listed, or
// of which a copy may still be on its way, may have been taken by a next incarnation, which is silent since.
// Such claims wait until its lease has ended.
func (s *Scheduler) loseExpiredClaims(w *worker) {
	lost := 0
	for _, c := range w.claims {
		orderedAt := w.leaseOrderedAt
		if c.isAdopted {
			orderedAt = c.learnedAt
		}
		isListed := c.isListed && c.retries == 0
		if c.phase != claimProposed && (isListed || s.now >= orderedAt+orderTransit+s.maxElapsed(s.longestLease())) {
			s.loseClaim(c)
			lost++
		}
	}
	if lost > 0 {
		s.record(s.workerDecision("worker lost", w, fmt.Sprintf("no answer until the lease ended; %d claims ended, %d wait for a next incarnation", lost, len(w.claims))))
		s.needsPass = true
	}
}

// isRenewalDue reports whether the next renewal may be sent to a worker now. Ends that were
// reported have to be committed before.
func (s *Scheduler) isRenewalDue(w *worker) bool {
	if w.isOver || w.hasSuccessor || w.uncommittedEnd != 0 {
		return false
	}
	if w.isRenewing {
		return !w.hasReported && len(s.byName[w.info.Name]) > 1 && s.now >= w.renewalSentAt+probeInterval
	}
	return s.now >= w.nextRenewal
}

// renewLease sends a RenewLease to a worker. The worker answers without delay if it has sent no
// report in this term or if its last renewal failed. In the latter case it may have started again, so
// the renewal asks for a report only.
func (s *Scheduler) renewLease(w *worker) {
	w.isRenewing, w.renewalSentAt = true, s.now
	wait := renewWait
	if !w.hasReported || w.failedRenewals > 0 {
		wait = 0
	}
	renewal := RenewLease{Order: s.newOrder(w), MaxWait: wait}
	if w.failedRenewals == 0 {
		renewal.Order, renewal.AckedEnd = s.newLeaseOrder(w), w.ackedEnd
	}
	s.actions = append(s.actions, renewal)
}

// newOrder returns the common part of an order to a worker that requests no lease.
func (s *Scheduler) newOrder(w *worker) Order {
	return Order{Worker: *w.info, FencingToken: s.fencingToken(w)}
}

// newLeaseOrder returns the common part of an order to a worker that requests a lease, and records the
// latest end of that lease.
func (s *Scheduler) newLeaseOrder(w *worker) Order {
	o := s.newOrder(w)
	if w.clockMillis > 0 {
		o.LeaseUntilMillis = w.clockMillis + s.leaseDuration().Milliseconds()
		w.extendLease(w.clockReceivedAt+s.maxLeaseElapsed(), leaseOfOrder)
		w.leaseOrderedAt = s.now
	}
	return o
}

// recordClock records a clock value from a worker's report. Replies to other orders do not name the
// incarnation whose clock they give.
func (s *Scheduler) recordClock(w *worker, clockMillis int64) {
	if clockMillis > w.clockMillis {
		w.clockMillis, w.clockReceivedAt = clockMillis, s.now
	}
}

// Reported handles the answer to a RenewLease that was sent at the time requestedAt.
func (s *Scheduler) Reported(now time.Duration, o RenewLease, requestedAt time.Duration, reply Reply, r Report) {
	s.advanceClock(now)
	w := s.workers[o.Worker.Number]
	if w == nil || !s.leading || requestedAt < w.renewalSentAt && w.hasReported {
		return // also if it is another reply to a first renewal that was sent again
	}
	w.isRenewing = false
	switch reply {
	case Accepted:
	case RefusedStaleLeader:
		s.fenced(o.Order, w)
		return
	case OtherIncarnation:
		s.endIncarnation(w, "another life has its address")
		return
	default:
		s.renewalFailed(w, reply)
		return
	}
	if r.StartedMillis != 0 && r.StartedMillis != w.info.StartedMillis {
		s.workerRestarted(w)
		return
	}
	if w.failedRenewals > 0 {
		s.record(s.workerDecision("worker regained", w, ""))
	}
	isFirst := !w.hasReported
	w.failedRenewals, w.reportedAt, w.lastSeen, w.nextRenewal = 0, s.now, s.now, s.now
	s.recordClock(w, r.ClockMillis)
	if !w.hasReported && r.StartedMillis != 0 {
		s.endEarlierIncarnations(w, r)
	}
	if isFirst {
		s.boundInheritedLeases(w)
		s.record(s.workerDecision("worker reported first", w, fmt.Sprintf("%d runs, %d ends", len(r.Running), len(r.Ended))))
	}
	s.reconcile(w, requestedAt, r)
	w.hasReported = true
	s.needsPass = true
}

// fenced handles the refusal of an order because of its fencing token. It gives up the leadership if
// only a newer leader can have sent the worker a higher token.
func (s *Scheduler) fenced(o Order, w *worker) {
	if s.isOutdated(o, w) {
		return
	}
	s.record(s.workerDecision("leadership given up", w, "worker has seen a newer leader"))
	s.actions = append(s.actions, StepDown{})
}

// renewalFailed counts a renewal that was refused or got no reply, and delays the next one.
func (s *Scheduler) renewalFailed(w *worker, reply Reply) {
	w.failedRenewals++
	w.nextRenewal = s.now + min(renewRetryMin<<min(w.failedRenewals-1, 4), renewRetryMax)
	if w.failedRenewals == 1 {
		s.record(s.workerDecision("worker silent", w, reply.String()))
		s.renewGeneration(w) // if it has started again, it refuses what was sent until now
	}
}

// reconcile compares the runs in a worker's report with the claims on the worker. A claim whose
// run the report must list but does not list is released.
func (s *Scheduler) reconcile(w *worker, requestedAt time.Duration, r Report) {
	for _, run := range r.Running {
		s.reconcileRunning(w, claimKey{run.Task, run.Run}, run)
	}
	for _, e := range r.Ended {
		s.reconcileEnded(w, e)
	}
	if w.uncommittedEnd > 0 {
		s.propose(job.Op{EndsCommitted: &job.EndsCommitted{Worker: w.info.Number, UpTo: w.uncommittedEnd}})
	}
	if r.isFull() {
		return
	}
	listed := r.listed()
	for key, c := range w.claims {
		if !listed[key] && c.mustBeInReport(requestedAt) {
			s.record(Decision{Event: "run not listed", Job: key.task.Job, Task: key.task, Run: key.run, Worker: w.info.Name, Reason: c.phase.String()})
			s.proposeEnd(key.task, key.run, job.EndNotStarted, c.checkpoint)
			s.removeClaim(c)
		}
	}
}

// reconcileRunning handles a run that a worker reports as running. If its job has ended, the run is
// stopped: a leader that takes over finds such runs, since stops are not in the log.
func (s *Scheduler) reconcileRunning(w *worker, key claimKey, run RunningTask) {
	c := s.claims[key]
	if c == nil || c.worker != w {
		c = s.addUnclaimedRun(w, key)
	}
	if c.phase == claimSent || c.phase == claimAdopted {
		c.phase, c.confirmedAt = claimRunning, s.now
	}
	c.isListed = true
	s.startedJobs[key.task.Job] = true
	if run.Checkpoint != "" {
		c.checkpoint = run.Checkpoint
	}
	if !c.isEnding() && s.openJob(key.task.Job) == nil {
		s.sendStop(c, "job has ended")
	}
}

// reconcileEnded handles a run that a worker reports as ended.
func (s *Scheduler) reconcileEnded(w *worker, e EndedRun) {
	if e.Number <= w.ackedEnd {
		return
	}
	w.uncommittedEnd = max(w.uncommittedEnd, e.Number)
	key := claimKey{e.Task, e.Run}
	c := s.claims[key]
	checkpoint := e.Checkpoint
	if c != nil && c.worker == w {
		if checkpoint == "" {
			checkpoint = c.checkpoint
		}
		if checkpoint != "" {
			s.recordSavedWork(c)
		}
		s.recordHealth(w, c, e.Kind)
		if e.Kind == job.EndDone {
			s.learnFromEnd(c)
		}
		s.removeClaim(c)
	}
	s.record(Decision{Event: "run ended", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.info.Name, Reason: e.Kind.String()})
	s.proposeEnd(e.Task, e.Run, e.Kind, checkpoint)
}

// endsCommitted records that all ends of an incarnation up to a number are committed, so that
// the next renewal acknowledges them.
func (s *Scheduler) endsCommitted(committed *job.EndsCommitted) {
	w := s.workers[committed.Worker]
	if w == nil {
		return
	}
	w.ackedEnd = max(w.ackedEnd, committed.UpTo)
	if w.uncommittedEnd <= w.ackedEnd {
		w.uncommittedEnd = 0
	}
	if w.hasReported && s.isRenewalDue(w) {
		s.renewLease(w) // the worker waits with it to report further ends
	}
}

// sortedWorkers returns the workers in the order of their numbers, so that placement decisions
// are deterministic.
func (s *Scheduler) sortedWorkers() []*worker {
	if s.workersByNumber == nil {
		s.workersByNumber = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.info.Number, b.info.Number) })
	}
	return s.workersByNumber
}
