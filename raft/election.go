package raft

import "time"

// resetDeadline draws a new election timeout.
func (n *Node) resetDeadline() {
	spread := time.Duration(n.rng.Int64N(int64(n.cfg.ElectionTimeout)))
	n.deadline = n.now + n.cfg.ElectionTimeout + spread + n.cfg.ElectionDelay
}

// promised reports whether the node must not help another to the leadership: it leads,
// it heard from a leader within the election timeout and so is part of that leader's
// lease, or it restarted and may have forgotten such a promise.
func (n *Node) promised() bool {
	return n.role == RoleLeader || n.now < n.voteAfter ||
		n.heard && n.now-n.heardAt < n.cfg.ElectionTimeout
}

// answersVotes reports whether the node's answer may count. Learners answer too: one
// that was promoted may not know it yet, and only voters are asked and counted.
func (n *Node) answersVotes() bool {
	return !n.cfg.Observer && n.isMember()
}

// isMember reports whether the node is a member by its newest membership, or was a
// voter by the newest committed one.
func (n *Node) isMember() bool {
	return n.membership.IsMember(n.cfg.ID) || n.committedVoter()
}

// mayStand reports whether the node may stand for election. A voter whose removal is
// not committed may: it can be the only one that holds that entry, and then nobody
// with a shorter log can win. Its own vote does not count.
func (n *Node) mayStand() bool {
	return !n.cfg.Observer && (n.membership.IsVoter(n.cfg.ID) || n.committedVoter())
}

func (n *Node) committedVoter() bool {
	return n.memberships.at(n.log.commit).IsVoter(n.cfg.ID)
}

// startPreVote asks whether an election could be won, without raising the term.
func (n *Node) startPreVote() {
	n.resetDeadline()
	if !n.mayStand() || n.now < n.voteAfter {
		return
	}
	n.role, n.leader = RolePreCandidate, ""
	n.votes = map[NodeID]bool{}
	n.askVotes(MsgPreVote, n.hs.Term+1, false)
	n.countVote(n.cfg.ID, true)
}

// startElection raises the term and votes for itself. The own vote counts once it is
// persisted, in Advance.
func (n *Node) startElection(transfer bool) {
	n.resetDeadline()
	n.role, n.leader = RoleCandidate, ""
	n.hs.Term++
	n.hs.Vote = n.cfg.ID
	n.votes = map[NodeID]bool{}
	n.askVotes(MsgVote, n.hs.Term, transfer)
}

func (n *Node) askVotes(kind MessageKind, term uint64, transfer bool) {
	for _, id := range n.membership.Voters {
		if id != n.cfg.ID {
			n.send(Message{Kind: kind, To: id, Term: term, Index: n.log.last(),
				LogTerm: n.log.lastTerm(), Transfer: transfer})
		}
	}
}

// countVote takes an answer of a voter and decides the round if it can be decided.
func (n *Node) countVote(id NodeID, granted bool) {
	if !n.membership.IsVoter(id) {
		return
	}
	n.votes[id] = granted
	yes, no := 0, 0
	for v, g := range n.votes {
		switch {
		case !n.membership.IsVoter(v):
		case g:
			yes++
		default:
			no++
		}
	}
	switch {
	case yes >= n.membership.quorum() && n.role == RolePreCandidate:
		n.startElection(false)
	case yes >= n.membership.quorum():
		n.becomeLeader()
	case no > len(n.membership.Voters)-n.membership.quorum():
		n.role = n.passiveRole()
	}
}

func (n *Node) onPreVote(m Message) {
	if !n.answersVotes() {
		return
	}
	if n.promised() || m.Term <= n.hs.Term || !n.log.upToDate(m.Index, m.LogTerm) {
		n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Reject: true})
		return
	}
	n.send(Message{Kind: MsgPreVoteResponse, To: m.From, Term: m.Term})
}

func (n *Node) onPreVoteResponse(m Message) {
	if m.Reject {
		n.seeTerm(m)
	}
	if n.role != RolePreCandidate || !m.Reject && m.Term != n.hs.Term+1 {
		return
	}
	n.countVote(m.From, !m.Reject)
}

// onVote leaves even the term alone while a promise to a leader holds, so that a node
// that missed the leader cannot end its lease. The leader of a transfer has given its
// lease up, and with it all older promises.
func (n *Node) onVote(m Message) {
	if !n.answersVotes() {
		return
	}
	if n.promised() && !m.Transfer {
		n.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: true})
		return
	}
	if m.Term > n.hs.Term {
		n.becomeFollower(m.Term, "")
	}
	grant := m.Term == n.hs.Term && (n.hs.Vote == "" || n.hs.Vote == m.From) &&
		n.log.upToDate(m.Index, m.LogTerm)
	if grant {
		n.hs.Vote = m.From
		n.resetDeadline()
	}
	n.send(Message{Kind: MsgVoteResponse, To: m.From, Reject: !grant})
}

func (n *Node) onVoteResponse(m Message) {
	n.seeTerm(m)
	if n.role == RoleCandidate && m.Term == n.hs.Term {
		n.countVote(m.From, !m.Reject)
	}
}

// seeTerm follows the higher term of a member's response.
func (n *Node) seeTerm(m Message) {
	if m.Term > n.hs.Term && n.membership.IsMember(m.From) {
		n.becomeFollower(m.Term, "")
	}
}

// becomeFollower ends any other role; leader is empty if unknown.
func (n *Node) becomeFollower(term uint64, leader NodeID) {
	if n.role == RoleLeader {
		n.confirmedAt, n.confirmedCommit = n.ConfirmedAt()
		n.progress, n.transfer = nil, ""
	}
	if term > n.hs.Term {
		n.hs.Term, n.hs.Vote = term, ""
	}
	n.role, n.leader = n.passiveRole(), leader
	n.resetDeadline()
}

// becomeLeader starts the term with an empty entry: committing it commits everything
// before it.
func (n *Node) becomeLeader() {
	n.role, n.leader = RoleLeader, n.cfg.ID
	n.progress = map[NodeID]*progress{}
	n.transfer, n.leaseGiven = "", false
	n.syncProgress()
	n.termStart = n.appendOwn(EntryNormal, nil)
	n.commitMarks = [2]uint64{n.termStart, n.termStart}
	n.beatAt, n.beatDue = n.now+n.cfg.HeartbeatInterval, true
}

// TransferLeadership hands the leadership to the voter to. The leader gives up its
// lease for the rest of its term and takes no more proposals; it asks to to stand for
// election once that voter holds the whole log, and steps down after an election
// timeout at the latest. Errors: NotLeaderError, ErrUnknownMember.
func (n *Node) TransferLeadership(now time.Duration, to NodeID) error {
	n.observe(now)
	if n.role != RoleLeader {
		return &NotLeaderError{n.leader}
	}
	if to == n.cfg.ID || !n.membership.IsVoter(to) || n.progress[to].observer {
		return ErrUnknownMember
	}
	n.transfer, n.leaseGiven = to, true
	n.transferEnd = n.now + n.cfg.ElectionTimeout
	n.continueTransfer()
	return nil
}

// continueTransfer asks the target to stand for election when it has caught up.
func (n *Node) continueTransfer() {
	if p := n.progress[n.transfer]; p != nil && p.match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: n.transfer})
	}
}

func (n *Node) transferExpired() bool { return n.transfer != "" && n.now >= n.transferEnd }

func (n *Node) onTimeoutNow(m Message) {
	if m.Term == n.hs.Term && m.From == n.leader && n.role == RoleFollower && n.mayStand() {
		n.startElection(true)
	}
}
