package raft

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// restartAll crashes all hosts and starts them again.
func restartAll(c *cluster) {
	for _, id := range c.ids {
		c.crash(c.hosts[id])
	}
	c.network = nil
	for _, id := range c.ids {
		c.start(c.hosts[id])
	}
}

// Guards against a group that, after all its nodes have lost power at once, waits for a lease
// that nobody can hold any more: nothing is accepted meanwhile.
func TestElectionAfterRestartOfAllDoesNotWaitForALease(t *testing.T) {
	const runs = 20
	withinTimeout := 0
	for seed := range uint64(runs) {
		c := newCluster(t, seed, 5)
		c.waitForLeader()
		c.run(time.Second)
		restartAll(c)
		restartedAt := c.now
		for isServing := false; !isServing; {
			c.run(10 * time.Millisecond)
			quicktest.Assert(t, c.now-restartedAt < 10*time.Second, quicktest.IsTrue)
			h := c.leader()
			isServing = h != nil && h.node.log.appliedTerm == h.node.hardState.Term
		}
		if c.now-restartedAt < c.hosts[c.ids[0]].cfg.withDefaults().ElectionTimeout {
			withinTimeout++
		}
	}
	// Split votes may take a second election.
	quicktest.Assert(t, withinTimeout >= runs*3/4, quicktest.IsTrue, quicktest.Commentf("%d of %d", withinTimeout, runs))
}

// Guards against a vote within the lease of a leader that the voter answered before its restart:
// while one member has not said that it holds no lease, a restarted node waits.
func TestRestartedNodeWaitsForTheLeaseOfASilentMember(t *testing.T) {
	ask := func(n *Node) []Message {
		return step(n, n.now, Message{Kind: MsgVote, From: "v3", Term: 2, Index: 9, LogTerm: 9})
	}
	respond := func(n *Node, from NodeID, holdsNoLease bool) {
		n.Step(n.now, Message{Kind: MsgRecoveryResponse, Group: "g", From: from, To: "v1", Term: 1, Hint: n.hardState.StartCount, HoldsNoLease: holdsNoLease})
		drainReady(n)
	}
	for _, leaderSilent := range []bool{true, false} {
		n := newNode(restartedState())
		respond(n, "v3", true)
		if !leaderSilent {
			respond(n, "v2", false)
		}
		for _, m := range ask(n) {
			quicktest.Check(t, m.Kind == MsgVoteResponse && !m.Reject, quicktest.IsFalse)
		}
	}
	n := newNode(restartedState())
	respond(n, "v2", true)
	respond(n, "v3", true)
	granted := false
	for _, m := range ask(n) {
		granted = granted || m.Kind == MsgVoteResponse && !m.Reject
	}
	quicktest.Check(t, granted, quicktest.IsTrue)
}
