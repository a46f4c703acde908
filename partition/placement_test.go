package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an owner that starts requests while it does not know which configuration is
// in force, and against requests that stay queued once it knows again.
func TestNothingStartsWhilePlacementIsNotAllowed(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.step(PlacementAllowed{Allowed: false})
	h.submit("k", nil)
	h.submit("once", nonIdempotent)
	h.commit()
	h.advance(ms)
	h.c.Assert(h.dispatches, qt.HasLen, 0)
	h.becomeOwner()
	h.addWorker("w1", "i1")
	h.advance(ms)
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 0)
	h.step(PlacementAllowed{Allowed: true})
	h.advance(ms)
	h.commit()
	h.advance(ms)
	h.commit()
	h.c.Assert(len(h.dispatches) > 0, qt.IsTrue)
}
