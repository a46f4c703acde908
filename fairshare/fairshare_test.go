package fairshare

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a share that is measured in a dimension that is not the scarcest one.
func TestDominantShareIsTheLargestFraction(t *testing.T) {
	c := qt.New(t)
	c.Assert(DominantShare([]int64{10, 30}, []int64{100, 100}), qt.Equals, 0.3)
	c.Assert(DominantShare([]int64{0, 0}, []int64{0, 100}), qt.Equals, 0.0)
	c.Assert(math.IsInf(DominantShare([]int64{1, 0}, []int64{0, 100}), 1), qt.IsTrue)
	c.Assert(Entitlement(3, 12), qt.Equals, 0.25)
}

// Guards against a limit that is exceeded by one allocation, that blocks work which does not need
// the dimension, or that overflows for a large gang.
func TestLimitIsKeptInEachDimension(t *testing.T) {
	c := qt.New(t)
	none := []int64{0, 0}
	c.Assert(FirstExceeded(none, []int64{10, 1}, []int64{30, NoLimit}, 3), qt.Equals, -1)
	c.Assert(FirstExceeded(none, []int64{10, 1}, []int64{30, NoLimit}, 4), qt.Equals, 0)
	c.Assert(FirstExceeded([]int64{0, 5}, []int64{10, 1}, []int64{30, 5}, 1), qt.Equals, 1)
	c.Assert(FirstExceeded([]int64{50, 0}, []int64{0, 1}, []int64{30, 5}, 1), qt.Equals, -1)
	c.Assert(FirstExceeded(none, []int64{math.MaxInt64 / 2, 0}, []int64{math.MaxInt64, NoLimit}, 16384), qt.Equals, 0)
	c.Assert(Fitting([]int64{5, 0}, []int64{10, 1}, []int64{30, 9}, 100), qt.Equals, int64(2))
	c.Assert(Fitting([]int64{50, 0}, []int64{10, 1}, []int64{30, 9}, 100), qt.Equals, int64(0))
	c.Assert(Fitting(none, []int64{0, 0}, []int64{30, 9}, 7), qt.Equals, int64(7))
}
