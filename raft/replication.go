package raft

import "slices"

// snapshotRetryTimeouts is the number of election timeouts after which a snapshot that
// was not acknowledged is sent for the second time.
const snapshotRetryTimeouts = 4

// idleLearnerHeartbeatRounds is the number of heartbeat rounds in which an idle learner
// gets one heartbeat. Learners count neither for elections nor for the lease. One
// heartbeat per 250 ms is enough for a learner to detect a lost message soon, and it saves
// bandwidth on the link between regions if a group has many learners.
const idleLearnerHeartbeatRounds = 5

// tickLeader starts a heartbeat round when it is due.
func (n *Node) tickLeader() {
	if n.now < n.nextHeartbeatAt {
		return
	}
	n.nextHeartbeatAt, n.heartbeatDue = n.now+n.cfg.HeartbeatInterval, true
	n.heartbeatCommits = [2]uint64{n.heartbeatCommits[1], max(n.log.commit, n.termStartIndex)}
}

// sendAppends queues for each member the entries that flow control allows. If a heartbeat
// round is due, it queues a heartbeat for the members that get no entries.
func (n *Node) sendAppends() {
	leaseHeld := n.LeaseValid(n.now) && n.hasCommittedInTerm()
	for _, id := range n.progressIDs {
		if p := n.progress[id]; !n.replicate(id, p, leaseHeld) && n.heartbeatDue && n.needsHeartbeat(id, p) {
			n.sendHeartbeat(id, p, leaseHeld)
		}
	}
	n.heartbeatDue = false
}

// replicate sends entries or a snapshot to a member and reports whether it sent an
// append. A snapshot does not replace the heartbeat.
func (n *Node) replicate(id NodeID, p *progress, leaseHeld bool) (sentAppend bool) {
	if n.needsSnapshot(p) {
		n.sendSnapshot(id, p)
		return false
	}
	for p.next <= n.log.lastIndex() && p.canSendEntries(n.cfg.MaxInflightBytes) {
		term, ok := n.log.term(p.next - 1)
		if !ok {
			return sentAppend
		}
		entries, bytes := n.log.batch(p.next, n.cfg.MaxAppendBytes)
		n.sendAppend(id, p, leaseHeld, Message{Index: p.next - 1, LogTerm: term, Entries: entries})
		p.recordSent(entries[len(entries)-1].Index, bytes)
		sentAppend = true
	}
	return sentAppend
}

// needsSnapshot reports whether a snapshot must be sent: the entry before the next one is
// compacted, or the last snapshot was not acknowledged in time. A member that has not
// responded for an election timeout gets no snapshot until it answers a heartbeat.
func (n *Node) needsSnapshot(p *progress) bool {
	if n.now-p.lastContact() >= n.cfg.ElectionTimeout {
		return false
	}
	if p.state == stateSnapshot {
		return n.now >= p.snapshotRetryAt
	}
	_, ok := n.log.term(p.next - 1)
	return !ok
}

// needsHeartbeat reports whether the member gets a heartbeat in this round. A learner that
// is up to date is skipped in most rounds.
func (n *Node) needsHeartbeat(id NodeID, p *progress) bool {
	if n.membership.IsVoter(id) || p.state != stateReplicate || p.sentCommit < n.log.commit {
		return true
	}
	p.skippedHeartbeats++
	return p.skippedHeartbeats >= idleLearnerHeartbeatRounds
}

// sendHeartbeat sends an append without entries. Its preceding entry is the last one that
// was sent, so that the follower rejects the heartbeat if an append was lost.
func (n *Node) sendHeartbeat(id NodeID, p *progress, leaseHeld bool) {
	m := Message{Index: p.next - 1}
	term, ok := n.log.term(m.Index)
	if !ok || p.state == stateSnapshot {
		// Index 0 matches every log, so the member responds, but the response acknowledges
		// no entries.
		m.Index, term = 0, 0
	}
	m.LogTerm = term
	n.sendAppend(id, p, leaseHeld, m)
}

func (n *Node) sendAppend(id NodeID, p *progress, leaseHeld bool, m Message) {
	p.sentCommit, p.skippedHeartbeats = n.log.commit, 0
	m.Kind, m.To, m.Commit = MsgAppend, id, n.log.commit
	m.SentAt, m.Echo, m.EchoStartCount, m.LeaseHeld = n.now, p.peerSentAt, p.peerStartCount, leaseHeld
	if n.now >= p.observedStatesDueAt && n.membership.IsVoter(id) {
		m.ObservedStates = n.observedVoterStatesExcept(id)
		p.observedStatesDueAt = n.now + n.cfg.ElectionTimeout
	}
	n.send(m)
}

func (n *Node) sendSnapshot(id NodeID, p *progress) {
	s := n.log.snapshot
	p.recordSnapshotSent(s.Index, n.now, snapshotRetryTimeouts*n.cfg.ElectionTimeout)
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: &s, Commit: n.log.commit, SentAt: n.now})
}

