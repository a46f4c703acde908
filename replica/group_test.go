package replica

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/storage"
)

// faultyStore is a store in memory whose disk may be full or stall.
type faultyStore struct {
	storage.Store
	mu     sync.Mutex
	isFull bool
	stall  chan struct{} // if not nil, Save waits until it is closed
}

func (s *faultyStore) Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error {
	s.mu.Lock()
	isFull, stall := s.isFull, s.stall
	s.mu.Unlock()
	if stall != nil {
		<-stall
	}
	if isFull {
		return &storage.DiskError{Kind: storage.ErrDiskFull, Op: "write", Path: "log", Err: syscall.ENOSPC}
	}
	return s.Store.Save(hs, entries, snap)
}

func (s *faultyStore) setFull(isFull bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isFull = isFull
}

// entryLog is a state machine that keeps the data of the applied entries.
type entryLog struct{ entries []string }

func (l *entryLog) Apply(_ time.Duration, e raft.Entry) {
	l.entries = append(l.entries, string(e.Data))
}
func (l *entryLog) Restore([]byte) error { return nil }
func (l *entryLog) Snapshot() []byte     { return nil }

// testReplica is one replica with its event loop.
type testReplica struct {
	loop    *EventLoop
	group   *Group
	store   *faultyStore
	applied *entryLog
}

// testGroup is a group whose replicas run in one process and exchange messages directly.
type testGroup struct {
	c        *qt.C
	replicas map[raft.NodeID]*testReplica
}

func newTestGroup(t *testing.T, voters int) *testGroup {
	g := &testGroup{qt.New(t), map[raft.NodeID]*testReplica{}}
	var ids []raft.NodeID
	for i := range voters {
		ids = append(ids, raft.NodeID(fmt.Sprintf("vm%d#1", i+1)))
	}
	ctx, cancel := context.WithCancel(context.Background())
	for i, id := range ids {
		r := &testReplica{loop: NewEventLoop(), store: &faultyStore{Store: storage.NewMemoryStore()}, applied: &entryLog{}}
		node := raft.New(raft.Config{ID: id, Group: "g", Voters: ids, Seed: uint64(i)}, raft.PersistentState{}, r.loop.Now())
		r.group = NewGroup("g", node, r.store, r.applied, r.loop, g.deliver, zap.NewNop())
		g.replicas[id] = r
	}
	for _, r := range g.replicas {
		go r.loop.Run(ctx, func(now time.Duration) {
			r.group.Node.Tick(now)
			r.group.ProcessReady(now)
		})
	}
	t.Cleanup(func() {
		cancel()
		for _, r := range g.replicas {
			<-r.loop.Done()
			r.group.Stop()
		}
	})
	return g
}

func (g *testGroup) deliver(m raft.Message) {
	r := g.replicas[m.To]
	r.loop.Post(func() { r.group.Node.Step(r.loop.Now(), m) })
}

// on runs fn on the event loop of a replica.
func (g *testGroup) on(r *testReplica, fn func(now time.Duration)) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	g.c.Assert(r.loop.Call(ctx, func() { fn(r.loop.Now()) }), qt.IsNil)
}

// eventually waits up to 10 s until fn holds.
func (g *testGroup) eventually(what string, fn func() bool) {
	g.c.Helper()
	for end := time.Now().Add(10 * time.Second); !fn(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			g.c.Fatalf("not within 10 s: %s", what)
		}
	}
}

// leader waits for an active leader other than not, which may be nil.
func (g *testGroup) leader(not *testReplica) *testReplica {
	g.c.Helper()
	var leader *testReplica
	g.eventually("a leader", func() bool {
		for _, r := range g.replicas {
			g.on(r, func(now time.Duration) {
				if r != not && r.group.IsActiveLeader(now) {
					leader = r
				}
			})
		}
		return leader != nil
	})
	return leader
}

// propose proposes an entry on a replica and reports whether it was accepted.
func (g *testGroup) propose(r *testReplica, data string) bool {
	var err error
	g.on(r, func(now time.Duration) { _, _, err = r.group.Node.Propose(now, []byte(data)) })
	return err == nil
}

// awaitApplied waits until a replica has applied the entries.
func (g *testGroup) awaitApplied(r *testReplica, want ...string) {
	g.c.Helper()
	g.eventually(fmt.Sprintf("%v applied", want), func() (ok bool) {
		g.on(r, func(time.Duration) { ok = fmt.Sprint(r.applied.entries) == fmt.Sprint(want) })
		return ok
	})
}

// Guards against a leader that keeps the leadership, or never serves again, after its disk and
// that of another voter were full for a while, and against an entry that such a replica
// acknowledges without having stored it.
func TestFullDiskHandsOverAndServesAgain(t *testing.T) {
	g := newTestGroup(t, 5)
	first := g.leader(nil)
	g.c.Assert(g.propose(first, "a"), qt.IsTrue)
	g.awaitApplied(first, "a")
	full := []*testReplica{first}
	for _, r := range g.replicas {
		if r != first && len(full) < 2 {
			full = append(full, r)
		}
	}
	for _, r := range full {
		r.store.setFull(true)
	}
	g.propose(first, "b") // its fate is open: the hand-over may lose it
	second := g.leader(first)
	var before []string
	g.on(second, func(time.Duration) { before = append(before, second.applied.entries...) })
	g.eventually("an entry is accepted", func() bool { return g.propose(g.leader(nil), "c") })
	g.eventually("the entry is applied", func() (ok bool) {
		g.on(second, func(time.Duration) { ok = len(second.applied.entries) > len(before) })
		return ok
	})
	for _, r := range full {
		g.on(r, func(time.Duration) {
			g.c.Check(r.group.DiskFull(), qt.IsTrue)
			g.c.Check(r.group.Node.Role() == raft.RoleLeader, qt.IsFalse)
		})
	}
	var want []string
	g.on(second, func(time.Duration) { want = append(want, second.applied.entries...) })
	for _, r := range full {
		r.store.setFull(false)
	}
	for _, r := range full {
		g.awaitApplied(r, want...)
		g.on(r, func(time.Duration) { g.c.Check(r.group.DiskFull(), qt.IsFalse) })
	}
}

