package storage

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/oleanderchute/oleanderchute/raft"
)

// replayer rebuilds the state of a group from its segments, oldest first. It is not safe
// for concurrent use.
type replayer struct {
	fsys     FS
	dir      string
	state    logState
	entries  []raft.Entry // those after state.snapshot and state.baseIndex
	nextSeq  uint64       // expected sequence number of the next record
	segments []segment
	// newestData is the newest segment without a torn tail.
	newestData []byte
}

// run reads all segments and the current snapshot.
func (rp *replayer) run() (raft.PersistentState, error) {
	numbers, err := segmentNumbers(rp.fsys, rp.dir)
	if err != nil {
		return raft.PersistentState{}, err
	}
	if len(numbers) == 0 {
		return raft.PersistentState{}, &CorruptError{File: rp.dir, Reason: "group has no segments"}
	}
	for i, n := range numbers {
		if err := rp.readSegment(n, i == len(numbers)-1); err != nil {
			return raft.PersistentState{}, err
		}
	}
	return rp.recovered()
}

// recovered returns the recovered state after all segments have been read.
func (rp *replayer) recovered() (raft.PersistentState, error) {
	ref := rp.state.snapshot
	if rp.state.baseIndex > ref.Index {
		reason := fmt.Sprintf("entries %d to %d are missing", ref.Index+1, rp.state.baseIndex)
		return raft.PersistentState{}, &CorruptError{File: rp.path(rp.segments[0]), Reason: reason}
	}
	snap, err := readSnapshot(rp.fsys, rp.dir, ref)
	if err != nil {
		return raft.PersistentState{}, err
	}
	rp.dropEntriesThrough(ref.Index)
	return raft.PersistentState{HardState: rp.state.hardState, Snapshot: snap, Entries: rp.entries}, nil
}

func (rp *replayer) path(s segment) string { return filepath.Join(rp.dir, s.name()) }

// readSegment replays one segment. In the newest one, an unreadable record with nothing
// written after it is a torn tail and ends the segment.
func (rp *replayer) readSegment(number uint64, isNewest bool) error {
	seg := segment{number: number}
	path := rp.path(seg)
	buf, err := rp.fsys.ReadFile(path)
	if err != nil {
		return wrapDiskError(opRead, path, err)
	}
	if len(buf) < segmentHeaderSize || !strings.HasPrefix(string(buf[:8]), segmentMagic) {
		return &CorruptError{File: path, Reason: "invalid segment header"}
	}
	seg.salt = binary.LittleEndian.Uint64(buf[8:])
	offset := segmentHeaderSize
	for offset < len(buf) {
		f, ok := decodeFrame(buf[offset:], seg.salt)
		if !ok {
			if isNewest && offset > segmentHeaderSize && !hasLaterWrite(buf[offset:], seg.salt, rp.nextSeq) {
				break
			}
			return &CorruptError{File: path, Offset: int64(offset), Reason: "unreadable record"}
		}
		if err := rp.readRecord(&seg, f, offset == segmentHeaderSize); err != nil {
			return &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
		}
		offset += f.size()
	}
	if offset == segmentHeaderSize {
		return &CorruptError{File: path, Offset: int64(offset), Reason: "segment has no checkpoint"}
	}
	seg.size, rp.newestData = int64(offset), buf[:offset]
	rp.segments = append(rp.segments, seg)
	return nil
}

// readRecord applies one record. isFirst is true for the first record of the segment, which
// must be its checkpoint.
func (rp *replayer) readRecord(seg *segment, f frame, isFirst bool) error {
	r, err := decodeRecord(f.payload)
	if err != nil {
		return err
	}
	if isFirst != (r.Checkpoint != nil) {
		return fmt.Errorf("a segment must have exactly one checkpoint, as its first record")
	}
	isOldest := isFirst && len(rp.segments) == 0
	if !isOldest && f.seq != rp.nextSeq {
		return fmt.Errorf("record has sequence number %d, want %d", f.seq, rp.nextSeq)
	}
	rp.nextSeq = f.seq + 1
	if isFirst {
		return rp.readCheckpoint(*r.Checkpoint, isOldest)
	}
	if err := rp.state.validate(r); err != nil {
		return err
	}
	rp.state.apply(r)
	rp.applyEntries(r)
	seg.updateMaxIndex(r)
	return nil
}

// readCheckpoint sets the state from the checkpoint of the oldest segment. It checks that
// the checkpoint of a later segment equals the state after the preceding segments.
func (rp *replayer) readCheckpoint(c checkpoint, isOldest bool) error {
	if isOldest {
		rp.state.restoreCheckpoint(c)
		return nil
	}
	if c != rp.state.checkpoint() {
		return fmt.Errorf("checkpoint does not match the state after the preceding segments")
	}
	return nil
}

// applyEntries updates entries with a record that has been applied to the state.
func (rp *replayer) applyEntries(r record) {
	if r.Snapshot != nil && !r.Snapshot.KeepEntries {
		rp.entries = nil
	} else if r.Snapshot != nil {
		rp.dropEntriesThrough(r.Snapshot.Index)
	}
	if len(r.Entries) == 0 {
		return
	}
	first := r.Entries[0].Index
	for n := len(rp.entries); n > 0 && rp.entries[n-1].Index >= first; n-- {
		rp.entries = rp.entries[:n-1]
	}
	rp.entries = append(rp.entries, r.Entries...)
}

// dropEntriesThrough drops the entries up to and including index.
func (rp *replayer) dropEntriesThrough(index uint64) {
	for len(rp.entries) > 0 && rp.entries[0].Index <= index {
		rp.entries = rp.entries[1:]
	}
}
