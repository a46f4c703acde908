package storage

import (
	"bytes"
	"io"
	"net/url"
	"path/filepath"
	"slices"
	"sync"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
)

// Store persists the log of a replica. It is a *DiskStore, or a *MemoryStore on a VM
// without a disk.
type Store interface {
	// Save stores the arguments that are not nil or empty. See DiskStore.Save.
	Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error
	// Compact removes data that the current snapshot covers.
	Compact() error
	// Close releases resources. Later calls of Save fail.
	Close() error
}

// groupPrefix starts the names of the folders and lock files of groups.
const groupPrefix = "group-"

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 16 << 20

// Options configures a DiskStore. The zero value uses the defaults.
type Options struct {
	// SegmentBytes is the size in bytes at which the next Save starts a new segment.
	SegmentBytes int64
	// FS defaults to OS.
	FS FS
}

func (o Options) withDefaults() Options {
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	if o.FS == nil {
		o.FS = OS{}
	}
	return o
}

// DiskStore holds the write-ahead log and the snapshot of one Raft group. It is safe for
// concurrent use. Entries can be saved while a snapshot is being written.
type DiskStore struct {
	fsys         FS
	dir          string
	segmentBytes int64
	lock         io.Closer

	// snapMu serializes writes of snapshot files and Compact. It is locked before mu.
	snapMu sync.Mutex

	mu       sync.Mutex // guards the fields below
	state    logState
	segments []segment // ascending; file is the last one
	file     File
	nextSeq  uint64       // sequence number of the next record
	buf      bytes.Buffer // reused to encode records
	failure  error        // first failed write or sync, or ErrClosed; never cleared
	// hasTornTail is set when the disk was full in the middle of a record. The active segment
	// must be truncated to its size before the next record is appended.
	hasTornTail bool
}

// OpenDiskStore opens the log of a group in the data folder dir and returns the
// recovered state. It creates the log on the first start and drops a torn tail. It
// returns *CorruptError if synced data is corrupt, ErrGroupRemoved if the group was
// created here and its folder no longer exists, ErrLocked if the group is open
// elsewhere, and *DiskError.
func OpenDiskStore(dir, group string, opts Options) (*DiskStore, raft.PersistentState, error) {
	opts = opts.withDefaults()
	s := &DiskStore{
		fsys:         opts.FS,
		dir:          filepath.Join(dir, groupPrefix+url.PathEscape(group)),
		segmentBytes: opts.SegmentBytes,
	}
	if err := mkdirAllSynced(s.fsys, dir); err != nil {
		return nil, raft.PersistentState{}, err
	}
	lock, err := acquireLock(s.fsys, s.dir+".lock")
	if err != nil {
		return nil, raft.PersistentState{}, err
	}
	s.lock = lock
	recovered, err := s.open(dir, group)
	if err != nil {
		lock.Close()
		return nil, raft.PersistentState{}, err
	}
	return s, recovered, nil
}

// open creates or recovers the log. The lock must be held.
func (s *DiskStore) open(dir, group string) (raft.PersistentState, error) {
	exists, err := s.exists()
	if err != nil {
		return raft.PersistentState{}, err
	}
	if err := checkManifest(s.fsys, dir, group, exists); err != nil {
		return raft.PersistentState{}, err
	}
	if !exists {
		if err := s.create(); err != nil {
			return raft.PersistentState{}, err
		}
	}
	if err := addToManifest(s.fsys, dir, group); err != nil {
		return raft.PersistentState{}, err
	}
	rp := replayer{fsys: s.fsys, dir: s.dir}
	recovered, err := rp.run()
	if err != nil {
		return raft.PersistentState{}, err
	}
	s.state, s.segments, s.nextSeq = rp.state, rp.segments, rp.nextSeq
	// A record read from the page cache may not be on disk, because its sync failed or
	// was never called. The newest segment is therefore rewritten and synced before the
	// snapshots that its last record replaces are removed.
	if s.file, err = writeFile(s.fsys, rp.path(*s.activeSegment()), rp.newestData); err != nil {
		return raft.PersistentState{}, err
	}
	if err := removeStaleFiles(s.fsys, s.dir, s.state.snapshot); err != nil {
		s.file.Close()
		return raft.PersistentState{}, err
	}
	return recovered, nil
}

