package storage

import (
	"sync"

	"github.com/oleanderchute/oleanderchute/raft"
)

// Memory is the store of a VM without a disk. It checks what it is given and keeps no
// entries, since the replica holds them itself and nothing survives a restart.
type MemoryStore struct {
	mu     sync.Mutex // guards the fields below
	state  logState
	closed bool
}

// NewMemory returns an empty store.
func NewMemoryStore() *MemoryStore { return &MemoryStore{} }

// Save checks the arguments as Group.Save does.
func (m *MemoryStore) Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrClosed
	}
	r := record{HardState: hs, Entries: entries}
	if snap != nil && snap.Index > m.state.snapshot.Index {
		r.Snapshot = &snapshotRef{Index: snap.Index, Term: snap.Term, KeepEntries: m.state.holds(snap.Index, snap.Term)}
	}
	if err := m.state.check(r); err != nil {
		return err
	}
	m.state.apply(r)
	return nil
}

// Compact does nothing.
func (m *MemoryStore) Compact() error { return nil }

// Close makes later saves fail.
func (m *MemoryStore) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return nil
}
