package partition

import "time"

// cancel ends a request on a caller's behalf.
func (o *owner) cancel(now time.Duration, e *Cancel) {
	l := o.live[e.Key]
	if l == nil || l.phase == phaseOutcome {
		o.query(now, &Query{Waiter: e.Waiter, WaitUntil: e.WaitUntil, Key: e.Key})
		return
	}
	if !l.cancelWanted {
		l.cancelWanted = true
		o.beginCancel(now, l)
	}
	o.join(now, l, e.Waiter, e.WaitUntil)
}

// beginCancel proposes what the phase of the request allows.
func (o *owner) beginCancel(now time.Duration, l *liveRequest) {
	switch l.phase {
	case phaseAccepting, phaseClosing:
		// The commit in progress continues with the cancel, or ends the request.
	case phaseQueued:
		o.sched.Cancel(l.key)
		o.close(l, false)
	case phaseBackoff:
		if l.inherited && !l.rec.Spec.NonIdempotent && now < o.doubtUntil {
			// It may still turn out to be running; its timer closes it.
			o.propose(command{Cancel: &cancelCommand{Key: l.key}})
			return
		}
		o.close(l, false)
	case phaseDoubt, phaseActive:
		o.propose(command{Cancel: &cancelCommand{Key: l.key}})
	}
}

// close proposes the end of a request that is in no queue and has no attempt.
func (o *owner) close(l *liveRequest, expired bool) {
	l.phase = phaseClosing
	o.propose(command{Cancel: &cancelCommand{Key: l.key, Idle: true, Expired: expired}})
}

// cancelApplied continues after a cancel is committed.
func (o *owner) cancelApplied(now time.Duration, c *cancelCommand) {
	l := o.live[c.Key]
	if l == nil || l.rec == nil {
		return
	}
	o.reconcile(now, l)
	if l.rec.State.IsOutcome() {
		return
	}
	l.cancelWanted = true
	for _, a := range append([]*attempt(nil), l.attempts...) {
		o.halt(now, a)
	}
	o.answerDue(now, l)
}
