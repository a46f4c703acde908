package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// decide starts what the scheduler places and closes what it found expired.
func (o *owner) decide(now time.Duration, tick bool) {
	if !o.decisionDue && !tick {
		return
	}
	o.decisionDue = false
	d := o.sched.Decide(now, maxPlacementsPerDecision)
	for _, e := range d.Expired {
		if l := o.requests[e.Key]; l != nil && l.phase == phaseQueued {
			o.closeIdle(l, true)
		}
	}
	for _, p := range d.Placements {
		o.place(now, &p)
	}
	if len(d.Placements) >= maxPlacementsPerDecision {
		o.decisionDue = true
	}
}

// place begins an attempt on the workers that the scheduler chose, one for each task.
func (o *owner) place(now time.Duration, p *placement.Placement) {
	l := o.requests[p.Key]
	if l == nil || l.phase != phaseQueued || len(p.Workers) != l.rec.Spec.taskCount() {
		o.releasePlacement(now, p)
		return
	}
	if !o.arePlaceable(p.Workers) {
		o.releasePlacement(now, p)
		o.enqueueOrClose(now, l)
		return
	}
	l.attemptCount++
	l.phase = phaseActive
	tasks := make([]*attempt, len(p.Workers))
	for i, name := range p.Workers {
		w := o.workers[name]
		tasks[i] = &attempt{
			request: l, worker: w, incarnation: w.incarnation, reserved: true,
			id: api.TaskID{RequestKey: l.key, Attempt: attemptNumber(o.epoch, l.attemptCount), Index: i},
		}
		o.addAttempt(tasks[i])
	}
	o.budget.recordStart()
	o.proposeClaim(now, tasks[0])
	if !l.rec.Spec.NonIdempotent {
		o.dispatchAll(tasks)
	}
}

// placeable reports whether all the workers may get new work.
func (o *owner) arePlaceable(names []string) bool {
	for _, name := range names {
		if w := o.workers[name]; w == nil || !w.placeable {
			return false
		}
	}
	return true
}

// unplace returns the reservations of a placement that is not used.
func (o *owner) releasePlacement(now time.Duration, p *placement.Placement) {
	for i := range p.Workers {
		o.sched.Release(now, p.Key, i)
	}
}

// sendAll dispatches the tasks of an attempt.
func (o *owner) dispatchAll(tasks []*attempt) {
	for _, a := range tasks {
		o.dispatch(a)
	}
}

// proposeClaim proposes to record an attempt, of which a is the first task.
func (o *owner) proposeClaim(now time.Duration, a *attempt) {
	c := &claimCommand{Task: a.id, Worker: a.worker.name, Incarnation: a.incarnation}
	if a.request.rec.Spec.isGang() {
		c.Assignments = assignmentsOf(a.request.attemptTasks(a.id.Attempt))
	}
	if len(a.request.rec.Attempts) == 0 {
		c.WaitedMillis = api.Millis(now - a.request.acceptedAt)
	}
	o.propose(command{Claim: c})
}

// claimed continues after a claim is committed. The dispatch of a non-idempotent
// request is sent only now; it is withdrawn instead if it is no longer wanted or its
// worker no longer usable, which is certain evidence since nothing was sent.
func (o *owner) handleClaimApplied(now time.Duration, c *claimCommand) {
	a := o.attempts[c.Task]
	if a == nil || a.state != stateClaiming {
		return
	}
	r := a.request.rec.attempt(a.id.Attempt)
	tasks := a.request.attemptTasks(a.id.Attempt)
	switch {
	case r == nil || r.End != attemptOpen:
		o.removeTasks(now, a)
		o.reconcile(now, a.request)
	case a.request.cancelRequested || slices.ContainsFunc(tasks, (*attempt).isUnusable):
		o.proposeEnd(now, a, attemptWithdrawn, "its worker became unavailable before the dispatch")
	default:
		o.dispatchAll(tasks)
	}
}

// isUnusable reports whether a claimed task must not be dispatched any more. Without a
// reservation the worker was lost and came back during the commit.
func (a *attempt) isUnusable() bool {
	return !a.worker.placeable || a.worker.incarnation != a.incarnation || !a.reserved
}

// send dispatches an attempt. The worker refuses it once the token's lease has passed.
func (o *owner) dispatch(a *attempt) {
	w, r := a.worker, a.request.rec
	a.state = stateUncertain
	a.dispatchExpiresAt = w.tokenAt + o.leaseBound
	w.echoedTokenAt = max(w.echoedTokenAt, w.tokenAt)
	o.emit(SendDispatch{Worker: w.name, URL: w.announcement.URL, Dispatch: api.Dispatch{
		Task: a.id, Partition: o.p.cfg.Name, Epoch: o.epoch, Token: w.token,
		Incarnation: a.incarnation, LeaseMillis: api.Millis(o.p.cfg.TaskLease),
		Kind: r.Spec.Kind, Resources: r.Spec.Resources, Body: r.Body,
	}})
}

// dispatchAnswered handles the answer to a dispatch. Without a clear answer of the same
// incarnation the attempt is revoked, which resolves it either way.
func (o *owner) handleDispatchAnswered(now time.Duration, e *DispatchAnswered) {
	if e.Response != nil && e.Response.StaleEpoch > o.epoch {
		o.disputeOwnership(e.Worker, e.Response.StaleEpoch)
		return
	}
	a := o.attempts[e.Task]
	if a == nil || a.worker.name != e.Worker || a.state == stateClaiming {
		return
	}
	if !o.resolveAttempt(now, a, e.Response) {
		o.sendRevokeOrStop(now, a)
	}
}

// commandAnswered handles the answer to a revoke or a stop.
func (o *owner) handleCommandAnswered(now time.Duration, e *CommandAnswered) {
	if e.Response != nil && e.Response.StaleEpoch > o.epoch {
		o.disputeOwnership(e.Worker, e.Response.StaleEpoch)
		return
	}
	a := o.attempts[e.Task]
	if a == nil || a.worker.name != e.Worker || a.state == stateClaiming {
		return
	}
	if o.resolveAttempt(now, a, e.Response) && a.stopRequested && e.Revoke {
		a.commandScheduled = false
		o.sendRevokeOrStop(now, a)
	}
}

// resolve takes what a worker answered about an attempt and reports whether it told
// that the attempt started or never will. Only the incarnation that was addressed can
// tell: a later one knows nothing of what the former process did.
func (o *owner) resolveAttempt(now time.Duration, a *attempt, r *api.DispatchResponse) bool {
	if r == nil || r.StaleEpoch != 0 || r.Incarnation != a.incarnation {
		return false
	}
	switch r.State {
	case api.DispatchStarted:
		o.confirmStart(now, a)
		return true
	case api.DispatchRefused:
		if !a.confirmed {
			o.sched.ReportOutcome(now, a.worker.name, a.request.rec.Spec.Kind, placement.OutcomeFailure, 0)
			o.proposeEnd(now, a, attemptRefused, "refused by the worker: "+r.Reason)
		}
		return true
	}
	return false
}
