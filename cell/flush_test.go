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
	var isSaving bool
	var first, last uint64
	tc.onEventLoop(tc.leader(), func(h *replicaHost) {
		propose(h, 1)
		isSaving = h.group.IsSaving()
		first = h.group.Node.Status().LastIndex
		propose(h, 2)
		propose(h, 3)
		last = h.group.Node.Status().LastIndex
	})
	c.Assert(isSaving, qt.IsTrue)
	c.Assert(last, qt.Equals, first) // the second and the third wait
	for range 3 {
		c.Assert(<-committed, qt.IsTrue)
	}
}
