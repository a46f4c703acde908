package raft

import "time"

// resetElectionDeadline restarts the election timeout with a new random duration.
func (n *Node) resetElectionDeadline() {
	jitter := time.Duration(n.rng.Int64N(int64(n.cfg.ElectionTimeout)))
	n.electionDeadline = n.now + n.cfg.ElectionTimeout + jitter + n.cfg.ElectionDelay
}

// isBoundByLease reports whether the node must reject candidates because a leader may
// hold a lease: the node is the leader, it heard from a leader within the election
// timeout, or it restarted within that time and may have answered a leader before.
func (n *Node) isBoundByLease() bool {
	return n.role == RoleLeader || n.now < n.voteNotBefore ||
		n.hasHeardLeader && n.now-n.lastLeaderContact < n.cfg.ElectionTimeout
}

// canAnswerVotes reports whether the node answers vote requests. Learners answer too,
// since a learner may not yet know that it was promoted. This is safe because candidates
// ask and count only voters.
func (n *Node) canAnswerVotes() bool {
	return !n.cfg.Observer && n.isMember()
}

// isMember reports whether the node is a member in its newest membership or a voter in
// its newest committed membership.
func (n *Node) isMember() bool {
	return n.membership.IsMember(n.cfg.ID) || n.isCommittedVoter()
}

// canCampaign reports whether the node may start an election. A voter whose removal is
// not yet committed may: it can be the only node that holds the entry of its removal,
// and then a candidate with a shorter log could not win. Its own vote does not count.
func (n *Node) canCampaign() bool {
	return !n.cfg.Observer && (n.membership.IsVoter(n.cfg.ID) || n.isCommittedVoter())
}

// isCommittedVoter reports whether the node is a voter in its newest committed membership.
func (n *Node) isCommittedVoter() bool {
	return n.memberships.atIndex(n.log.commit).IsVoter(n.cfg.ID)
}

// startPreVote asks the voters whether they would grant a vote, without incrementing the
// term.
func (n *Node) startPreVote() {
	n.resetElectionDeadline()
	if !n.canCampaign() || n.now < n.voteNotBefore {
		return
	}
	n.role, n.leader = RolePreCandidate, ""
	n.votes = map[NodeID]bool{}
	n.requestVotes(MsgPreVote, n.hardState.Term+1, false)
	n.countVote(n.cfg.ID, true)
}

// startElection increments the term, votes for this node and requests votes. The node's
// own vote is counted in Advance, once it is persisted. transfer is true if the leader
// asked for the election.
func (n *Node) startElection(transfer bool) {
	n.resetElectionDeadline()
	n.role, n.leader = RoleCandidate, ""
	n.hardState.Term++
	n.hardState.Vote = n.cfg.ID
	n.votes = map[NodeID]bool{}
	n.requestVotes(MsgVote, n.hardState.Term, transfer)
}

// requestVotes sends a request of the given kind to all other voters.
func (n *Node) requestVotes(kind MessageKind, term uint64, transfer bool) {
	for _, id := range n.membership.Voters {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.lastIndex(),
				LogTerm: n.log.lastTerm(), Transfer: transfer})
		}
	}
}

// countVote records the answer of a voter and ends the pre-vote or election once a quorum
// has granted it or can no longer do so.
func (n *Node) countVote(id NodeID, granted bool) {
	if !n.membership.IsVoter(id) {
		return
	}
	n.votes[id] = granted
	granting, rejecting := 0, 0
	for voter, isGranted := range n.votes {
		switch {
		case !n.membership.IsVoter(voter):
		case isGranted:
			granting++
		default:
			rejecting++
		}
	}
	switch {
	case granting >= n.membership.quorum() && n.role == RolePreCandidate:
		n.startElection(false)
	case granting >= n.membership.quorum():
		n.becomeLeader()
	case rejecting > len(n.membership.Voters)-n.membership.quorum():
		n.role = n.passiveRole()
	}
}

func (n *Node) onPreVote(m Message) {
	if !n.canAnswerVotes() {
		return
	}
	if n.isBoundByLease() || m.Term <= n.hardState.Term || !n.log.isUpToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
		return
	}
	n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term})
}

