package storage

import (
	"sort"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
)

// logState summarizes the log after a sequence of records, without the data of the
// entries. Recovery and Save both maintain it.
type logState struct {
	hardState raft.HardState
	snapshot  snapshotRef
	// The records since the first checkpoint contain the entries in (baseIndex, lastIndex].
	// Entries up to baseIndex were in removed segments or were replaced by a snapshot; the
	// snapshot must cover them.
	baseIndex, lastIndex uint64
	termRanges           []termRange // terms of these entries, ascending by index
}

// termRange is the term of the entries from firstIndex up to the next termRange.
type termRange struct{ firstIndex, term uint64 }

// restoreCheckpoint sets the state from the checkpoint of the oldest segment.
func (s *logState) restoreCheckpoint(c checkpoint) {
	lastIndex := max(c.LastIndex, c.Snapshot.Index)
	*s = logState{hardState: c.HardState, snapshot: c.Snapshot, baseIndex: lastIndex, lastIndex: lastIndex}
}

// checkpoint returns the checkpoint for a segment that starts in this state.
func (s *logState) checkpoint() checkpoint {
	return checkpoint{HardState: s.hardState, Snapshot: s.snapshot, LastIndex: s.lastIndex}
}

// validate returns ErrInvalid if the record cannot be applied: its snapshot is not newer
// than the current one, or its entries leave a gap or overwrite a snapshot.
func (s *logState) validate(r record) error {
	snapshotIndex, lastIndex := s.snapshot.Index, s.lastIndex
	if r.Snapshot != nil {
		if r.Snapshot.Index <= snapshotIndex {
			return errors.Wrapf(ErrInvalid, "snapshot at index %d is not newer than the current one at index %d", r.Snapshot.Index, snapshotIndex)
		}
		snapshotIndex = r.Snapshot.Index
		if !r.Snapshot.KeepEntries {
			lastIndex = snapshotIndex
		}
	}
	for i, e := range r.Entries {
		if i == 0 && (e.Index <= snapshotIndex || e.Index > lastIndex+1) {
			return errors.Wrapf(ErrInvalid, "entry %d neither extends nor overwrites the log (%d, %d]", e.Index, snapshotIndex, lastIndex)
		}
		if i > 0 && e.Index != r.Entries[i-1].Index+1 {
			return errors.Wrapf(ErrInvalid, "entry %d does not directly follow entry %d", e.Index, r.Entries[i-1].Index)
		}
	}
	return nil
}

// apply updates the state with a record that validate accepts.
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

// applySnapshot makes ref the current snapshot. It resets the log, or drops the term ranges
// that end before the snapshot if the entries after it are kept.
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

// truncateFrom drops the entry at index and all later ones.
func (s *logState) truncateFrom(index uint64) {
	i := sort.Search(len(s.termRanges), func(i int) bool { return s.termRanges[i].firstIndex >= index })
	s.termRanges = s.termRanges[:i]
	s.lastIndex = index - 1
	s.baseIndex = min(s.baseIndex, s.lastIndex)
}

// hasEntry reports whether the log contains an entry with the given index and term.
func (s *logState) hasEntry(index, term uint64) bool {
	if index <= s.baseIndex || index > s.lastIndex {
		return false
	}
	i := sort.Search(len(s.termRanges), func(i int) bool { return s.termRanges[i].firstIndex > index })
	return i > 0 && s.termRanges[i-1].term == term
}
