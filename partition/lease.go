package partition

import "time"

// leaseEnd returns when every task of a worker has certainly ended if nothing more is
// sent to it: L·(1+ρ) after the receipt of the newest token that this owner has sent
// back, or after the start of the ownership for what older epochs have sent. The newest
// token counts also if it has not been sent back yet, so that a worker is not given up
// in the moment of its first answer.
func (o *owner) leaseEnd(w *workerState) time.Duration {
	return max(w.echoedTokenAt, w.tokenAt, o.startedAt) + o.leaseBound
}

// noteToken takes the worker's newest token. Only a higher one counts, since the lease
// is counted from the first receipt.
func (w *workerState) updateToken(now time.Duration, token int64) {
	if token > w.token {
		w.token, w.tokenAt = token, now
	}
}

// silent reports whether an outstanding sync is overdue, so that the token is old and a
// dispatch might arrive after its lease.
func (w *workerState) isSyncOverdue(now time.Duration) bool {
	return w.syncing && now-w.syncSentAt > 2*maxSyncWait
}
