package placement

import (
	"math"
	"time"
)

// decay returns value with its weight halved for every half time that has passed.
func decay(value float64, passed, half time.Duration) float64 {
	if passed <= 0 || value == 0 {
		return value
	}
	return value * math.Exp2(-float64(passed)/float64(half))
}
