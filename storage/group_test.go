package storage

import (
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
)

// Guards against a Save that costs more than one sync.
func TestSaveSyncsOneFileOnce(t *testing.T) {
	c := qt.New(t)
	m := newMemFS()
	g, _, err := OpenDiskStore("/data", "p", Options{FS: m})
	c.Assert(err, qt.IsNil)
	before := m.syncs
	c.Assert(g.Save(&raft.HardState{Term: 1}, entriesFrom(1, 256, 200), nil), qt.IsNil)
	c.Assert(m.syncs-before, qt.Equals, 1)
}

// Guards against a retry after a failed write or sync that reports success although
// the kernel has dropped the pages.
func TestFailureIsTypedAndFinal(t *testing.T) {
	for _, tc := range []struct {
		op          string
		cause, kind error
	}{
		{opWrite, syscall.ENOSPC, ErrDiskFull},
		{opWrite, syscall.EDQUOT, ErrDiskFull},
		{opSync, syscall.ENOSPC, ErrDiskFull},
		{opSync, syscall.EIO, ErrSyncFailed},
		{opWrite, syscall.EIO, ErrIO},
	} {
		t.Run(tc.op+" "+tc.cause.Error(), func(t *testing.T) {
			c := qt.New(t)
			m := newMemFS()
			g, _, err := OpenDiskStore("/data", "p", Options{FS: m})
			c.Assert(err, qt.IsNil)
			m.fault = func(op, _ string) error {
				if op == tc.op {
					return tc.cause
				}
				return nil
			}
			err = g.Save(nil, entriesFrom(1, 1, 5), nil)
			c.Assert(err, qt.ErrorIs, tc.kind)
			c.Assert(err, qt.ErrorIs, tc.cause)
			m.fault = nil
			c.Assert(g.Save(nil, entriesFrom(1, 1, 5), nil), qt.ErrorIs, tc.kind)
			c.Assert(g.Save(nil, nil, &raft.Snapshot{Index: 9}), qt.ErrorIs, tc.kind)
			c.Assert(g.Compact(), qt.ErrorIs, tc.kind)
		})
	}
}

// Guards against entries that leave a gap or change what a snapshot covers, and
// against such a call making the group unusable.
func TestInvalidEntriesAreRefused(t *testing.T) {
	c := qt.New(t)
	for _, s := range []Store{openMem(c), NewMemoryStore()} {
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

func openMem(c *qt.C) *DiskStore {
	g, _, err := OpenDiskStore("/data", "p", Options{FS: newMemFS()})
	c.Assert(err, qt.IsNil)
	return g
}

// Guards against segments that are kept for ever or dropped too early.
func TestCompactDropsCoveredSegments(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	g, _, err := OpenDiskStore(dir, "region/north", Options{SegmentBytes: 1})
	c.Assert(err, qt.IsNil)
	for i := range uint64(6) {
		c.Assert(g.Save(&raft.HardState{Term: 1, Commit: i}, entriesFrom(1+i, 1, 5), nil), qt.IsNil)
	}
	c.Assert(g.segments, qt.HasLen, 7)
	c.Assert(g.Compact(), qt.IsNil)
	c.Assert(g.segments, qt.HasLen, 6) // the first holds only a checkpoint
	c.Assert(g.Save(nil, nil, &raft.Snapshot{Index: 4, Term: 1, Data: []byte("s")}), qt.IsNil)
	c.Assert(g.Compact(), qt.IsNil)
	c.Assert(g.segments, qt.HasLen, 3)
	_, _, err = OpenDiskStore(dir, "region/north", Options{})
	c.Assert(errors.Is(err, ErrLocked), qt.IsTrue)
	c.Assert(g.Close(), qt.IsNil)
	g, rec, err := OpenDiskStore(dir, "region/north", Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(rec.Entries, qt.HasLen, 2)
	c.Assert(rec.HardState.Commit, qt.Equals, uint64(5))
	c.Assert(string(rec.Snapshot.Data), qt.Equals, "s")
	c.Assert(g.Close(), qt.IsNil)
}
