package raft

import "slices"

// A data folder that was restored from an old copy makes a node forget votes and
// acknowledgements that others count on. The order of states that a disk goes through
// is total: by Starts, then by term, and within a term by vote and by the index that
// was acknowledged. Every node remembers, in memory only, the newest such state it has
// seen of each member (MemberFact); the leader passes on what it knows of the voters
// once per election timeout. A restarted node asks all peers (hello) and takes part
// when a quorum, itself included, has answered and either all members have answered or
// an election timeout has passed. A later answer that shows a loss still counts. As its
// own membership may be out of date, the answers carry that of the peers.
//
// All voters may restart at once: a recovering node answers a hello, so they recover
// from each other. A single voter needs no answer; it waits all the same, so that the
// leader of a group that has grown since an old copy can make itself heard.
//
// What cannot be detected: a loss that only unreachable or since restarted peers know
// of, as facts are not persisted. In particular, of three voters A, B and V, if A
// committed an entry with V alone, A is then gone, and V returns from an older copy, B
// cannot know of that entry. Old copies on a majority at once are not detected either.
// The vote of a peer for this node is on the peer's disk and survives its restart.

// startRecovery makes a restarted node ask its peers before it takes part.
func (n *Node) startRecovery() {
	n.role = RoleRecovering
	n.voteAfter = n.now + n.cfg.ElectionTimeout
	n.answered, n.reported = map[NodeID]bool{}, map[NodeID]Membership{n.cfg.ID: n.membership}
	n.sendHello()
	n.finishRecovery()
}

func (n *Node) tickRecovery() {
	n.repeatHello()
	n.finishRecovery()
}

// peers returns the other members of all memberships that the disk or an answer shows,
// sorted so that the order of messages is repeatable. A learner's answer counts for no
// quorum, but it may have been promoted since and be the only one that knows of a loss.
func (n *Node) peers() []NodeID {
	var ids []NodeID
	for _, ms := range n.reported {
		ids = append(append(ids, ms.Voters...), ms.Learners...)
	}
	slices.Sort(ids)
	return slices.DeleteFunc(slices.Compact(ids), func(id NodeID) bool { return id == n.cfg.ID })
}

// sendHello asks all peers while the node recovers, since the membership in an answer
// may be out of date by now; afterwards only those that have not answered.
func (n *Node) sendHello() {
	n.helloAt = n.now + 2*n.cfg.HeartbeatInterval
	for _, id := range n.peers() {
		if n.role == RoleRecovering || !n.answered[id] {
			n.send(Message{Kind: MsgRecovery, To: id})
		}
	}
}

// repeatHello repeats the hello, after recovery only until the wait after the restart
// is over.
func (n *Node) repeatHello() {
	if n.answered != nil && n.now >= n.helloAt && (n.role == RoleRecovering || n.now < n.voteAfter) {
		n.sendHello()
	}
}

// finishRecovery lets the node take part if enough voters have answered.
func (n *Node) finishRecovery() {
	silent := slices.ContainsFunc(n.peers(), func(id NodeID) bool { return !n.answered[id] })
	if n.now < n.voteAfter && (silent || len(n.answered) == 0) || !n.quorumAnswered() {
		return
	}
	n.role = n.passiveRole()
	n.resetDeadline()
	if !n.heard {
		// The wait after the restart was long enough to hear from a leader. If all voters
		// have restarted there is none, so there is no point in waiting out another timeout.
		n.deadline -= n.cfg.ElectionTimeout
	}
}

// quorumAnswered reports whether a quorum of some membership has answered, the node
// itself included. Which of the memberships is in force cannot be told: the newest may
// be an uncommitted one that is dropped again.
func (n *Node) quorumAnswered() bool {
	for _, ms := range n.reported {
		have := 0
		for _, id := range ms.Voters {
			if id == n.cfg.ID || n.answered[id] {
				have++
			}
		}
		if have >= ms.quorum() {
			return true
		}
	}
	return false
}

// askStranger sends a hello to a leader or candidate that is not known as a voter: the
// membership may have changed.
func (n *Node) askStranger(m Message) {
	if !n.answered[m.From] && !slices.Contains(n.peers(), m.From) {
		n.send(Message{Kind: MsgRecovery, To: m.From})
	}
}

