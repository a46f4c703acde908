package standin

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// dispatchUnknown is the response state for an attempt that the worker knows nothing about.
const dispatchUnknown = "unknown_task"

func (inc *incarnation) response(state, reason string) api.DispatchResponse {
	return api.DispatchResponse{State: state, Reason: reason, Incarnation: inc.id, Token: inc.token()}
}

// knownResponse returns the response for an attempt that the worker knows. Callers check
// for a known attempt before anything else, because a task that has started must never
// be reported as refused.
func (t *task) knownResponse(inc *incarnation) api.DispatchResponse {
	if t.state == taskRefused {
		return inc.response(api.DispatchRefused, t.end.Reason)
	}
	return inc.response(api.DispatchStarted, string(t.end.Kind))
}

// dispatch starts or refuses a task.
func (inc *incarnation) dispatch(d api.DispatchRequest) (api.DispatchResponse, error) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.hasEnded() {
		return api.DispatchResponse{}, errEnded
	}
	if t := inc.tasks[d.Task]; t != nil {
		return t.knownResponse(inc), nil
	}
	if d.Incarnation != inc.id && !inc.hasReplayed {
		// An earlier incarnation may have started the task, so "refused" could be wrong.
		return inc.response(dispatchUnknown, "other incarnation"), nil
	}
	stale := inc.observeEpoch(d.Partition, d.Epoch)
	if reason := inc.refusalReason(d, stale); reason != "" {
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

// refusalReason returns the reason why a dispatch must be refused, or "" if it may start.
func (inc *incarnation) refusalReason(d api.DispatchRequest, stale uint64) string {
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
	case !inc.acquireOwnership(d.Partition):
		return "owned by partition " + inc.owner
	}
	return ""
}

// startTask journals and starts a task. The caller must hold mu.
func (inc *incarnation) startTask(d api.DispatchRequest) error {
	inc.inUse = inc.inUse.Add(d.Resources)
	inc.running++
	if err := inc.record(Event{Kind: EventStart, Epoch: d.Epoch}, d.Task); err != nil {
		inc.inUse = inc.inUse.Sub(d.Resources)
		inc.running--
		return err
	}
	// The owner treats a dispatch as a lease: the task may run until token + lease.
	inc.extendLease(d.Token, d.LeaseMillis)
	t := &task{dispatch: d, program: parseProgram(d.Body), started: time.Now()}
	inc.tasks[d.Task] = t
	run := t.program.runTime(inc.cfg.DefaultRunTime) + time.Duration(inc.faults.get().SlowMillis)*time.Millisecond
	t.timer = time.AfterFunc(run, func() { inc.finishTask(d.Task) })
	return nil
}

// finishTask ends a task whose run time has elapsed.
func (inc *incarnation) finishTask(id api.TaskID) {
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
	inc.endTask(id, t, end, Event{Kind: EventEnd, Reason: string(end.Kind), Epoch: t.dispatch.Epoch})
}

// refuse records that an attempt will never start. If report is true, each sync response
// lists the refusal until it is acknowledged, because the response to the dispatch may
// be lost. The caller must hold mu.
func (inc *incarnation) refuse(id api.TaskID, epoch uint64, reason string, report bool) {
	end := api.TaskEnd{Task: id, Kind: api.EndRefused, Reason: reason}
	setAnswer(&end, nil)
	inc.tasks[id] = &task{state: taskRefused, end: end, awaitsAck: report, endedAt: time.Now()}
	inc.record(Event{Kind: EventRefuse, Reason: reason, Epoch: epoch}, id)
	if report {
		inc.notify()
	}
}
