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

// Store is where a replica persists its log: a *Group, or a *Memory on a VM without a
// disk.
type Store interface {
	Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error
	Compact() error
	Close() error
}

const groupPrefix = "group-"

// DefaultSegmentBytes is the size at which a new segment is started.
const DefaultSegmentBytes = 16 << 20

// Options of a group. The zero value uses the defaults.
type Options struct {
	// SegmentBytes is the size in bytes at which the next Save starts a new segment.
	SegmentBytes int64
	// FS defaults to the operating system's.
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

// Group is the log and the snapshot of one replicated group. Its methods may be
// called from several goroutines; a snapshot may be saved beside entries.
type DiskStore struct {
	fsys         FS
	dir          string
	segmentBytes int64
	lock         io.Closer

	// snapMu serializes snapshot files and Compact. It is taken before mu.
	snapMu sync.Mutex

	mu       sync.Mutex // guards the fields below
	state    logState
	segments []segment // the last one is open in file
	file     File
	nextSeq  uint64
	buf      bytes.Buffer
	failure  error // set for good by the first failed write or sync, or by Close
}

// OpenGroup opens the log of a group, creates it at the first start, and returns what
// it held. A torn tail is cut. Errors: *CorruptError for damage to synced data,
// ErrGroupRemoved if the group was created here and its folder is gone, ErrLocked,
// *DiskError.
func OpenDiskStore(dir, group string, opts Options) (*DiskStore, raft.Recovered, error) {
	opts = opts.withDefaults()
	s := &DiskStore{
		fsys:         opts.FS,
		dir:          filepath.Join(dir, groupPrefix+url.PathEscape(group)),
		segmentBytes: opts.SegmentBytes,
	}
	if err := mkdirAllSynced(s.fsys, dir); err != nil {
		return nil, raft.Recovered{}, err
	}
	lock, err := acquireLock(s.fsys, s.dir+".lock")
	if err != nil {
		return nil, raft.Recovered{}, err
	}
	s.lock = lock
	rec, err := s.open(dir, group)
	if err != nil {
		lock.Close()
		return nil, raft.Recovered{}, err
	}
	return s, rec, nil
}

func (s *DiskStore) open(dir, group string) (raft.Recovered, error) {
	exists, err := s.exists()
	if err != nil {
		return raft.Recovered{}, err
	}
	if err := checkManifest(s.fsys, dir, group, exists); err != nil {
		return raft.Recovered{}, err
	}
	if !exists {
		if err := s.create(); err != nil {
			return raft.Recovered{}, err
		}
	}
	if err := addToManifest(s.fsys, dir, group); err != nil {
		return raft.Recovered{}, err
	}
	rp := replayer{fsys: s.fsys, dir: s.dir}
	rec, err := rp.run()
	if err != nil {
		return raft.Recovered{}, err
	}
	s.state, s.segments, s.nextSeq = rp.state, rp.segments, rp.nextSeq
	// The newest segment is written anew, because a record read from the page cache
	// may never have reached the disk: its sync may have failed or not been called.
	// Only then may the files that its last record replaces be removed.
	if s.file, err = writeFile(s.fsys, rp.path(*s.activeSegment()), rp.newestData); err != nil {
		return raft.Recovered{}, err
	}
	if err := removeStaleFiles(s.fsys, s.dir, s.state.snapshot); err != nil {
		s.file.Close()
		return raft.Recovered{}, err
	}
	return rec, nil
}

// exists reports whether the folder of the group is there.
func (s *DiskStore) exists() (bool, error) {
	parent, name := filepath.Split(s.dir)
	names, err := s.fsys.ReadDir(parent)
	if err != nil {
		return false, wrapDiskError(opRead, parent, err)
	}
	return slices.Contains(names, name), nil
}

// create makes the folder with its first segment under a temporary name, so that a
// group folder without a segment is always damage.
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

func (s *DiskStore) activeSegment() *segment { return &s.segments[len(s.segments)-1] }

// Save makes the given parts durable before it returns, with one sync of one file
// unless a segment or a snapshot is started. A nil or empty part is left unchanged.
// Entries must follow the log or overwrite its tail, which drops the conflicting
// entries. A snapshot that is not newer than the one in force is ignored; otherwise
// entries after it are kept if the log held the snapshot's last entry, and dropped if
// not. A Save is recovered as a whole or not at all.
//
// After ErrDiskFull, ErrSyncFailed or ErrIO every later Save returns the same error.
// ErrInvalid leaves the group unchanged and usable.
func (s *DiskStore) Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error {
	r := record{HardState: hs, Entries: entries}
	if snap == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.appendRecord(r)
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
	return s.appendRecord(r)
}

// Snapshot returns the index of the snapshot in force, 0 if there is none.
func (s *DiskStore) SnapshotIndex() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.snapshot.Index
}

// saveSnapshot writes the file without holding mu, so that entries can be saved
// meanwhile.
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

// fail records the first failure for good, except for an invalid argument.
func (s *DiskStore) setFailure(err error) error {
	if err != nil && s.failure == nil && !errors.Is(err, ErrInvalid) {
		s.failure = err
	}
	return err
}

func (s *DiskStore) appendRecord(r record) error {
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
	if err := appendAndSync(s.file, filepath.Join(s.dir, seg.name()), s.buf.Bytes()); err != nil {
		return s.setFailure(err)
	}
	s.applyRecord(r, int64(s.buf.Len()))
	return nil
}

// commit updates the state after a record of the given size is durable.
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

// roll starts the next segment with a checkpoint and, if r is not nil, the record.
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

// Compact removes the segments whose entries the durable snapshot covers, and the
// snapshots before it. Save must have made the snapshot durable before.
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
		// One sync for each removal keeps their order, so that a crash never leaves
		// an older segment with a later one missing.
		if err := syncDir(s.fsys, s.dir); err != nil {
			return s.setFailure(err)
		}
		s.segments = s.segments[1:]
	}
	return s.setFailure(removeStaleFiles(s.fsys, s.dir, s.state.snapshot))
}

// Close releases the folder. It syncs nothing, since each Save has.
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
