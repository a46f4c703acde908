package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against workers that stop their tasks at a change of owner. A worker announces itself
// only after a second without a sync; after one failed call, that is too late to renew its
// lease.
func TestNewOwnerSyncsBeforeAnnouncements(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.submit("k", nonIdempotent)
	h.commit()
	task := h.dispatches[0].Dispatch.Task
	h.answerDispatch(0, api.DispatchStarted, "i1")

	h.becomeOwner()
	running := func(r *api.SyncResponse) { r.Running = []api.TaskID{task} }
	h.answerSync("w1", "i1", running)
	c.Assert(h.syncs["w1"].Request.EchoToken > 0, qt.IsTrue, qt.Commentf("the lease is not renewed immediately"))
	c.Assert(h.p.Workers(h.now)[0].State, qt.Equals, "ready")

	restored := New(Config{Name: "north", Seed: 1}, newFirstFitScheduler)
	c.Assert(restored.Restore(h.p.Snapshot()), qt.IsNil)
	h.p, h.syncs = restored, map[string]SendSync{}
	h.becomeOwner()
	h.answerSync("w1", "i1", running)
	c.Assert(h.p.Workers(h.now)[0].State, qt.Equals, "ready")
}

// Guards against announcements of lost workers that accumulate in the replicated state.
func TestAnnouncementOfLostWorkerIsDropped(t *testing.T) {
	c := qt.New(t)
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.commit()
	c.Assert(h.p.workers, qt.HasLen, 1)
	h.advance(syncTimeout + ms)
	h.advance(h.p.cfg.leaseBound() + ms)
	h.advance(lostWorkerRetention + syncTimeout)
	h.advance(syncTimeout)
	h.commit()
	c.Assert(h.p.workers, qt.HasLen, 0)
}
