package placement

import (
	"math"
	"time"
)

// decay returns value after exponential decay: it halves with every halfLife elapsed.
func decay(value float64, elapsed, halfLife time.Duration) float64 {
	if elapsed <= 0 || value == 0 {
		return value
	}
	return value * math.Exp2(-float64(elapsed)/float64(halfLife))
}
