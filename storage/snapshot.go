package storage

import (
	"bytes"
	"fmt"
	"github.com/oleanderchute/oleanderchute/internal/codec"
	"path/filepath"
	"strings"

	"github.com/oleanderchute/oleanderchute/raft"
)

const (
	snapshotPrefix = "snap-"
	tmpSuffix      = ".tmp"
)

func snapshotName(m snapshotRef) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, m.Index, m.Term)
}

// writeSnapshot makes a snapshot file durable. It is in force only once a record refers to it.
func writeSnapshot(fs FS, dir string, snap raft.Snapshot) error {
	var buf bytes.Buffer
	if err := appendFrame(&buf, snap, snap.Term, snap.Index); err != nil {
		return err
	}
	name := snapshotName(snapshotRef{Index: snap.Index, Term: snap.Term})
	f, err := writeFile(fs, filepath.Join(dir, name), buf.Bytes())
	if err != nil {
		return err
	}
	f.Close()
	return nil
}

// readSnapshot reads the snapshot that is referred to; index 0 means none.
func readSnapshot(fs FS, dir string, m snapshotRef) (raft.Snapshot, error) {
	var snap raft.Snapshot
	if m.Index == 0 {
		return snap, nil
	}
	path := filepath.Join(dir, snapshotName(m))
	buf, err := fs.ReadFile(path)
	if err != nil {
		return snap, &CorruptError{File: path, Reason: "snapshot in force is unreadable: " + err.Error()}
	}
	f, ok := readFrame(buf, m.Term)
	if !ok || f.seq != m.Index || f.size() != len(buf) {
		return snap, &CorruptError{File: path, Reason: "checksum mismatch"}
	}
	if err := codec.DecMode.Unmarshal(f.payload, &snap); err != nil {
		return snap, &CorruptError{File: path, Offset: frameHeader, Reason: err.Error()}
	}
	return snap, nil
}

// removeStale removes temporary files and the snapshots that are not in force. It
// must not run while a snapshot is being written.
func removeStale(fs FS, dir string, m snapshotRef) error {
	names, err := fs.ReadDir(dir)
	if err != nil {
		return diskError(opRead, dir, err)
	}
	removed := false
	for _, n := range names {
		old := strings.HasPrefix(n, snapshotPrefix) && n != snapshotName(m)
		if !old && !strings.HasSuffix(n, tmpSuffix) {
			continue
		}
		if err := fs.Remove(filepath.Join(dir, n)); err != nil {
			return diskError(opRemove, n, err)
		}
		removed = true
	}
	if !removed {
		return nil
	}
	return syncDir(fs, dir)
}
