package placement

import (
	"math"

	"github.com/oleanderchute/oleanderchute/api"
)

// The dimensions of an account.
const (
	dimCPU    = iota // milli-CPU
	dimMemory        // MB
	dimAccelerators
	dimSlots
	dimConnections
	dimCount
)

// dimNames are the names of the dimensions in reasons and explanations.
var dimNames = [dimCount]string{"milli_cpu", "memory_mb", "accelerators", "slots", "connections"}

const (
	// maxAmount bounds one amount and maxTasks the tasks of a gang, so that sums of
	// declared sizes cannot overflow an int64.
	maxAmount = 1 << 40
	maxTasks  = 1 << 20
)

// vector is an amount in each dimension.
type vector [dimCount]int64

// nothing is below every demand in every dimension; it marks a worker without room.
var nothing = vector{-1, -1, -1, -1, -1}

func clampAmount(v int64) int64 { return max(0, min(v, maxAmount)) }

func vectorOf(r api.Resources, slots, connections int) vector {
	return vector{
		clampAmount(r.MilliCPU), clampAmount(r.MemoryMB), clampAmount(r.Accelerators),
		clampAmount(int64(slots)), clampAmount(int64(connections)),
	}
}

func (v *vector) add(o vector) {
	for d := range v {
		v[d] += o[d]
	}
}

func (v *vector) sub(o vector) {
	for d := range v {
		v[d] -= o[d]
	}
}

// raise sets each dimension to the larger of v and o.
func (v *vector) raise(o vector) {
	for d := range v {
		v[d] = max(v[d], o[d])
	}
}

func (v vector) minus(o vector) vector {
	v.sub(o)
	return v
}

func (v vector) times(n int64) vector {
	for d := range v {
		v[d] *= n
	}
	return v
}

// fits reports whether v is at most avail in every dimension.
func (v *vector) fits(avail *vector) bool {
	return v[0] <= avail[0] && v[1] <= avail[1] && v[2] <= avail[2] && v[3] <= avail[3] && v[4] <= avail[4]
}

// copies returns how many times v fits in avail at once, at most limit.
func (v *vector) copies(avail *vector, limit int) int {
	n := int64(limit)
	for d := range v {
		if v[d] > 0 {
			n = min(n, avail[d]/v[d])
		}
		if avail[d] < 0 {
			return 0
		}
	}
	return int(max(n, 0))
}

// dominant returns the largest fraction of total that v takes in any dimension.
// A dimension of which total holds nothing counts only if v needs it.
func (v *vector) dominant(total *vector) float64 {
	share := 0.0
	for d := range v {
		if v[d] <= 0 {
			continue
		}
		if total[d] <= 0 {
			return math.Inf(1)
		}
		share = max(share, float64(v[d])/float64(total[d]))
	}
	return share
}

// shortDimension returns the first dimension in which v exceeds avail, or -1.
func (v *vector) shortDimension(avail *vector) int {
	for d := range v {
		if v[d] > avail[d] {
			return d
		}
	}
	return -1
}
