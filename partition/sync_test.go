package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a worker that is lost after one silent connection, because the sync on
// the new connection is held until the lease has ended.
func TestSyncAfterFailureIsNotHeld(t *testing.T) {
	c := qt.New(t)
	b := newBench(t)
	b.worker("w1", "i1")
	c.Assert(b.syncs["w1"].Request.WaitMillis > 0, qt.IsTrue)
	failed := b.syncs["w1"]
	delete(b.syncs, "w1")
	b.now += 1500 * ms
	b.step(SyncFailed{Worker: "w1", Sequence: failed.Sequence})
	b.pass(200 * ms)
	c.Assert(b.syncs["w1"].Request.WaitMillis, qt.Equals, int64(0))
	b.sync("w1", "i1", nil)
	c.Assert(b.p.Workers(b.now)[0].State, qt.Equals, "ready")
	c.Assert(b.syncs["w1"].Request.WaitMillis > 0, qt.IsTrue)
}
