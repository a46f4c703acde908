package storage

import (
	"sort"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
)

// logState is what the log amounts to after a sequence of records, without the
// entries themselves. Replay and live saves share it.
type logState struct {
	hard     raft.HardState
	snapshot snapshotRef
	// The segments at hand hold the entries in (floor, last]. Those up to floor were
	// in dropped segments; the snapshot must cover them.
	floor, last uint64
	runs        []termRun
}

// termRun says that entries from first on have the term, until the next run.
type termRun struct{ first, term uint64 }

// start sets the state from the checkpoint of the oldest segment.
func (s *logState) start(c checkpoint) {
	last := max(c.LastIndex, c.Snapshot.Index)
	*s = logState{hard: c.HardState, snapshot: c.Snapshot, floor: last, last: last}
}

func (s *logState) checkpoint() checkpoint {
	return checkpoint{HardState: s.hard, Snapshot: s.snapshot, LastIndex: s.last}
}

// check returns ErrInvalid if the record does not fit the state.
func (s *logState) check(r record) error {
	base, last := s.snapshot.Index, s.last
	if r.Snapshot != nil {
		if r.Snapshot.Index <= base {
			return errors.Wrapf(ErrInvalid, "snapshot at %d after one at %d", r.Snapshot.Index, base)
		}
		base = r.Snapshot.Index
		if !r.Snapshot.KeepEntries {
			last = base
		}
	}
	for i, e := range r.Entries {
		if i == 0 && (e.Index <= base || e.Index > last+1) {
			return errors.Wrapf(ErrInvalid, "entry %d on a log of (%d, %d]", e.Index, base, last)
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
		s.hard = *r.HardState
	}
	if r.Snapshot != nil {
		s.applySnapshot(*r.Snapshot)
	}
	if len(r.Entries) == 0 {
		return
	}
	first := r.Entries[0].Index
	s.truncate(first)
	for _, e := range r.Entries {
		if n := len(s.runs); n == 0 || s.runs[n-1].term != e.Term {
			s.runs = append(s.runs, termRun{e.Index, e.Term})
		}
	}
	s.last = first + uint64(len(r.Entries)) - 1
}

func (s *logState) applySnapshot(m snapshotRef) {
	s.snapshot = m
	if !m.KeepEntries {
		s.floor, s.last, s.runs = m.Index, m.Index, nil
		return
	}
	i := sort.Search(len(s.runs), func(i int) bool { return s.runs[i].first > m.Index })
	if i > 0 {
		s.runs = append([]termRun(nil), s.runs[i-1:]...)
	}
}

// truncate drops the entries from index on.
func (s *logState) truncate(index uint64) {
	i := sort.Search(len(s.runs), func(i int) bool { return s.runs[i].first >= index })
	s.runs = s.runs[:i]
	s.last = index - 1
	s.floor = min(s.floor, s.last)
}

// holds reports whether the log has an entry with this index and term.
func (s *logState) holds(index, term uint64) bool {
	if index <= s.floor || index > s.last {
		return false
	}
	i := sort.Search(len(s.runs), func(i int) bool { return s.runs[i].first > index })
	return i > 0 && s.runs[i-1].term == term
}
