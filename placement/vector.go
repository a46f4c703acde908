package placement

import (
	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/fairshare"
)

// The resource dimensions.
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
	// maxAmount bounds the amount in one dimension and maxTasks the tasks of a gang, so
	// that sums of declared sizes cannot overflow an int64.
	maxAmount = 1 << 40
	maxTasks  = 1 << 20
)

// vector holds an amount of each resource dimension.
type vector [dimCount]int64

// allMinusOne is below every demand in every dimension. As offered capacity it means that
// nothing fits; as a quota it means that no dimension has one.
var allMinusOne = vector{-1, -1, -1, -1, -1}

func clampAmount(v int64) int64 { return max(0, min(v, maxAmount)) }

// vectorOf returns the vector of the resources, slots and connections, each limited to
// between 0 and maxAmount.
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

// setMax sets v to the elementwise maximum of v and o.
func (v *vector) setMax(o vector) {
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

// fitsIn reports whether v is at most available in every dimension.
func (v *vector) fitsIn(available *vector) bool {
	return v[0] <= available[0] && v[1] <= available[1] && v[2] <= available[2] && v[3] <= available[3] && v[4] <= available[4]
}

// copies returns how many times v fits in available, at most limit.
func (v *vector) copies(available *vector, limit int) int {
	n := int64(limit)
	for d := range v {
		if v[d] > 0 {
			n = min(n, available[d]/v[d])
		}
		if available[d] < 0 {
			return 0
		}
	}
	return int(max(n, 0))
}

// dominantShare returns the largest fraction of total that v takes in any dimension. It is
// infinite if v needs a dimension of which total has nothing.
func (v *vector) dominantShare(total *vector) float64 {
	return fairshare.DominantShare(v[:], total[:])
}

// exceededDimension returns the first dimension in which v exceeds available, or -1.
func (v *vector) exceededDimension(available *vector) int {
	for d := range v {
		if v[d] > available[d] {
			return d
		}
	}
	return -1
}
