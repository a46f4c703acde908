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
	attemptClaiming attemptState = iota
	// attemptUncertain: may have been dispatched; the worker has not confirmed a start.
	attemptUncertain
	// attemptRunning: the worker has confirmed the start.
	attemptRunning
	// attemptGone: recorded as lost; a late report may still tell what happened.
	attemptGone
)

// attempt is the owner's view of one attempt that has no confirmed end; of a gang's
// attempt it is one task.
type attempt struct {
	live        *liveRequest
	worker      *workerState
	incarnation string
	id          api.TaskID
	state       attemptState
	// expires is when no copy of the dispatch can start the task any more.
	expires time.Duration
	// confirmedAt is when the start became known; 0 if it has not.
	confirmedAt time.Duration
	confirmed   bool
	reserved    bool // in the scheduler's account
	// ending: its end has been proposed; reported: the worker waits for the
	// acknowledgement.
	ending   bool
	reported bool
	// halting: it should be revoked or stopped; asking: a repetition is scheduled.
	halting bool
	asking  bool
	// unclaimed: a gang's task that an older epoch dispatched without a durable claim.
	// The places of the other tasks are not known, so it is only stopped; nothing of it
	// is recorded.
	unclaimed bool
}

// addAttempt lists an attempt.
func (o *owner) addAttempt(a *attempt) {
	o.attempts[a.id] = a
	a.live.attempts = append(a.live.attempts, a)
	a.worker.attempts = append(a.worker.attempts, a)
}

// dropAttempt forgets an attempt.
func (o *owner) dropAttempt(now time.Duration, a *attempt) {
	o.release(now, a)
	a.state = attemptGone
	if o.attempts[a.id] != a {
		return
	}
	delete(o.attempts, a.id)
	same := func(b *attempt) bool { return a == b }
	a.live.attempts = slices.DeleteFunc(a.live.attempts, same)
	a.worker.attempts = slices.DeleteFunc(a.worker.attempts, same)
}

// release returns the reservation of an attempt.
func (o *owner) release(now time.Duration, a *attempt) {
	if a.reserved {
		a.reserved = false
		o.sched.Release(now, a.id.RequestKey, a.id.Index)
		o.decideDue = true
	}
}

// confirm notes that the worker has started an attempt.
func (o *owner) confirm(now time.Duration, a *attempt) {
	if a.state == attemptGone {
		a.confirmed = true // a later refusal or absence is no evidence any more
	}
	if a.state != attemptUncertain {
		return
	}
	a.state, a.confirmed, a.confirmedAt = attemptRunning, true, now
	o.reserve(now, a)
}

// reserve enters a running attempt into the account unless it is there already.
func (o *owner) reserve(now time.Duration, a *attempt) {
	w := a.worker
	if a.state != attemptRunning || a.reserved || a.ending || !w.known || a.incarnation != w.incarnation {
		return
	}
	a.reserved = true
	o.sched.Reserve(now, o.item(a.live), a.id.Index, w.name)
}

// proposeEnd proposes to record the end of an attempt. Its reservation is returned at
// once, since the end is certain.
func (o *owner) proposeEnd(now time.Duration, a *attempt, end attemptEnd, reason string) {
	o.proposeResult(now, a, &api.TaskEnd{Reason: reason}, end)
}

// proposeResult is proposeEnd with the worker's report.
func (o *owner) proposeResult(now time.Duration, a *attempt, e *api.TaskEnd, end attemptEnd) {
	if a.ending {
		return
	}
	if a.live.rec.State.IsFinal() {
		o.dropAttempt(now, a)
		o.settleLive(now, a.live)
		return
	}
	if a.unclaimed {
		o.dropUnclaimed(now, a)
		return
	}
	a.ending = true
	o.release(now, a)
	c := &endCommand{
		Task: a.id, Worker: a.worker.name, Incarnation: a.incarnation, End: end,
		Reason: e.Reason, MaxAttempts: o.p.cfg.MaxAttempts,
	}
	if end == attemptDone || end == attemptFailed {
		c.Answer, c.AnswerDigest = e.Answer, digestOf(e.Answer)
	}
	if a.live.rec.Spec.isGang() {
		o.prepareTaskEnd(now, a, c)
	}
	o.propose(command{End: c})
}

// endApplied continues after the end of an attempt is committed.
func (o *owner) endApplied(now time.Duration, c *endCommand) {
	l := o.live[c.Task.RequestKey]
	if a := o.attempts[c.Task]; a != nil {
		a.ending = false
		if a.reported {
			a.reported = false
			o.acknowledge(a.worker, a.id)
			a.worker.pendingEnds--
			o.resumeSync(now, a.worker)
		}
		switch {
		case c.End == attemptLost && !a.live.rec.State.IsFinal():
			a.state = attemptGone
		case c.End == attemptWithdrawn:
			o.dropTasks(now, a)
		default:
			o.dropAttempt(now, a)
		}
	}
	if l != nil {
		o.reconcile(now, l)
		o.settleLive(now, l)
	}
}

// lose records that an attempt cannot be running any more and has not been reported.
func (o *owner) lose(now time.Duration, a *attempt, reason string) {
	if a.ending || a.state == attemptGone || a.state == attemptClaiming {
		return
	}
	o.sched.ReportOutcome(now, a.worker.name, a.live.rec.Spec.Kind, placement.OutcomeLost, 0)
	o.proposeEnd(now, a, attemptLost, reason)
}

// halt makes the worker end an attempt, or refuse it if it has not started.
func (o *owner) halt(now time.Duration, a *attempt) {
	a.halting = true
	o.ask(now, a)
}

// ask sends a revoke for an uncertain attempt, or a stop for a running one that is to
// end, and repeats it until the attempt has ended.
func (o *owner) ask(now time.Duration, a *attempt) {
	if a.asking || !a.wantsCommand() {
		return
	}
	if w := a.worker; w.synced {
		c := api.TaskCommand{Task: a.id, Epoch: o.epoch}
		if a.state == attemptUncertain {
			o.emit(SendRevoke{Worker: w.name, URL: w.ann.URL, Command: c})
		} else {
			o.emit(SendStop{Worker: w.name, URL: w.ann.URL, Command: c})
		}
	}
	a.asking = true
	o.after(now+commandRetry, func(now time.Duration) {
		a.asking = false
		o.ask(now, a)
	})
}

// wantsCommand reports whether the worker still has to be told about an attempt.
func (a *attempt) wantsCommand() bool {
	return !a.ending && (a.state == attemptUncertain || a.state == attemptRunning && a.halting)
}
