package partition

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// owner is the soft state of one period of ownership: queues, workers, outstanding attempts
// and waiting callers. It is dropped when the ownership ends.
type owner struct {
	p         *Partition
	epoch     uint64
	startedAt time.Duration
	now       time.Duration // of the current Step or Apply
	// leaseBound is Config.leaseBound, L·(1+ρ). inheritedLeaseEnd is when everything that
	// older epochs have dispatched has ended, except for leases that a sync of this epoch
	// renewed.
	leaseBound        time.Duration
	inheritedLeaseEnd time.Duration
	sched             Scheduler
	rng               *rand.Rand

	requests         map[api.RequestKey]*liveRequest
	awaitingLeaseEnd []*liveRequest // inherited in phaseAwaitingLeaseEnd; nil after inheritedLeaseEnd
	attempts         map[api.TaskID]*attempt
	workers          map[string]*workerState
	// workerOrder lists the workers in order of their creation, which is the order of
	// iteration.
	workerOrder []*workerState

	waiters       map[WaiterID]*waiter
	timers        timerHeap
	timerSequence uint64
	proposer      proposer
	budget        retryBudget
	finished      retentionQueue
	unknown       retentionQueue

	decisionDue    bool
	invalidAnswers int
	dispute        *OwnershipDisputed
	actions        []Action
}

// phase is the stage of a request in the owner's soft state.
type phase uint8

const (
	// phaseAccepting means that the accept is being committed.
	phaseAccepting phase = iota
	// phaseAwaitingLeaseEnd means that an idempotent request of an older epoch may be running
	// without a durable claim. It is queued after inheritedLeaseEnd.
	phaseAwaitingLeaseEnd
	// phaseQueued means that the request is in the scheduler's queue.
	phaseQueued
	// phaseBackoff means that the request waits for the time of its next attempt.
	phaseBackoff
	// phaseClosing means that the request is in no queue and its cancel is being committed.
	phaseClosing
	// phaseActive means that the request has an attempt.
	phaseActive
	// phaseOutcome means that the record has an outcome.
	phaseOutcome
)

// liveRequest is the owner's view of a request that has no final outcome, or whose last
// attempts still have to be stopped.
type liveRequest struct {
	key      api.RequestKey
	rec      *record // nil in phaseAccepting
	phase    phase
	identity identity
	// queuedPool is the pool in whose queue the request was put last.
	queuedPool string
	// inherited is set if the request was open when the ownership began.
	inherited bool
	// cancelRequested is set if a cancel has been proposed or waits for the accept.
	cancelRequested   bool
	acceptedAt        time.Duration // on the owner's clock
	deadline          time.Duration // latest time of a start on the owner's clock; 0 if none
	attemptCount      int           // attempts started in this epoch
	backoffGeneration int           // identifies the newest backoff timer; older ones are ignored
	attempts          []*attempt
	waiters           []*waiter
	answeredWaiters   int    // entries of waiters that have been answered
	backoffReason     string // what the request waits for in phaseBackoff
	expiryScheduled   bool   // listed in owner.unknown
}

// newOwner rebuilds the soft state from the records.
func newOwner(now time.Duration, p *Partition, e BecameOwner) *owner {
	o := &owner{
		p: p, epoch: e.Epoch, startedAt: now,
		leaseBound:  p.cfg.leaseBound(),
		sched:       p.newScheduler(),
		rng:         rand.New(rand.NewPCG(p.cfg.Seed, e.Epoch)),
		requests:    map[api.RequestKey]*liveRequest{},
		attempts:    map[api.TaskID]*attempt{},
		workers:     map[string]*workerState{},
		waiters:     map[WaiterID]*waiter{},
		decisionDue: true,
	}
	o.inheritedLeaseEnd = now + o.leaseBound
	// Sequence numbers include the epoch, since answers to calls of an earlier ownership of
	// this replica may still arrive.
	o.proposer.sequence, o.proposer.syncSequence = e.Epoch<<sequenceBits, e.Epoch<<sequenceBits
	o.budget = newRetryBudget(now)
	o.sched.SetPools(p.tables.Pools)
	for _, r := range p.ordered {
		if !r.dropped {
			o.inherit(now, r, e.NowUnixMillis)
		}
	}
	o.inheritWorkers(now)
	o.after(o.inheritedLeaseEnd, o.handleInheritedLeaseEnd)
	o.proposer.fencePending = true
	return o
}

