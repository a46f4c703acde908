package raft

import "fmt"

// entryOverhead is the number of bytes that flow control adds to the size of an entry's
// data: about the encoded size of term, index and kind.
const entryOverhead = 24

// raftLog holds the entries that are still in memory, and the newest snapshot. It is
// owned by the Node. Slices of entries that were returned earlier stay unchanged:
// truncation limits the capacity of the slice, so that a later append copies it.
type raftLog struct {
	snapshot Snapshot
	// prevIndex and prevTerm are the index and term of the entry before entries[0].
	// prevIndex is at most snapshot.Index.
	prevIndex, prevTerm uint64
	entries             []Entry
	commit              uint64 // commit index
	// applying is the highest committed index that was returned in a Ready. applied and
	// appliedTerm are the index and term of the last entry whose Ready was advanced.
	applying, applied, appliedTerm uint64
	// stable is the highest index that is known to be persisted.
	stable uint64
	// pendingSnapshot is a snapshot from the leader that the next Ready will return.
	pendingSnapshot *Snapshot
}

func newRaftLog(persisted PersistentState) raftLog {
	s := persisted.Snapshot
	l := raftLog{snapshot: s, prevIndex: s.Index, prevTerm: s.Term, commit: s.Index,
		applying: s.Index, applied: s.Index, appliedTerm: s.Term}
	for _, e := range persisted.Entries {
		if e.Index <= s.Index {
			continue
		}
		if e.Index != l.lastIndex()+1 {
			panic(fmt.Sprintf("raft: persisted log has entry %d where entry %d is expected", e.Index, l.lastIndex()+1))
		}
		l.append(e)
	}
	l.stable = l.lastIndex()
	l.commitTo(persisted.HardState.Commit)
	return l
}

func (l *raftLog) lastIndex() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of entry i. It returns false if the entry is compacted or i is
// beyond the last index.
func (l *raftLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.prevIndex:
		return l.prevTerm, true
	case i < l.prevIndex || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.prevIndex-1].Term, true
}

// matchesTerm reports whether the log holds an entry with this index and term.
func (l *raftLog) matchesTerm(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// isUpToDate reports whether a log whose last entry has this index and term is at least
// as up to date as this log.
func (l *raftLog) isUpToDate(index, term uint64) bool {
	lt := l.lastTerm()
	return term > lt || term == lt && index >= l.lastIndex()
}

// slice returns the entries from lo to hi, both included. They must be in memory.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	a, b := lo-l.prevIndex-1, hi-l.prevIndex
	return l.entries[a:b:b]
}

// batch returns entries from first on and their size in bytes. The size is at most
// maxBytes, except that a single entry is returned whatever its size.
func (l *raftLog) batch(first uint64, maxBytes int) (entries []Entry, bytes int) {
	for i := first; i <= l.lastIndex(); i++ {
		size := len(l.entries[i-l.prevIndex-1].Data) + entryOverhead
		if i > first && bytes+size > maxBytes {
			return l.slice(first, i-1), bytes
		}
		bytes += size
	}
	return l.slice(first, l.lastIndex()), bytes
}

func (l *raftLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// merge appends the entries that the log does not hold yet and truncates the log at the
// first conflict. The entry before entries[0] must match. merge returns the index at
// which the log was truncated, or 0 if it was not.
func (l *raftLog) merge(entries []Entry) (truncatedAt uint64) {
	for i, e := range entries {
		if l.matchesTerm(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.lastIndex() {
			l.truncate(e.Index)
			truncatedAt = e.Index
		}
		l.append(entries[i:]...)
		return truncatedAt
	}
	return 0
}

// truncate removes the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("raft: entry %d is committed (commit index %d) but conflicts with the leader's log", index, l.commit))
	}
	k := index - l.prevIndex - 1
	l.entries = l.entries[:k:k]
	l.stable = min(l.stable, index-1)
}

// commitTo raises the commit index to index, but at most to the last index.
func (l *raftLog) commitTo(index uint64) { l.commit = max(l.commit, min(index, l.lastIndex())) }

// findConflictByTerm returns the highest index, at most index, whose term is at most
// term, and the term at that index. Leader and follower use it to skip a whole term at a
// time when they search for the last common entry of diverged logs.
func (l *raftLog) findConflictByTerm(index, term uint64) (uint64, uint64) {
	for i := min(index, l.lastIndex()); ; i-- {
		t, ok := l.term(i)
		if !ok {
			return i, 0
		}
		if t <= term || i == 0 {
			return i, t
		}
	}
}

// restore replaces the log by a snapshot from the leader.
func (l *raftLog) restore(s *Snapshot) {
	l.snapshot, l.pendingSnapshot = *s, s
	l.prevIndex, l.prevTerm, l.entries = s.Index, s.Term, nil
	l.commit, l.applying, l.stable = s.Index, s.Index, s.Index
}

// compact sets the snapshot and removes the entries that it covers, except for the newest
// ones with a total size of at most keepBytes.
func (l *raftLog) compact(s Snapshot, keepBytes int) {
	l.snapshot = s
	first := s.Index
	for first > l.prevIndex {
		keepBytes -= len(l.entries[first-l.prevIndex-1].Data) + entryOverhead
		if keepBytes < 0 {
			break
		}
		first--
	}
	if first == l.prevIndex {
		return
	}
	t, _ := l.term(first)
	l.entries = append([]Entry(nil), l.slice(first+1, l.lastIndex())...)
	l.prevIndex, l.prevTerm = first, t
}

// markStable records that the application has synced the entries of a Ready. Entries that
// were replaced in the meantime do not count.
func (l *raftLog) markStable(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	e := entries[len(entries)-1]
	if e.Index > l.stable && e.Index > l.prevIndex && l.matchesTerm(e.Index, e.Term) {
		l.stable = e.Index
	}
}
