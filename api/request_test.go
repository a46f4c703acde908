package api

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a capacity comparison that omits a resource dimension.
func TestFitsChecksEachDimension(t *testing.T) {
	avail := Resources{MilliCPU: 10, MemoryMB: 10, Accelerators: 1}
	c := qt.New(t)
	c.Assert(avail.Fits(avail), qt.IsTrue)
	for _, r := range []Resources{{MilliCPU: 11}, {MemoryMB: 11}, {Accelerators: 2}} {
		c.Assert(r.Fits(avail), qt.IsFalse)
	}
}
