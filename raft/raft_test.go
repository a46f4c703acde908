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

// A node that was cut off for long must not end the leadership when it returns.
func TestReturnFromPartitionDisturbsNothing(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3)
		h := c.waitLeader()
		term := h.node.hs.Term
		for _, o := range c.hosts {
			if o != h {
				o.cut = true
				c.run(5 * time.Second)
				o.cut = false
				c.run(2 * time.Second)
			}
		}
		quicktest.Assert(t, c.leader(), quicktest.Equals, h)
		quicktest.Assert(t, h.node.hs.Term, quicktest.Equals, term)
	}
}

// A power loss restarts all voters at once; none of them may wait for another forever.
func TestAllVotersRestart(t *testing.T) {
	for _, voters := range []int{1, 2, 3, 5} {
		c := newCluster(t, 3, voters, "l1")
		c.propose(c.waitLeader())
		c.run(200 * time.Millisecond)
		for _, h := range c.hosts {
			c.crash(h)
			c.start(h)
		}
		h := c.waitLeader()
		quicktest.Assert(t, h.node.log.commit >= uint64(len(c.committed)), quicktest.IsTrue)
		quicktest.Assert(t, c.committed[2].Data, quicktest.DeepEquals, []byte("entry 1"))
	}
}

// A graceful shutdown that waits for an election timeout stops the group for a second.
func TestTransferIsFast(t *testing.T) {
	c := newCluster(t, 4, 3)
	h := c.waitLeader()
	to := NodeID("v1")
	if h.cfg.ID == to {
		to = "v2"
	}
	quicktest.Assert(t, h.node.TransferLeadership(h.local(c.now), to), quicktest.IsNil)
	quicktest.Assert(t, h.node.LeaseValid(h.local(c.now)), quicktest.IsFalse)
	_, _, err := h.node.Propose(h.local(c.now), []byte("x"))
	quicktest.Assert(t, err, quicktest.Equals, ErrTransferring)
	c.run(150 * time.Millisecond)
	quicktest.Assert(t, c.leader().cfg.ID, quicktest.Equals, to)
}

// A follower that is behind the compacted log can only catch up by a snapshot.
func TestSnapshotToLateFollower(t *testing.T) {
	c := newCluster(t, 5, 3)
	h := c.waitLeader()
	var late *host
	for _, o := range c.hosts {
		if o != h {
			late = o
		}
	}
	late.cut = true
	for range 50 {
		c.propose(h)
		c.run(20 * time.Millisecond)
	}
	c.compact(h)
	late.cut = false
	c.run(time.Second)
	quicktest.Assert(t, late.disk.Snapshot.Index, quicktest.Equals, h.disk.Snapshot.Index)
	quicktest.Assert(t, late.node.log.applied, quicktest.Equals, h.node.log.last())
}

// A voter that restarts forgets its promise to the leader; if it voted at once, a
// candidate that does not reach the leader would hold a second lease.
func TestRestartKeepsLeasePromise(t *testing.T) {
	for seed := range uint64(200) {
		c := newCluster(t, seed, 3)
		h := c.waitLeader()
		var others []NodeID
		for _, id := range c.ids {
			if id != h.cfg.ID {
				others = append(others, id)
			}
		}
		c.blocked[[2]NodeID{h.cfg.ID, others[1]}] = true
		c.blocked[[2]NodeID{others[1], h.cfg.ID}] = true
		c.run(500 * time.Millisecond)
		for range 10 {
			c.crash(c.hosts[others[0]])
			c.start(c.hosts[others[0]])
			c.run(100 * time.Millisecond) // checks that one lease is held at most
		}
	}
}
