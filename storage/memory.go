package storage

import (
	"sync"

	"github.com/oleanderchute/oleanderchute/raft"
)

// Memory is the store of a VM without a disk. It checks what it is given and keeps no
// entries, since the replica holds them itself and nothing survives a restart.
type Memory struct {
	mu     sync.Mutex // guards the fields below
	state  logState
	closed bool
}

// NewMemory returns an empty store.
func NewMemory() *Memory { return &Memory{} }

// Save checks the arguments as Group.Save does.
func (m *Memory) Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrClosed
	}
	r := record{Hard: hs, Entries: entries}
	if snap != nil && snap.Index > m.state.snapshot.Index {
		r.Snapshot = &snapshotRef{Index: snap.Index, Term: snap.Term, Keep: m.state.holds(snap.Index, snap.Term)}
	}
	if err := m.state.check(r); err != nil {
		return err
	}
	m.state.apply(r)
	return nil
}

// Compact does nothing.
func (m *Memory) Compact() error { return nil }

// Close makes later saves fail.
func (m *Memory) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return nil
}
