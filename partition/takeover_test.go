package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against tasks that their workers stop at a change of owner: a worker announces itself
// only after a second without a sync, which is too late for its lease after one failed call.
func TestNewOwnerSyncsBeforeAnyAnnouncement(t *testing.T) {
	c := qt.New(t)
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.submit("k", nonIdempotent)
	b.commit()
	task := b.dispatches[0].Dispatch.Task
	b.answerDispatch(0, api.DispatchStarted, "i1")

	b.becomeOwner()
	running := func(r *api.SyncResponse) { r.Running = []api.TaskID{task} }
	b.answerSync("w1", "i1", running)
	c.Assert(b.syncs["w1"].Request.EchoToken > 0, qt.IsTrue, qt.Commentf("the lease is not renewed at once"))
	c.Assert(b.p.Workers(b.now)[0].State, qt.Equals, "ready")

	restored := New(Config{Name: "north", Seed: 1}, newFirstFitScheduler)
	c.Assert(restored.Restore(b.p.Snapshot()), qt.IsNil)
	b.p, b.syncs = restored, map[string]SendSync{}
	b.becomeOwner()
	b.answerSync("w1", "i1", running)
	c.Assert(b.p.Workers(b.now)[0].State, qt.Equals, "ready")
}

// Guards against the announcements of lost workers that pile up in the replicated state.
func TestAnnouncementOfLostWorkerIsDropped(t *testing.T) {
	c := qt.New(t)
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.commit()
	c.Assert(b.p.workers, qt.HasLen, 1)
	b.advance(syncTimeout + ms)
	b.advance(b.p.cfg.leaseBound() + ms)
	b.advance(lostWorkerRetention + syncTimeout)
	b.advance(syncTimeout)
	b.commit()
	c.Assert(b.p.workers, qt.HasLen, 0)
}
