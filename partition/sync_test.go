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

// Guards against a worker that answers again right after its lease has ended and gets no work until
// its next announcement, which it sends only after 1 s without a sync.
func TestLostWorkerIsSyncedAtOnce(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t)
	h.addWorker("w1", "i1")
	failed := h.syncs["w1"]
	delete(h.syncs, "w1")
	h.now += 1500 * ms
	h.step(SyncFailed{Worker: "w1", Sequence: failed.Sequence})
	h.advance(syncRetryInterval)
	retried := h.syncs["w1"] // its answer does not arrive before the lease ends
	c.Assert(retried.Sequence > failed.Sequence, qt.IsTrue)
	h.now += h.p.cfg.leaseBound()
	h.step(Tick{})
	c.Assert(h.p.Workers(h.now)[0].State, qt.Not(qt.Equals), "ready")
	h.answerSync("w1", "i1", nil)
	c.Assert(h.p.Workers(h.now)[0].State, qt.Equals, "ready")
}
