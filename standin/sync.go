package standin

import (
	"sort"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxSyncWait limits how long a sync waits when there is nothing to report.
const maxSyncWait = 500 * time.Millisecond

// sync extends the lease, applies the acknowledgements, and returns immediately if there
// is something to report. Otherwise it waits for a change for as long as the request
// allows, up to maxSyncWait.
func (inc *incarnation) sync(r api.SyncRequest) (api.SyncResponse, error) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.hasEnded() {
		return api.SyncResponse{}, errEnded
	}
	stale := inc.observeEpoch(r.Partition, r.Epoch)
	if stale > 0 {
		return inc.emptySyncResponse(stale), nil
	}
	if !inc.acquireOwnership(r.Partition) {
		return api.SyncResponse{}, api.Errorf(api.CodeUnavailable, "worker is leased to partition %s", inc.owner)
	}
	inc.applySyncRequest(r)
	timer := time.NewTimer(min(time.Duration(max(r.WaitMillis, 0))*time.Millisecond, inc.cfg.maxSyncWait))
	defer timer.Stop()
	for {
		if seen := inc.epochs[r.Partition]; r.Epoch < seen {
			return inc.emptySyncResponse(seen), nil
		}
		if inc.hasUpdates(r) || !inc.awaitChange(timer.C) {
			break
		}
	}
	if inc.hasEnded() {
		return api.SyncResponse{}, errEnded
	}
	return inc.fullSyncResponse(), nil
}

// awaitChange releases mu while it waits for a change. It returns false if the timer fired
// or the incarnation ended first.
func (inc *incarnation) awaitChange(timer <-chan time.Time) bool {
	changed := inc.changed
	inc.mu.Unlock()
	defer inc.mu.Lock()
	select {
	case <-changed:
		return true
	case <-timer:
	case <-inc.ended:
	}
	return false
}

// applySyncRequest extends the lease and removes the answers of acknowledged tasks. The
// caller must hold mu.
func (inc *incarnation) applySyncRequest(r api.SyncRequest) {
	inc.lastSyncToken = inc.token()
	if r.EchoIncarnation == inc.id {
		inc.extendLease(r.EchoToken, r.LeaseMillis)
	}
	for _, id := range r.Acknowledged {
		t := inc.tasks[id]
		if t == nil || !t.awaitsAck {
			continue
		}
		t.awaitsAck, t.end.Answer, t.dispatch.Body = false, nil, nil
		t.endedAt = time.Now()
		inc.record(Event{Kind: EventAck}, id)
	}
	inc.notify() // Leave waits for acknowledgements
}

// hasUpdates reports whether the owner lacks the token of this incarnation, an end or the
// leaving flag. It cannot have received an end or the flag if its echoed token is older
// than the response that contained it. The caller must hold mu.
func (inc *incarnation) hasUpdates(r api.SyncRequest) bool {
	if r.EchoIncarnation != inc.id || r.EchoToken == 0 {
		return true
	}
	if inc.leaving && (inc.leavingSentToken == 0 || r.EchoToken < inc.leavingSentToken || inc.isIdle()) {
		return true
	}
	for _, t := range inc.tasks {
		if t.awaitsAck && (t.sentToken == 0 || r.EchoToken < t.sentToken) {
			return true
		}
	}
	return false
}

// emptySyncResponse returns a response without tasks. staleEpoch is the higher epoch that
// was observed, or 0 if the epoch of the request is current.
func (inc *incarnation) emptySyncResponse(staleEpoch uint64) api.SyncResponse {
	return api.SyncResponse{Worker: inc.cfg.Worker, Incarnation: inc.id, Token: inc.token(), StaleEpoch: staleEpoch}
}

// fullSyncResponse returns a response with all running tasks and all ends that are not
// acknowledged. The lists are always complete, because the owner treats an attempt that
// is missing from them as never run. The caller must hold mu.
func (inc *incarnation) fullSyncResponse() api.SyncResponse {
	r := inc.emptySyncResponse(0)
	r.Leaving = inc.leaving
	if inc.leaving {
		inc.leavingSentToken = r.Token
	}
	for id, t := range inc.tasks {
		switch {
		case t.state == taskRunning:
			r.Running = append(r.Running, id)
			if time.Since(t.started) >= inc.cfg.UsageDelay {
				r.Usage = append(r.Usage, api.TaskUsage{Task: id, Used: t.usage()})
			}
		case t.awaitsAck:
			t.sentToken = r.Token
			r.Ended = append(r.Ended, t.end)
		}
	}
	sort.Slice(r.Running, func(i, j int) bool { return lessTaskID(r.Running[i], r.Running[j]) })
	sort.Slice(r.Ended, func(i, j int) bool { return lessTaskID(r.Ended[i].Task, r.Ended[j].Task) })
	sort.Slice(r.Usage, func(i, j int) bool { return lessTaskID(r.Usage[i].Task, r.Usage[j].Task) })
	return r
}

// usage returns the resource usage that the task reports.
func (t *task) usage() api.Resources {
	if t.program.Used != nil {
		return *t.program.Used
	}
	return t.dispatch.Resources
}

func lessTaskID(a, b api.TaskID) bool {
	if a.RequestKey != b.RequestKey {
		return a.String() < b.String()
	}
	if a.Attempt != b.Attempt {
		return a.Attempt < b.Attempt
	}
	return a.Index < b.Index
}
