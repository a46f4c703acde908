package storage

import (
	"strings"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
)

// Guards against a Save that needs more than one sync.
func TestSaveSyncsOneFileOnce(t *testing.T) {
	c := qt.New(t)
	m := newMemFS()
	store, _, err := OpenDiskStore("/data", "p", Options{FS: m})
	c.Assert(err, qt.IsNil)
	before := m.syncs
	c.Assert(store.Save(&raft.HardState{Term: 1}, entriesFrom(1, 256, 200), nil), qt.IsNil)
	c.Assert(m.syncs-before, qt.Equals, 1)
}

// Guards against a Save that reports success after a failed write or sync, although the
// kernel may have dropped the dirty pages.
func TestFailureIsClassifiedAndPermanent(t *testing.T) {
	for _, tc := range []struct {
		op          string
		cause, kind error
	}{
		{opSync, syscall.EIO, ErrSyncFailed},
		{opWrite, syscall.EIO, ErrIO},
	} {
		t.Run(tc.op+" "+tc.cause.Error(), func(t *testing.T) {
			c := qt.New(t)
			m := newMemFS()
			store, _, err := OpenDiskStore("/data", "p", Options{FS: m})
			c.Assert(err, qt.IsNil)
			m.injectFault = func(op, _ string) error {
				if op == tc.op {
					return tc.cause
				}
				return nil
			}
			err = store.Save(nil, entriesFrom(1, 1, 5), nil)
			c.Assert(err, qt.ErrorIs, tc.kind)
			c.Assert(err, qt.ErrorIs, tc.cause)
			m.injectFault = nil
			c.Assert(store.Save(nil, entriesFrom(1, 1, 5), nil), qt.ErrorIs, tc.kind)
			c.Assert(store.Save(nil, nil, &raft.Snapshot{Index: 9}), qt.ErrorIs, tc.kind)
			c.Assert(store.Compact(), qt.ErrorIs, tc.kind)
		})
	}
}

// Guards against a full disk that a store does not recover from when there is room again, and
// against a part of the refused record that is taken for synced data or keeps its space.
func TestFullDiskRefusesSavesUntilThereIsRoom(t *testing.T) {
	for _, tc := range []struct {
		name, op, pathPart string
		cause              error
		segmentBytes       int64
	}{
		{"write", opWrite, "", syscall.ENOSPC, 0},
		{"quota", opWrite, "", syscall.EDQUOT, 0},
		{"sync", opSync, "", syscall.ENOSPC, 0},
		{"new segment", opWrite, tmpSuffix, syscall.ENOSPC, 1},
		{"truncation", opTruncate, "", syscall.ENOSPC, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			m := newMemFS()
			store, _, err := OpenDiskStore("/data", "p", Options{FS: m, SegmentBytes: tc.segmentBytes})
			c.Assert(err, qt.IsNil)
			c.Assert(store.Save(nil, entriesFrom(1, 2, 5), nil), qt.IsNil)
			m.injectFault = func(op, path string) error {
				if (op == tc.op || op == opWrite) && strings.Contains(path, tc.pathPart) {
					return tc.cause
				}
				return nil
			}
			for range 3 {
				err := store.Save(nil, entriesFrom(3, 1, 5), nil)
				c.Assert(err, qt.ErrorIs, ErrDiskFull)
				c.Assert(err, qt.ErrorIs, tc.cause)
			}
			c.Assert(store.Save(nil, nil, &raft.Snapshot{Index: 2, Term: 1}), qt.ErrorIs, ErrDiskFull)
			names, err := m.ReadDir("/data/group-p")
			c.Assert(err, qt.IsNil)
			for _, name := range names {
				c.Assert(strings.HasSuffix(name, tmpSuffix), qt.IsFalse, qt.Commentf("%s keeps its space", name))
			}
			m.injectFault = nil
			c.Assert(store.Save(nil, entriesFrom(3, 1, 5), nil), qt.IsNil)
			c.Assert(store.Save(nil, entriesFrom(4, 1, 5), nil), qt.IsNil)
			c.Assert(store.Close(), qt.IsNil)
			m.crash(func(int) int { return 0 })
			store, recovered, err := OpenDiskStore("/data", "p", Options{FS: m})
			c.Assert(err, qt.IsNil)
			c.Assert(recovered.Entries, qt.HasLen, 4)
			c.Assert(store.Close(), qt.IsNil)
		})
	}
}

// Guards against accepting entries that leave a gap or overwrite what a snapshot covers,
// and against an invalid call that makes the store unusable.
func TestInvalidEntriesAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, s := range []Store{openInMemFS(c), NewMemoryStore()} {
		c.Assert(s.Save(nil, entriesFrom(2, 1, 5), nil), qt.ErrorIs, ErrInvalid)
		c.Assert(s.Save(nil, entriesFrom(0, 1, 5), nil), qt.ErrorIs, ErrInvalid)
		c.Assert(s.Save(nil, entriesFrom(1, 5, 5), nil), qt.IsNil)
		c.Assert(s.Save(nil, nil, &raft.Snapshot{Index: 3, Term: 1}), qt.IsNil)
		c.Assert(s.Save(nil, entriesFrom(3, 1, 5), nil), qt.ErrorIs, ErrInvalid)
		c.Assert(s.Save(nil, entriesFrom(6, 1, 5), nil), qt.IsNil)
		c.Assert(s.Close(), qt.IsNil)
		c.Assert(s.Save(nil, entriesFrom(7, 1, 5), nil), qt.ErrorIs, ErrClosed)
	}
}

// openInMemFS opens a new store in a file system in memory.
func openInMemFS(c *qt.C) *DiskStore {
	store, _, err := OpenDiskStore("/data", "p", Options{FS: newMemFS()})
	c.Assert(err, qt.IsNil)
	return store
}

// Guards against segments that are never removed or are removed too early.
func TestCompactRemovesCoveredSegments(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	store, _, err := OpenDiskStore(dir, "region/north", Options{SegmentBytes: 1})
	c.Assert(err, qt.IsNil)
	for i := range uint64(6) {
		c.Assert(store.Save(&raft.HardState{Term: 1, Commit: i}, entriesFrom(1+i, 1, 5), nil), qt.IsNil)
	}
	c.Assert(store.segments, qt.HasLen, 7)
	c.Assert(store.Compact(), qt.IsNil)
	c.Assert(store.segments, qt.HasLen, 6) // the first contains only a checkpoint
	c.Assert(store.Save(nil, nil, &raft.Snapshot{Index: 4, Term: 1, Data: []byte("s")}), qt.IsNil)
	c.Assert(store.Compact(), qt.IsNil)
	c.Assert(store.segments, qt.HasLen, 3)
	_, _, err = OpenDiskStore(dir, "region/north", Options{})
	c.Assert(errors.Is(err, ErrLocked), qt.IsTrue)
	c.Assert(store.Close(), qt.IsNil)
	store, recovered, err := OpenDiskStore(dir, "region/north", Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(recovered.Entries, qt.HasLen, 2)
	c.Assert(recovered.HardState.Commit, qt.Equals, uint64(5))
	c.Assert(string(recovered.Snapshot.Data), qt.Equals, "s")
	c.Assert(store.Close(), qt.IsNil)
}
