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
	fs           FS
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
	failed   error // set for good by the first failed write or sync, or by Close
}

// OpenGroup opens the log of a group, creates it at the first start, and returns what
// it held. A torn tail is cut. Errors: *CorruptError for damage to synced data,
// ErrGroupRemoved if the group was created here and its folder is gone, ErrLocked,
// *DiskError.
func OpenDiskStore(dir, group string, opts Options) (*DiskStore, raft.PersistentState, error) {
	opts = opts.withDefaults()
	g := &DiskStore{
		fs:           opts.FS,
		dir:          filepath.Join(dir, groupPrefix+url.PathEscape(group)),
		segmentBytes: opts.SegmentBytes,
	}
	if err := mkdirSynced(g.fs, dir); err != nil {
		return nil, raft.PersistentState{}, err
	}
	lock, err := takeLock(g.fs, g.dir+".lock")
	if err != nil {
		return nil, raft.PersistentState{}, err
	}
	g.lock = lock
	rec, err := g.open(dir, group)
	if err != nil {
		lock.Close()
		return nil, raft.PersistentState{}, err
	}
	return g, rec, nil
}

func (g *DiskStore) open(dir, group string) (raft.PersistentState, error) {
	exists, err := g.exists()
	if err != nil {
		return raft.PersistentState{}, err
	}
	if err := checkManifest(g.fs, dir, group, exists); err != nil {
		return raft.PersistentState{}, err
	}
	if !exists {
		if err := g.create(); err != nil {
			return raft.PersistentState{}, err
		}
	}
	if err := noteGroup(g.fs, dir, group); err != nil {
		return raft.PersistentState{}, err
	}
	p := replay{fs: g.fs, dir: g.dir}
	rec, err := p.run()
	if err != nil {
		return raft.PersistentState{}, err
	}
	g.state, g.segments, g.nextSeq = p.state, p.segments, p.nextSeq
	// The newest segment is written anew, because a record read from the page cache
	// may never have reached the disk: its sync may have failed or not been called.
	// Only then may the files that its last record replaces be removed.
	if g.file, err = writeFile(g.fs, p.path(*g.active()), p.tail); err != nil {
		return raft.PersistentState{}, err
	}
	if err := removeStale(g.fs, g.dir, g.state.snapshot); err != nil {
		g.file.Close()
		return raft.PersistentState{}, err
	}
	return rec, nil
}

// exists reports whether the folder of the group is there.
func (g *DiskStore) exists() (bool, error) {
	parent, name := filepath.Split(g.dir)
	names, err := g.fs.ReadDir(parent)
	if err != nil {
		return false, diskError(opRead, parent, err)
	}
	return slices.Contains(names, name), nil
}

// create makes the folder with its first segment under a temporary name, so that a
// group folder without a segment is always damage.
func (g *DiskStore) create() error {
	tmp := DiskStore{fs: g.fs, dir: g.dir + tmpSuffix}
	if err := g.fs.RemoveAll(tmp.dir); err != nil {
		return diskError(opRemove, tmp.dir, err)
	}
	if err := mkdirSynced(g.fs, tmp.dir); err != nil {
		return err
	}
	if err := tmp.roll(nil); err != nil {
		return err
	}
	tmp.file.Close()
	if err := g.fs.Rename(tmp.dir, g.dir); err != nil {
		return diskError(opRename, tmp.dir, err)
	}
	return syncDir(g.fs, filepath.Dir(g.dir))
}

func (g *DiskStore) active() *segment { return &g.segments[len(g.segments)-1] }

// Save makes the given parts durable before it returns, with one sync of one file
// unless a segment or a snapshot is started. A nil or empty part is left unchanged.
// Entries must follow the log or overwrite its tail, which drops the conflicting
// entries. A snapshot that is not newer than the one in force is ignored; otherwise
// entries after it are kept if the log held the snapshot's last entry, and dropped if
// not. A Save is recovered as a whole or not at all.
//
// After ErrDiskFull, ErrSyncFailed or ErrIO every later Save returns the same error.
// ErrInvalid leaves the group unchanged and usable.
func (g *DiskStore) Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error {
	r := record{HardState: hs, Entries: entries}
	if snap == nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.append(r)
	}
	g.snapMu.Lock()
	defer g.snapMu.Unlock()
	if snap.Index <= g.SnapshotIndex() {
		snap = nil
	} else if err := g.saveSnapshot(*snap); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if snap != nil {
		r.Snapshot = &snapshotRef{Index: snap.Index, Term: snap.Term, KeepEntries: g.state.holds(snap.Index, snap.Term)}
	}
	return g.append(r)
}

