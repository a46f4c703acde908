package standin

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// dispatchUnknown is the state for an attempt about which the worker can say nothing.
const dispatchUnknown = "unknown_task"

func (inc *incarnation) response(state, reason string) api.DispatchResponse {
	return api.DispatchResponse{State: state, Reason: reason, Incarnation: inc.id, Token: inc.token()}
}

// known answers for an attempt that the worker knows. It comes before all other
// checks, since a task that has started must never be called refused.
func (t *task) known(inc *incarnation) api.DispatchResponse {
	if t.state == taskRefused {
		return inc.response(api.DispatchRefused, t.end.Reason)
	}
	return inc.response(api.DispatchStarted, string(t.end.Kind))
}

// dispatch starts a task or refuses it.
func (inc *incarnation) dispatch(d api.DispatchRequest) (api.DispatchResponse, error) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.hasEnded() {
		return api.DispatchResponse{}, errEnded
	}
	if t := inc.tasks[d.Task]; t != nil {
		return t.known(inc), nil
	}
	if d.Incarnation != inc.id && !inc.hasReplayed {
		// A former incarnation may have started it, so "refused" could be false.
		return inc.response(dispatchUnknown, "other incarnation"), nil
	}
	stale := inc.seeEpoch(d.Partition, d.Epoch)
	if reason := inc.refusal(d, stale); reason != "" {
		inc.refuse(d.Task, d.Epoch, reason, true)
		r := inc.response(api.DispatchRefused, reason)
		r.StaleEpoch = stale
		return r, nil
	}
	if err := inc.startTask(d); err != nil {
		inc.refuse(d.Task, d.Epoch, "journal", true)
		return inc.response(api.DispatchRefused, "journal"), nil
	}
	return inc.response(api.DispatchStarted, ""), nil
}

// refusal returns why a dispatch must be refused, or "".
func (inc *incarnation) refusal(d api.DispatchRequest, stale uint64) string {
	now := inc.token()
	switch {
	case d.Incarnation != inc.id:
		return "other incarnation"
	case stale > 0:
		return "stale epoch"
	case d.Token < 1 || d.Token > now || now >= d.Token+d.LeaseMillis:
		return "expired"
	case inc.leaving:
		return "leaving"
	case inc.faults.get().Refuse:
		return "fault"
	case !inc.takeOwner(d.Partition):
		return "owned by partition " + inc.owner
	}
	return ""
}

// startTask journals and starts a task; mu must be held.
func (inc *incarnation) startTask(d api.DispatchRequest) error {
	inc.inUse = inc.inUse.Add(d.Resources)
	inc.running++
	if err := inc.record(Event{Kind: EventStart, Epoch: d.Epoch}, d.Task); err != nil {
		inc.inUse = inc.inUse.Sub(d.Resources)
		inc.running--
		return err
	}
	// The owner counts a dispatch like a lease: both may run until token + lease.
	inc.extendLease(d.Token, d.LeaseMillis)
	t := &task{dispatch: d, program: parseProgram(d.Body), started: time.Now()}
	inc.tasks[d.Task] = t
	run := t.program.runTime(inc.cfg.DefaultRunTime) + time.Duration(inc.faults.get().SlowMillis)*time.Millisecond
	t.timer = time.AfterFunc(run, func() { inc.finish(d.Task) })
	return nil
}

// finish ends a task that has run for its time.
func (inc *incarnation) finish(id api.TaskID) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	t := inc.tasks[id]
	if inc.hasEnded() || t == nil || t.state != taskRunning {
		return
	}
	if inc.token() >= inc.leaseEnd {
		inc.stopTask(id, t, reasonLeaseEnd)
		return
	}
	end := api.TaskEnd{Kind: api.EndDone, Answer: t.program.taskAnswer(t.dispatch.Body, id.Index)}
	if t.program.Fail || inc.faults.get().FailAll {
		end = api.TaskEnd{Kind: api.EndFailed, Reason: "task failed"}
	}
	inc.closeTask(id, t, end, Event{Kind: EventEnd, Reason: string(end.Kind), Epoch: t.dispatch.Epoch})
}

// refuse remembers that an attempt will never start. If report is true, each sync says
// so until it is acknowledged, since the answer may get lost. mu must be held.
func (inc *incarnation) refuse(id api.TaskID, epoch uint64, reason string, report bool) {
	end := api.TaskEnd{Task: id, Kind: api.EndRefused, Reason: reason}
	setAnswer(&end, nil)
	inc.tasks[id] = &task{state: taskRefused, end: end, reported: report, closedAt: time.Now()}
	inc.record(Event{Kind: EventRefuse, Reason: reason, Epoch: epoch}, id)
	if report {
		inc.notify()
	}
}