// inherit rebuilds the soft state of a record of an older epoch.
func (o *owner) inherit(now time.Duration, r *record, nowUnixMillis int64) {
	if r.State.IsFinal() {
		o.finished.add(r.Spec.Key, now+o.p.cfg.OutcomeRetention)
		return
	}
	l := &liveRequest{key: r.Spec.Key, rec: r, identity: r.Spec.identity(), inherited: true, cancelRequested: r.Cancelled}
	o.requests[l.key] = l
	o.setTimes(l, now, nowUnixMillis)
	for i := range r.Attempts {
		a := &r.Attempts[i]
		switch {
		case a.Tasks != nil:
			o.inheritGang(l, a)
		case a.End == attemptOpen || a.End == attemptLost:
			o.inheritAttempt(l, a)
		}
	}
	switch {
	case r.State == api.StateUnknown:
		l.phase = phaseOutcome
		o.unknown.add(l.key, now+unknownRetention)
	case r.hasOpenAttempt():
		l.phase = phaseActive
	case !r.Spec.NonIdempotent:
		l.phase = phaseAwaitingLeaseEnd
		o.awaitingLeaseEnd = append(o.awaitingLeaseEnd, l)
	default:
		o.enqueueOrClose(now, l)
	}
}

// inheritAttempt adds a claimed attempt, which a report of its worker will resolve.
func (o *owner) inheritAttempt(l *liveRequest, a *attemptRecord) {
	w := o.ensureWorker(a.Worker)
	inherited := &attempt{
		request: l, worker: w, incarnation: a.Incarnation,
		id:                api.TaskID{RequestKey: l.key, Attempt: a.Number},
		state:             stateUncertain,
		dispatchExpiresAt: o.inheritedLeaseEnd,
		stopRequested:     l.cancelRequested,
	}
	if a.End == attemptLost {
		inherited.state = stateLost
	}
	o.addAttempt(inherited)
}

// setTimes computes the time of acceptance and the deadline on the owner's clock.
func (o *owner) setTimes(l *liveRequest, now time.Duration, nowUnixMillis int64) {
	l.acceptedAt = now
	s := &l.rec.Spec
	if nowUnixMillis > 0 && s.AcceptedUnixMillis > 0 && nowUnixMillis > s.AcceptedUnixMillis {
		l.acceptedAt -= time.Duration(min(nowUnixMillis-s.AcceptedUnixMillis, maxDurationMillis)) * time.Millisecond
	}
	if s.DeadlineMillis > 0 {
		// The scheduler reads a deadline of 0 as none, and a deadline that has passed may lie
		// before the origin of the clock.
		l.deadline = max(l.acceptedAt+time.Duration(s.DeadlineMillis)*time.Millisecond, 1)
	}
}

// handleInheritedLeaseEnd queues the requests that older epochs may have dispatched without
// a durable claim and that no worker has reported. It marks as lost the attempts of workers
// that have not reported.
func (o *owner) handleInheritedLeaseEnd(now time.Duration) {
	for _, l := range o.awaitingLeaseEnd {
		if l.phase == phaseAwaitingLeaseEnd {
			o.enqueueOrClose(now, l)
		}
	}
	o.awaitingLeaseEnd = nil
	for _, w := range o.workerOrder {
		if !w.synced {
			o.markAttemptsLost(now, w, "its worker did not report to the new owner in time")
		}
	}
}

// enqueueOrClose queues a request that has no attempt, or closes it if it was cancelled.
func (o *owner) enqueueOrClose(now time.Duration, l *liveRequest) {
	if l.cancelRequested {
		o.closeIdle(l, false)
		return
	}
	item := o.item(l)
	l.phase, l.backoffReason, l.queuedPool = phaseQueued, "", item.Pool
	o.sched.Enqueue(now, item)
	o.decisionDue = true
}

// item returns the description of a request for the scheduler.
func (o *owner) item(l *liveRequest) placement.Item {
	item := specItem(&l.rec.Spec)
	item.Pool = o.p.poolOf(&l.rec.Spec)
	item.Accepted, item.Deadline = l.acceptedAt, l.deadline
	return item
}

