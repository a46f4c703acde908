package storage

import (
	"bytes"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/oleanderchute/oleanderchute/raft"
)

const (
	snapshotPrefix = "snap-"
	tmpSuffix      = ".tmp"
)

// snapshotName returns the file name of a snapshot.
func snapshotName(ref snapshotRef) string {
	return fmt.Sprintf("%s%016x-%016x", snapshotPrefix, ref.Index, ref.Term)
}

// writeSnapshot writes a durable snapshot file. It becomes the current snapshot when a
// record that refers to it is written.
func writeSnapshot(fsys FS, dir string, snap raft.Snapshot) error {
	var buf bytes.Buffer
	if err := appendFrame(&buf, snap, snap.Term, snap.Index); err != nil {
		return err
	}
	name := snapshotName(snapshotRef{Index: snap.Index, Term: snap.Term})
	f, err := writeFile(fsys, filepath.Join(dir, name), buf.Bytes())
	if err != nil {
		return err
	}
	f.Close()
	return nil
}

// readSnapshot reads the snapshot that ref refers to. Index 0 means that there is none.
func readSnapshot(fsys FS, dir string, ref snapshotRef) (raft.Snapshot, error) {
	var snap raft.Snapshot
	if ref.Index == 0 {
		return snap, nil
	}
	path := filepath.Join(dir, snapshotName(ref))
	buf, err := fsys.ReadFile(path)
	if err != nil {
		return snap, &CorruptError{File: path, Reason: "current snapshot is unreadable: " + err.Error()}
	}
	f, ok := decodeFrame(buf, ref.Term)
	if !ok || f.seq != ref.Index || f.size() != len(buf) {
		return snap, &CorruptError{File: path, Reason: "checksum mismatch"}
	}
	if err := codec.DecMode.Unmarshal(f.payload, &snap); err != nil {
		return snap, &CorruptError{File: path, Offset: frameHeaderSize, Reason: err.Error()}
	}
	return snap, nil
}

// removeStaleFiles removes temporary files and all snapshots but the one that ref refers
// to. It must not run while a snapshot is being written.
func removeStaleFiles(fsys FS, dir string, ref snapshotRef) error {
	names, err := fsys.ReadDir(dir)
	if err != nil {
		return wrapDiskError(opRead, dir, err)
	}
	removed := false
	for _, n := range names {
		isStaleSnapshot := strings.HasPrefix(n, snapshotPrefix) && n != snapshotName(ref)
		if !isStaleSnapshot && !strings.HasSuffix(n, tmpSuffix) {
			continue
		}
		if err := fsys.Remove(filepath.Join(dir, n)); err != nil {
			return wrapDiskError(opRemove, n, err)
		}
		removed = true
	}
	if !removed {
		return nil
	}
	return syncDir(fsys, dir)
}
