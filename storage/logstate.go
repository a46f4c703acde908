package storage

import (
	"sort"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
)

// logState is what the log amounts to after a sequence of records, without the
// entries themselves. Replay and live saves share it.
type logState struct {
	hardState raft.HardState
	snapshot  snapshotRef
	// The segments at hand hold the entries in (floor, last]. Those up to floor were
	// in dropped segments; the snapshot must cover them.
	baseIndex, lastIndex uint64
	termRanges           []termRange
}

// termRun says that entries from first on have the term, until the next run.
type termRange struct{ firstIndex, term uint64 }

// start sets the state from the checkpoint of the oldest segment.
func (s *logState) restoreCheckpoint(c checkpoint) {
	lastIndex := max(c.LastIndex, c.Snapshot.Index)
	*s = logState{hardState: c.HardState, snapshot: c.Snapshot, baseIndex: lastIndex, lastIndex: lastIndex}
}

func (s *logState) checkpoint() checkpoint {
	return checkpoint{HardState: s.hardState, Snapshot: s.snapshot, LastIndex: s.lastIndex}
}

// check returns ErrInvalid if the record does not fit the state.
func (s *logState) validate(r record) error {
	snapshotIndex, lastIndex := s.snapshot.Index, s.lastIndex
	if r.Snapshot != nil {
		if r.Snapshot.Index <= snapshotIndex {
			return errors.Wrapf(ErrInvalid, "snapshot at %d after one at %d", r.Snapshot.Index, snapshotIndex)
		}
		snapshotIndex = r.Snapshot.Index
		if !r.Snapshot.KeepEntries {
			lastIndex = snapshotIndex
		}
	}
	for i, e := range r.Entries {
		if i == 0 && (e.Index <= snapshotIndex || e.Index > lastIndex+1) {
			return errors.Wrapf(ErrInvalid, "entry %d on a log of (%d, %d]", e.Index, snapshotIndex, lastIndex)
		}
		if i > 0 && e.Index != r.Entries[i-1].Index+1 {
			return errors.Wrapf(ErrInvalid, "entry %d after %d", e.Index, r.Entries[i-1].Index)
		}
	}
	return nil
}

// apply carries out a record that check accepts.
func (s *logState) apply(r record) {
	if r.HardState != nil {
		s.hardState = *r.HardState
	}
	if r.Snapshot != nil {
		s.applySnapshot(*r.Snapshot)
	}
	if len(r.Entries) == 0 {
		return
	}
	first := r.Entries[0].Index
	s.truncateFrom(first)
	for _, e := range r.Entries {
		if n := len(s.termRanges); n == 0 || s.termRanges[n-1].term != e.Term {
			s.termRanges = append(s.termRanges, termRange{e.Index, e.Term})
		}
	}
	s.lastIndex = first + uint64(len(r.Entries)) - 1
}

func (s *logState) applySnapshot(ref snapshotRef) {
	s.snapshot = ref
	if !ref.KeepEntries {
		s.baseIndex, s.lastIndex, s.termRanges = ref.Index, ref.Index, nil
		return
	}
	i := sort.Search(len(s.termRanges), func(i int) bool { return s.termRanges[i].firstIndex > ref.Index })
	if i > 0 {
		s.termRanges = append([]termRange(nil), s.termRanges[i-1:]...)
	}
}

// truncate drops the entries from index on.
func (s *logState) truncateFrom(index uint64) {
	i := sort.Search(len(s.termRanges), func(i int) bool { return s.termRanges[i].firstIndex >= index })
	s.termRanges = s.termRanges[:i]
	s.lastIndex = index - 1
	s.baseIndex = min(s.baseIndex, s.lastIndex)
}

// holds reports whether the log has an entry with this index and term.
func (s *logState) hasEntry(index, term uint64) bool {
	if index <= s.baseIndex || index > s.lastIndex {
		return false
	}
	i := sort.Search(len(s.termRanges), func(i int) bool { return s.termRanges[i].firstIndex > index })
	return i > 0 && s.termRanges[i-1].term == term
}
