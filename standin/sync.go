package standin

import (
	"sort"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxWait bounds the time that a sync is held without news.
const maxWait = 500 * time.Millisecond

// sync grants the lease, takes acknowledgements, and answers at once if there is news,
// otherwise after the wait that the request allows.
func (inc *incarnation) sync(r api.SyncRequest) (api.SyncResponse, error) {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.hasEnded() {
		return api.SyncResponse{}, errEnded
	}
	stale := inc.seeEpoch(r.Partition, r.Epoch)
	if stale > 0 {
		return inc.staleResponse(stale), nil
	}
	if !inc.takeOwner(r.Partition) {
		return api.SyncResponse{}, api.Errorf(api.CodeUnavailable, "worker is leased to partition %s", inc.owner)
	}
	inc.grant(r)
	timer := time.NewTimer(min(time.Duration(max(r.WaitMillis, 0))*time.Millisecond, inc.cfg.syncWait))
	defer timer.Stop()
	for {
		if seen := inc.epochs[r.Partition]; r.Epoch < seen {
			return inc.staleResponse(seen), nil
		}
		if inc.hasNews(r) || !inc.await(timer.C) {
			break
		}
	}
	if inc.hasEnded() {
		return api.SyncResponse{}, errEnded
	}
	return inc.syncResponse(), nil
}

// await gives up mu until something changes. It returns false when the timer has
// fired or the incarnation has ended.
func (inc *incarnation) await(timer <-chan time.Time) bool {
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

func (inc *incarnation) grant(r api.SyncRequest) {
	inc.syncedAt = inc.token()
	if r.EchoIncarnation == inc.id {
		inc.extendLease(r.EchoToken, r.LeaseMillis)
	}
	for _, id := range r.Acknowledged {
		t := inc.tasks[id]
		if t == nil || !t.reported {
			continue
		}
		t.reported, t.end.Answer, t.dispatch.Body = false, nil, nil
		t.closedAt = time.Now()
		inc.record(Event{Kind: EventAck}, id)
	}
	inc.notify() // Leave waits for acknowledgements
}

// hasNews reports whether the owner lacks something: the token of this incarnation, or
// an end or the leaving flag that it cannot have received, because its echoed token is
// older than the answer that held it.
func (inc *incarnation) hasNews(r api.SyncRequest) bool {
	if r.EchoIncarnation != inc.id || r.EchoToken == 0 {
		return true
	}
	if inc.leaving && (inc.leavingSent == 0 || r.EchoToken < inc.leavingSent || inc.idle()) {
		return true
	}
	for _, t := range inc.tasks {
		if t.reported && (t.sent == 0 || r.EchoToken < t.sent) {
			return true
		}
	}
	return false
}

func (inc *incarnation) staleResponse(seen uint64) api.SyncResponse {
	return api.SyncResponse{Worker: inc.cfg.Worker, Incarnation: inc.id, Token: inc.token(), StaleEpoch: seen}
}

// syncResponse lists all running tasks and all ends that are not acknowledged. The
// list is always whole, because an attempt missing from it counts as never run.
func (inc *incarnation) syncResponse() api.SyncResponse {
	r := inc.staleResponse(0)
	r.Leaving = inc.leaving
	if inc.leaving {
		inc.leavingSent = r.Token
	}
	for id, t := range inc.tasks {
		switch {
		case t.state == taskRunning:
			r.Running = append(r.Running, id)
			if time.Since(t.started) >= inc.cfg.UsageDelay {
				r.Usage = append(r.Usage, api.TaskUsage{Task: id, Used: t.used()})
			}
		case t.reported:
			t.sent = r.Token
			r.Ended = append(r.Ended, t.end)
		}
	}
	sort.Slice(r.Running, func(i, j int) bool { return lessID(r.Running[i], r.Running[j]) })
	sort.Slice(r.Ended, func(i, j int) bool { return lessID(r.Ended[i].Task, r.Ended[j].Task) })
	sort.Slice(r.Usage, func(i, j int) bool { return lessID(r.Usage[i].Task, r.Usage[j].Task) })
	return r
}

func (t *task) used() api.Resources {
	if t.program.Used != nil {
		return *t.program.Used
	}
	return t.dispatch.Resources
}

func lessID(a, b api.TaskID) bool {
	if a.RequestKey != b.RequestKey {
		return a.String() < b.String()
	}
	if a.Attempt != b.Attempt {
		return a.Attempt < b.Attempt
	}
	return a.Index < b.Index
}
