package partition

import "time"

// Limits of retries. The backoff doubles from minBackoff up to maxBackoff. Half of it is
// random, so that requests that failed together are not retried together.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// retriesPerStart is what each start adds to the retry budget: retries may be 10% of the
	// starts.
	retriesPerStart = 0.1
	// retriesPerSecond is the rate at which the budget grows without any starts, and
	// maxRetryTokens the maximum of the budget.
	retriesPerSecond = 2.0
	maxRetryTokens   = 100.0
	// budgetRetryInterval is the delay before a retry that exceeded the budget checks it
	// again.
	budgetRetryInterval = 200 * time.Millisecond
)

// retryBudget is a token bucket that limits retries to a share of the starts. One retry takes
// one token.
type retryBudget struct {
	tokens     float64
	refilledAt time.Duration
}

// newRetryBudget returns a budget with 10 tokens.
func newRetryBudget(now time.Duration) retryBudget {
	return retryBudget{tokens: 10, refilledAt: now}
}

// recordStart adds retriesPerStart tokens for one start.
func (b *retryBudget) recordStart() { b.tokens = min(b.tokens+retriesPerStart, maxRetryTokens) }

// tryTake takes a token for one retry and reports whether the budget had one.
func (b *retryBudget) tryTake(now time.Duration) bool {
	if now > b.refilledAt {
		b.tokens = min(b.tokens+retriesPerSecond*(now-b.refilledAt).Seconds(), maxRetryTokens)
		b.refilledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// startBackoff schedules the next attempt of a request. An idempotent request of an older
// epoch also waits until inheritedLeaseEnd, since an earlier owner may have dispatched a later
// attempt whose claim did not become durable.
func (o *owner) startBackoff(now time.Duration, l *liveRequest) {
	l.phase = phaseBackoff
	l.backoffReason = "the next attempt: " + l.rec.Reason
	at := now + o.backoffDelay(len(l.rec.Attempts))
	if l.inherited && !l.rec.Spec.NonIdempotent {
		at = max(at, o.inheritedLeaseEnd)
	}
	o.scheduleBackoffEnd(l, at)
}

// scheduleBackoffEnd queues the request at the given time if the retry budget allows it.
func (o *owner) scheduleBackoffEnd(l *liveRequest, at time.Duration) {
	l.backoffGeneration++
	generation := l.backoffGeneration
	o.after(at, func(now time.Duration) {
		if l.phase != phaseBackoff || l.backoffGeneration != generation || o.requests[l.key] != l {
			return
		}
		if !l.cancelRequested && len(l.rec.Attempts) > 0 && !o.budget.tryTake(now) {
			l.backoffReason = "the retry budget"
			o.scheduleBackoffEnd(l, now+budgetRetryInterval)
			return
		}
		o.enqueueOrClose(now, l)
	})
}

// backoffDelay returns the delay before the attempt that follows n attempts.
func (o *owner) backoffDelay(n int) time.Duration {
	d := minBackoff
	for i := 1; i < n && d < maxBackoff; i++ {
		d *= 2
	}
	d = min(d, maxBackoff)
	return d/2 + time.Duration(o.rng.Int64N(int64(d/2)+1))
}