// Guards against a group that waits for a stalled disk of its leader although the other voters
// could go on, and against a leadership that the stalled leader still assumes.
func TestStalledDiskHandsOver(t *testing.T) {
	g := newTestGroup(t, 3)
	first := g.leader(nil)
	stall := make(chan struct{})
	endStall := sync.OnceFunc(func() { close(stall) })
	t.Cleanup(endStall)
	first.store.mu.Lock()
	first.store.stall = stall
	first.store.mu.Unlock()
	g.c.Assert(g.propose(first, "a"), qt.IsTrue)
	second := g.leader(first)
	g.on(first, func(now time.Duration) { g.c.Check(first.group.IsActiveLeader(now), qt.IsFalse) })
	g.eventually("an entry is accepted", func() bool { return g.propose(g.leader(nil), "b") })
	first.store.mu.Lock()
	first.store.stall = nil
	first.store.mu.Unlock()
	endStall()
	g.eventually("the entry is applied", func() (ok bool) {
		g.on(second, func(time.Duration) { ok = len(second.applied.entries) > 0 })
		return ok
	})
	var want []string
	g.on(second, func(time.Duration) { want = append(want, second.applied.entries...) })
	g.awaitApplied(first, want...)
}

// Guards against a log that is never compacted because the group always has a batch to save: it
// fills the disk, and a replica that lost its disk has to apply all of it before it can vote.
func TestBusyGroupCompactsItsLog(t *testing.T) {
	c := qt.New(t)
	loop := NewEventLoop() // not run; the test handles its events
	id := raft.NodeID("vm1#1")
	node := raft.New(raft.Config{ID: id, Group: "g", Voters: []raft.NodeID{id}}, raft.PersistentState{}, 0)
	g := NewGroup("g", node, storage.NewMemoryStore(), &entryLog{}, loop, func(raft.Message) {}, zap.NewNop())
	defer g.Stop()
	pass := func(now time.Duration) {
		g.Node.Tick(now)
		g.ProcessReady(now)
		for g.saving {
			(<-loop.events).fn()
		}
	}
	now := time.Duration(0)
	for ; g.Node.Role() != raft.RoleLeader && now < time.Minute; now += tickInterval {
		pass(now)
	}
	propose := func(data []byte) {
		_, _, err := g.Node.Propose(now, data)
		c.Assert(err, qt.IsNil)
		pass(now)
	}
	for range 2 * compactionInterval {
		propose([]byte("entry"))
	}
	c.Assert(g.appliedIndex > compactionInterval, qt.IsTrue)
	c.Assert(g.appliedIndex-g.compactedIndex <= compactionInterval, qt.IsTrue, qt.Commentf("%d entries applied, %d compacted", g.appliedIndex, g.compactedIndex))

	large := make([]byte, compactionBytes/16)
	before := g.compactedIndex
	for range 40 {
		propose(large)
	}
	c.Assert(g.compactedIndex > before, qt.IsTrue)
	c.Assert(g.appliedIndex-g.compactedIndex <= 16, qt.IsTrue, qt.Commentf("%d large entries since the last compaction", g.appliedIndex-g.compactedIndex))
}

// Guards against callers that wait for the sync of later entries: an entry that a quorum holds is
// applied while the disk is still busy with the next ones.
func TestCommittedEntriesAreAppliedDuringASave(t *testing.T) {
	c := qt.New(t)
	loop := NewEventLoop() // not run; the test handles its events
	ids := []raft.NodeID{"vm1#1", "vm2#1", "vm3#1"}
	node := raft.New(raft.Config{ID: ids[0], Group: "g", Voters: ids}, raft.PersistentState{}, 0)
	store, applied := &faultyStore{Store: storage.NewMemoryStore()}, &entryLog{}
	g := NewGroup("g", node, store, applied, loop, func(raft.Message) {}, zap.NewNop())
	defer g.Stop()
	appendEntry := func(index, commit uint64) {
		previousTerm := uint64(1)
		if index == 2 {
			previousTerm = 0 // entry 1 is the initial membership
		}
		node.Step(0, raft.Message{Kind: raft.MsgAppend, Group: "g", From: ids[1], To: ids[0], Term: 1, Index: index - 1, LogTerm: previousTerm,
			Entries: []raft.Entry{{Term: 1, Index: index, Data: []byte(fmt.Sprint(index))}}, Commit: commit})
		g.ProcessReady(0)
	}
	finishSave := func() {
		for g.saving {
			(<-loop.events).fn()
			g.ProcessReady(0)
		}
	}
	appendEntry(2, 1)
	finishSave()
	c.Assert(applied.entries, qt.HasLen, 0)

	store.stall = make(chan struct{})
	endStall := sync.OnceFunc(func() { close(store.stall) })
	defer endStall() // before Stop, which waits for the save
	appendEntry(3, 2)
	c.Assert(g.saving, qt.IsTrue)
	c.Assert(applied.entries, qt.DeepEquals, []string{"2"})
	endStall()
	finishSave()
	c.Assert(applied.entries, qt.DeepEquals, []string{"2"})
}
