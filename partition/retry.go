package partition

import "time"

// Retries: the delay doubles from retryBase up to retryMax; half of it is random, so
// that requests which failed together do not return together.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 5 * time.Second
	// budgetShare is how many retries one start pays for: 10%.
	retriesPerStart = 0.1
	// budgetFloor is how many retries a second are allowed without any starts, and
	// budgetMax how many may be saved up.
	retriesPerSecond = 2.0
	maxRetryTokens   = 100.0
	// budgetPause is when a retry without budget asks again.
	budgetRetryInterval = 200 * time.Millisecond
)

// retryBudget bounds the retries to a share of the starts.
type retryBudget struct {
	tokens     float64
	refilledAt time.Duration
}

func newRetryBudget(now time.Duration) retryBudget {
	return retryBudget{tokens: 10, refilledAt: now}
}

// started adds the share of one start.
func (b *retryBudget) recordStart() { b.tokens = min(b.tokens+retriesPerStart, maxRetryTokens) }

// take pays for one retry and reports whether the budget allows it.
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

// retry places a request again after its back-off. An idempotent request of an older
// epoch waits out doubtUntil too, since the former owner may have dispatched a later
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

// retryAt schedules the end of the back-off.
func (o *owner) scheduleBackoffEnd(l *liveRequest, at time.Duration) {
	l.backoffGeneration++
	turn := l.backoffGeneration
	o.after(at, func(now time.Duration) {
		if l.phase != phaseBackoff || l.backoffGeneration != turn || o.requests[l.key] != l {
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

// backoff returns the delay before the attempt that follows n attempts.
func (o *owner) backoffDelay(n int) time.Duration {
	d := minBackoff
	for i := 1; i < n && d < maxBackoff; i++ {
		d *= 2
	}
	d = min(d, maxBackoff)
	return d/2 + time.Duration(o.rng.Int64N(int64(d/2)+1))
}
