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
func (inc *incarnation) seeEpoch(partition string, epoch uint64) (stale uint64) {
	if seen := inc.epochs[partition]; epoch < seen {
		return seen
	}
	if epoch > inc.epochs[partition] {
		inc.epochs[partition] = epoch
		inc.notify() // a sync of the former owner that waits is answered as stale
	}
	return 0
}

// takeOwner reports whether the partition may use the worker: it does already, or the
// lease of another partition has ended and nothing runs. It must be called with mu held.
func (inc *incarnation) takeOwner(partition string) bool {
	if inc.owner != partition && inc.owner != "" && (inc.running > 0 || inc.token() < inc.leaseEnd) {
		return false
	}
	inc.owner = partition
	return true
}

// extendLease moves the end of the lease to token + millis, never back. A token that
// this incarnation has not issued yet is ignored. It must be called with mu held.
func (inc *incarnation) extendLease(token, millis int64) {
	if token < 1 || token > inc.token() || token+millis <= inc.leaseEnd {
		return
	}
	inc.leaseEnd = token + millis
	inc.leaseTimer.Reset(max(0, time.Until(inc.timeOf(inc.leaseEnd))))
}

// timeOf returns the time at which the token clock reaches a value.
func (inc *incarnation) timeOf(token int64) time.Time {
	return inc.origin.Add(time.Duration(token-1) * time.Millisecond)
}

// checkLease stops all tasks if the lease has ended.
func (inc *incarnation) checkLease() {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.hasEnded() {
		return
	}
	if inc.token() < inc.leaseEnd {
		inc.leaseTimer.Reset(max(0, time.Until(inc.timeOf(inc.leaseEnd))))
		return
	}
	for id, t := range inc.tasks {
		if t.state == taskRunning {
			inc.stopTask(id, t, reasonLeaseEnd)
		}
	}
}

// stopTask ends a running task; mu must be held.
func (inc *incarnation) stopTask(id api.TaskID, t *task, reason string) {
	t.timer.Stop()
	e := Event{Kind: EventStop, Reason: reason, Epoch: t.dispatch.Epoch}
	if reason == reasonLeaseEnd {
		e.LeaseEndNanos = time.Now().Add(-time.Since(inc.timeOf(inc.leaseEnd))).UnixNano()
	}
	inc.closeTask(id, t, api.TaskEnd{Kind: api.EndStopped, Reason: reason}, e)
}

// closeTask turns a running task into an ended one; mu must be held.
func (inc *incarnation) closeTask(id api.TaskID, t *task, end api.TaskEnd, e Event) {
	end.Task = id
	end.RunMillis = time.Since(t.started).Milliseconds()
	setAnswer(&end, end.Answer)
	t.state, t.end, t.reported, t.closedAt = taskEnded, end, true, time.Now()
	inc.inUse = inc.inUse.Sub(t.dispatch.Resources)
	inc.running--
	inc.record(e, id)
	inc.notify()
}
