package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an owner that starts work while it does not know which configuration is
// in force, and against work that stays queued after it knows again.
func TestNothingStartsWhilePlacementIsNotAllowed(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.step(PlacementAllowed{Allowed: false})
	b.submit("k", nil)
	b.submit("once", once)
	b.commit()
	b.pass(ms)
	b.c.Assert(b.send, qt.HasLen, 0)
	b.own()
	b.worker("w1", "i1")
	b.pass(ms)
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 0)
	b.step(PlacementAllowed{Allowed: true})
	b.pass(ms)
	b.commit()
	b.pass(ms)
	b.commit()
	b.c.Assert(len(b.send) > 0, qt.IsTrue)
}
