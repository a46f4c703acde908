package standin

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// The reasons for which a task is stopped.
const (
	reasonLeaseEnd = "lease end"
	reasonStop     = "stop"
	reasonRestart  = "restart"
)

// observeEpoch records the epoch of a partition and returns 0, or returns the higher epoch
// that was already observed. The caller must hold mu.
func (inc *incarnation) observeEpoch(partition string, epoch uint64) (stale uint64) {
	if seen := inc.epochs[partition]; epoch < seen {
		return seen
	}
	if epoch > inc.epochs[partition] {
		inc.epochs[partition] = epoch
		inc.notify() // wakes a waiting sync of the previous owner, which then gets a stale response
	}
	return 0
}

// acquireOwnership makes the partition the owner of the worker. It returns false if
// another partition owns the worker and its lease has not ended or tasks still run. The
// caller must hold mu.
func (inc *incarnation) acquireOwnership(partition string) bool {
	if inc.owner != partition && inc.owner != "" && (inc.running > 0 || inc.token() < inc.leaseEnd) {
		return false
	}
	inc.owner = partition
	return true
}

// extendLease moves the end of the lease to token + millis, but never to an earlier time.
// It ignores a token that this incarnation has not issued yet. The caller must hold mu.
func (inc *incarnation) extendLease(token, millis int64) {
	if token < 1 || token > inc.token() || token+millis <= inc.leaseEnd {
		return
	}
	inc.leaseEnd = token + millis
	inc.leaseTimer.Reset(max(0, time.Until(inc.timeOfToken(inc.leaseEnd))))
}

// timeOfToken returns the time at which the token clock reaches the given value.
func (inc *incarnation) timeOfToken(token int64) time.Time {
	return inc.clockOrigin.Add(time.Duration(token-1) * time.Millisecond)
}

// checkLease stops all running tasks if the lease has ended and otherwise resets the
// lease timer.
func (inc *incarnation) checkLease() {
	inc.mu.Lock()
	defer inc.mu.Unlock()
	if inc.hasEnded() {
		return
	}
	if inc.token() < inc.leaseEnd {
		inc.leaseTimer.Reset(max(0, time.Until(inc.timeOfToken(inc.leaseEnd))))
		return
	}
	for id, t := range inc.tasks {
		if t.state == taskRunning {
			inc.stopTask(id, t, reasonLeaseEnd)
		}
	}
}

// stopTask stops a running task. The caller must hold mu.
func (inc *incarnation) stopTask(id api.TaskID, t *task, reason string) {
	t.timer.Stop()
	e := Event{Kind: EventStop, Reason: reason, Epoch: t.dispatch.Epoch}
	if reason == reasonLeaseEnd {
		e.LeaseEndNanos = time.Now().Add(-time.Since(inc.timeOfToken(inc.leaseEnd))).UnixNano()
	}
	inc.endTask(id, t, api.TaskEnd{Kind: api.EndStopped, Reason: reason}, e)
}

// endTask marks a running task as ended and journals e. The caller must hold mu.
func (inc *incarnation) endTask(id api.TaskID, t *task, end api.TaskEnd, e Event) {
	end.Task = id
	end.RunMillis = time.Since(t.started).Milliseconds()
	setAnswer(&end, end.Answer)
	t.state, t.end, t.awaitsAck, t.endedAt = taskEnded, end, true, time.Now()
	inc.inUse = inc.inUse.Sub(t.dispatch.Resources)
	inc.running--
	inc.record(e, id)
	inc.notify()
}
