package raft

// Ready returns the next batch of work. It returns false if there is no work, if Advance
// was not yet called for the previous batch, or if the storage has failed.
func (n *Node) Ready() (Ready, bool) {
	if n.hasOutstandingReady || n.role == RoleStorageFailed {
		return Ready{}, false
	}
	if n.role == RoleLeader {
		n.sendAppends()
	}
	rd := Ready{Snapshot: n.log.pendingSnapshot, Messages: n.messages}
	rd.Entries = n.log.slice(n.log.stable+1, n.log.lastIndex())
	rd.Committed = n.log.slice(n.log.applying+1, n.log.commit)
	n.hardState.Commit = n.log.commit
	rd.HardState = n.hardState
	rd.HardStateChanged = n.mustPersistHardState(rd)
	if !rd.HardStateChanged && len(rd.Entries)+len(rd.Messages)+len(rd.Committed) == 0 {
		return Ready{}, false
	}
	n.readyHardState = n.hardState
	n.messages, n.log.pendingSnapshot, n.log.applying = nil, nil, n.log.commit
	n.hasOutstandingReady = true
	return rd, true
}

// MessagesDuringSave returns the messages that may be sent before the outstanding Ready is
// saved: a due heartbeat round of the leader, or a follower's response to the newest
// heartbeat. They depend only on persisted state and acknowledge only applied entries.
// Without them a sync that takes longer than the election timeout would end the leadership.
func (n *Node) MessagesDuringSave() []Message {
	if n.hardState.Term != n.persistedHardState.Term || n.hardState.StartCount != n.persistedHardState.StartCount {
		return nil
	}
	switch n.role {
	case RoleLeader:
		return n.collectMessages(n.sendHeartbeatsDuringSave)
	case RoleFollower, RoleLearner:
		return n.collectMessages(n.respondDuringSave)
	}
	return nil
}

// sendHeartbeatsDuringSave sends the heartbeats of a round that is due. Their Index is 0, so
// they say nothing about the leader's log and pass on no commit index.
func (n *Node) sendHeartbeatsDuringSave() {
	if !n.heartbeatDue {
		return
	}
	n.heartbeatDue = false
	leaseHeld := n.LeaseValid(n.now) && n.hasCommittedInTerm()
	for _, id := range n.progressIDs {
		p := n.progress[id]
		sentCommit := p.sentCommit
		n.sendAppend(id, p, leaseHeld, Message{})
		p.sentCommit = sentCommit
	}
}

// respondDuringSave responds to the leader's newest heartbeat, once.
func (n *Node) respondDuringSave() {
	if n.leader == "" || n.leaderSentAtTerm != n.hardState.Term || n.leaderSentAt <= n.respondedDuringSave {
		return
	}
	n.respondedDuringSave = n.leaderSentAt
	n.respondToAppend(n.leader, Message{Index: n.log.applied})
}

// mustPersistHardState reports whether rd must include the hard state. A change of the
// commit index alone does not justify a sync, since a restarted node learns the index
// again from the leader. The index is written together with entries, snapshots and
// changes of the other fields.
func (n *Node) mustPersistHardState(rd Ready) bool {
	old := n.persistedHardState
	old.Commit = n.hardState.Commit
	if old != n.hardState || rd.Snapshot != nil {
		return true
	}
	return len(rd.Entries) > 0 && n.persistedHardState.Commit != n.hardState.Commit
}

// Advance tells the node that the application has persisted, sent and applied rd, which
// must be the batch that Ready returned last.
func (n *Node) Advance(rd Ready) {
	if !n.hasOutstandingReady {
		panic("raft: Advance without an outstanding Ready")
	}
	n.hasOutstandingReady = false
	if rd.HardStateChanged {
		n.persistedHardState = n.readyHardState
	}
	n.log.markStable(rd.Entries)
	n.recordApplied(rd)
	if n.role == RoleCandidate && n.persistedHardState.Term == n.hardState.Term && n.persistedHardState.Vote == n.cfg.ID {
		n.countVote(n.cfg.ID, true)
	}
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}

// recordApplied updates the applied index and term after rd was applied.
func (n *Node) recordApplied(rd Ready) {
	if s := rd.Snapshot; s != nil && s.Index > n.log.applied {
		n.log.applied, n.log.appliedTerm = s.Index, s.Term
	}
	if k := len(rd.Committed); k > 0 && rd.Committed[k-1].Index > n.log.applied {
		n.log.applied, n.log.appliedTerm = rd.Committed[k-1].Index, rd.Committed[k-1].Term
	}
}

// Compact replaces the log up to index by a snapshot with data, the state of the
// application after the entry at index. It returns the snapshot, which the application
// must persist before it deletes older files. It returns ErrCompacted if index is not
// above that of the last snapshot or is not yet applied.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) {
	if index <= n.log.snapshot.Index || index > n.log.applied {
		return Snapshot{}, ErrCompacted
	}
	term, ok := n.log.term(index)
	if !ok {
		return Snapshot{}, ErrCompacted
	}
	s := Snapshot{Index: index, Term: term, Membership: n.memberships.atIndex(index).clone(), Data: data}
	n.log.compact(s, n.cfg.TrailingLogBytes)
	n.memberships.compact(index)
	return s, nil
}
