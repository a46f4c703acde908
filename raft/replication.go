package raft

import "slices"

// snapshotWait is the first wait for the answer to a snapshot, in election timeouts.
const snapshotWait = 4

// learnerRounds is the number of rounds in which an idle learner gets one heartbeat. It
// gives no vote and no lease; at 250 ms it still learns of a lost message soon, and the
// leader of a group with many learners sends less over the link between regions.
const learnerRounds = 5

// tickLeader starts a round of heartbeats when it is due.
func (n *Node) tickLeader() {
	if n.now < n.beatAt {
		return
	}
	n.beatAt, n.beatDue = n.now+n.cfg.HeartbeatInterval, true
	n.commitMarks = [2]uint64{n.commitMarks[1], max(n.log.commit, n.termStart)}
}

// sendAppends queues what the flow control allows for each member, and a heartbeat to
// those that get nothing else when a round is due.
func (n *Node) sendAppends() {
	lease := n.LeaseValid(n.now) && n.termCommitted()
	for _, id := range n.others {
		if p := n.progress[id]; !n.fill(id, p, lease) && n.beatDue && n.needsHeartbeat(id, p) {
			n.sendHeartbeat(id, p, lease)
		}
	}
	n.beatDue = false
}

// fill sends entries or a snapshot and reports whether it sent an append. A snapshot
// does not replace the heartbeat.
func (n *Node) fill(id NodeID, p *progress, lease bool) (sent bool) {
	if n.needsSnapshot(p) {
		n.sendSnapshot(id, p)
		return false
	}
	for p.next <= n.log.last() && p.mayFill(n.cfg.MaxInflightBytes) {
		term, ok := n.log.term(p.next - 1)
		if !ok {
			return sent
		}
		entries, bytes := n.log.batch(p.next, n.cfg.MaxAppendBytes)
		n.sendAppend(id, p, lease, Message{Index: p.next - 1, LogTerm: term, Entries: entries})
		p.sent(entries[len(entries)-1].Index, bytes)
		sent = true
	}
	return sent
}

// needsSnapshot reports whether the next entry's predecessor is compacted, or a snapshot
// has not been answered in time. A silent member gets none until it answers a heartbeat.
func (n *Node) needsSnapshot(p *progress) bool {
	if n.now-p.contact() >= n.cfg.ElectionTimeout {
		return false
	}
	if p.state == installing {
		return n.now >= p.retryAt
	}
	_, ok := n.log.term(p.next - 1)
	return !ok
}

// needsHeartbeat reports whether the member takes part in this round of heartbeats. A
// learner that has nothing to learn is left out of most rounds.
func (n *Node) needsHeartbeat(id NodeID, p *progress) bool {
	if n.membership.IsVoter(id) || p.state != replicating || p.sentCommit < n.log.commit {
		return true
	}
	p.skipped++
	return p.skipped >= learnerRounds
}

// sendHeartbeat sends an append without entries. Its previous entry is the last one
// that was sent, so that the follower's answer shows a lost append.
func (n *Node) sendHeartbeat(id NodeID, p *progress, lease bool) {
	m := Message{Index: p.next - 1}
	term, ok := n.log.term(m.Index)
	if !ok || p.state == installing {
		// Entry 0 precedes every log, so this is answered but says nothing of the log.
		m.Index, term = 0, 0
	}
	m.LogTerm = term
	n.sendAppend(id, p, lease, m)
}

func (n *Node) sendAppend(id NodeID, p *progress, lease bool, m Message) {
	p.sentCommit, p.skipped = n.log.commit, 0
	m.Kind, m.To, m.Commit = MsgAppend, id, n.log.commit
	m.SentAt, m.Echo, m.EchoStartCount, m.LeaseHeld = n.now, p.token, p.tokenStarts, lease
	if n.now >= p.factsAt && n.membership.IsVoter(id) {
		m.ObservedStates = n.factsFor(id)
		p.factsAt = n.now + n.cfg.ElectionTimeout
	}
	n.send(m)
}

func (n *Node) sendSnapshot(id NodeID, p *progress) {
	s := n.log.snapshot
	p.startInstall(s.Index, n.now, snapshotWait*n.cfg.ElectionTimeout)
	n.send(Message{Kind: MsgSnapshot, To: id, Snapshot: &s, Commit: n.log.commit, SentAt: n.now})
}

// followLeader takes a message of a leader and reports whether it is current. A stale
// leader is told the newer term.
func (n *Node) followLeader(m Message) bool {
	if m.Term < n.hs.Term {
		n.send(Message{Kind: MsgAppendResponse, To: m.From, Index: m.Index, Reject: true})
		return false
	}
	n.becomeFollower(m.Term, m.From)
	n.heard, n.heardAt = true, n.now
	if n.echoTerm != m.Term {
		n.echoTerm, n.leaderEcho = m.Term, 0
	}
	n.leaderEcho = max(n.leaderEcho, m.SentAt)
	return true
}

