package standin

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// dispatchUnknown is the state for an attempt about which the worker can say nothing.
const dispatchUnknown = "unknown_task"

func (l *life) response(state, reason string) api.DispatchResponse {
	return api.DispatchResponse{State: state, Reason: reason, Incarnation: l.incarnation, Token: l.token()}
}

// known answers for an attempt that the worker knows. It comes before all other
// checks, since a task that has started must never be called refused.
func (t *task) known(l *life) api.DispatchResponse {
	if t.state == taskRefused {
		return l.response(api.DispatchRefused, t.end.Reason)
	}
	return l.response(api.DispatchStarted, string(t.end.Kind))
}

// dispatch starts a task or refuses it.
func (l *life) dispatch(d api.Dispatch) (api.DispatchResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDead() {
		return api.DispatchResponse{}, errDead
	}
	if t := l.tasks[d.Task]; t != nil {
		return t.known(l), nil
	}
	if d.Incarnation != l.incarnation && !l.recalls {
		// A former incarnation may have started it, so "refused" could be false.
		return l.response(dispatchUnknown, "other incarnation"), nil
	}
	stale := l.seeEpoch(d.Partition, d.Epoch)
	if reason := l.refusal(d, stale); reason != "" {
		l.refuse(d.Task, d.Epoch, reason, true)
		r := l.response(api.DispatchRefused, reason)
		r.StaleEpoch = stale
		return r, nil
	}
	if err := l.startTask(d); err != nil {
		l.refuse(d.Task, d.Epoch, "journal", true)
		return l.response(api.DispatchRefused, "journal"), nil
	}
	return l.response(api.DispatchStarted, ""), nil
}

// refusal returns why a dispatch must be refused, or "".
func (l *life) refusal(d api.Dispatch, stale uint64) string {
	now := l.token()
	switch {
	case d.Incarnation != l.incarnation:
		return "other incarnation"
	case stale > 0:
		return "stale epoch"
	case d.Token < 1 || d.Token > now || now >= d.Token+d.LeaseMillis:
		return "expired"
	case l.leaving:
		return "leaving"
	case l.faults.get().Refuse:
		return "fault"
	case !l.takeOwner(d.Partition):
		return "owned by partition " + l.owner
	}
	return ""
}

// startTask journals and starts a task; mu must be held.
func (l *life) startTask(d api.Dispatch) error {
	l.inUse = l.inUse.Add(d.Resources)
	l.running++
	if err := l.record(Event{Kind: EventStart, Epoch: d.Epoch}, d.Task); err != nil {
		l.inUse = l.inUse.Sub(d.Resources)
		l.running--
		return err
	}
	// The owner counts a dispatch like a lease: both may run until token + lease.
	l.extendLease(d.Token, d.LeaseMillis)
	t := &task{dispatch: d, program: parseProgram(d.Body), started: time.Now()}
	l.tasks[d.Task] = t
	run := t.program.runTime(l.cfg.DefaultRun) + time.Duration(l.faults.get().SlowMillis)*time.Millisecond
	t.timer = time.AfterFunc(run, func() { l.finish(d.Task) })
	return nil
}

// finish ends a task that has run for its time.
func (l *life) finish(id api.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.tasks[id]
	if l.isDead() || t == nil || t.state != taskRunning {
		return
	}
	if l.token() >= l.leaseEnd {
		l.stopTask(id, t, reasonLeaseEnd)
		return
	}
	end := api.TaskEnd{Kind: api.EndDone, Answer: t.program.answer(t.dispatch.Body)}
	if t.program.Fail || l.faults.get().FailAll {
		end = api.TaskEnd{Kind: api.EndFailed, Reason: "task failed"}
	}
	l.closeTask(id, t, end, Event{Kind: EventEnd, Reason: string(end.Kind), Epoch: t.dispatch.Epoch})
}

// refuse remembers that an attempt will never start. If report is true, each sync says
// so until it is acknowledged, since the answer may get lost. mu must be held.
func (l *life) refuse(id api.TaskID, epoch uint64, reason string, report bool) {
	end := api.TaskEnd{Task: id, Kind: api.EndRefused, Reason: reason}
	setAnswer(&end, nil)
	l.tasks[id] = &task{state: taskRefused, end: end, reported: report, closedAt: time.Now()}
	l.record(Event{Kind: EventRefuse, Reason: reason, Epoch: epoch}, id)
	if report {
		l.notify()
	}
}
