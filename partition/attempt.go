package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// attemptState is what the owner knows about an attempt.
type attemptState uint8

const (
	// stateClaiming means that the claim is being committed and nothing has been dispatched.
	stateClaiming attemptState = iota
	// stateUncertain means that the attempt may have been dispatched and the worker has not
	// confirmed the start.
	stateUncertain
	// stateRunning means that the worker has confirmed the start.
	stateRunning
	// stateLost means that the attempt is recorded as lost. A late report of the worker may
	// still resolve it.
	stateLost
)

// attempt is the owner's view of one attempt without a confirmed end. An attempt of a gang
// has one of these for each task.
type attempt struct {
	request     *liveRequest
	worker      *workerState
	incarnation string
	id          api.TaskID
	state       attemptState
	// dispatchExpiresAt is the time from which no copy of the dispatch can start the task.
	dispatchExpiresAt time.Duration
	// confirmed is set if a report of the worker proves the start, and confirmedAt is when the
	// owner learned of it. confirmedAt stays 0 if the attempt was already lost.
	confirmedAt time.Duration
	confirmed   bool
	allocated   bool // resources are allocated in the scheduler
	// endProposed is set while the end of the attempt is being committed. awaitsAck is set
	// while the worker that reported the end waits for the acknowledgement.
	endProposed bool
	awaitsAck   bool
	// stopRequested is set when the attempt must be revoked or stopped. commandScheduled is
	// set while a repetition of that command is scheduled.
	stopRequested    bool
	commandScheduled bool
	// unclaimed marks a task of a gang that an older epoch dispatched without a durable
	// claim. The workers of the other tasks are not known, so the task is only stopped and
	// nothing about it is recorded.
	unclaimed bool
}

// addAttempt adds an attempt to the lists of the owner, the request and the worker.
func (o *owner) addAttempt(a *attempt) {
	o.attempts[a.id] = a
	a.request.attempts = append(a.request.attempts, a)
	a.worker.attempts = append(a.worker.attempts, a)
}

// removeAttempt releases an attempt and removes it from all lists.
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

// release releases the allocation of an attempt, if it has one.
func (o *owner) release(now time.Duration, a *attempt) {
	if a.allocated {
		a.allocated = false
		o.sched.Release(now, a.id.RequestKey, a.id.Index)
		o.decisionDue = true
	}
}

// confirmStart records that the worker has started an attempt.
func (o *owner) confirmStart(now time.Duration, a *attempt) {
	if a.state == stateLost {
		a.confirmed = true // a later refusal or a missing entry in a report proves nothing
	}
	if a.state != stateUncertain {
		return
	}
	a.state, a.confirmed, a.confirmedAt = stateRunning, true, now
	o.allocateRunning(now, a)
}

// allocateRunning allocates the resources of a running attempt in the scheduler, unless they
// are allocated already.
func (o *owner) allocateRunning(now time.Duration, a *attempt) {
	w := a.worker
	if a.state != stateRunning || a.allocated || a.endProposed || !w.inScheduler || a.incarnation != w.incarnation {
		return
	}
	a.allocated = true
	o.sched.Allocate(now, o.item(a.request), a.id.Index, w.name)
}

// proposeEnd proposes a record of the end of an attempt. It releases the allocation
// immediately, since the attempt has certainly ended.
func (o *owner) proposeEnd(now time.Duration, a *attempt, end attemptEnd, reason string) {
	o.proposeResult(now, a, &api.TaskEnd{Reason: reason}, end)
}

// proposeResult is like proposeEnd, with the answer and the reason of the worker's report.
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

// handleEndApplied continues after the end of an attempt is committed.
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

// markLost proposes to record an attempt as lost: it can no longer be running, and no worker
// has reported its end.
func (o *owner) markLost(now time.Duration, a *attempt, reason string) {
	if a.endProposed || a.state == stateLost || a.state == stateClaiming {
		return
	}
	o.sched.ReportOutcome(now, a.worker.name, a.request.rec.Spec.Kind, placement.OutcomeLost, 0)
	o.proposeEnd(now, a, attemptLost, reason)
}

// requestStop makes the worker stop an attempt, or refuse it if it has not started.
func (o *owner) requestStop(now time.Duration, a *attempt) {
	a.stopRequested = true
	o.sendRevokeOrStop(now, a)
}

// sendRevokeOrStop sends a revoke for an uncertain attempt, or a stop for a running one that
// must end. It repeats the command every commandRetryInterval until it is no longer needed.
func (o *owner) sendRevokeOrStop(now time.Duration, a *attempt) {
	if a.commandScheduled || !a.needsCommand() {
		return
	}
	if w := a.worker; w.synced {
		c := o.taskCommand(a.id, a.incarnation)
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

// taskCommand returns the body of a revoke or a stop for the incarnation that has the task.
func (o *owner) taskCommand(id api.TaskID, incarnation string) api.TaskCommand {
	return api.TaskCommand{Task: id, Partition: o.p.cfg.Name, Epoch: o.epoch, Incarnation: incarnation}
}

// needsCommand reports whether the attempt still has to be revoked or stopped.
func (a *attempt) needsCommand() bool {
	return !a.endProposed && (a.state == stateUncertain || a.state == stateRunning && a.stopRequested)
}
