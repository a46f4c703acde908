package raft

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// A power loss restarts all voters at once; none of them may wait for another forever,
// and the entries must reach every member again.
func TestAllVotersRestart(t *testing.T) {
	for _, voters := range []int{1, 2, 3, 5} {
		c := newCluster(t, 3, voters, "l1")
		for round := range 2 {
			quicktest.Assert(t, c.propose(c.waitLeader()), quicktest.IsTrue)
			c.run(300 * time.Millisecond)
			for _, h := range c.hosts {
				at, _ := h.node.ConfirmedAt()
				quicktest.Assert(t, at > 0, quicktest.IsTrue)
				quicktest.Assert(t, h.node.log.applied, quicktest.Equals, uint64(len(c.committed)))
				c.crash(h)
				c.start(h)
			}
			quicktest.Assert(t, len(c.committed) >= 3+2*round, quicktest.IsTrue)
		}
	}
}

// others returns the running hosts but h, and the first of them for convenience.
func (c *cluster) others(h *host) (first *host, all []*host) {
	for _, id := range c.ids {
		if o := c.hosts[id]; o != h {
			all = append(all, o)
		}
	}
	return all[0], all
}

// A node that was cut off for long must not end the leadership when it returns.
func TestReturnFromPartitionKeepsLeader(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3)
		h := c.waitLeader()
		term := h.node.hs.Term
		_, others := c.others(h)
		for _, o := range others {
			o.cut = true
			c.run(5 * time.Second)
			o.cut = false
			c.run(2 * time.Second)
		}
		quicktest.Assert(t, c.leader(), quicktest.Equals, h)
		quicktest.Assert(t, h.node.hs.Term, quicktest.Equals, term)
	}
}

// A graceful shutdown that waits for an election timeout stops the group for a second.
func TestTransferDoesNotWaitForElectionTimeout(t *testing.T) {
	c := newCluster(t, 4, 3)
	h := c.waitLeader()
	to, _ := c.others(h)
	quicktest.Assert(t, h.node.TransferLeadership(h.local(c.now), to.cfg.ID), quicktest.IsNil)
	quicktest.Assert(t, h.node.LeaseValid(h.local(c.now)), quicktest.IsFalse)
	_, _, err := h.node.Propose(h.local(c.now), []byte("x"))
	quicktest.Assert(t, err, quicktest.Equals, ErrTransferring)
	c.run(150 * time.Millisecond)
	quicktest.Assert(t, c.leader(), quicktest.Equals, to)
}

// A follower that is behind the compacted log can only catch up by a snapshot.
func TestSnapshotToLateFollower(t *testing.T) {
	c := newCluster(t, 5, 3)
	h := c.waitLeader()
	late, _ := c.others(h)
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
func TestRestartedVoterRespectsLease(t *testing.T) {
	for seed := range uint64(200) {
		c := newCluster(t, seed, 3)
		h := c.waitLeader()
		a, all := c.others(h)
		c.blocked[[2]NodeID{h.cfg.ID, all[1].cfg.ID}] = true
		c.blocked[[2]NodeID{all[1].cfg.ID, h.cfg.ID}] = true
		c.run(500 * time.Millisecond)
		for range 10 {
			c.crash(a)
			c.start(a)
			c.run(100 * time.Millisecond) // checks that one lease is held at most
		}
	}
}
