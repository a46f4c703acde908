package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an owner that starts work while it does not know which configuration is
// in force, and against work that stays queued after it knows again.
func TestNothingStartsWhilePlacingIsNotAllowed(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.step(PlacementAllowed{Allowed: false})
	b.submit("k", nil)
	b.submit("once", nonIdempotent)
	b.commit()
	b.advance(ms)
	b.c.Assert(b.dispatches, qt.HasLen, 0)
	b.becomeOwner()
	b.addWorker("w1", "i1")
	b.advance(ms)
	b.commit()
	b.c.Assert(b.dispatches, qt.HasLen, 0)
	b.step(PlacementAllowed{Allowed: true})
	b.advance(ms)
	b.commit()
	b.advance(ms)
	b.commit()
	b.c.Assert(len(b.dispatches) > 0, qt.IsTrue)
}
