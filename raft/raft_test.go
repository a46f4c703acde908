package raft

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// A power failure can restart all voters at the same time. Voters that recover must then
// not wait for each other forever, and the entries must reach every member again.
func TestAllVotersRestart(t *testing.T) {
	for _, voters := range []int{1, 2, 3, 5} {
		c := newCluster(t, 3, voters, "l1")
		for round := range 2 {
			quicktest.Assert(t, c.propose(c.waitForLeader()), quicktest.IsTrue)
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

// otherHosts returns all hosts except h, and separately the first of them.
func (c *cluster) otherHosts(h *host) (first *host, all []*host) {
	for _, id := range c.ids {
		if o := c.hosts[id]; o != h {
			all = append(all, o)
		}
	}
	return all[0], all
}

// A node that was isolated for a long time must not end the current leadership when it
// reconnects.
func TestReturnFromPartitionKeepsLeader(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3)
		h := c.waitForLeader()
		term := h.node.hardState.Term
		_, others := c.otherHosts(h)
		for _, o := range others {
			o.isolated = true
			c.run(5 * time.Second)
			o.isolated = false
			c.run(2 * time.Second)
		}
		quicktest.Assert(t, c.leader(), quicktest.Equals, h)
		quicktest.Assert(t, h.node.hardState.Term, quicktest.Equals, term)
	}
}

// A leader that shuts down gracefully must transfer its leadership. If the other voters
// had to wait for an election timeout, the group would accept no proposals for a second.
func TestTransferDoesNotWaitForElectionTimeout(t *testing.T) {
	c := newCluster(t, 4, 3)
	h := c.waitForLeader()
	target, _ := c.otherHosts(h)
	quicktest.Assert(t, h.node.TransferLeadership(h.localTime(c.now), target.cfg.ID), quicktest.IsNil)
	quicktest.Assert(t, h.node.LeaseValid(h.localTime(c.now)), quicktest.IsFalse)
	_, _, err := h.node.Propose(h.localTime(c.now), []byte("x"))
	quicktest.Assert(t, err, quicktest.Equals, ErrTransferring)
	c.run(150 * time.Millisecond)
	quicktest.Assert(t, c.leader(), quicktest.Equals, target)
}

// A follower whose next entry was removed by compaction can only catch up with a snapshot.
func TestSnapshotToLaggingFollower(t *testing.T) {
	c := newCluster(t, 5, 3)
	h := c.waitForLeader()
	lagging, _ := c.otherHosts(h)
	lagging.isolated = true
	for range 50 {
		c.propose(h)
		c.run(20 * time.Millisecond)
	}
	c.compact(h)
	lagging.isolated = false
	c.run(time.Second)
	quicktest.Assert(t, lagging.disk.Snapshot.Index, quicktest.Equals, h.disk.Snapshot.Index)
	quicktest.Assert(t, lagging.node.log.applied, quicktest.Equals, h.node.log.lastIndex())
}

// A voter that restarts no longer knows that it is bound by the leader's lease. If it
// voted immediately, a candidate that cannot reach the leader could be elected and hold a
// second lease.
func TestRestartedVoterRespectsLease(t *testing.T) {
	for seed := range uint64(200) {
		c := newCluster(t, seed, 3)
		h := c.waitForLeader()
		restarted, others := c.otherHosts(h)
		c.blockedLinks[[2]NodeID{h.cfg.ID, others[1].cfg.ID}] = true
		c.blockedLinks[[2]NodeID{others[1].cfg.ID, h.cfg.ID}] = true
		c.run(500 * time.Millisecond)
		for range 10 {
			c.crash(restarted)
			c.start(restarted)
			c.run(100 * time.Millisecond) // checks that at most one lease is held
		}
	}
}
