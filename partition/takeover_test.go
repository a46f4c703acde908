package partition

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against tasks that their workers stop at a change of owner: a worker announces itself
// only after a second without a sync, which is too late for its lease after one failed call.
func TestNewOwnerSyncsBeforeAnnouncements(t *testing.T) {
	c := qt.New(t)
	b := newBench(t)
	b.worker("w1", "i1")
	b.submit("k", once)
	b.commit()
	task := b.send[0].Dispatch.Task
	b.dispatchAnswer(0, api.DispatchStarted, "i1")

	b.own()
	running := func(r *api.SyncResponse) { r.Running = []api.TaskID{task} }
	b.sync("w1", "i1", running)
	c.Assert(b.syncs["w1"].Request.EchoToken > 0, qt.IsTrue, qt.Commentf("the lease is not renewed at once"))
	c.Assert(b.p.Workers(b.now)[0].State, qt.Equals, "ready")

	restored := New(Config{Name: "north", Seed: 1}, newFirstFit)
	c.Assert(restored.Restore(b.p.Snapshot()), qt.IsNil)
	b.p, b.syncs = restored, map[string]SendSync{}
	b.own()
	b.sync("w1", "i1", running)
	c.Assert(b.p.Workers(b.now)[0].State, qt.Equals, "ready")
}

// Guards against the announcements of lost workers that pile up in the replicated state.
func TestAnnouncementOfLostWorkerIsDropped(t *testing.T) {
	c := qt.New(t)
	b := newBench(t)
	b.worker("w1", "i1")
	b.commit()
	c.Assert(b.p.workers, qt.HasLen, 1)
	b.pass(syncTimeout + ms)
	b.pass(b.p.cfg.certainLease() + ms)
	b.pass(lostWorkerRetention + syncTimeout)
	b.pass(syncTimeout)
	b.commit()
	c.Assert(b.p.workers, qt.HasLen, 0)
}