func (n *Node) onPreVoteResponse(m Message) {
	if m.Reject {
		n.adoptHigherTerm(m)
	}
	if n.role != RolePreCandidate || !m.Reject && m.Term != n.hardState.Term+1 {
		return
	}
	n.countVote(m.From, !m.Reject)
}

// onVote answers a vote request. While the node is bound by a lease it does not even
// adopt the higher term, so that a candidate that lost contact with the leader cannot
// end the lease. A request with Transfer is exempt, since the leader has released its
// lease.
func (n *Node) onVote(m Message) {
	if !n.canAnswerVotes() {
		return
	}
	if n.isBoundByLease() && !m.Transfer {
		n.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: true})
		return
	}
	if m.Term > n.hardState.Term {
		n.becomeFollower(m.Term, "")
	}
	grant := m.Term == n.hardState.Term && (n.hardState.Vote == "" || n.hardState.Vote == m.From) &&
		n.log.isUpToDate(m.Index, m.LogTerm)
	if grant {
		n.hardState.Vote = m.From
		n.resetElectionDeadline()
	}
	n.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: !grant})
}

func (n *Node) onVoteResponse(m Message) {
	n.adoptHigherTerm(m)
	if n.role == RoleCandidate && m.Term == n.hardState.Term {
		n.countVote(m.From, !m.Reject)
	}
}

// adoptHigherTerm makes the node a follower in the term of a member's response if that
// term is higher than its own.
func (n *Node) adoptHigherTerm(m Message) {
	if m.Term > n.hardState.Term && n.membership.IsMember(m.From) {
		n.becomeFollower(m.Term, "")
	}
}

// becomeFollower makes the node a follower or learner in the given term; leader is empty
// if unknown.
func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if n.role == RoleLeader {
		n.confirmedAt, n.confirmedCommit = n.ConfirmedAt()
		n.progress, n.transferTarget = nil, ""
	}
	if term > n.hardState.Term {
		n.hardState.Term, n.hardState.Vote = term, ""
	}
	n.role, n.leader = n.passiveRole(), leader
	n.resetElectionDeadline()
}

// becomeLeader makes the node the leader and appends an empty entry. Once this entry is
// committed, all entries of earlier terms are committed too.
func (n *Node) becomeLeader() {
	n.role, n.leader = RoleLeader, n.cfg.ID
	n.progress = map[NodeID]*progress{}
	n.transferTarget, n.leaseReleased = "", false
	n.updateProgressMembers()
	n.termStartIndex = n.appendLeaderEntry(EntryNormal, nil)
	n.heartbeatCommits = [2]uint64{n.termStartIndex, n.termStartIndex}
	n.nextHeartbeatAt, n.heartbeatDue = n.now+n.cfg.HeartbeatInterval, true
}

// TransferLeadership transfers the leadership to the voter target. The leader releases its
// lease for the rest of its term and accepts no more proposals. It asks target to start an
// election once target holds the whole log, and steps down after an election timeout at
// the latest. Errors: NotLeaderError, ErrUnknownMember.
func (n *Node) TransferLeadership(now time.Duration, target NodeID) error {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return &NotLeaderError{n.leader}
	}
	if target == n.cfg.ID || !n.membership.IsVoter(target) || n.progress[target].isObserver {
		return ErrUnknownMember
	}
	n.transferTarget, n.leaseReleased = target, true
	n.transferDeadline = n.now + n.cfg.ElectionTimeout
	n.continueTransfer()
	return nil
}

// continueTransfer asks the transfer target to start an election if it has caught up.
func (n *Node) continueTransfer() {
	if p := n.progress[n.transferTarget]; p != nil && p.match == n.log.lastIndex() {
		n.send(Message{Kind: MsgTimeoutNow, To: n.transferTarget})
	}
}

func (n *Node) isTransferExpired() bool { return n.transferTarget != "" && n.now >= n.transferDeadline }

func (n *Node) onTimeoutNow(m Message) {
	if m.Term == n.hardState.Term && m.From == n.leader && n.role == RoleFollower && n.canCampaign() {
		n.startElection(true)
	}
}
