package raft

// Ready returns the next batch of work, or false if there is none, if the previous
// batch has not been advanced, or if the storage failed.
func (n *Node) Ready() (Ready, bool) {
	if n.outstanding || n.role == RoleStorageFailed {
		return Ready{}, false
	}
	if n.role == RoleLeader {
		n.sendAppends()
	}
	rd := Ready{Snapshot: n.log.received, Messages: n.messages}
	rd.Entries = n.log.slice(n.log.stable+1, n.log.last())
	rd.Committed = n.log.slice(n.log.emitted+1, n.log.commit)
	n.hs.Commit = n.log.commit
	rd.HardState = n.hs
	rd.HardStateChanged = n.mustWrite(rd)
	if !rd.HardStateChanged && len(rd.Entries)+len(rd.Messages)+len(rd.Committed) == 0 {
		return Ready{}, false
	}
	n.offered = n.hs
	n.messages, n.log.received, n.log.emitted = nil, nil, n.log.commit
	n.outstanding = true
	return rd, true
}

// mustWrite reports whether the hard state is to be written. The commit index alone is
// not worth a sync, as a restarted node learns it again; it is written along with
// entries, snapshots and the other fields.
func (n *Node) mustWrite(rd Ready) bool {
	old := n.written
	old.Commit = n.hs.Commit
	if old != n.hs || rd.Snapshot != nil {
		return true
	}
	return len(rd.Entries) > 0 && n.written.Commit != n.hs.Commit
}

// Advance says that the batch rd was persisted, sent and applied. It must be the one
// that Ready returned last.
func (n *Node) Advance(rd Ready) {
	if !n.outstanding {
		panic("raft: Advance without an outstanding Ready")
	}
	n.outstanding = false
	if rd.HardStateChanged {
		n.written = n.offered
	}
	n.log.persisted(rd.Entries)
	n.applied(rd)
	if n.role == RoleCandidate && n.written.Term == n.hs.Term && n.written.Vote == n.cfg.ID {
		n.countVote(n.cfg.ID, true)
	}
	if n.role == RoleLeader {
		n.advanceCommit()
	}
}

// applied notes how far the embedder has applied.
func (n *Node) applied(rd Ready) {
	if s := rd.Snapshot; s != nil && s.Index > n.log.applied {
		n.log.applied, n.log.appliedTerm = s.Index, s.Term
	}
	if k := len(rd.Committed); k > 0 && rd.Committed[k-1].Index > n.log.applied {
		n.log.applied, n.log.appliedTerm = rd.Committed[k-1].Index, rd.Committed[k-1].Term
	}
}

// Compact replaces the log up to index, which must be applied, by data, the state of
// the embedder at index. It returns the snapshot for the embedder to persist before it
// deletes older files. Error: ErrCompacted if index is not above the last snapshot or
// not yet applied.
func (n *Node) Compact(index uint64, data []byte) (Snapshot, error) {
	if index <= n.log.snapshot.Index || index > n.log.applied {
		return Snapshot{}, ErrCompacted
	}
	term, ok := n.log.term(index)
	if !ok {
		return Snapshot{}, ErrCompacted
	}
	s := Snapshot{Index: index, Term: term, Membership: n.memberships.at(index).clone(), Data: data}
	n.log.compact(s, n.cfg.TrailingLogBytes)
	n.memberships.compact(index)
	return s, nil
}