// Snapshot returns the index of the snapshot in force, 0 if there is none.
func (g *DiskStore) SnapshotIndex() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.snapshot.Index
}

// saveSnapshot writes the file without holding mu, so that entries can be saved
// meanwhile.
func (g *DiskStore) saveSnapshot(snap raft.Snapshot) error {
	g.mu.Lock()
	err := g.failed
	g.mu.Unlock()
	if err != nil {
		return err
	}
	if err := writeSnapshot(g.fs, g.dir, snap); err != nil {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.fail(err)
	}
	return nil
}

// fail records the first failure for good, except for an invalid argument.
func (g *DiskStore) fail(err error) error {
	if err != nil && g.failed == nil && !errors.Is(err, ErrInvalid) {
		g.failed = err
	}
	return err
}

func (g *DiskStore) append(r record) error {
	if g.failed != nil {
		return g.failed
	}
	if r.HardState == nil && len(r.Entries) == 0 && r.Snapshot == nil {
		return nil
	}
	if err := g.state.check(r); err != nil {
		return err
	}
	if g.active().size >= g.segmentBytes {
		return g.fail(g.roll(&r))
	}
	seg := g.active()
	g.buf.Reset()
	if err := appendFrame(&g.buf, r, seg.salt, g.nextSeq); err != nil {
		return err
	}
	if err := appendSync(g.file, filepath.Join(g.dir, seg.name()), g.buf.Bytes()); err != nil {
		return g.fail(err)
	}
	g.commit(r, int64(g.buf.Len()))
	return nil
}

// commit updates the state after a record of the given size is durable.
func (g *DiskStore) commit(r record, size int64) {
	g.nextSeq++
	g.state.apply(r)
	g.active().noteEntries(r)
	g.active().size += size
	const keepBuffer = 4 << 20
	if g.buf.Cap() > keepBuffer {
		g.buf = bytes.Buffer{}
	}
}

// roll starts the next segment with a checkpoint and, if r is not nil, the record.
func (g *DiskStore) roll(r *record) error {
	number := uint64(1)
	if len(g.segments) > 0 {
		number = g.active().number + 1
	}
	g.buf.Reset()
	seg, err := startSegment(&g.buf, number)
	if err != nil {
		return err
	}
	c := g.state.checkpoint()
	if err := appendFrame(&g.buf, record{Checkpoint: &c}, seg.salt, g.nextSeq); err != nil {
		return err
	}
	if r != nil {
		if err := appendFrame(&g.buf, *r, seg.salt, g.nextSeq+1); err != nil {
			return err
		}
	}
	f, err := writeFile(g.fs, filepath.Join(g.dir, seg.name()), g.buf.Bytes())
	if err != nil {
		return err
	}
	if g.file != nil {
		g.file.Close()
	}
	g.file, g.segments = f, append(g.segments, seg)
	g.nextSeq++
	if r != nil {
		g.commit(*r, int64(g.buf.Len()))
	}
	return nil
}

// Compact removes the segments whose entries the durable snapshot covers, and the
// snapshots before it. Save must have made the snapshot durable before.
func (g *DiskStore) Compact() error {
	g.snapMu.Lock()
	defer g.snapMu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.failed != nil {
		return g.failed
	}
	for len(g.segments) > 1 && g.segments[0].maxIndex <= g.state.snapshot.Index {
		path := filepath.Join(g.dir, g.segments[0].name())
		if err := g.fs.Remove(path); err != nil {
			return g.fail(diskError(opRemove, path, err))
		}
		// One sync for each removal keeps their order, so that a crash never leaves
		// an older segment with a later one missing.
		if err := syncDir(g.fs, g.dir); err != nil {
			return g.fail(err)
		}
		g.segments = g.segments[1:]
	}
	return g.fail(removeStale(g.fs, g.dir, g.state.snapshot))
}

// Close releases the folder. It syncs nothing, since each Save has.
func (g *DiskStore) Close() error {
	g.snapMu.Lock()
	defer g.snapMu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.file == nil {
		return nil
	}
	if g.failed == nil {
		g.failed = ErrClosed
	}
	err := g.file.Close()
	g.file = nil
	if lerr := g.lock.Close(); err == nil {
		err = lerr
	}
	return err
}
