package raft

import "slices"

// A node whose data folder was restored from an old copy no longer holds votes and
// acknowledgements that other nodes rely on. This file implements the detection of such a
// loss. The states that a disk goes through are totally ordered: by StartCount, then by
// term, and within a term by vote and by acknowledged index. Every node keeps in memory
// the newest state that it has observed of each member (ObservedState). The leader shares
// its observed states of the voters once per election timeout. A restarted node queries
// all peers (MsgRecovery). It takes part again when a quorum, including itself, has
// responded and either all members have responded or an election timeout has passed. A
// later response that proves a loss is still processed. As the membership on the node's
// disk may be out of date, the responses contain the membership of the peers.
//
// A restarted node may have answered a leader before its restart, so it neither votes nor
// campaigns for an election timeout. That wait ends when all members have responded that
// they hold no lease, as after a power loss of all: the leader was one of them, and whoever
// becomes the leader after its response has to win the votes of nodes that know their promises.
//
// All voters may restart at the same time. A recovering node answers MsgRecovery too, so
// they recover from each other. A single voter needs no response, but it waits all the
// same: its disk may be an old copy, and the leader of the group that has grown since
// then must have time to contact it.
//
// Some losses cannot be detected. Observed states are not persisted, so a loss stays
// undetected if the only peers that know of it are unreachable or have restarted. For
// example, of three voters A, B and V, A committed an entry with V alone, then A failed
// and V returned with an older copy of its disk: B cannot know of that entry. Old copies
// on a majority of the voters at the same time are not detected either. A vote of a peer
// for this node is on the peer's disk and survives the peer's restart.

// startRecovery makes a restarted node query its peers before it takes part in the group.
func (n *Node) startRecovery() {
	n.role = RoleRecovering
	n.voteNotBefore = n.now + n.cfg.ElectionTimeout
	n.peersWithoutLease = map[NodeID]bool{}
	n.recoveryResponses, n.reportedMemberships = map[NodeID]bool{}, map[NodeID]Membership{n.cfg.ID: n.membership}
	n.sendRecoveryRequests()
	n.tryFinishRecovery()
}

func (n *Node) tickRecovery() {
	n.retryRecoveryRequests()
	n.tryFinishRecovery()
}

// recoveryPeers returns the other members of all memberships on the disk or in a
// response, sorted so that the order of messages is deterministic. It includes learners:
// their responses do not count towards a quorum, but a learner may have been promoted
// since and be the only node that knows of a loss.
func (n *Node) recoveryPeers() []NodeID {
	var ids []NodeID
	for _, ms := range n.reportedMemberships {
		ids = append(append(ids, ms.Voters...), ms.Learners...)
	}
	slices.Sort(ids)
	return slices.DeleteFunc(slices.Compact(ids), func(id NodeID) bool { return id == n.cfg.ID })
}

// sendRecoveryRequests queries all peers while the node recovers, since the membership in
// an earlier response may be out of date. After recovery it queries only the peers that
// have not responded.
func (n *Node) sendRecoveryRequests() {
	n.recoveryRetryAt = n.now + 2*n.cfg.HeartbeatInterval
	for _, id := range n.recoveryPeers() {
		if n.role == RoleRecovering || !n.recoveryResponses[id] {
			n.send(Message{Kind: MsgRecovery, To: id})
		}
	}
}

// retryRecoveryRequests repeats the requests when they are due. After recovery it does so
// only until the wait after the restart has ended.
func (n *Node) retryRecoveryRequests() {
	if n.recoveryResponses != nil && n.now >= n.recoveryRetryAt && (n.role == RoleRecovering || n.now < n.voteNotBefore) {
		n.sendRecoveryRequests()
	}
}

// tryFinishRecovery lets the node take part in the group if enough voters have responded.
func (n *Node) tryFinishRecovery() {
	isIncomplete := slices.ContainsFunc(n.recoveryPeers(), func(id NodeID) bool { return !n.recoveryResponses[id] })
	if n.now < n.voteNotBefore && (isIncomplete || len(n.recoveryResponses) == 0) || !n.hasRecoveryQuorum() {
		return
	}
	n.role = n.passiveRole()
	n.resetElectionDeadline()
	if !n.hasHeardLeader {
		// The wait after the restart was long enough to hear from a leader. If all voters
		// have restarted there is no leader, and another full timeout would only delay the
		// election.
		n.electionDeadline -= n.cfg.ElectionTimeout
	}
}

// endWaitWithoutLease ends the wait after the restart if all peers hold no lease.
func (n *Node) endWaitWithoutLease() {
	if !slices.ContainsFunc(n.recoveryPeers(), func(id NodeID) bool { return !n.peersWithoutLease[id] }) {
		n.voteNotBefore = min(n.voteNotBefore, n.now)
	}
}

// hasRecoveryQuorum reports whether a quorum of any known membership has responded,
// including the node itself. One membership is sufficient because the node cannot tell
// which of them is in effect: the newest may be uncommitted and be removed again.
func (n *Node) hasRecoveryQuorum() bool {
	for _, ms := range n.reportedMemberships {
		responses := 0
		for _, id := range ms.Voters {
			if id == n.cfg.ID || n.recoveryResponses[id] {
				responses++
			}
		}
		if responses >= ms.quorum() {
			return true
		}
	}
	return false
}

// queryUnknownSender sends MsgRecovery to the sender of a message that is not a known
// member: the membership may have changed.
func (n *Node) queryUnknownSender(m Message) {
	if !n.recoveryResponses[m.From] && !slices.Contains(n.recoveryPeers(), m.From) {
		n.send(Message{Kind: MsgRecovery, To: m.From})
	}
}

