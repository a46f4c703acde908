package transport

import (
	"math/rand/v2"
	"time"
)

// backoff yields growing pauses between dials. Jitter keeps VMs that lost the same
// peer from dialing it at the same moment.
type backoff struct {
	min, max, delay time.Duration
}

func (b *backoff) reset() { b.delay = 0 }

// next returns a pause between half of and the whole present step.
func (b *backoff) next() time.Duration {
	b.delay = min(max(2*b.delay, b.min), b.max)
	return b.delay/2 + rand.N(b.delay/2+1)
}
