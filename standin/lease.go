package standin

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

const (
	reasonLeaseEnd = "lease end"
	reasonStop     = "stop"
	reasonRestart  = "restart"
)

// seeEpoch returns 0 and remembers the epoch, or returns the higher epoch seen before.
// It must be called with mu held.
func (l *life) seeEpoch(partition string, epoch uint64) (stale uint64) {
	if seen := l.epochs[partition]; epoch < seen {
		return seen
	}
	if epoch > l.epochs[partition] {
		l.epochs[partition] = epoch
		l.notify() // a sync of the former owner that waits is answered as stale
	}
	return 0
}

// takeOwner reports whether the partition may use the worker: it does already, or the
// lease of another partition has ended and nothing runs. It must be called with mu held.
func (l *life) takeOwner(partition string) bool {
	if l.owner != partition && l.owner != "" && (l.running > 0 || l.token() < l.leaseEnd) {
		return false
	}
	l.owner = partition
	return true
}

// extendLease moves the end of the lease to token + millis, never back. A token that
// this incarnation has not issued yet is ignored. It must be called with mu held.
func (l *life) extendLease(token, millis int64) {
	if token < 1 || token > l.token() || token+millis <= l.leaseEnd {
		return
	}
	l.leaseEnd = token + millis
	l.leaseTimer.Reset(max(0, time.Until(l.timeOf(l.leaseEnd))))
}

// timeOf returns the time at which the token clock reaches a value.
func (l *life) timeOf(token int64) time.Time {
	return l.origin.Add(time.Duration(token-1) * time.Millisecond)
}

// checkLease stops all tasks if the lease has ended.
func (l *life) checkLease() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDead() {
		return
	}
	if l.token() < l.leaseEnd {
		l.leaseTimer.Reset(max(0, time.Until(l.timeOf(l.leaseEnd))))
		return
	}
	for id, t := range l.tasks {
		if t.state == taskRunning {
			l.stopTask(id, t, reasonLeaseEnd)
		}
	}
}

// stopTask ends a running task; mu must be held.
func (l *life) stopTask(id api.TaskID, t *task, reason string) {
	t.timer.Stop()
	e := Event{Kind: EventStop, Reason: reason, Epoch: t.dispatch.Epoch}
	if reason == reasonLeaseEnd {
		e.LeaseEndNanos = time.Now().Add(-time.Since(l.timeOf(l.leaseEnd))).UnixNano()
	}
	l.closeTask(id, t, api.TaskEnd{Kind: api.EndStopped, Reason: reason}, e)
}

// closeTask turns a running task into an ended one; mu must be held.
func (l *life) closeTask(id api.TaskID, t *task, end api.TaskEnd, e Event) {
	end.Task = id
	end.RunMillis = time.Since(t.started).Milliseconds()
	setAnswer(&end, end.Answer)
	t.state, t.end, t.reported, t.closedAt = taskEnded, end, true, time.Now()
	l.inUse = l.inUse.Sub(t.dispatch.Resources)
	l.running--
	l.record(e, id)
	l.notify()
}
