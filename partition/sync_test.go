package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against marking a worker as lost after a single connection stopped responding: the
// worker must not hold the sync on the new connection until the lease has ended.
func TestSyncAfterFailureIsNotHeld(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t)
	h.addWorker("w1", "i1")
	c.Assert(h.syncs["w1"].Request.WaitMillis > 0, qt.IsTrue)
	failed := h.syncs["w1"]
	delete(h.syncs, "w1")
	h.now += 1500 * ms
	h.step(SyncFailed{Worker: "w1", Sequence: failed.Sequence})
	h.advance(200 * ms)
	c.Assert(h.syncs["w1"].Request.WaitMillis, qt.Equals, int64(0))
	h.answerSync("w1", "i1", nil)
	c.Assert(h.p.Workers(h.now)[0].State, qt.Equals, "ready")
	c.Assert(h.syncs["w1"].Request.WaitMillis > 0, qt.IsTrue)
}
