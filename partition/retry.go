package partition

import "time"

// Retries: the delay doubles from retryBase up to retryMax; half of it is random, so
// that requests which failed together do not return together.
const (
	retryBase = 100 * time.Millisecond
	retryMax  = 5 * time.Second
	// budgetShare is how many retries one start pays for: 10%.
	budgetShare = 0.1
	// budgetFloor is how many retries a second are allowed without any starts, and
	// budgetMax how many may be saved up.
	budgetFloor = 2.0
	budgetMax   = 100.0
	// budgetPause is when a retry without budget asks again.
	budgetPause = 200 * time.Millisecond
)

// retryBudget bounds the retries to a share of the starts.
type retryBudget struct {
	tokens float64
	last   time.Duration
}

func newRetryBudget(now time.Duration) retryBudget {
	return retryBudget{tokens: 10, last: now}
}

// started adds the share of one start.
func (b *retryBudget) started() { b.tokens = min(b.tokens+budgetShare, budgetMax) }

// take pays for one retry and reports whether the budget allows it.
func (b *retryBudget) take(now time.Duration) bool {
	if now > b.last {
		b.tokens = min(b.tokens+budgetFloor*(now-b.last).Seconds(), budgetMax)
		b.last = now
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
func (o *owner) retry(now time.Duration, l *liveRequest) {
	l.phase = phaseBackoff
	l.delayed = "the next attempt: " + l.rec.Reason
	at := now + o.backoff(len(l.rec.Attempts))
	if l.inherited && !l.rec.Spec.NonIdempotent {
		at = max(at, o.doubtUntil)
	}
	o.retryAt(l, at)
}

// retryAt schedules the end of the back-off.
func (o *owner) retryAt(l *liveRequest, at time.Duration) {
	l.backoffs++
	turn := l.backoffs
	o.after(at, func(now time.Duration) {
		if l.phase != phaseBackoff || l.backoffs != turn || o.live[l.key] != l {
			return
		}
		if !l.cancelWanted && len(l.rec.Attempts) > 0 && !o.budget.take(now) {
			l.delayed = "the retry budget"
			o.retryAt(l, now+budgetPause)
			return
		}
		o.resume(now, l)
	})
}

// backoff returns the delay before the attempt that follows n attempts.
func (o *owner) backoff(n int) time.Duration {
	d := retryBase
	for i := 1; i < n && d < retryMax; i++ {
		d *= 2
	}
	d = min(d, retryMax)
	return d/2 + time.Duration(o.rng.Int64N(int64(d/2)+1))
}
