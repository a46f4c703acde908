package storage

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// The kinds of failure. Use errors.Is to test for them.
var (
	// ErrDiskFull means that the device has no free space or the disk quota is used up.
	ErrDiskFull = errors.New("storage: disk full")
	// ErrSyncFailed means that a sync of a file or folder failed. The kernel may have
	// dropped the dirty pages, so a later successful sync does not show that the data is
	// durable.
	ErrSyncFailed = errors.New("storage: sync failed")
	// ErrIO means any other file system error.
	ErrIO = errors.New("storage: I/O error")
	// ErrLocked means that this or another process already holds the lock on the folder.
	ErrLocked = errors.New("storage: folder is in use")
	// ErrWrongVM means that the folder belongs to another VM.
	ErrWrongVM = errors.New("storage: folder belongs to another VM")
	// ErrGroupRemoved means that a group was created in this data folder, but its own
	// folder no longer exists.
	ErrGroupRemoved = errors.New("storage: group folder was removed")
	// ErrInvalid means that the log cannot store the arguments, for example because the
	// entries leave a gap. Nothing was written.
	ErrInvalid = errors.New("storage: invalid argument")
	// ErrClosed means that the store was closed.
	ErrClosed = errors.New("storage: closed")
)

// DiskError describes a failed operation on a file or folder. errors.Is matches both
// Kind and Err.
type DiskError struct {
	Kind error  // ErrDiskFull, ErrSyncFailed or ErrIO
	Op   string // "open", "read", "write", "sync", "rename", "remove", "mkdir" or "truncate"
	Path string
	Err  error // cause
}

func (e *DiskError) Error() string {
	return fmt.Sprintf("%v: %s %s: %v", e.Kind, e.Op, e.Path, e.Err)
}

// Unwrap returns the kind and the cause.
func (e *DiskError) Unwrap() []error { return []error{e.Kind, e.Err} }

// wrapDiskError returns err as a DiskError, or nil if err is nil. A full disk that is
// noticed only by a sync is reported as ErrDiskFull.
func wrapDiskError(op, path string, err error) error {
	if err == nil {
		return nil
	}
	kind := ErrIO
	switch {
	case errors.Is(err, syscall.ENOSPC), errors.Is(err, syscall.EDQUOT):
		kind = ErrDiskFull
	case op == opSync:
		kind = ErrSyncFailed
	}
	return &DiskError{Kind: kind, Op: op, Path: path, Err: err}
}

// CorruptError reports corruption of data that had been synced. Corrupt records are never
// skipped: the store does not open.
type CorruptError struct {
	File string
	// Offset is the position of the first unreadable record, in bytes.
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is corrupt at byte %d: %s", e.File, e.Offset, e.Reason)
}
