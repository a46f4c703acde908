package raft

import (
	"slices"
	"time"
)

// quorumTime returns the newest local time t such that timeOf is at or after t for a
// quorum of voters. The leader itself counts with the current time. The result is 0 if
// there is no quorum.
func (n *Node) quorumTime(timeOf func(*progress) time.Duration) time.Duration {
	var buffer [voterBufferSize]time.Duration
	times := buffer[:0]
	for _, id := range n.membership.Voters {
		if id == n.cfg.ID {
			times = append(times, n.now)
		} else if p := n.progress[id]; p != nil {
			times = append(times, timeOf(p))
		}
	}
	slices.Sort(times)
	if q := n.membership.quorum(); len(times) >= q {
		return times[len(times)-q]
	}
	return 0
}

// leaseStart returns the start of the lease: the send time of the newest heartbeat that a
// quorum has answered. Each of these voters rejects other candidates for an election
// timeout after it received the heartbeat, which was after leaseStart.
func (n *Node) leaseStart() time.Duration {
	return n.quorumTime(func(p *progress) time.Duration { return p.lastEcho })
}

// LeaseValid reports whether this node is the leader and holds the lease at the local
// time now. The application must check again after each wait. A leader with a valid lease
// may not yet have applied everything that earlier leaders committed; see AppliedTerm.
func (n *Node) LeaseValid(now time.Duration) bool {
	n.advanceTime(now)
	if n.role != RoleLeader || n.leaseReleased {
		return false
	}
	start := n.leaseStart()
	return start > 0 && n.now < start+n.cfg.LeaseDuration
}

// hasCommittedInTerm reports whether the leader has committed an entry of its own term,
// and so all entries of earlier terms.
func (n *Node) hasCommittedInTerm() bool { return n.log.commit >= n.termStartIndex }

// ConfirmedAt returns a local time and a commit index such that every entry committed in
// the group before that time has at most that index. Both are 0 if no such pair is known.
// On the leader the time is the send time of the newest heartbeat that a quorum has
// answered. On other nodes it is the newest of their own send times that a leader echoed
// while it held its lease.
func (n *Node) ConfirmedAt() (at time.Duration, commit uint64) {
	at, commit = n.confirmedAt, n.confirmedCommit
	if n.role != RoleLeader || !n.hasCommittedInTerm() {
		return at, commit
	}
	// A quorum was still in this term after the heartbeat was sent, so no later leader
	// had committed an entry by that time. This is true without a lease too.
	if start := n.leaseStart(); start > at {
		return start, n.log.commit
	}
	return at, commit
}

// recordConfirmation updates the confirmed time and commit index from an append of the
// leader of the current term.
func (n *Node) recordConfirmation(m Message) {
	if m.LeaseHeld && m.EchoStartCount == n.hardState.StartCount && m.Echo <= n.now && m.Echo > n.confirmedAt {
		n.confirmedAt, n.confirmedCommit = m.Echo, max(n.confirmedCommit, m.Commit)
	}
}
