package storage

import (
	"testing"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

var errInjected = errors.New("injected")

// storeModel is the state that must be recovered after a sequence of acknowledged saves.
type storeModel raft.Recovered

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

func (m storeModel) equal(r raft.Recovered) bool {
	if m.HardState != r.HardState || len(m.Entries) != len(r.Entries) ||
		m.Snapshot.Index != r.Snapshot.Index || string(m.Snapshot.Data) != string(r.Snapshot.Data) {
		return false
	}
	for i, e := range m.Entries {
		if g := r.Entries[i]; g.Index != e.Index || g.Term != e.Term || string(g.Data) != string(e.Data) {
			return false
		}
	}
	return true
}

// crashTest runs one random sequence of saves, compactions and crashes.
type crashTest struct {
	t     *rapid.T
	fs    *memFS
	store *DiskStore
	model storeModel
	term  uint64
}

// open opens the store and compares the recovered state with the model.
func (r *crashTest) open() {
	g, rec, err := OpenDiskStore("/data", "control", Options{SegmentBytes: 250, FS: r.fs})
	if err != nil {
		r.t.Fatalf("open: %v", err)
	}
	r.store = g
	if !r.model.equal(rec) {
		r.t.Fatalf("recovered %+v, want %+v", rec, r.model)
	}
}

// drawSaveArgs draws valid arguments of Save.
func (r *crashTest) drawSaveArgs() (*raft.HardState, []raft.Entry, *raft.Snapshot) {
	var hs *raft.HardState
	var snap *raft.Snapshot
	if rapid.Bool().Draw(r.t, "hard") {
		r.term += uint64(rapid.IntRange(0, 1).Draw(r.t, "term"))
		hs = &raft.HardState{Term: r.term, Vote: "vm1#1"}
	}
	next := r.model
	if rapid.IntRange(0, 4).Draw(r.t, "snap") == 0 {
		at := next.Snapshot.Index + uint64(rapid.IntRange(0, 12).Draw(r.t, "at"))
		snap = &raft.Snapshot{Index: at, Term: r.term, Data: []byte{byte(at), byte(r.term)}}
		if at > next.Snapshot.Index && at <= next.lastIndex() && rapid.Bool().Draw(r.t, "local") {
			snap.Term = next.Entries[at-next.Snapshot.Index-1].Term
		}
		next = next.save(nil, nil, snap)
	}
	n := rapid.IntRange(0, 5).Draw(r.t, "entries")
	overwritten := rapid.IntRange(0, len(next.Entries)).Draw(r.t, "back")
	if rapid.Bool().Draw(r.t, "extend") {
		overwritten = 0
	}
	if overwritten > 0 {
		r.term++ // only a new leader overwrites entries
	}
	var entries []raft.Entry
	for i := range n {
		data := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(r.t, "data")
		entries = append(entries, raft.Entry{Term: r.term, Index: next.lastIndex() - uint64(overwritten) + 1 + uint64(i), Data: data})
	}
	return hs, entries, snap
}

// saveAndCompact calls Save and sometimes Compact. If crashAt is not negative, file
// operation number crashAt, counted from 0, and all later ones fail. It then crashes and
// reopens the store, but may skip this if crashAt was not reached.
func (r *crashTest) saveAndCompact(crashAt int) {
	hs, entries, snap := r.drawSaveArgs()
	r.fs.injectFault = func(string, string) error {
		if crashAt--; crashAt == -1 {
			r.fs.injectFault = func(string, string) error { return errInjected }
			return errInjected
		}
		return nil
	}
	saved := r.model.save(hs, entries, snap)
	err := r.store.Save(hs, entries, snap)
	if err == nil {
		r.model = saved
		if rapid.IntRange(0, 3).Draw(r.t, "compact") == 0 {
			err = r.store.Compact()
		}
	}
	if err == nil && crashAt >= 0 && rapid.Bool().Draw(r.t, "go on") {
		return
	}
	r.crashAndReopen(saved)
}

// crashAndReopen simulates a crash and reopens the store. An unacknowledged Save may be
// recovered or lost.
func (r *crashTest) crashAndReopen(unacknowledged storeModel) {
	r.fs.crash(func(n int) int { return rapid.IntRange(0, n).Draw(r.t, "persisted") })
	r.crashDuringOpen()
	g, rec, err := OpenDiskStore("/data", "control", Options{SegmentBytes: 250, FS: r.fs})
	if err != nil {
		r.t.Fatalf("open after a crash: %v", err)
	}
	g.Close()
	if unacknowledged.equal(rec) {
		r.model = unacknowledged
	}
	// The caller may have acted on the recovered state, so a second crash must not lose it.
	r.fs.crash(func(int) int { return 0 })
	r.open()
}

// crashDuringOpen opens the store with an injected fault and simulates another crash.
func (r *crashTest) crashDuringOpen() {
	at := rapid.IntRange(0, 20).Draw(r.t, "crash in open")
	r.fs.injectFault = func(string, string) error {
		if at--; at < 0 {
			return errInjected
		}
		return nil
	}
	if g, _, err := OpenDiskStore("/data", "control", Options{SegmentBytes: 250, FS: r.fs}); err == nil {
		g.Close()
	}
	r.fs.crash(func(n int) int { return rapid.IntRange(0, n).Draw(r.t, "persisted in open") })
}

// Guards against losing acknowledged state, or recovering only part of a Save, after a
// crash at any file operation.
func TestCrashKeepsAcknowledgedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &crashTest{t: t, fs: newMemFS(), term: 1}
		r.open()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			r.saveAndCompact(rapid.IntRange(-1, 25).Draw(t, "crash at"))
		}
	})
}
