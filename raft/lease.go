package raft

import (
	"slices"
	"time"
)

// quorumTime returns the newest local time such that a quorum of voters has a time at
// or after it; the leader itself counts with the present. Without a quorum it is 0.
func (n *Node) quorumTime(of func(*progress) time.Duration) time.Duration {
	var buffer [maxUsualVoters]time.Duration
	times := buffer[:0]
	for _, id := range n.membership.Voters {
		if id == n.cfg.ID {
			times = append(times, n.now)
		} else if p := n.progress[id]; p != nil {
			times = append(times, of(p))
		}
	}
	slices.Sort(times)
	if q := n.membership.quorum(); len(times) >= q {
		return times[len(times)-q]
	}
	return 0
}

// leaseStart is the time from which the lease counts: the send time of the newest
// heartbeat that a quorum has answered. Each voter that answered refuses to vote for an
// election timeout after it received the heartbeat, which was later.
func (n *Node) leaseStart() time.Duration {
	return n.quorumTime(func(p *progress) time.Duration { return p.echo })
}

// LeaseValid reports whether this node is the leader and may act at the local time
// now. The caller asks again after each wait. It says nothing about whether the
// leader has applied what earlier leaders committed; see AppliedTerm.
func (n *Node) LeaseValid(now time.Duration) bool {
	n.observe(now)
	if n.role != RoleLeader || n.leaseGiven {
		return false
	}
	start := n.leaseStart()
	return start > 0 && n.now < start+n.cfg.LeaseDuration
}

// termCommitted reports whether the leader's commit index covers all earlier terms.
func (n *Node) termCommitted() bool { return n.log.commit >= n.termStart }

// ConfirmedAt returns a local time and a commit index such that everything committed
// before that time is at most at that index; 0, 0 if there is none. On the leader it
// is the send time of the newest heartbeat that a quorum answered; elsewhere the newest
// own time that a leader echoed while it held its lease.
func (n *Node) ConfirmedAt() (at time.Duration, commit uint64) {
	at, commit = n.confirmedAt, n.confirmedCommit
	if n.role != RoleLeader || !n.termCommitted() {
		return at, commit
	}
	// A quorum was still in this term after the heartbeat was sent, so no later leader
	// had committed anything by then. This holds without the lease too.
	if start := n.leaseStart(); start > at {
		return start, n.log.commit
	}
	return at, commit
}

// noteConfirmation takes the echo of an append from a leader of the current term.
func (n *Node) noteConfirmation(m Message) {
	if m.LeaseHeld && m.EchoStartCount == n.hs.StartCount && m.Echo <= n.now && m.Echo > n.confirmedAt {
		n.confirmedAt, n.confirmedCommit = m.Echo, max(n.confirmedCommit, m.Commit)
	}
}
