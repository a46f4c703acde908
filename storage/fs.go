package storage

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

// The values of DiskError.Op.
const (
	opOpen   = "open"
	opRead   = "read"
	opWrite  = "write"
	opSync   = "sync"
	opRename = "rename"
	opRemove = "remove"
	opMkdir  = "mkdir"
	// opTruncate is followed by a sync.
	opTruncate = "truncate"
)

const (
	filePerm = 0o600
	dirPerm  = 0o700
)

// FS is the set of file system operations that the package uses. Tests replace it to
// inject faults.
type FS interface {
	// Create opens an empty file for appending; an existing file is truncated.
	Create(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// ReadDir returns the sorted names of the files and folders in a folder.
	ReadDir(path string) ([]string, error)
	// Mkdir creates one folder; its parent must exist.
	Mkdir(path string) error
	Rename(from, to string) error
	Remove(path string) error
	RemoveAll(path string) error
	// SyncDir makes creations, renames and removals in a folder durable.
	SyncDir(path string) error
	// Lock acquires an exclusive lock, or returns ErrLocked if it is held. Closing the
	// result releases the lock, and so does the end of the process.
	Lock(path string) (io.Closer, error)
}

// File is a file open for appending.
type File interface {
	io.WriteCloser
	Sync() error
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
}

// OS is the operating system's file system.
type OS struct{}

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, filePerm)
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// ReadDir implements FS.
func (OS) ReadDir(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Mkdir implements FS.
func (OS) Mkdir(path string) error { return os.Mkdir(path, dirPerm) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// RemoveAll implements FS.
func (OS) RemoveAll(path string) error { return os.RemoveAll(path) }

// SyncDir implements FS.
func (OS) SyncDir(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS with flock, which also refuses a second lock by the same process.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, filePerm)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, errors.Wrap(ErrLocked, path)
		}
		return nil, err
	}
	return f, nil
}

// writeFile writes data to a new file at path, which is durable when writeFile returns.
// The file stays open for appending. On a full disk it leaves nothing behind.
func writeFile(fsys FS, path string, data []byte) (File, error) {
	tmp := path + tmpSuffix
	f, err := fsys.Create(tmp)
	if err != nil {
		return nil, wrapDiskError(opOpen, tmp, err)
	}
	if err := appendAndSync(f, tmp, data); err != nil {
		f.Close()
		if errors.Is(err, ErrDiskFull) {
			// The space is needed by others. If the removal fails too, the next attempt
			// truncates the same file.
			_ = fsys.Remove(tmp)
		}
		return nil, err
	}
	if err := fsys.Rename(tmp, path); err != nil {
		f.Close()
		return nil, wrapDiskError(opRename, tmp, err)
	}
	if err := syncDir(fsys, filepath.Dir(path)); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// appendAndSync appends data to f and syncs f. path is used in errors only.
func appendAndSync(f File, path string, data []byte) error {
	if _, err := f.Write(data); err != nil {
		return wrapDiskError(opWrite, path, err)
	}
	return wrapDiskError(opSync, path, f.Sync())
}

// syncDir makes creations, renames and removals in a folder durable.
func syncDir(fsys FS, path string) error { return wrapDiskError(opSync, path, fsys.SyncDir(path)) }

// mkdirAllSynced creates a folder and its missing parents, and syncs the parent of each.
func mkdirAllSynced(fsys FS, path string) error {
	parent := filepath.Dir(path)
	err := fsys.Mkdir(path)
	if errors.Is(err, os.ErrNotExist) && parent != path {
		if err := mkdirAllSynced(fsys, parent); err != nil {
			return err
		}
		err = fsys.Mkdir(path)
	}
	if err != nil && !errors.Is(err, os.ErrExist) {
		return wrapDiskError(opMkdir, path, err)
	}
	return syncDir(fsys, parent)
}

// acquireLock locks path. It returns ErrLocked or a *DiskError.
func acquireLock(fsys FS, path string) (io.Closer, error) {
	lock, err := fsys.Lock(path)
	if err != nil && !errors.Is(err, ErrLocked) {
		return nil, wrapDiskError(opOpen, path, err)
	}
	return lock, err
}
