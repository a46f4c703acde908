package storage

import (
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
)

// entriesFrom returns n entries of size bytes with ascending indexes from index on.
func entriesFrom(index uint64, n, size int) []raft.Entry {
	list := make([]raft.Entry, n)
	for i := range list {
		list[i] = raft.Entry{Term: 1, Index: index + uint64(i), Data: []byte(strings.Repeat("x", size))}
	}
	return list
}

// newSavedStore returns a file system with four saves in two segments, the folder of the
// group and the offset of the last record.
func newSavedStore(c *qt.C) (m *memFS, dir string, lastRecord int) {
	m = newMemFS()
	store, _, err := OpenDiskStore("/data", "p", Options{SegmentBytes: 300, FS: m})
	c.Assert(err, qt.IsNil)
	for i := range uint64(4) {
		lastRecord = int(store.activeSegment().size)
		c.Assert(store.Save(&raft.HardState{Term: 1, Commit: i}, entriesFrom(1+2*i, 2, 30), nil), qt.IsNil)
	}
	c.Assert(store.segments, qt.HasLen, 2)
	c.Assert(store.Close(), qt.IsNil)
	return m, store.dir, lastRecord
}

// Guards against corruption of synced records that is skipped or taken for a torn tail.
// Corrupts each byte in turn.
func TestEachCorruptByteIsReported(t *testing.T) {
	c := qt.New(t)
	m, dir, lastRecord := newSavedStore(c)
	for number := uint64(1); number <= 2; number++ {
		path := filepath.Join(dir, segment{number: number}.name())
		whole, err := m.ReadFile(path)
		c.Assert(err, qt.IsNil)
		for offset := range whole {
			modified := append([]byte(nil), whole...)
			modified[offset] ^= 0x41
			m.lookup(path).data = modified
			rp := replayer{fsys: m, dir: dir}
			recovered, err := rp.run()
			if number == 2 && offset >= lastRecord && err == nil {
				// A corrupt last record cannot always be distinguished from a torn one.
				c.Assert(recovered.Entries, qt.HasLen, 6)
				continue
			}
			var corrupt *CorruptError
			c.Assert(errors.As(err, &corrupt), qt.IsTrue, qt.Commentf("segment %d byte %d: %v", number, offset, err))
			c.Assert(corrupt.File, qt.Equals, path)
			c.Assert(corrupt.Offset <= int64(max(offset, segmentHeaderSize)), qt.IsTrue)
		}
		m.lookup(path).data = whole
	}
}

// Guards against a torn tail that prevents the store from opening or is recovered in part.
func TestTornTailOfEachLengthIsDropped(t *testing.T) {
	c := qt.New(t)
	m, dir, lastRecord := newSavedStore(c)
	path := filepath.Join(dir, segment{number: 2}.name())
	whole, err := m.ReadFile(path)
	c.Assert(err, qt.IsNil)
	for n := lastRecord; n < len(whole); n++ {
		m.lookup(path).data = append([]byte(nil), whole[:n]...)
		store, recovered, err := OpenDiskStore("/data", "p", Options{FS: m})
		c.Assert(err, qt.IsNil)
		c.Assert(recovered.Entries, qt.HasLen, 6)
		c.Assert(store.Save(nil, entriesFrom(7, 1, 5), nil), qt.IsNil)
		c.Assert(store.Close(), qt.IsNil)
	}
}

// Guards against a torn record that is reported as corruption because only part of its
// header reached the disk.
func TestTornTailWithHolesIsDropped(t *testing.T) {
	c := qt.New(t)
	m, dir, lastRecord := newSavedStore(c)
	path := filepath.Join(dir, segment{number: 2}.name())
	whole, err := m.ReadFile(path)
	c.Assert(err, qt.IsNil)
	for offset := lastRecord; offset < len(whole); offset++ {
		for _, n := range []int{1, 4, 8} {
			torn := append([]byte(nil), whole...)
			clear(torn[offset:min(offset+n, len(torn))])
			m.lookup(path).data = torn
			rp := replayer{fsys: m, dir: dir}
			_, err := rp.run()
			c.Assert(err, qt.IsNil, qt.Commentf("%d zeros at %d", n, offset-lastRecord))
		}
	}
}

// Guards against a missing segment or snapshot that is not detected.
func TestMissingFilesAreReported(t *testing.T) {
	snap := raft.Snapshot{Index: 2, Term: 1}
	for _, name := range []string{segment{number: 2}.name(), segment{number: 3}.name(), snapshotName(snapshotRef{Index: 2, Term: 1})} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			m := newMemFS()
			store, _, err := OpenDiskStore("/data", "p", Options{SegmentBytes: 1, FS: m})
			c.Assert(err, qt.IsNil)
			c.Assert(store.Save(nil, entriesFrom(1, 4, 5), &snap), qt.ErrorIs, ErrInvalid)
			c.Assert(store.Save(nil, entriesFrom(1, 4, 5), nil), qt.IsNil)
			c.Assert(store.Save(nil, entriesFrom(5, 2, 5), nil), qt.IsNil)
			c.Assert(store.Save(nil, nil, &snap), qt.IsNil)
			c.Assert(store.Close(), qt.IsNil)
			c.Assert(m.Remove(filepath.Join(store.dir, segment{number: 1}.name())), qt.IsNil)
			rp := replayer{fsys: m, dir: store.dir}
			_, err = rp.run() // segment 1 contains no entries
			c.Assert(err, qt.IsNil)
			c.Assert(m.Remove(filepath.Join(store.dir, name)), qt.IsNil)
			_, _, err = OpenDiskStore("/data", "p", Options{FS: m})
			var corrupt *CorruptError
			c.Assert(errors.As(err, &corrupt), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