// exists reports whether the folder of the group exists.
func (s *DiskStore) exists() (bool, error) {
	parent, name := filepath.Split(s.dir)
	names, err := s.fsys.ReadDir(parent)
	if err != nil {
		return false, wrapDiskError(opRead, parent, err)
	}
	return slices.Contains(names, name), nil
}

// create creates the folder with its first segment under a temporary name and renames
// it, so that a group folder without a segment is always corrupt.
func (s *DiskStore) create() error {
	tmp := DiskStore{fsys: s.fsys, dir: s.dir + tmpSuffix}
	if err := s.fsys.RemoveAll(tmp.dir); err != nil {
		return wrapDiskError(opRemove, tmp.dir, err)
	}
	if err := mkdirAllSynced(s.fsys, tmp.dir); err != nil {
		return err
	}
	if err := tmp.rollSegment(nil); err != nil {
		return err
	}
	tmp.file.Close()
	if err := s.fsys.Rename(tmp.dir, s.dir); err != nil {
		return wrapDiskError(opRename, tmp.dir, err)
	}
	return syncDir(s.fsys, filepath.Dir(s.dir))
}

// activeSegment returns the newest segment, to which records are appended.
func (s *DiskStore) activeSegment() *segment { return &s.segments[len(s.segments)-1] }

// Save makes its arguments durable before it returns. It syncs one file once, unless it
// starts a segment or writes a snapshot. A nil or empty argument leaves its part of the
// stored state unchanged. Entries must extend the log or overwrite its tail; overwriting
// drops the conflicting entries. A snapshot that is not newer than the current one is
// ignored. For a newer one, the entries after it are kept if the log contains the last
// entry of the snapshot, and dropped otherwise. Recovery finds either all of a Save or
// nothing of it.
//
// After ErrSyncFailed or ErrIO every later Save returns the same error. ErrDiskFull and
// ErrInvalid leave the store unchanged and usable: a Save that found the disk full may be
// repeated.
func (s *DiskStore) Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error {
	r := record{HardState: hs, Entries: entries}
	if snap == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.append(r)
	}
	s.snapMu.Lock()
	defer s.snapMu.Unlock()
	if snap.Index <= s.SnapshotIndex() {
		snap = nil
	} else if err := s.saveSnapshot(*snap); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if snap != nil {
		r.Snapshot = &snapshotRef{Index: snap.Index, Term: snap.Term, KeepEntries: s.state.hasEntry(snap.Index, snap.Term)}
	}
	return s.append(r)
}

// SnapshotIndex returns the index of the current snapshot, or 0 if there is none.
func (s *DiskStore) SnapshotIndex() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.snapshot.Index
}

// saveSnapshot writes the snapshot file without holding mu, so that entries can be saved
// at the same time. snapMu must be held.
func (s *DiskStore) saveSnapshot(snap raft.Snapshot) error {
	s.mu.Lock()
	err := s.failure
	s.mu.Unlock()
	if err != nil {
		return err
	}
	if err := writeSnapshot(s.fsys, s.dir, snap); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.setFailure(err)
	}
	return nil
}

// setFailure stores err if it is the first failure, so that later calls return it. It
// ignores ErrInvalid and ErrDiskFull. It returns err.
func (s *DiskStore) setFailure(err error) error {
	if err != nil && s.failure == nil && !errors.Is(err, ErrInvalid) && !errors.Is(err, ErrDiskFull) {
		s.failure = err
	}
	return err
}