// answerHello tells a restarted node what is known of it.
func (n *Node) answerHello(m Message) {
	if n.membership.IsMember(m.From) {
		n.started[m.From] = max(n.started[m.From], m.StartCount)
	}
	starts := m.StartCount
	if !n.isMember() {
		starts = 0 // a removed member may reveal a loss, but its answer does not count
	}
	n.sendFacts(m.From, starts)
}

// sendFacts sends what is known of a member; starts is that of its hello, 0 if the
// message does not count as an answer.
func (n *Node) sendFacts(to NodeID, starts uint64) {
	f := n.facts[to]
	f.ID = to
	if n.started[to] > starts {
		// A newer hello has arrived: this one is late, or the disk lost even that start.
		f.StartCount = max(f.StartCount, n.started[to])
	}
	if n.hs.Vote == to {
		f = f.merge(ObservedState{Term: n.hs.Term, Vote: to})
	}
	ms := n.membership.clone()
	n.send(Message{Kind: MsgRecoveryResponse, To: to, Hint: starts, ObservedStates: []ObservedState{f}, Membership: &ms})
}

func (n *Node) onHelloResponse(m Message) {
	for _, f := range m.ObservedStates {
		if f.ID == n.cfg.ID && n.contradicts(f, m.Hint == n.hs.StartCount) {
			n.forget()
			return
		}
	}
	if n.answered == nil {
		return
	}
	if m.Membership != nil {
		n.reported[m.From] = *m.Membership
	}
	if m.Hint != n.hs.StartCount {
		return
	}
	n.answered[m.From] = true
	if n.role == RoleRecovering {
		n.finishRecovery()
	}
}

// contradicts reports whether f shows a state that this disk should hold and does not.
// A node that recovers has sent nothing but hellos in this start, so the same Starts in
// the answer to such a hello stems from an earlier life of this identity.
func (n *Node) contradicts(f ObservedState, answer bool) bool {
	if f.StartCount > n.hs.StartCount || f.StartCount == n.hs.StartCount && answer && n.role == RoleRecovering {
		return true
	}
	if f.Term != n.hs.Term {
		return f.Term > n.hs.Term
	}
	return f.Index > n.log.last() || f.Vote != "" && f.Vote != n.hs.Vote
}

// forget takes the node out of voting for good. Unsent answers are dropped.
func (n *Node) forget() {
	n.StepDown()
	n.hs.StateLost = true
	n.role, n.leader, n.messages = RoleStateLost, "", nil
}

// merge returns the newer of two facts about one member.
func (f ObservedState) merge(g ObservedState) ObservedState {
	f.StartCount = max(f.StartCount, g.StartCount)
	switch {
	case g.Term > f.Term:
		f.Term, f.Index, f.Vote = g.Term, g.Index, g.Vote
	case g.Term == f.Term:
		f.Index = max(f.Index, g.Index)
		if g.Vote != "" {
			f.Vote = g.Vote
		}
	}
	return f
}

// learnFacts notes what a message shows of its sender's disk.
func (n *Node) learnFacts(m Message) {
	f := ObservedState{ID: m.From, StartCount: m.StartCount, Term: m.Term}
	switch {
	case m.Kind == MsgPreVote, m.Kind == MsgPreVoteResponse && !m.Reject:
		f.Term = 0 // a term that may never come
	case m.Kind == MsgVote:
		f.Vote = m.From
	case m.Kind == MsgVoteResponse && !m.Reject:
		f.Vote = n.cfg.ID
	case m.Kind == MsgAppend:
		f.Index = m.Index + uint64(len(m.Entries))
	case m.Kind == MsgAppendResponse && !m.Reject:
		f.Index = m.Index
	}
	n.mergeFact(f)
	for _, g := range m.ObservedStates {
		if g.ID != n.cfg.ID {
			n.mergeFact(g)
		}
	}
}

func (n *Node) mergeFact(f ObservedState) {
	if n.membership.IsMember(f.ID) {
		old := n.facts[f.ID]
		old.ID = f.ID
		n.facts[f.ID] = old.merge(f)
	}
}

// factsFor returns what is known of the voters other than id.
func (n *Node) factsFor(id NodeID) []ObservedState {
	var fs []ObservedState
	for _, v := range n.membership.Voters {
		if f, ok := n.facts[v]; ok && v != id {
			fs = append(fs, f)
		}
	}
	return fs
}

// pruneFacts drops the facts of nodes that are no longer members.
func (n *Node) pruneFacts() {
	for id := range n.facts {
		if !n.membership.IsMember(id) {
			delete(n.facts, id)
			delete(n.started, id)
		}
	}
}
