package raft

import "fmt"

// entryOverhead is the size that flow control charges for an entry besides its data,
// in bytes: about the encoded size of term, index and kind.
const entryOverhead = 24

// raftLog holds the entries that are still in memory, and the newest snapshot. The
// Node owns it. Slices of entries that were handed out stay intact: truncation caps
// the slice, so that a later append copies.
type raftLog struct {
	snapshot Snapshot
	// prevIndex and prevTerm are of the entry before entries[0]; prevIndex is at most
	// snapshot.Index.
	prevIndex, prevTerm uint64
	entries             []Entry
	commit              uint64
	// emitted is the highest committed index handed out, applied that of the last
	// advanced Ready, with its term.
	emitted, applied, appliedTerm uint64
	// stable is the highest index that is known to be persisted.
	stable uint64
	// received is a snapshot from the leader that waits for the next Ready.
	received *Snapshot
}

func newRaftLog(rec PersistentState) raftLog {
	s := rec.Snapshot
	l := raftLog{snapshot: s, prevIndex: s.Index, prevTerm: s.Term, commit: s.Index,
		emitted: s.Index, applied: s.Index, appliedTerm: s.Term}
	for _, e := range rec.Entries {
		if e.Index <= s.Index {
			continue
		}
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("raft: recovered entry %d where %d is expected", e.Index, l.last()+1))
		}
		l.append(e)
	}
	l.stable = l.last()
	l.commitTo(rec.HardState.Commit)
	return l
}

func (l *raftLog) last() uint64 { return l.prevIndex + uint64(len(l.entries)) }

func (l *raftLog) lastTerm() uint64 {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of entry i; false if i is compacted or beyond the end.
func (l *raftLog) term(i uint64) (uint64, bool) {
	switch {
	case i == l.prevIndex:
		return l.prevTerm, true
	case i < l.prevIndex || i > l.last():
		return 0, false
	}
	return l.entries[i-l.prevIndex-1].Term, true
}

func (l *raftLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with (index, term) holds at least as much.
func (l *raftLog) upToDate(index, term uint64) bool {
	lt := l.lastTerm()
	return term > lt || term == lt && index >= l.last()
}

// slice returns the entries lo to hi inclusive; both must be in memory.
func (l *raftLog) slice(lo, hi uint64) []Entry {
	if lo > hi {
		return nil
	}
	a, b := lo-l.prevIndex-1, hi-l.prevIndex
	return l.entries[a:b:b]
}

// batch returns entries from lo on with at most maxBytes, but at least one if there is any.
func (l *raftLog) batch(lo uint64, maxBytes int) (entries []Entry, bytes int) {
	for i := lo; i <= l.last(); i++ {
		size := len(l.entries[i-l.prevIndex-1].Data) + entryOverhead
		if i > lo && bytes+size > maxBytes {
			return l.slice(lo, i-1), bytes
		}
		bytes += size
	}
	return l.slice(lo, l.last()), bytes
}

func (l *raftLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// merge appends the entries that are new after a matching previous entry and returns
// the index at which the log was truncated, 0 if it was not.
func (l *raftLog) merge(entries []Entry) (truncatedAt uint64) {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
			truncatedAt = e.Index
		}
		l.append(entries[i:]...)
		return truncatedAt
	}
	return 0
}

// truncate drops the entries from index on.
func (l *raftLog) truncate(index uint64) {
	if index <= l.commit {
		panic(fmt.Sprintf("raft: entry %d is committed (commit %d) and conflicts with the leader's", index, l.commit))
	}
	k := index - l.prevIndex - 1
	l.entries = l.entries[:k:k]
	l.stable = min(l.stable, index-1)
}

func (l *raftLog) commitTo(index uint64) { l.commit = max(l.commit, min(index, l.last())) }

// lastNotAfter returns the highest index up to index whose term is at most term, and
// its term. Both sides skip a whole term with it when they look for the last common
// entry of diverged logs.
func (l *raftLog) lastNotAfter(index, term uint64) (uint64, uint64) {
	for i := min(index, l.last()); ; i-- {
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
	l.snapshot, l.received = *s, s
	l.prevIndex, l.prevTerm, l.entries = s.Index, s.Term, nil
	l.commit, l.emitted, l.stable = s.Index, s.Index, s.Index
}

// compact sets the snapshot and drops entries before it, except for up to keep bytes.
func (l *raftLog) compact(s Snapshot, keep int) {
	l.snapshot = s
	first := s.Index
	for first > l.prevIndex {
		keep -= len(l.entries[first-l.prevIndex-1].Data) + entryOverhead
		if keep < 0 {
			break
		}
		first--
	}
	if first == l.prevIndex {
		return
	}
	t, _ := l.term(first)
	l.entries = append([]Entry(nil), l.slice(first+1, l.last())...)
	l.prevIndex, l.prevTerm = first, t
}

// persisted records that the embedder has synced the entries of a Ready. Entries that
// were replaced since then do not count.
func (l *raftLog) persisted(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	e := entries[len(entries)-1]
	if e.Index > l.stable && e.Index > l.prevIndex && l.matches(e.Index, e.Term) {
		l.stable = e.Index
	}
}
