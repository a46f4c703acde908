package partition

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// owner is the soft state of one period of ownership: queues, workers, attempts in
// progress and waiting callers. It is dropped when the ownership ends.
type owner struct {
	p     *Partition
	epoch uint64
	start time.Duration
	now   time.Duration // of the current Step or Apply
	// certainLease is L·(1+ρ); doubtUntil is when everything that older epochs have
	// dispatched has ended, unless it was extended by a sync of this epoch.
	certainLease time.Duration
	doubtUntil   time.Duration
	sched        Scheduler
	rng          *rand.Rand

	live     map[api.RequestKey]*liveRequest
	doubtful []*liveRequest // those inherited in phaseDoubt, until doubtUntil
	attempts map[api.TaskID]*attempt
	workers  map[string]*workerState
	// workerOrder fixes the order of iteration over workers.
	workerOrder []*workerState

	waiters    map[WaiterID]*waiter
	timers     timerHeap
	timerOrder uint64
	log        proposer
	budget     retryBudget
	finished   retentionQueue
	unknown    retentionQueue

	decideDue  bool
	badAnswers int
	dispute    *OwnershipDisputed
	actions    []Action
}

// phase is where a request stands in the owner's soft state.
type phase uint8

const (
	// phaseAccepting: the accept is not committed.
	phaseAccepting phase = iota
	// phaseDoubt: idempotent, of an older epoch; it may be running without a claim.
	phaseDoubt
	phaseQueued
	// phaseBackoff: waits for its next attempt.
	phaseBackoff
	// phaseClosing: withdrawn from the queue, the cancel is being committed.
	phaseClosing
	// phaseActive: has an attempt.
	phaseActive
	// phaseOutcome: the record has an outcome.
	phaseOutcome
)

// liveRequest is the owner's view of a request that has no final outcome, or whose last
// attempts have still to be stopped.
type liveRequest struct {
	key    api.RequestKey
	rec    *record // nil while phaseAccepting
	phase  phase
	digest []byte
	// inherited: the request was open when the ownership began.
	inherited bool
	// cancelWanted: a cancel has been proposed or waits for the accept.
	cancelWanted bool
	accepted     time.Duration // owner's clock
	deadline     time.Duration // latest start; 0 if none
	number       int           // attempts begun in this epoch
	backoffs     int           // tells the newest back-off timer from older ones
	attempts     []*attempt
	waiters      []*waiter
	answered     int    // waiters that are answered and still listed
	delayed      string // why the back-off lasts
	retained     bool   // listed for expiry as unknown
}

// newOwner rebuilds the soft state from the records.
func newOwner(now time.Duration, p *Partition, e BecameOwner) *owner {
	o := &owner{
		p: p, epoch: e.Epoch, start: now,
		certainLease: p.cfg.certainLease(),
		sched:        p.newScheduler(),
		rng:          rand.New(rand.NewPCG(p.cfg.Seed, e.Epoch)),
		live:         map[api.RequestKey]*liveRequest{},
		attempts:     map[api.TaskID]*attempt{},
		workers:      map[string]*workerState{},
		waiters:      map[WaiterID]*waiter{},
		decideDue:    true,
	}
	o.doubtUntil = now + o.certainLease
	// Sequences carry the epoch, since answers to calls of an earlier ownership of this
	// replica may still arrive.
	o.log.sequence, o.log.syncs = e.Epoch<<sequenceBits, e.Epoch<<sequenceBits
	o.budget = newRetryBudget(now)
	o.sched.SetPools(p.tables.Pools)
	for _, r := range p.ordered {
		if !r.dropped {
			o.inherit(now, r, e.NowUnixMillis)
		}
	}
	o.inheritWorkers(now)
	o.after(o.doubtUntil, o.endDoubt)
	o.log.fence = true
	return o
}

// inherit takes over a record of an older epoch.
func (o *owner) inherit(now time.Duration, r *record, nowUnixMillis int64) {
	if r.State.IsFinal() {
		o.finished.add(r.Spec.Key, now+o.p.cfg.OutcomeRetention)
		return
	}
	l := &liveRequest{key: r.Spec.Key, rec: r, digest: r.Spec.Digest, inherited: true, cancelWanted: r.Cancelled}
	o.live[l.key] = l
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
	case r.hasOpen():
		l.phase = phaseActive
	case !r.Spec.NonIdempotent:
		l.phase = phaseDoubt
		o.doubtful = append(o.doubtful, l)
	default:
		o.resume(now, l)
	}
}

// inheritAttempt lists a claimed attempt at its worker, whose report will resolve it.
func (o *owner) inheritAttempt(l *liveRequest, a *attemptRecord) {
	w := o.worker(a.Worker)
	att := &attempt{
		live: l, worker: w, incarnation: a.Incarnation,
		id:      api.TaskID{RequestKey: l.key, Attempt: a.Number},
		state:   attemptUncertain,
		expires: o.doubtUntil,
	}
	if a.End == attemptLost {
		att.state = attemptGone
	}
	o.addAttempt(att)
}

