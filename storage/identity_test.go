package storage

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against an identity that changes between starts, is taken over by another
// VM, or is replaced when its file is damaged or lost beside acknowledged state.
func TestIdentity(t *testing.T) {
	c := qt.New(t)
	dir := filepath.Join(t.TempDir(), "a", "b")
	id, err := LoadIdentity(dir, "vm1")
	c.Assert(err, qt.IsNil)
	c.Assert(strings.HasPrefix(string(id), "vm1#"), qt.IsTrue)
	again, err := LoadIdentity(dir, "vm1")
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.Equals, id)
	_, err = LoadIdentity(dir, "vm2")
	c.Assert(err, qt.ErrorIs, ErrWrongVM)
	other, err := LoadIdentity(t.TempDir(), "vm1")
	c.Assert(err, qt.IsNil)
	c.Assert(other, qt.Not(qt.Equals), id)

	path := filepath.Join(dir, identityFile)
	raw, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	var corrupt *CorruptError
	c.Assert(os.WriteFile(path, []byte(strings.Replace(string(raw), "vm1", "vm2", 1)), 0o600), qt.IsNil)
	_, err = LoadIdentity(dir, "vm2")
	c.Assert(errors.As(err, &corrupt), qt.IsTrue)

	g, _, err := OpenDiskStore(dir, "control", Options{})
	c.Assert(err, qt.IsNil)
	c.Assert(g.Close(), qt.IsNil)
	c.Assert(os.Remove(path), qt.IsNil)
	_, err = LoadIdentity(dir, "vm1")
	c.Assert(errors.As(err, &corrupt), qt.IsTrue)
}

// Guards against two processes on one folder.
func TestFolderLock(t *testing.T) {
	c := qt.New(t)
	dir := t.TempDir()
	lock, err := LockFolder(dir)
	c.Assert(err, qt.IsNil)
	_, err = LockFolder(dir)
	c.Assert(err, qt.ErrorIs, ErrLocked)
	c.Assert(lock.Close(), qt.IsNil)
	lock, err = LockFolder(dir)
	c.Assert(err, qt.IsNil)
	c.Assert(lock.Close(), qt.IsNil)
}
