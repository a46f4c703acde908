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
func (l *life) sync(r api.SyncRequest) (api.SyncResponse, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDead() {
		return api.SyncResponse{}, errDead
	}
	stale := l.seeEpoch(r.Partition, r.Epoch)
	if stale > 0 {
		return l.staleResponse(stale), nil
	}
	if !l.takeOwner(r.Partition) {
		return api.SyncResponse{}, api.Errorf(api.CodeUnavailable, "worker is leased to partition %s", l.owner)
	}
	l.grant(r)
	timer := time.NewTimer(min(time.Duration(max(r.WaitMillis, 0))*time.Millisecond, l.cfg.syncWait))
	defer timer.Stop()
	for {
		if seen := l.epochs[r.Partition]; r.Epoch < seen {
			return l.staleResponse(seen), nil
		}
		if l.hasNews(r) || !l.await(timer.C) {
			break
		}
	}
	if l.isDead() {
		return api.SyncResponse{}, errDead
	}
	return l.syncResponse(), nil
}

// await gives up mu until something changes. It returns false when the timer has
// fired or the incarnation has ended.
func (l *life) await(timer <-chan time.Time) bool {
	changed := l.changed
	l.mu.Unlock()
	defer l.mu.Lock()
	select {
	case <-changed:
		return true
	case <-timer:
	case <-l.dead:
	}
	return false
}

func (l *life) grant(r api.SyncRequest) {
	l.syncedAt = l.token()
	if r.EchoIncarnation == l.incarnation {
		l.extendLease(r.EchoToken, r.LeaseMillis)
	}
	for _, id := range r.Acknowledged {
		t := l.tasks[id]
		if t == nil || !t.reported {
			continue
		}
		t.reported, t.end.Answer, t.dispatch.Body = false, nil, nil
		t.closedAt = time.Now()
		l.record(Event{Kind: EventAck}, id)
	}
	l.notify() // Leave waits for acknowledgements
}

// hasNews reports whether the owner lacks something: the token of this incarnation, or
// an end or the leaving flag that it cannot have received, because its echoed token is
// older than the answer that held it.
func (l *life) hasNews(r api.SyncRequest) bool {
	if r.EchoIncarnation != l.incarnation || r.EchoToken == 0 {
		return true
	}
	if l.leaving && (l.leavingSent == 0 || r.EchoToken < l.leavingSent || l.idle()) {
		return true
	}
	for _, t := range l.tasks {
		if t.reported && (t.sent == 0 || r.EchoToken < t.sent) {
			return true
		}
	}
	return false
}

func (l *life) staleResponse(seen uint64) api.SyncResponse {
	return api.SyncResponse{Worker: l.cfg.Worker, Incarnation: l.incarnation, Token: l.token(), StaleEpoch: seen}
}

// syncResponse lists all running tasks and all ends that are not acknowledged. The
// list is always whole, because an attempt missing from it counts as never run.
func (l *life) syncResponse() api.SyncResponse {
	r := l.staleResponse(0)
	r.Leaving = l.leaving
	if l.leaving {
		l.leavingSent = r.Token
	}
	for id, t := range l.tasks {
		switch {
		case t.state == taskRunning:
			r.Running = append(r.Running, id)
			if time.Since(t.started) >= l.cfg.UsageDelay {
				r.Usage = append(r.Usage, api.TaskUse{Task: id, Used: t.used()})
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
	return a.Attempt < b.Attempt
}
