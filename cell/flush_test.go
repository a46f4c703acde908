package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against a busy leader that makes an entry of each few operations, although the entries wait
// for the same sync: each entry costs every replica processor time.
func TestOperationsDuringASaveShareAnEntry(t *testing.T) {
	c := qt.New(t)
	tc := newTestCell(t, 3)
	committed := make(chan bool, 3)
	propose := func(h *replicaHost, id job.ID) {
		h.propose(func(ok bool) { committed <- ok }, job.Op{Cancel: &job.Cancel{ID: id}})
		now := h.node.eventLoop.Now()
		h.flush(now)
		h.group.ProcessReady(now)
	}
	tc.onEventLoop(tc.leader(), func(h *replicaHost) {
		propose(h, 1)
		c.Assert(h.group.IsSaving(), qt.IsTrue)
		pending := len(h.pendingOps)
		last := h.group.Node.Status().LastIndex
		propose(h, 2)
		propose(h, 3)
		c.Assert(h.pendingOps, qt.HasLen, pending+2)
		c.Assert(h.group.Node.Status().LastIndex, qt.Equals, last)
	})
	for range 3 {
		c.Assert(<-committed, qt.IsTrue)
	}
}
