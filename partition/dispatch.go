package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// decide asks the scheduler for a decision, starts the requests that it places and closes
// those whose deadline has passed.
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

// place starts an attempt on the workers that the scheduler chose, one for each task.
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
			request: l, worker: w, incarnation: w.incarnation, allocated: true,
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

// arePlaceable reports whether all the workers may get new work.
func (o *owner) arePlaceable(names []string) bool {
	for _, name := range names {
		if w := o.workers[name]; w == nil || !w.placeable {
			return false
		}
	}
	return true
}

// releasePlacement releases the allocations of a placement that is not used.
func (o *owner) releasePlacement(now time.Duration, p *placement.Placement) {
	for i := range p.Workers {
		o.sched.Release(now, p.Key, i)
	}
}

// dispatchAll dispatches the tasks of an attempt.
func (o *owner) dispatchAll(tasks []*attempt) {
	for _, a := range tasks {
		o.dispatch(a)
	}
}

// proposeClaim proposes the claim of an attempt; a is its first task.
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

// handleClaimApplied continues after a claim is committed. A non-idempotent request is
// dispatched only now. If it was cancelled or one of its workers became unusable, its attempt
// is withdrawn instead; it certainly did not run, since nothing was sent.
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

// isUnusable reports whether a claimed task must not be dispatched because its worker became
// unusable. A missing allocation means that the worker was lost and came back during the
// commit.
func (a *attempt) isUnusable() bool {
	return !a.worker.placeable || a.worker.incarnation != a.incarnation || !a.allocated
}

// dispatch sends a task to its worker. The worker refuses the task once the lease based on
// the token has ended.
func (o *owner) dispatch(a *attempt) {
	w, r := a.worker, a.request.rec
	a.state = stateUncertain
	a.dispatchExpiresAt = w.tokenAt + o.leaseBound
	w.echoedTokenAt = max(w.echoedTokenAt, w.tokenAt)
	o.emit(SendDispatch{Worker: w.name, URL: w.announcement.URL, Dispatch: api.DispatchRequest{
		Task: a.id, Partition: o.p.cfg.Name, Epoch: o.epoch, Token: w.token,
		Incarnation: a.incarnation, LeaseMillis: api.Millis(o.p.cfg.TaskLease),
		Kind: r.Spec.Kind, Resources: r.Spec.Resources, Body: r.Body,
	}})
}

// handleDispatchAnswered handles the answer to a dispatch. If the addressed incarnation did
// not say whether the task started, the owner revokes the attempt; the answer to the revoke
// tells whether it started.
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

// handleCommandAnswered handles the answer to a revoke or a stop.
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

// resolveAttempt applies a worker's answer about an attempt. It reports whether the answer
// says that the attempt started or that it never will. Only the incarnation that was
// addressed can say so, since a later one does not know what the earlier process did.
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
