package raft

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// newSlowSyncCluster returns a cluster with a leader, whose disks sync at once until the
// test changes that.
func newSlowSyncCluster(t *testing.T, voters int) (*cluster, *host) {
	c := newCluster(t, 11, voters)
	leader := c.waitForLeader()
	c.run(time.Second)
	return c, leader
}

// runWithStalledDisks advances the time by d while the given hosts complete no sync.
func (c *cluster) runWithStalledDisks(d time.Duration, stalled ...*host) {
	isStalled := map[*host]bool{}
	for _, h := range stalled {
		isStalled[h] = true
	}
	for end := c.now + d; c.now < end; {
		c.now += 10 * time.Millisecond
		for _, id := range c.ids {
			h := c.hosts[id]
			h.node.Tick(h.localTime(c.now))
			c.takeReady(h)
			if isStalled[h] {
				c.network = append(c.network, h.node.MessagesDuringSave()...)
				continue
			}
			c.syncReady(h)
		}
		for k := len(c.network); k > 0; k-- {
			c.deliver(0)
		}
		c.checkInvariants()
	}
}

// Guards against an election, or a lost lease, because a sync of the leader, of a follower
// or of all voters takes longer than the election timeout, as on a disk that is shared with
// other work.
func TestSlowSyncDoesNotEndTheLeadership(t *testing.T) {
	for name, stall := range map[string]func(c *cluster, leader *host) []*host{
		"leader":   func(_ *cluster, leader *host) []*host { return []*host{leader} },
		"follower": func(c *cluster, leader *host) []*host { return []*host{c.otherHost(leader)} },
		"all": func(c *cluster, _ *host) []*host {
			return []*host{c.hosts[c.ids[0]], c.hosts[c.ids[1]], c.hosts[c.ids[2]]}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c, leader := newSlowSyncCluster(t, 3)
			term, commit := leader.node.Term(), leader.node.log.commit
			quicktest.Assert(t, c.propose(leader), quicktest.IsTrue)
			c.runWithStalledDisks(3*time.Second, stall(c, leader)...)
			quicktest.Assert(t, leader.node.Term(), quicktest.Equals, term)
			quicktest.Assert(t, leader.node.LeaseValid(leader.localTime(c.now)), quicktest.IsTrue)
			quicktest.Assert(t, leader.node.log.commit > commit, quicktest.Equals, name == "follower")
			for _, id := range c.ids {
				quicktest.Assert(t, c.hosts[id].node.Leader(), quicktest.Equals, leader.cfg.ID)
				c.syncReady(c.hosts[id])
			}
			c.run(300 * time.Millisecond)
			quicktest.Assert(t, leader.node.log.commit > commit, quicktest.IsTrue)
			quicktest.Assert(t, leader.node.Term(), quicktest.Equals, term)
		})
	}
}

// otherHost returns a host other than h.
func (c *cluster) otherHost(h *host) *host {
	for _, id := range c.ids {
		if c.hosts[id] != h {
			return c.hosts[id]
		}
	}
	return nil
}

// Guards against a message that is sent before the term, vote or entries that it implies are
// on disk: a crash could then break a promise to another node.
func TestMessagesDuringSaveDependOnPersistedStateOnly(t *testing.T) {
	n := newLeader()
	drainReady(n)
	n.Step(n.now, Message{Kind: MsgAppendResponse, Group: "g", From: "v2", To: "v1", Term: 1, Index: 2, Echo: n.now})
	drainReady(n)
	_, _, err := n.Propose(n.now, []byte("x"))
	quicktest.Assert(t, err, quicktest.IsNil)
	n.Ready()
	n.Tick(n.now + n.cfg.HeartbeatInterval)
	for _, m := range n.MessagesDuringSave() {
		quicktest.Assert(t, m.Kind, quicktest.Equals, MsgAppend)
		quicktest.Assert(t, m.Entries, quicktest.HasLen, 0)
		quicktest.Assert(t, m.Index, quicktest.Equals, uint64(0))
	}
	quicktest.Assert(t, n.MessagesDuringSave(), quicktest.HasLen, 0) // one per round

	f := newNode(PersistentState{})
	step(f, f.now, Message{Kind: MsgAppend, Index: 1, SentAt: 1})
	f.Step(f.now, Message{Kind: MsgAppend, Group: "g", From: "v2", To: "v1", Term: 1, Index: 1, Entries: []Entry{{Term: 1, Index: 2, Data: []byte("x")}}, Commit: 2, SentAt: 2})
	f.Ready()
	responses := f.MessagesDuringSave()
	quicktest.Assert(t, responses, quicktest.HasLen, 1)
	quicktest.Assert(t, responses[0].Index, quicktest.Equals, uint64(1))
	quicktest.Assert(t, responses[0].Echo, quicktest.Equals, time.Duration(2))
	f.Step(f.now, Message{Kind: MsgAppend, Group: "g", From: "v3", To: "v1", Term: 2, Index: 1, SentAt: 3})
	quicktest.Assert(t, f.MessagesDuringSave(), quicktest.HasLen, 0)
}

// Guards against a leader with a failed disk that leaves the others to wait for an election
// timeout, and against a hand-over to a voter that is down.
func TestHandOverStartsAnElectionAtOnce(t *testing.T) {
	c, leader := newSlowSyncCluster(t, 5)
	down := c.otherHost(leader)
	c.crash(down)
	quicktest.Assert(t, c.propose(leader), quicktest.IsTrue)
	c.run(600 * time.Millisecond)
	quicktest.Assert(t, c.propose(leader), quicktest.IsTrue)
	c.takeReady(leader) // its sync does not end
	handedOver := c.now
	c.network = append(c.network, leader.node.HandOver(leader.localTime(c.now))...)
	quicktest.Assert(t, leader.node.LeaseValid(leader.localTime(c.now)), quicktest.IsFalse)
	c.crash(leader)
	for c.leader() == nil || c.leader() == leader {
		c.run(10 * time.Millisecond)
		quicktest.Assert(t, c.now-handedOver < 300*time.Millisecond, quicktest.IsTrue)
	}
}
