package transport

import (
	"math/rand/v2"
	"time"
)

// backoff computes exponentially growing delays between dials, from min to max. Jitter
// keeps VMs that lost the same peer from dialing it simultaneously.
type backoff struct {
	min, max, delay time.Duration
}

func (b *backoff) reset() { b.delay = 0 }

// next doubles the delay and returns a random duration between half of it and all of it.
func (b *backoff) next() time.Duration {
	b.delay = min(max(2*b.delay, b.min), b.max)
	return b.delay/2 + rand.N(b.delay/2+1)
}
