package storage

import (
	"syscall"
	"testing"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

var errInjected error = errors.New("injected")

// storeModel is the state that must be recovered after a sequence of acknowledged saves.
type storeModel raft.PersistentState

func (m storeModel) lastIndex() uint64 {
	if n := len(m.Entries); n > 0 {
		return m.Entries[n-1].Index
	}
	return m.Snapshot.Index
}

// save returns the model after a Save with these arguments.
func (m storeModel) save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) storeModel {
	if hs != nil {
		m.HardState = *hs
	}
	if snap != nil && snap.Index > m.Snapshot.Index {
		var keep []raft.Entry
		for _, e := range m.Entries {
			if e.Index == snap.Index && e.Term == snap.Term {
				keep = m.Entries[e.Index-m.Snapshot.Index:]
			}
		}
		m.Snapshot, m.Entries = *snap, keep
	}
	if len(entries) > 0 {
		kept := entries[0].Index - m.Snapshot.Index - 1
		m.Entries = append(append([]raft.Entry(nil), m.Entries[:kept]...), entries...)
	}
	return m
}

func (m storeModel) equal(r raft.PersistentState) bool {
	if m.HardState != r.HardState || len(m.Entries) != len(r.Entries) ||
		m.Snapshot.Index != r.Snapshot.Index || string(m.Snapshot.Data) != string(r.Snapshot.Data) {
		return false
	}
	for i, e := range m.Entries {
		if got := r.Entries[i]; got.Index != e.Index || got.Term != e.Term || string(got.Data) != string(e.Data) {
			return false
		}
	}
	return true
}

// crashTest drives one random sequence of saves, compactions and crashes.
type crashTest struct {
	t     *rapid.T
	fsys  *memFS
	store *DiskStore
	model storeModel
	term  uint64
}

// open opens the store and compares the recovered state with the model.
func (ct *crashTest) open() {
	store, recovered, err := OpenDiskStore("/data", "control", Options{SegmentBytes: 250, FS: ct.fsys})
	if err != nil {
		ct.t.Fatalf("open: %v", err)
	}
	ct.store = store
	if !ct.model.equal(recovered) {
		ct.t.Fatalf("recovered %+v, want %+v", recovered, ct.model)
	}
}

// drawSaveArgs draws valid arguments of Save.
func (ct *crashTest) drawSaveArgs() (*raft.HardState, []raft.Entry, *raft.Snapshot) {
	var hs *raft.HardState
	var snap *raft.Snapshot
	if rapid.Bool().Draw(ct.t, "hard") {
		ct.term += uint64(rapid.IntRange(0, 1).Draw(ct.t, "term"))
		hs = &raft.HardState{Term: ct.term, Vote: "vm1#1"}
	}
	next := ct.model
	if rapid.IntRange(0, 4).Draw(ct.t, "snap") == 0 {
		index := next.Snapshot.Index + uint64(rapid.IntRange(0, 12).Draw(ct.t, "at"))
		snap = &raft.Snapshot{Index: index, Term: ct.term, Data: []byte{byte(index), byte(ct.term)}}
		if index > next.Snapshot.Index && index <= next.lastIndex() && rapid.Bool().Draw(ct.t, "local") {
			snap.Term = next.Entries[index-next.Snapshot.Index-1].Term
		}
		next = next.save(nil, nil, snap)
	}
	n := rapid.IntRange(0, 5).Draw(ct.t, "entries")
	overwritten := rapid.IntRange(0, len(next.Entries)).Draw(ct.t, "back")
	if rapid.Bool().Draw(ct.t, "extend") {
		overwritten = 0
	}
	if overwritten > 0 {
		ct.term++ // only a new leader overwrites entries
	}
	var entries []raft.Entry
	for i := range n {
		data := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(ct.t, "data")
		entries = append(entries, raft.Entry{Term: ct.term, Index: next.lastIndex() - uint64(overwritten) + 1 + uint64(i), Data: data})
	}
	return hs, entries, snap
}

// saveAndCompact calls Save and sometimes Compact. If failAt is not negative, file
// operation number failAt, counted from 0, and all later ones fail. It then crashes and
// reopens the store, but may skip this if failAt was not reached.
func (ct *crashTest) saveAndCompact(failAt int) {
	hs, entries, snap := ct.drawSaveArgs()
	cause := errInjected
	if rapid.IntRange(0, 3).Draw(ct.t, "full") == 0 {
		cause = syscall.ENOSPC
	}
	ct.fsys.injectFault = func(string, string) error {
		if failAt--; failAt == -1 {
			ct.fsys.injectFault = func(string, string) error { return cause }
			return cause
		}
		return nil
	}
	saved := ct.model.save(hs, entries, snap)
	err := ct.store.Save(hs, entries, snap)
	if errors.Is(err, ErrDiskFull) && rapid.Bool().Draw(ct.t, "room") {
		ct.fsys.injectFault = nil
		if err = ct.store.Save(hs, entries, snap); err != nil {
			ct.t.Fatalf("save with room on the disk: %v", err)
		}
	}
	if err == nil {
		ct.model = saved
		if rapid.IntRange(0, 3).Draw(ct.t, "compact") == 0 {
			err = ct.store.Compact()
		}
	}
	if err == nil && failAt >= 0 && rapid.Bool().Draw(ct.t, "go on") {
		return
	}
	ct.crashAndReopen(saved)
}

// crashAndReopen simulates a crash and reopens the store. An unacknowledged Save may be
// recovered or lost.
func (ct *crashTest) crashAndReopen(unacknowledged storeModel) {
	ct.fsys.crash(func(n int) int { return rapid.IntRange(0, n).Draw(ct.t, "persisted") })
	ct.crashDuringOpen()
	store, recovered, err := OpenDiskStore("/data", "control", Options{SegmentBytes: 250, FS: ct.fsys})
	if err != nil {
		ct.t.Fatalf("open after a crash: %v", err)
	}
	store.Close()
	if unacknowledged.equal(recovered) {
		ct.model = unacknowledged
	}
	// The caller may have acted on the recovered state, so a second crash must not lose it.
	ct.fsys.crash(func(int) int { return 0 })
	ct.open()
}

// crashDuringOpen opens the store with an injected fault and simulates another crash.
func (ct *crashTest) crashDuringOpen() {
	failAt := rapid.IntRange(0, 20).Draw(ct.t, "crash in open")
	ct.fsys.injectFault = func(string, string) error {
		if failAt--; failAt < 0 {
			return errInjected
		}
		return nil
	}
	if store, _, err := OpenDiskStore("/data", "control", Options{SegmentBytes: 250, FS: ct.fsys}); err == nil {
		store.Close()
	}
	ct.fsys.crash(func(n int) int { return rapid.IntRange(0, n).Draw(ct.t, "persisted in open") })
}

// Guards against losing acknowledged state, or recovering only part of a Save, after a
// crash at any file operation.
func TestCrashKeepsAcknowledgedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ct := &crashTest{t: t, fsys: newMemFS(), term: 1}
		ct.open()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			ct.saveAndCompact(rapid.IntRange(-1, 25).Draw(t, "crash at"))
		}
	})
}
