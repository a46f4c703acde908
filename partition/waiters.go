package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// waiter is a call that waits for a reply.
type waiter struct {
	id WaiterID
	// deadline is when the call is answered with the current state.
	deadline time.Duration
	answered bool
}

// reply answers a call immediately.
func (o *owner) reply(id WaiterID, status *api.RequestStatus, err *api.Error) {
	o.emit(Reply{Waiter: id, Status: status, Err: err})
}

// addWaiter makes a call wait for the outcome of a request, until deadline at the
// latest. If an accept or cancel is being committed, the call waits for it for up to
// minCommitWait, even if deadline is earlier.
func (o *owner) addWaiter(now time.Duration, l *liveRequest, id WaiterID, deadline time.Duration) {
	if len(o.waiters) >= maxWaiters || o.waiters[id] != nil {
		if l.rec != nil {
			o.reply(id, o.status(l.rec), nil)
		} else {
			o.reply(id, nil, api.Errorf(api.CodeUnknownResult, "too many calls are waiting; ask by key"))
		}
		return
	}
	w := &waiter{id: id, deadline: min(deadline, now+maxCallWait)}
	if now >= w.deadline && !o.awaitsCommit(l) {
		o.reply(id, o.status(l.rec), nil)
		return
	}
	o.waiters[id] = w
	l.waiters = append(l.waiters, w)
	if !o.awaitsCommit(l) {
		o.after(w.deadline, func(time.Duration) { o.answerWaiter(l, w) })
		return
	}
	commitDeadline := max(w.deadline, now+minCommitWait)
	o.after(w.deadline, func(now time.Duration) {
		if now >= commitDeadline || !o.awaitsCommit(l) {
			o.answerWaiter(l, w)
		}
	})
	o.after(commitDeadline, func(time.Duration) { o.answerWaiter(l, w) })
}

// awaitsCommit reports whether calls for a request can be answered only after a commit.
func (o *owner) awaitsCommit(l *liveRequest) bool {
	return l.rec == nil || l.phase == phaseClosing || l.cancelRequested && !l.rec.Cancelled
}

// answerWaiter answers a call with the current state of the request.
func (o *owner) answerWaiter(l *liveRequest, w *waiter) {
	if w.answered {
		return
	}
	if l.rec == nil {
		o.reply(w.id, nil, api.Errorf(api.CodeUnknownResult, "the accept is not durable yet; ask by key"))
	} else {
		o.reply(w.id, o.status(l.rec), nil)
	}
	o.markAnswered(w)
	l.answeredWaiters++
	if l.answeredWaiters > len(l.waiters)/2 {
		l.compactWaiters()
	}
}

// markAnswered marks a call as answered and removes it from the owner's waiters.
func (o *owner) markAnswered(w *waiter) {
	w.answered = true
	delete(o.waiters, w.id)
}

// compactWaiters removes answered calls from the request's list.
func (l *liveRequest) compactWaiters() {
	kept := l.waiters[:0]
	for _, w := range l.waiters {
		if !w.answered {
			kept = append(kept, w)
		}
	}
	clear(l.waiters[len(kept):])
	l.waiters, l.answeredWaiters = kept, 0
}

// answerWaiters answers all calls that wait for a request.
func (o *owner) answerWaiters(l *liveRequest) {
	for _, w := range l.waiters {
		if !w.answered {
			o.reply(w.id, o.status(l.rec), nil)
			o.markAnswered(w)
		}
	}
	l.waiters, l.answeredWaiters = nil, 0
}

// answerDueWaiters answers the calls whose waiting time ended while they waited for a commit.
func (o *owner) answerDueWaiters(now time.Duration, l *liveRequest) {
	if o.awaitsCommit(l) {
		return
	}
	for _, w := range append([]*waiter(nil), l.waiters...) {
		if now >= w.deadline {
			o.answerWaiter(l, w)
		}
	}
}

// answerAll answers all waiting calls with an error, in order of their IDs.
func (o *owner) answerAll(err *api.Error) {
	ids := make([]WaiterID, 0, len(o.waiters))
	for id := range o.waiters {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		o.reply(id, nil, err)
	}
	clear(o.waiters)
}

// forgetWaiter drops a call whose caller no longer waits.
func (o *owner) forgetWaiter(id WaiterID) {
	if w := o.waiters[id]; w != nil {
		o.markAnswered(w)
	}
}

// query answers with the state of a request, or makes the call wait for its outcome.
func (o *owner) query(now time.Duration, e *Query) {
	if l := o.requests[e.Key]; l != nil && l.phase != phaseOutcome {
		o.addWaiter(now, l, e.Waiter, e.WaitUntil)
		return
	}
	if r := o.p.records[e.Key]; r != nil {
		o.reply(e.Waiter, o.status(r), nil)
		return
	}
	o.reply(e.Waiter, nil, notFoundError(e.Key))
}

// notFoundError returns the error for a key without a record.
func notFoundError(key api.RequestKey) *api.Error {
	return api.Errorf(api.CodeNotFound, "no request with key %q of caller %q", key.Key, key.Caller)
}