// specItem is like item, without the time of acceptance and the deadline.
func specItem(s *spec) placement.Item {
	return placement.Item{
		Key: s.Key, Pool: s.Pool, Kind: s.Kind, Team: s.Team, Class: s.Class, Workload: s.Workload,
		Resources: s.Resources, Tasks: s.taskCount(), Region: s.Region,
		RunTime: time.Duration(s.RunTimeMillis) * time.Millisecond,
	}
}

// step handles one event.
func (o *owner) step(now time.Duration, event Event) {
	o.now = now
	switch e := event.(type) {
	case Submit:
		o.submit(now, &e)
	case Query:
		o.query(now, &e)
	case Cancel:
		o.cancel(now, &e)
	case ForgetWaiter:
		o.forgetWaiter(e.Waiter)
	case WorkerAnnounced:
		o.handleAnnouncement(now, &e.Announcement)
	case SyncAnswered:
		o.handleSyncAnswered(now, &e)
	case SyncFailed:
		o.handleSyncFailed(now, &e)
	case DispatchAnswered:
		o.handleDispatchAnswered(now, &e)
	case CommandAnswered:
		o.handleCommandAnswered(now, &e)
	case ProposeFailed:
		o.handleProposeFailed(now, e.Sequence)
	}
}

// tick handles timeouts, lost workers and the expiry of records.
func (o *owner) tick(now time.Duration) {
	for _, w := range o.workerOrder {
		o.tickWorker(now, w)
	}
	o.removeLostWorkers(now)
	o.expire(now)
}

// emit adds an action to the result of the current Step or Apply.
func (o *owner) emit(a Action) { o.actions = append(o.actions, a) }

// disputeOwnership makes completeStep end the ownership because a worker has seen a higher
// epoch.
func (o *owner) disputeOwnership(worker string, epoch uint64) {
	o.dispute = &OwnershipDisputed{Worker: worker, Epoch: epoch}
}

// handleApplied continues after a command has been applied to the records.
func (o *owner) handleApplied(now time.Duration, c *command) {
	switch {
	case c.Accept != nil:
		o.handleAcceptApplied(now, c.Accept)
	case c.Claim != nil:
		o.handleClaimApplied(now, c.Claim)
	case c.End != nil:
		o.handleEndApplied(now, c.End)
	case c.Cancel != nil:
		o.handleCancelApplied(now, c.Cancel)
	}
}

// reconcile updates the soft state of a request to match its record.
func (o *owner) reconcile(now time.Duration, l *liveRequest) {
	switch {
	case l.rec == nil:
	case l.rec.State.IsOutcome():
		o.handleOutcome(now, l)
	case l.rec.State == api.StateQueued && l.phase == phaseActive && !l.hasOutstandingAttempt():
		o.startBackoff(now, l)
	}
}

// hasOutstandingAttempt reports whether an attempt has not ended and is not lost.
func (l *liveRequest) hasOutstandingAttempt() bool {
	for _, a := range l.attempts {
		if a.state != stateLost {
			return true
		}
	}
	return false
}

// handleOutcome answers the waiters of a request with an outcome. If the outcome is final, it
// stops the remaining attempts.
func (o *owner) handleOutcome(now time.Duration, l *liveRequest) {
	if l.phase == phaseQueued {
		o.sched.Cancel(l.key)
	}
	l.phase = phaseOutcome
	o.answerWaiters(l)
	if !l.rec.State.IsFinal() {
		if !l.expiryScheduled {
			l.expiryScheduled = true
			o.unknown.add(l.key, now+unknownRetention)
		}
		return
	}
	for _, a := range append([]*attempt(nil), l.attempts...) {
		if a.state == stateLost {
			o.removeAttempt(now, a)
		} else {
			o.requestStop(now, a)
		}
	}
	o.removeIfFinished(now, l)
}

// removeIfFinished removes a request with a final outcome once no attempt is left.
func (o *owner) removeIfFinished(now time.Duration, l *liveRequest) {
	if l.rec == nil || !l.rec.State.IsFinal() || len(l.attempts) > 0 || o.requests[l.key] != l {
		return
	}
	delete(o.requests, l.key)
	o.finished.add(l.key, now+o.p.cfg.OutcomeRetention)
}
