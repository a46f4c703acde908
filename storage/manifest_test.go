package storage

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a group that starts empty under an identity that has acknowledged
// entries, because its folder alone was removed.
func TestRemovedGroupFolderIsRefused(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	g, _, err := OpenDiskStore(dir, "control", Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(g.Close(), qt.IsNil)
	again, _, err := OpenDiskStore(dir, "control", Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(again.Close(), qt.IsNil)
	c.Assert(os.RemoveAll(filepath.Join(dir, "group-control")), qt.IsNil)
	_, _, err = OpenDiskStore(dir, "control", Options{})
	c.Assert(err, qt.ErrorIs, ErrGroupRemoved)
	other, _, err := OpenDiskStore(dir, "partition-north", Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(other.Close(), qt.IsNil)
}
