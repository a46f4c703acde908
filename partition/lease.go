package partition

import "time"

// leaseEnd returns the time at which every task of a worker has certainly ended if nothing
// more is sent to the worker. This is L·(1+ρ) after the receipt of the newest token that this
// owner has echoed, or after the start of the ownership for what older epochs have sent. The
// newest token counts even if it has not been echoed yet, so that a worker is not declared
// lost at the moment of its first answer.
func (o *owner) leaseEnd(w *workerState) time.Duration {
	return max(w.echoedTokenAt, w.tokenAt, o.startedAt) + o.leaseBound
}

// updateToken records the worker's newest token. It ignores a token that is not higher, since
// the lease is measured from the first receipt.
func (w *workerState) updateToken(now time.Duration, token int64) {
	if token > w.token {
		w.token, w.tokenAt = token, now
	}
}

// isSyncOverdue reports whether the outstanding sync is overdue. The token is then old, and a
// dispatch based on it might arrive after its lease has ended.
func (w *workerState) isSyncOverdue(now time.Duration) bool {
	return w.syncing && now-w.syncSentAt > 2*maxSyncWait
}