// onRecovery responds to a restarted node with the state that was observed of it.
func (n *Node) onRecovery(m Message) {
	if n.membership.IsMember(m.From) {
		n.startCounts[m.From] = max(n.startCounts[m.From], m.StartCount)
	}
	startCount := m.StartCount
	if !n.isMember() {
		startCount = 0 // a removed member may prove a loss, but its response does not count towards a quorum
	}
	n.sendRecoveryResponse(m.From, startCount)
}

// sendRecoveryResponse sends to a node the state that was observed of it. startCount is the
// StartCount of its request, or 0 if the message must not count as a response.
func (n *Node) sendRecoveryResponse(to NodeID, startCount uint64) {
	observed := n.observedStates[to]
	observed.ID = to
	if n.startCounts[to] > startCount {
		// A request with a higher StartCount has arrived before: this request is late, or
		// the disk has lost that start.
		observed.StartCount = max(observed.StartCount, n.startCounts[to])
	}
	if n.hardState.Vote == to {
		observed = observed.merge(ObservedState{Term: n.hardState.Term, Vote: to})
	}
	ms := n.membership.clone()
	n.send(Message{Kind: MsgRecoveryResponse, To: to, Hint: startCount, ObservedStates: []ObservedState{observed}, Membership: &ms, HoldsNoLease: n.role != RoleLeader})
}

func (n *Node) onRecoveryResponse(m Message) {
	for _, observed := range m.ObservedStates {
		if observed.ID == n.cfg.ID && n.provesStateLoss(observed, m.Hint == n.hardState.StartCount) {
			n.markStateLost()
			return
		}
	}
	if n.recoveryResponses == nil {
		return
	}
	if m.Membership != nil {
		n.reportedMemberships[m.From] = *m.Membership
	}
	if m.Hint != n.hardState.StartCount {
		return
	}
	n.recoveryResponses[m.From] = true
	if m.HoldsNoLease {
		n.peersWithoutLease[m.From] = true
		n.endWaitWithoutLease()
	}
	if n.role == RoleRecovering {
		n.tryFinishRecovery()
	}
}

// provesStateLoss reports whether observed is a state that this disk should hold but does
// not. isResponse is true if it is from the response to a request of the current start.
// While a node recovers it sends only MsgRecovery and MsgRecoveryResponse, from which peers
// record no observed state. If the response to its request contains the same StartCount,
// the peer observed an earlier start with that count, which the disk has lost.
func (n *Node) provesStateLoss(observed ObservedState, isResponse bool) bool {
	if observed.StartCount > n.hardState.StartCount || observed.StartCount == n.hardState.StartCount && isResponse && n.role == RoleRecovering {
		return true
	}
	if observed.Term != n.hardState.Term {
		return observed.Term > n.hardState.Term
	}
	return observed.Index > n.log.lastIndex() || observed.Vote != "" && observed.Vote != n.hardState.Vote
}

// markStateLost permanently stops the node from taking part in the group. Unsent messages
// are dropped.
func (n *Node) markStateLost() {
	n.StepDown()
	n.hardState.StateLost = true
	n.role, n.leader, n.messages = RoleStateLost, "", nil
}

// merge returns the newest state that follows from two observed states of one member.
func (s ObservedState) merge(other ObservedState) ObservedState {
	s.StartCount = max(s.StartCount, other.StartCount)
	switch {
	case other.Term > s.Term:
		s.Term, s.Index, s.Vote = other.Term, other.Index, other.Vote
	case other.Term == s.Term:
		s.Index = max(s.Index, other.Index)
		if other.Vote != "" {
			s.Vote = other.Vote
		}
	}
	return s
}

// recordSenderState records the state of the sender's disk that a message implies, and
// the states of other members that it contains.
func (n *Node) recordSenderState(m Message) {
	observed := ObservedState{ID: m.From, StartCount: m.StartCount, Term: m.Term}
	switch {
	case m.Kind == MsgPreVote, m.Kind == MsgPreVoteResponse && !m.Reject:
		observed.Term = 0 // a pre-vote has the next term, which the sender has not persisted
	case m.Kind == MsgVote:
		observed.Vote = m.From
	case m.Kind == MsgVoteResponse && !m.Reject:
		observed.Vote = n.cfg.ID
	case m.Kind == MsgAppend:
		observed.Index = m.Index + uint64(len(m.Entries))
	case m.Kind == MsgAppendResponse && !m.Reject:
		observed.Index = m.Index
	}
	n.mergeObservedState(observed)
	for _, shared := range m.ObservedStates {
		if shared.ID != n.cfg.ID {
			n.mergeObservedState(shared)
		}
	}
}

func (n *Node) mergeObservedState(observed ObservedState) {
	if n.membership.IsMember(observed.ID) {
		old := n.observedStates[observed.ID]
		old.ID = observed.ID
		n.observedStates[observed.ID] = old.merge(observed)
	}
}

// observedVoterStatesExcept returns the observed states of the voters other than id.
func (n *Node) observedVoterStatesExcept(id NodeID) []ObservedState {
	var states []ObservedState
	for _, v := range n.membership.Voters {
		if observed, ok := n.observedStates[v]; ok && v != id {
			states = append(states, observed)
		}
	}
	return states
}

// pruneObservedStates removes the observed states of nodes that are no longer members.
func (n *Node) pruneObservedStates() {
	for id := range n.observedStates {
		if !n.membership.IsMember(id) {
			delete(n.observedStates, id)
			delete(n.startCounts, id)
		}
	}
}
