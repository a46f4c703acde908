package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// attemptState is what the owner knows of an attempt.
type attemptState uint8

const (
	// attemptClaiming: not dispatched; its claim is being committed.
	stateClaiming attemptState = iota
	// attemptUncertain: may have been dispatched; the worker has not confirmed a start.
	stateUncertain
	// attemptRunning: the worker has confirmed the start.
	stateRunning
	// attemptGone: recorded as lost; a late report may still tell what happened.
	stateLost
)

// attempt is the owner's view of one attempt that has no confirmed end; of a gang's
// attempt it is one task.
type attempt struct {
	request     *liveRequest
	worker      *workerState
	incarnation string
	id          api.TaskID
	state       attemptState
	// expires is when no copy of the dispatch can start the task any more.
	dispatchExpiresAt time.Duration
	// confirmedAt is when the start became known; 0 if it has not.
	confirmedAt time.Duration
	confirmed   bool
	reserved    bool // in the scheduler's account
	// ending: its end has been proposed; reported: the worker waits for the
	// acknowledgement.
	endProposed bool
	awaitsAck   bool
	// halting: it should be revoked or stopped; asking: a repetition is scheduled.
	stopRequested    bool
	commandScheduled bool
	// unclaimed: a gang's task that an older epoch dispatched without a durable claim.
	// The places of the other tasks are not known, so it is only stopped; nothing of it
	// is recorded.
	unclaimed bool
}

// addAttempt lists an attempt.
func (o *owner) addAttempt(a *attempt) {
	o.attempts[a.id] = a
	a.request.attempts = append(a.request.attempts, a)
	a.worker.attempts = append(a.worker.attempts, a)
}

// dropAttempt forgets an attempt.
func (o *owner) removeAttempt(now time.Duration, a *attempt) {
	o.release(now, a)
	a.state = stateLost
	if o.attempts[a.id] != a {
		return
	}
	delete(o.attempts, a.id)
	same := func(b *attempt) bool { return a == b }
	a.request.attempts = slices.DeleteFunc(a.request.attempts, same)
	a.worker.attempts = slices.DeleteFunc(a.worker.attempts, same)
}

// release returns the reservation of an attempt.
func (o *owner) release(now time.Duration, a *attempt) {
	if a.reserved {
		a.reserved = false
		o.sched.Release(now, a.id.RequestKey, a.id.Index)
		o.decisionDue = true
	}
}

// confirm notes that the worker has started an attempt.
func (o *owner) confirmStart(now time.Duration, a *attempt) {
	if a.state == stateLost {
		a.confirmed = true // a later refusal or absence is no evidence any more
	}
	if a.state != stateUncertain {
		return
	}
	a.state, a.confirmed, a.confirmedAt = stateRunning, true, now
	o.reserveRunning(now, a)
}

// reserve enters a running attempt into the account unless it is there already.
func (o *owner) reserveRunning(now time.Duration, a *attempt) {
	w := a.worker
	if a.state != stateRunning || a.reserved || a.endProposed || !w.inScheduler || a.incarnation != w.incarnation {
		return
	}
	a.reserved = true
	o.sched.Reserve(now, o.item(a.request), a.id.Index, w.name)
}

// proposeEnd proposes to record the end of an attempt. Its reservation is returned at
// once, since the end is certain.
func (o *owner) proposeEnd(now time.Duration, a *attempt, end attemptEnd, reason string) {
	o.proposeResult(now, a, &api.TaskEnd{Reason: reason}, end)
}

// proposeResult is proposeEnd with the worker's report.
func (o *owner) proposeResult(now time.Duration, a *attempt, e *api.TaskEnd, end attemptEnd) {
	if a.endProposed {
		return
	}
	if a.request.rec.State.IsFinal() {
		o.removeAttempt(now, a)
		o.removeIfFinished(now, a.request)
		return
	}
	if a.unclaimed {
		o.removeUnclaimed(now, a)
		return
	}
	a.endProposed = true
	o.release(now, a)
	c := &endCommand{
		Task: a.id, Worker: a.worker.name, Incarnation: a.incarnation, End: end,
		Reason: e.Reason, MaxAttempts: o.p.cfg.MaxAttempts,
	}
	if end == attemptDone || end == attemptFailed {
		c.Answer, c.AnswerDigest = e.Answer, answerDigest(e.Answer)
	}
	if a.request.rec.Spec.isGang() {
		o.prepareTaskEnd(now, a, c)
	}
	o.propose(command{End: c})
}

// endApplied continues after the end of an attempt is committed.
func (o *owner) handleEndApplied(now time.Duration, c *endCommand) {
	l := o.requests[c.Task.RequestKey]
	if a := o.attempts[c.Task]; a != nil {
		a.endProposed = false
		if a.awaitsAck {
			a.awaitsAck = false
			o.acknowledge(a.worker, a.id)
			a.worker.uncommittedEnds--
			o.resumeSync(now, a.worker)
		}
		switch {
		case c.End == attemptLost && !a.request.rec.State.IsFinal():
			a.state = stateLost
		case c.End == attemptWithdrawn:
			o.removeTasks(now, a)
		default:
			o.removeAttempt(now, a)
		}
	}
	if l != nil {
		o.reconcile(now, l)
		o.removeIfFinished(now, l)
	}
}

// lose records that an attempt cannot be running any more and has not been reported.
func (o *owner) markLost(now time.Duration, a *attempt, reason string) {
	if a.endProposed || a.state == stateLost || a.state == stateClaiming {
		return
	}
	o.sched.ReportOutcome(now, a.worker.name, a.request.rec.Spec.Kind, placement.OutcomeLost, 0)
	o.proposeEnd(now, a, attemptLost, reason)
}

// halt makes the worker end an attempt, or refuse it if it has not started.
func (o *owner) requestStop(now time.Duration, a *attempt) {
	a.stopRequested = true
	o.sendRevokeOrStop(now, a)
}

// ask sends a revoke for an uncertain attempt, or a stop for a running one that is to
// end, and repeats it until the attempt has ended.
func (o *owner) sendRevokeOrStop(now time.Duration, a *attempt) {
	if a.commandScheduled || !a.needsCommand() {
		return
	}
	if w := a.worker; w.synced {
		c := api.TaskCommand{Task: a.id, Epoch: o.epoch}
		if a.state == stateUncertain {
			o.emit(SendRevoke{Worker: w.name, URL: w.announcement.URL, Command: c})
		} else {
			o.emit(SendStop{Worker: w.name, URL: w.announcement.URL, Command: c})
		}
	}
	a.commandScheduled = true
	o.after(now+commandRetryInterval, func(now time.Duration) {
		a.commandScheduled = false
		o.sendRevokeOrStop(now, a)
	})
}

// wantsCommand reports whether the worker still has to be told about an attempt.
func (a *attempt) needsCommand() bool {
	return !a.endProposed && (a.state == stateUncertain || a.state == stateRunning && a.stopRequested)
}
