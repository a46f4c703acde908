package partition

import "time"

// cancel handles a caller's cancel of a request.
func (o *owner) cancel(now time.Duration, e *Cancel) {
	l := o.requests[e.Key]
	if l == nil || l.phase == phaseOutcome {
		o.query(now, &Query{Waiter: e.Waiter, WaitUntil: e.WaitUntil, Key: e.Key})
		return
	}
	if !l.cancelRequested {
		l.cancelRequested = true
		o.startCancel(now, l)
	}
	o.addWaiter(now, l, e.Waiter, e.WaitUntil)
}

// startCancel proposes the cancel command that fits the phase of the request.
func (o *owner) startCancel(now time.Duration, l *liveRequest) {
	switch l.phase {
	case phaseAccepting, phaseClosing:
		// handleAcceptApplied continues with the cancel, or the commit in flight ends the
		// request.
	case phaseQueued:
		o.sched.Cancel(l.key)
		o.closeIdle(l, false)
	case phaseBackoff:
		if l.inherited && !l.rec.Spec.NonIdempotent && now < o.inheritedLeaseEnd {
			// The request may still turn out to be running. The backoff timer closes it if
			// it does not.
			o.propose(command{Cancel: &cancelCommand{Key: l.key}})
			return
		}
		o.closeIdle(l, false)
	case phaseAwaitingLeaseEnd, phaseActive:
		o.propose(command{Cancel: &cancelCommand{Key: l.key}})
	}
}

// closeIdle proposes the end of a request that is not queued and has no attempt.
func (o *owner) closeIdle(l *liveRequest, expired bool) {
	l.phase = phaseClosing
	o.propose(command{Cancel: &cancelCommand{Key: l.key, Idle: true, Expired: expired}})
}

// handleCancelApplied continues after a cancel is committed.
func (o *owner) handleCancelApplied(now time.Duration, c *cancelCommand) {
	l := o.requests[c.Key]
	if l == nil || l.rec == nil {
		return
	}
	o.reconcile(now, l)
	if l.rec.State.IsOutcome() {
		return
	}
	l.cancelRequested = true
	for _, a := range append([]*attempt(nil), l.attempts...) {
		o.requestStop(now, a)
	}
	o.answerDueWaiters(now, l)
}