// respond answers an append. An acknowledgement replaces one that still waits to be
// sent, so that a slow disk does not pile them up.
func (n *Node) respond(to NodeID, m Message) {
	m.Kind, m.To, m.SentAt, m.Echo = MsgAppendResponse, to, n.now, n.leaderEcho
	m.Observer = n.cfg.Observer
	if k := len(n.messages) - 1; k >= 0 && !m.Reject {
		last := n.messages[k]
		if last.Kind == m.Kind && last.To == to && last.Term == n.hs.Term && !last.Reject {
			m.Index = max(m.Index, last.Index)
			n.messages = n.messages[:k]
		}
	}
	n.send(m)
}

// contiguous reports whether the entries of an append follow its previous entry.
func contiguous(m Message) bool {
	for i, e := range m.Entries {
		if e.Index != m.Index+1+uint64(i) {
			return false
		}
	}
	return true
}

func (n *Node) onAppend(m Message) {
	if !contiguous(m) || !n.followLeader(m) {
		return
	}
	n.noteConfirmation(m)
	m = n.skipCommitted(m)
	if !n.log.matches(m.Index, m.LogTerm) {
		hint, term := n.log.lastNotAfter(m.Index, m.LogTerm)
		n.respond(m.From, Message{Index: m.Index, Reject: true, Hint: hint, LogTerm: term})
		return
	}
	n.mergeEntries(m.Entries)
	last := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, last))
	n.respond(m.From, Message{Index: last})
}

// skipCommitted drops the part of an append that is committed here, which matches in
// any case and may be compacted.
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

func (n *Node) mergeEntries(entries []Entry) {
	before := n.log.last()
	truncated := n.log.merge(entries)
	if truncated > 0 {
		n.memberships.truncate(truncated)
		before = truncated - 1
	}
	if truncated > 0 || n.log.last() > before {
		n.memberships.add(n.log.slice(before+1, n.log.last()))
		n.membershipChanged()
	}
}

func (n *Node) onSnapshot(m Message) {
	if m.Snapshot == nil || !n.followLeader(m) {
		return
	}
	s := m.Snapshot
	switch {
	case s.Index <= n.log.commit:
	case n.log.matches(s.Index, s.Term):
		n.commitTo(s.Index)
	default:
		n.log.restore(s)
		n.memberships = memberships{{s.Index, s.Membership}}
		n.membershipChanged()
	}
	n.respond(m.From, Message{Index: n.log.commit})
}

func (n *Node) onAppendResponse(m Message) {
	n.seeTerm(m)
	if n.role != RoleLeader || m.Term != n.hs.Term {
		return
	}
	p := n.progress[m.From]
	if p == nil || m.Index > n.log.last() {
		return
	}
	p.noteTimes(m, n.now)
	if m.Reject {
		n.onReject(m, p)
		return
	}
	if p.acknowledge(m.Index) {
		n.advanceCommit()
	}
	if n.role == RoleLeader && n.transfer == m.From {
		n.continueTransfer()
	}
}

// onReject looks for the last common entry below the follower's hint.
func (n *Node) onReject(m Message, p *progress) {
	if p.state == installing || m.Index <= p.match || p.state == probing && m.Index != p.next-1 {
		return // an old answer
	}
	hint, _ := n.log.lastNotAfter(min(m.Hint, m.Index-1), m.LogTerm)
	if m.Hint < p.match {
		// The follower denies what it acknowledged: either this answer is old, or its
		// disk lost state. It can tell from the facts.
		n.sendFacts(m.From, 0)
	}
	p.enter(probing, max(hint, p.match)+1)
}

// advanceCommit commits what a quorum of voters holds, if it ends with an entry of
// this term. The leader itself counts with what it has persisted.
func (n *Node) advanceCommit() {
	var buffer [maxUsualVoters]uint64
	held := buffer[:0]
	for _, id := range n.membership.Voters {
		if id == n.cfg.ID {
			held = append(held, n.log.stable)
		} else if p := n.progress[id]; p != nil {
			held = append(held, p.match)
		}
	}
	slices.Sort(held)
	q := n.membership.quorum()
	if len(held) < q {
		return
	}
	index := held[len(held)-q]
	if t, ok := n.log.term(index); ok && t == n.hs.Term && index > n.log.commit {
		n.commitTo(index)
	}
}

// commitTo raises the commit index and completes a membership change that it covers.
func (n *Node) commitTo(index uint64) {
	old := n.log.commit
	n.log.commitTo(index)
	change := n.changeIndex()
	if change <= old || change > n.log.commit {
		return
	}
	n.pruneFacts()
	n.membershipChanged()
	if n.role == RoleLeader && !n.membership.IsVoter(n.cfg.ID) {
		n.becomeFollower(n.hs.Term, "")
	}
}