// followLeader reports whether a message from a leader is of the current or a newer term,
// and then makes the node a follower of that leader. A leader of an older term gets a
// rejection with the newer term.
func (n *Node) followLeader(m Message) bool {
	if m.Term < n.hardState.Term {
		n.send(Message{Kind: MsgAppendResponse, To: m.From, Index: m.Index, Reject: true})
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.hasHeardLeader, n.lastLeaderContact = true, n.now
	if n.leaderSentAtTerm != m.Term {
		n.leaderSentAtTerm, n.leaderSentAt, n.respondedDuringSave = m.Term, 0, 0
	}
	n.leaderSentAt = max(n.leaderSentAt, m.SentAt)
	return true
}

// respondToAppend queues the response to an append or snapshot. An acknowledgement
// replaces a preceding one that is still queued, so that they do not accumulate while a
// slow disk delays the next Ready.
func (n *Node) respondToAppend(to NodeID, m Message) {
	m.Kind, m.To, m.SentAt, m.Echo = MsgAppendResponse, to, n.now, n.leaderSentAt
	m.Observer = n.cfg.Observer
	if k := len(n.messages) - 1; k >= 0 && !m.Reject {
		last := n.messages[k]
		if last.Kind == m.Kind && last.To == to && last.Term == n.hardState.Term && !last.Reject {
			m.Index = max(m.Index, last.Index)
			n.messages = n.messages[:k]
		}
	}
	n.send(m)
}

// hasContiguousEntries reports whether the entries of an append follow its preceding
// entry without a gap.
func hasContiguousEntries(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return false
		}
	}
	return true
}

func (n *Node) onAppend(m Message) {
	if !hasContiguousEntries(m) || !n.followLeader(m) {
		return
	}
	n.recordConfirmation(m)
	m = n.skipCommitted(m)
	if !n.log.matchesTerm(m.Index, m.LogTerm) {
		hint, term := n.log.findConflictByTerm(m.Index, m.LogTerm)
		n.respondToAppend(m.From, Message{Index: m.Index, Reject: true, Hint: hint, LogTerm: term})
		return
	}
	n.mergeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.respondToAppend(m.From, Message{Index: last})
}

// skipCommitted removes from an append the entries up to the local commit index. They
// always match the local log, and they may be compacted there.
func (n *Node) skipCommitted(m Message) Message {
	commit := n.log.commit
	if m.Index >= commit {
		return m
	}
	skip := min(commit-m.Index, uint64(len(m.Entries)))
	m.Entries = m.Entries[skip:]
	m.Index = commit
	m.LogTerm, _ = n.log.term(commit)
	return m
}

// mergeEntries adds the entries of an append to the log and updates the memberships.
func (n *Node) mergeEntries(entries []Entry) {
	before := n.log.lastIndex()
	truncatedAt := n.log.merge(entries)
	if truncatedAt > 0 {
		n.memberships.truncate(truncatedAt)
		before = truncatedAt - 1
	}
	if truncatedAt > 0 || n.log.lastIndex() > before {
		n.memberships.add(n.log.slice(before+1, n.log.lastIndex()))
		n.activateMembership()
	}
}

func (n *Node) onSnapshot(m Message) {
	if m.Snapshot == nil || !n.followLeader(m) {
		return
	}
	s := m.Snapshot
	switch {
	case s.Index <= n.log.commit:
	case n.log.matchesTerm(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log.restore(s)
		n.memberships = memberships{{s.Index, s.Membership}}
		n.activateMembership()
	}
	n.respondToAppend(m.From, Message{Index: n.log.commit})
}

func (n *Node) onAppendResponse(m Message) {
	n.adoptHigherTerm(m)
	if n.role != RoleLeader || m.Term != n.hardState.Term {
		return
	}
	p := n.progress[m.From]
	if p == nil || m.Index > n.log.lastIndex() {
		return
	}
	p.recordTimes(m, n.now)
	if m.Reject {
		n.onReject(m, p)
		return
	}
	if p.acknowledge(m.Index) {
		n.advanceCommit()
	}
	if n.role == RoleLeader && n.transferTarget == m.From {
		n.continueTransfer()
	}
}

// onReject moves the next index of a member back to the highest index at which the logs
// may match, as derived from the follower's hint, and starts to probe there.
func (n *Node) onReject(m Message, p *progress) {
	if p.state == stateSnapshot || m.Index <= p.match || p.state == stateProbe && m.Index != p.next-1 {
		return // an outdated response
	}
	hint, _ := n.log.findConflictByTerm(min(m.Hint, m.Index-1), m.LogTerm)
	if m.Hint < p.match {
		// The follower rejects entries that it has acknowledged: either this response is
		// outdated, or its disk lost state. The follower can tell which from the observed
		// state.
		n.sendRecoveryResponse(m.From, 0)
	}
	p.becomeState(stateProbe, max(hint, p.match)+1)
}

// advanceCommit raises the commit index to the highest index that a quorum of voters
// holds, if the entry there is of the current term. The leader counts its own entries
// only once they are persisted.
func (n *Node) advanceCommit() {
	var buffer [voterBufferSize]uint64
	matches := buffer[:0]
	for _, id := range n.membership.Voters {
		if id == n.cfg.ID {
			matches = append(matches, n.log.stable)
		} else if p := n.progress[id]; p != nil {
			matches = append(matches, p.match)
		}
	}
	slices.Sort(matches)
	q := n.membership.quorum()
	if len(matches) < q {
		return
	}
	index := matches[len(matches)-q]
	if t, ok := n.log.term(index); ok && t == n.hardState.Term && index > n.log.commit {
		n.commitTo(index)
	}
}

// commitTo raises the commit index. If that commits a membership change, it completes the
// change; a leader that is no longer a voter steps down.
func (n *Node) commitTo(index uint64) {
	old := n.log.commit
	n.log.commitTo(index)
	changeIndex := n.membershipIndex()
	if changeIndex <= old || changeIndex > n.log.commit {
		return
	}
	n.pruneObservedStates()
	n.activateMembership()
	if n.role == RoleLeader && !n.membership.IsVoter(n.cfg.ID) {
		n.becomeFollower(n.hardState.Term, "")
	}
}