// append writes r as one frame to the active segment or to a new one.
func (s *DiskStore) append(r record) error {
	if s.failure != nil {
		return s.failure
	}
	if r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil {
		return nil
	}
	if err := s.state.validate(r); err != nil {
		return err
	}
	if s.activeSegment().size >= s.segmentBytes {
		return s.setFailure(s.rollSegment(&r))
	}
	seg := s.activeSegment()
	s.buf.Reset()
	if err := appendFrame(&s.buf, r, seg.salt, s.nextSeq); err != nil {
		return err
	}
	path := filepath.Join(s.dir, seg.name())
	if err := s.removeTornTail(path, seg.size); err != nil {
		return s.setFailure(err)
	}
	if err := appendAndSync(s.file, path, s.buf.Bytes()); err != nil {
		s.hasTornTail = errors.Is(err, ErrDiskFull)
		return s.setFailure(err)
	}
	s.applyRecord(r, int64(s.buf.Len()))
	return nil
}

// removeTornTail truncates the active segment to its size if the last record was not written
// completely.
func (s *DiskStore) removeTornTail(path string, size int64) error {
	if !s.hasTornTail {
		return nil
	}
	if err := s.file.Truncate(size); err != nil {
		return wrapDiskError(opTruncate, path, err)
	}
	if err := s.file.Sync(); err != nil {
		return wrapDiskError(opSync, path, err)
	}
	s.hasTornTail = false
	return nil
}

// applyRecord updates the state after a record is durable. size is the number of bytes
// written.
func (s *DiskStore) applyRecord(r record, size int64) {
	s.nextSeq++
	s.state.apply(r)
	s.activeSegment().updateMaxIndex(r)
	s.activeSegment().size += size
	const maxRetainedBufferBytes = 4 << 20
	if s.buf.Cap() > maxRetainedBufferBytes {
		s.buf = bytes.Buffer{}
	}
}

// rollSegment starts the next segment with a checkpoint and, if r is not nil, writes r to
// it.
func (s *DiskStore) rollSegment(r *record) error {
	number := uint64(1)
	if len(s.segments) > 0 {
		number = s.activeSegment().number + 1
	}
	s.buf.Reset()
	seg, err := newSegment(&s.buf, number)
	if err != nil {
		return err
	}
	c := s.state.checkpoint()
	if err := appendFrame(&s.buf, record{Checkpoint: &c}, seg.salt, s.nextSeq); err != nil {
		return err
	}
	if r != nil {
		if err := appendFrame(&s.buf, *r, seg.salt, s.nextSeq+1); err != nil {
			return err
		}
	}
	f, err := writeFile(s.fsys, filepath.Join(s.dir, seg.name()), s.buf.Bytes())
	if err != nil {
		return err
	}
	if s.file != nil {
		s.file.Close()
	}
	s.file, s.segments = f, append(s.segments, seg)
	s.nextSeq++
	if r != nil {
		s.applyRecord(*r, int64(s.buf.Len()))
	}
	return nil
}

// Compact removes the segments whose entries are all covered by the current snapshot,
// which Save has made durable, and all older snapshots.
func (s *DiskStore) Compact() error {
	s.snapMu.Lock()
	defer s.snapMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	for len(s.segments) > 1 && s.segments[0].maxIndex <= s.state.snapshot.Index {
		path := filepath.Join(s.dir, s.segments[0].name())
		if err := s.fsys.Remove(path); err != nil {
			return s.setFailure(wrapDiskError(opRemove, path, err))
		}
		// A sync after each removal keeps the removals in order, so that a crash never
		// leaves a gap between segments.
		if err := syncDir(s.fsys, s.dir); err != nil {
			return s.setFailure(err)
		}
		s.segments = s.segments[1:]
	}
	return s.setFailure(removeStaleFiles(s.fsys, s.dir, s.state.snapshot))
}

// Close closes the log and releases its lock. It has nothing to sync, because each Save
// syncs.
func (s *DiskStore) Close() error {
	s.snapMu.Lock()
	defer s.snapMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file == nil {
		return nil
	}
	if s.failure == nil {
		s.failure = ErrClosed
	}
	err := s.file.Close()
	s.file = nil
	if lockErr := s.lock.Close(); err == nil {
		err = lockErr
	}
	return err
}
