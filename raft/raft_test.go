package raft

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// A cluster that elects no leader or does not replicate is of no use.
func TestElectAndReplicate(t *testing.T) {
	for _, voters := range []int{1, 2, 3, 5} {
		c := newCluster(t, 1, voters, "l1")
		h := c.waitLeader()
		quicktest.Assert(t, c.propose(h), quicktest.IsTrue)
		c.run(300 * time.Millisecond)
		for _, id := range c.ids {
			quicktest.Assert(t, c.hosts[id].node.log.applied, quicktest.Equals, h.node.log.last())
			at, _ := c.hosts[id].node.ConfirmedAt()
			quicktest.Check(t, at > 0, quicktest.IsTrue)
		}
	}
}
