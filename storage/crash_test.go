package storage

import (
	"testing"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
	"pgregory.net/rapid"
)

var errInjected = errors.New("injected")

// groupModel is what an acknowledged history of saves must recover to.
type groupModel raft.PersistentState

func (m groupModel) last() uint64 {
	if n := len(m.Entries); n > 0 {
		return m.Entries[n-1].Index
	}
	return m.Snapshot.Index
}

func (m groupModel) save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) groupModel {
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

func (m groupModel) equal(r raft.PersistentState) bool {
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

// crashRun is one random history of a group.
type crashRun struct {
	t     *rapid.T
	fs    *memFS
	group *DiskStore
	model groupModel
	term  uint64
}

func (r *crashRun) open() {
	g, rec, err := OpenDiskStore("/data", "control", Options{SegmentBytes: 250, FS: r.fs})
	if err != nil {
		r.t.Fatalf("open: %v", err)
	}
	r.group = g
	if !r.model.equal(rec) {
		r.t.Fatalf("recovered %+v, want %+v", rec, r.model)
	}
}

func (r *crashRun) args() (*raft.HardState, []raft.Entry, *raft.Snapshot) {
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
		if at > next.Snapshot.Index && at <= next.last() && rapid.Bool().Draw(r.t, "local") {
			snap.Term = next.Entries[at-next.Snapshot.Index-1].Term
		}
		next = next.save(nil, nil, snap)
	}
	n := rapid.IntRange(0, 5).Draw(r.t, "entries")
	back := rapid.IntRange(0, len(next.Entries)).Draw(r.t, "back")
	if rapid.Bool().Draw(r.t, "extend") {
		back = 0
	}
	if back > 0 {
		r.term++ // only a new leader overwrites entries
	}
	var entries []raft.Entry
	for i := range n {
		data := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(r.t, "data")
		entries = append(entries, raft.Entry{Term: r.term, Index: next.last() - uint64(back) + 1 + uint64(i), Data: data})
	}
	return hs, entries, snap
}

// step does a Save and perhaps a Compact, with a crash before one of its operations
// on files if crashAt is not negative.
func (r *crashRun) step(crashAt int) {
	hs, entries, snap := r.args()
	r.fs.fault = func(string, string) error {
		if crashAt--; crashAt == -1 {
			r.fs.fault = func(string, string) error { return errInjected }
			return errInjected
		}
		return nil
	}
	after := r.model.save(hs, entries, snap)
	err := r.group.Save(hs, entries, snap)
	if err == nil {
		r.model = after
		if rapid.IntRange(0, 3).Draw(r.t, "compact") == 0 {
			err = r.group.Compact()
		}
	}
	if err == nil && crashAt >= 0 && rapid.Bool().Draw(r.t, "go on") {
		return
	}
	r.crash(after)
}

// crash reopens the group. A Save that was not acknowledged may be found or not.
func (r *crashRun) crash(maybe groupModel) {
	r.fs.crash(func(n int) int { return rapid.IntRange(0, n).Draw(r.t, "persisted") })
	r.crashInOpen()
	g, rec, err := OpenDiskStore("/data", "control", Options{SegmentBytes: 250, FS: r.fs})
	if err != nil {
		r.t.Fatalf("open after a crash: %v", err)
	}
	g.Close()
	if maybe.equal(rec) {
		r.model = maybe
	}
	// What was recovered once has been acted on, so a second crash must not undo it.
	r.fs.crash(func(int) int { return 0 })
	r.open()
}

// crashInOpen opens the group and crashes again before it is open.
func (r *crashRun) crashInOpen() {
	at := rapid.IntRange(0, 20).Draw(r.t, "crash in open")
	r.fs.fault = func(string, string) error {
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

// Guards against acknowledged state that is lost, or a Save that is found in part,
// after a crash at any operation on files.
func TestCrashKeepsAcknowledgedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &crashRun{t: t, fs: newMemFS(), term: 1}
		r.open()
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			r.step(rapid.IntRange(-1, 25).Draw(t, "crash at"))
		}
	})
}
