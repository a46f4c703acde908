package transport

import (
	"math/rand/v2"
	"time"
)

// backoff yields growing pauses between dials. Jitter keeps VMs that lost the same
// peer from dialing it at the same moment.
type backoff struct {
	min, max, cur time.Duration
}

func (b *backoff) reset() { b.cur = 0 }

// next returns a pause between half of and the whole present step.
func (b *backoff) next() time.Duration {
	b.cur = min(max(2*b.cur, b.min), b.max)
	return b.cur/2 + rand.N(b.cur/2+1)
}
