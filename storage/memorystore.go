package storage

import (
	"sync"

	"github.com/oleanderchute/oleanderchute/raft"
)

// MemoryStore is the Store of a VM without a disk. It checks its arguments but keeps no
// entries: the replica holds them in memory, and nothing survives a restart.
type MemoryStore struct {
	mu     sync.Mutex // guards the fields below
	state  logState
	closed bool
}

// NewMemoryStore returns an empty store.
func NewMemoryStore() *MemoryStore { return &MemoryStore{} }

// Save checks its arguments as DiskStore.Save does.
func (m *MemoryStore) Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return ErrClosed
	}
	r := record{HardState: hs, Entries: entries}
	if snap != nil && snap.Index > m.state.snapshot.Index {
		r.Snapshot = &snapshotRef{Index: snap.Index, Term: snap.Term, KeepEntries: m.state.hasEntry(snap.Index, snap.Term)}
	}
	if err := m.state.validate(r); err != nil {
		return err
	}
	m.state.apply(r)
	return nil
}

// Compact does nothing.
func (m *MemoryStore) Compact() error { return nil }

// Close makes later calls of Save return ErrClosed.
func (m *MemoryStore) Close() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return nil
}
