package storage

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// The kinds of failure, to be tested for with errors.Is.
var (
	// ErrDiskFull means that the device or the quota had no room.
	ErrDiskFull = errors.New("storage: disk full")
	// ErrSyncFailed means that a sync of a file or folder failed. The kernel may have
	// dropped the unwritten pages, so a second sync that succeeds would prove nothing.
	ErrSyncFailed = errors.New("storage: sync failed")
	// ErrIO means any other failure of the file system.
	ErrIO = errors.New("storage: input or output failed")
	// ErrLocked means that another process, or this one, has the folder open.
	ErrLocked = errors.New("storage: folder is in use")
	// ErrWrongVM means that the folder belongs to another VM.
	ErrWrongVM = errors.New("storage: folder belongs to another VM")
	// ErrGroupRemoved means that the folder of a group that was created here is gone.
	ErrGroupRemoved = errors.New("storage: group folder was removed")
	// ErrInvalid means that the caller asked for something the log cannot hold, such
	// as entries that leave a gap. Nothing was written.
	ErrInvalid = errors.New("storage: invalid argument")
	// ErrClosed means that the group was closed.
	ErrClosed = errors.New("storage: closed")
)

// DiskError is a failed operation on a file. Kind is ErrDiskFull, ErrSyncFailed or
// ErrIO; errors.Is matches both Kind and the cause.
type DiskError struct {
	Kind error
	Op   string
	Path string
	Err  error
}

func (e *DiskError) Error() string {
	return fmt.Sprintf("%v: %s %s: %v", e.Kind, e.Op, e.Path, e.Err)
}

// Unwrap returns the kind and the cause.
func (e *DiskError) Unwrap() []error { return []error{e.Kind, e.Err} }

// diskError classifies a failure. A full disk that shows up only at the sync is
// reported as ErrDiskFull.
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

// CorruptError is damage to data that had been synced. It is never skipped: the group
// does not open.
type CorruptError struct {
	File string
	// Offset is the position of the first unreadable record, in bytes.
	Offset int64
	Reason string
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("storage: %s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}