// setTimes computes the owner's times of acceptance and deadline.
func (o *owner) setTimes(l *liveRequest, now time.Duration, nowUnixMillis int64) {
	l.accepted = now
	s := &l.rec.Spec
	if nowUnixMillis > 0 && s.AcceptedUnixMillis > 0 && nowUnixMillis > s.AcceptedUnixMillis {
		l.accepted -= time.Duration(min(nowUnixMillis-s.AcceptedUnixMillis, maxMillis)) * time.Millisecond
	}
	if s.DeadlineMillis > 0 {
		// A deadline of 0 means none to the scheduler, and a passed one may lie before
		// the origin of the clock.
		l.deadline = max(l.accepted+time.Duration(s.DeadlineMillis)*time.Millisecond, 1)
	}
}

// endDoubt places what older epochs may have dispatched without a durable claim and no
// worker has reported.
func (o *owner) endDoubt(now time.Duration) {
	for _, l := range o.doubtful {
		if l.phase == phaseDoubt {
			o.resume(now, l)
		}
	}
	o.doubtful = nil
	for _, w := range o.workerOrder {
		if !w.synced {
			o.loseAttempts(now, w, "its worker did not report to the new owner in time")
		}
	}
}

// resume queues a request that has no attempt, or closes it if it was cancelled.
func (o *owner) resume(now time.Duration, l *liveRequest) {
	if l.cancelWanted {
		o.close(l, false)
		return
	}
	l.phase, l.delayed = phaseQueued, ""
	o.sched.Enqueue(now, o.item(l))
	o.decideDue = true
}

// item describes a request to the scheduler.
func (o *owner) item(l *liveRequest) placement.Item {
	item := specItem(&l.rec.Spec)
	item.Accepted, item.Deadline = l.accepted, l.deadline
	return item
}

// specItem describes what was accepted, without times.
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
		o.forget(e.Waiter)
	case WorkerAnnounced:
		o.announced(now, &e.Announcement)
	case SyncAnswered:
		o.syncAnswered(now, &e)
	case SyncFailed:
		o.syncFailed(now, &e)
	case DispatchAnswered:
		o.dispatchAnswered(now, &e)
	case CommandAnswered:
		o.commandAnswered(now, &e)
	case ProposeFailed:
		o.proposeFailed(now, e.Sequence)
	}
}

// tick does what depends on time alone.
func (o *owner) tick(now time.Duration) {
	for _, w := range o.workerOrder {
		o.tickWorker(now, w)
	}
	o.dropLostWorkers(now)
	o.expire(now)
}

// emit adds an action.
func (o *owner) emit(a Action) { o.actions = append(o.actions, a) }

// disputed ends the ownership because a worker has seen a higher epoch.
func (o *owner) disputed(worker string, epoch uint64) {
	o.dispute = &OwnershipDisputed{Worker: worker, Epoch: epoch}
}

// applied reacts to one applied command.
func (o *owner) applied(now time.Duration, c *command) {
	switch {
	case c.Accept != nil:
		o.accepted(now, c.Accept)
	case c.Claim != nil:
		o.claimed(now, c.Claim)
	case c.End != nil:
		o.endApplied(now, c.End)
	case c.Cancel != nil:
		o.cancelApplied(now, c.Cancel)
	}
}

// reconcile brings the soft state of a request in line with its record.
func (o *owner) reconcile(now time.Duration, l *liveRequest) {
	switch {
	case l.rec == nil:
	case l.rec.State.IsOutcome():
		o.concluded(now, l)
	case l.rec.State == api.StateQueued && l.phase == phaseActive && !l.busy():
		o.retry(now, l)
	}
}

// busy reports whether an attempt is outstanding.
func (l *liveRequest) busy() bool {
	for _, a := range l.attempts {
		if a.state != attemptGone {
			return true
		}
	}
	return false
}

// concluded answers the waiters of a request with an outcome and ends what is left.
func (o *owner) concluded(now time.Duration, l *liveRequest) {
	if l.phase == phaseQueued {
		o.sched.Cancel(l.key)
	}
	l.phase = phaseOutcome
	o.answerLive(l)
	if !l.rec.State.IsFinal() {
		if !l.retained {
			l.retained = true
			o.unknown.add(l.key, now+unknownRetention)
		}
		return
	}
	for _, a := range append([]*attempt(nil), l.attempts...) {
		if a.state == attemptGone {
			o.dropAttempt(now, a)
		} else {
			o.halt(now, a)
		}
	}
	o.settleLive(now, l)
}

// settleLive forgets a finished request once no attempt is left.
func (o *owner) settleLive(now time.Duration, l *liveRequest) {
	if l.rec == nil || !l.rec.State.IsFinal() || len(l.attempts) > 0 || o.live[l.key] != l {
		return
	}
	delete(o.live, l.key)
	o.finished.add(l.key, now+o.p.cfg.OutcomeRetention)
}
