package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// decide starts what the scheduler places and closes what it found expired.
func (o *owner) decide(now time.Duration, tick bool) {
	if !o.decideDue && !tick {
		return
	}
	o.decideDue = false
	d := o.sched.Decide(now, decideBatch)
	for _, e := range d.Expired {
		if l := o.live[e.Key]; l != nil && l.phase == phaseQueued {
			o.close(l, true)
		}
	}
	for _, p := range d.Placements {
		o.place(now, &p)
	}
	if len(d.Placements) >= decideBatch {
		o.decideDue = true
	}
}

// place begins an attempt on the workers that the scheduler chose, one for each task.
func (o *owner) place(now time.Duration, p *placement.Placement) {
	l := o.live[p.Key]
	if l == nil || l.phase != phaseQueued || len(p.Workers) != l.rec.Spec.taskCount() {
		o.unplace(now, p)
		return
	}
	if !o.placeable(p.Workers) {
		o.unplace(now, p)
		o.resume(now, l)
		return
	}
	l.number++
	l.phase = phaseActive
	tasks := make([]*attempt, len(p.Workers))
	for i, name := range p.Workers {
		w := o.workers[name]
		tasks[i] = &attempt{
			live: l, worker: w, incarnation: w.incarnation, reserved: true,
			id: api.TaskID{RequestKey: l.key, Attempt: attemptNumber(o.epoch, l.number), Index: i},
		}
		o.addAttempt(tasks[i])
	}
	o.budget.started()
	o.proposeClaim(now, tasks[0])
	if !l.rec.Spec.NonIdempotent {
		o.sendAll(tasks)
	}
}

// placeable reports whether all the workers may get new work.
func (o *owner) placeable(names []string) bool {
	for _, name := range names {
		if w := o.workers[name]; w == nil || !w.placeable {
			return false
		}
	}
	return true
}

// unplace returns the reservations of a placement that is not used.
func (o *owner) unplace(now time.Duration, p *placement.Placement) {
	for i := range p.Workers {
		o.sched.Release(now, p.Key, i)
	}
}

// sendAll dispatches the tasks of an attempt.
func (o *owner) sendAll(tasks []*attempt) {
	for _, a := range tasks {
		o.send(a)
	}
}

// proposeClaim proposes to record an attempt, of which a is the first task.
func (o *owner) proposeClaim(now time.Duration, a *attempt) {
	c := &claimCommand{Task: a.id, Worker: a.worker.name, Incarnation: a.incarnation}
	if a.live.rec.Spec.isGang() {
		c.Assignments = places(a.live.tasksOf(a.id.Attempt))
	}
	if len(a.live.rec.Attempts) == 0 {
		c.WaitedMillis = api.Millis(now - a.live.accepted)
	}
	o.propose(command{Claim: c})
}

// claimed continues after a claim is committed. The dispatch of a non-idempotent
// request is sent only now; it is withdrawn instead if it is no longer wanted or its
// worker no longer usable, which is certain evidence since nothing was sent.
func (o *owner) claimed(now time.Duration, c *claimCommand) {
	a := o.attempts[c.Task]
	if a == nil || a.state != attemptClaiming {
		return
	}
	r := a.live.rec.attempt(a.id.Attempt)
	tasks := a.live.tasksOf(a.id.Attempt)
	switch {
	case r == nil || r.End != attemptOpen:
		o.dropTasks(now, a)
		o.reconcile(now, a.live)
	case a.live.cancelWanted || slices.ContainsFunc(tasks, (*attempt).isUnusable):
		o.proposeEnd(now, a, attemptWithdrawn, "its worker became unavailable before the dispatch")
	default:
		o.sendAll(tasks)
	}
}

// isUnusable reports whether a claimed task must not be dispatched any more. Without a
// reservation the worker was lost and came back during the commit.
func (a *attempt) isUnusable() bool {
	return !a.worker.placeable || a.worker.incarnation != a.incarnation || !a.reserved
}

// send dispatches an attempt. The worker refuses it once the token's lease has passed.
func (o *owner) send(a *attempt) {
	w, r := a.worker, a.live.rec
	a.state = attemptUncertain
	a.expires = w.tokenAt + o.certainLease
	w.echoedAt = max(w.echoedAt, w.tokenAt)
	o.emit(SendDispatch{Worker: w.name, URL: w.ann.URL, Dispatch: api.Dispatch{
		Task: a.id, Partition: o.p.cfg.Name, Epoch: o.epoch, Token: w.token,
		Incarnation: a.incarnation, LeaseMillis: api.Millis(o.p.cfg.TaskLease),
		Kind: r.Spec.Kind, Resources: r.Spec.Resources, Body: r.Body,
	}})
}

// dispatchAnswered handles the answer to a dispatch. Without a clear answer of the same
// incarnation the attempt is revoked, which resolves it either way.
func (o *owner) dispatchAnswered(now time.Duration, e *DispatchAnswered) {
	if e.Response != nil && e.Response.StaleEpoch > o.epoch {
		o.disputed(e.Worker, e.Response.StaleEpoch)
		return
	}
	a := o.attempts[e.Task]
	if a == nil || a.worker.name != e.Worker || a.state == attemptClaiming {
		return
	}
	if !o.resolve(now, a, e.Response) {
		o.ask(now, a)
	}
}

// commandAnswered handles the answer to a revoke or a stop.
func (o *owner) commandAnswered(now time.Duration, e *CommandAnswered) {
	if e.Response != nil && e.Response.StaleEpoch > o.epoch {
		o.disputed(e.Worker, e.Response.StaleEpoch)
		return
	}
	a := o.attempts[e.Task]
	if a == nil || a.worker.name != e.Worker || a.state == attemptClaiming {
		return
	}
	if o.resolve(now, a, e.Response) && a.halting && e.Revoke {
		a.asking = false
		o.ask(now, a)
	}
}

// resolve takes what a worker answered about an attempt and reports whether it told
// that the attempt started or never will. Only the incarnation that was addressed can
// tell: a later one knows nothing of what the former process did.
func (o *owner) resolve(now time.Duration, a *attempt, r *api.DispatchResponse) bool {
	if r == nil || r.StaleEpoch != 0 || r.Incarnation != a.incarnation {
		return false
	}
	switch r.State {
	case api.DispatchStarted:
		o.confirm(now, a)
		return true
	case api.DispatchRefused:
		if !a.confirmed {
			o.sched.ReportOutcome(now, a.worker.name, a.live.rec.Spec.Kind, placement.OutcomeFailure, 0)
			o.proposeEnd(now, a, attemptRefused, "refused by the worker: "+r.Reason)
		}
		return true
	}
	return false
}
