package storage

import (
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/oleanderchute/oleanderchute/raft"
)

// replay rebuilds a group from its segments, oldest first. It belongs to the
// goroutine that opens the group.
type replay struct {
	fs       FS
	dir      string
	state    logState
	entries  []raft.Entry
	nextSeq  uint64
	segments []segment
	// tail is the readable part of the newest segment.
	tail []byte
}

// run reads all segments and the snapshot in force.
func (p *replay) run() (raft.PersistentState, error) {
	numbers, err := segmentNumbers(p.fs, p.dir)
	if err != nil {
		return raft.PersistentState{}, err
	}
	if len(numbers) == 0 {
		return raft.PersistentState{}, &CorruptError{File: p.dir, Reason: "group has no segments"}
	}
	for i, n := range numbers {
		if err := p.readSegment(n, i == len(numbers)-1); err != nil {
			return raft.PersistentState{}, err
		}
	}
	return p.recovered()
}

func (p *replay) recovered() (raft.PersistentState, error) {
	m := p.state.snapshot
	if p.state.floor > m.Index {
		reason := fmt.Sprintf("entries %d to %d are missing", m.Index+1, p.state.floor)
		return raft.PersistentState{}, &CorruptError{File: p.path(p.segments[0]), Reason: reason}
	}
	snap, err := readSnapshot(p.fs, p.dir, m)
	if err != nil {
		return raft.PersistentState{}, err
	}
	p.dropThrough(m.Index)
	return raft.PersistentState{HardState: p.state.hard, Snapshot: snap, Entries: p.entries}, nil
}

func (p *replay) path(s segment) string { return filepath.Join(p.dir, s.name()) }

func (p *replay) readSegment(number uint64, newest bool) error {
	seg := segment{number: number}
	path := p.path(seg)
	buf, err := p.fs.ReadFile(path)
	if err != nil {
		return diskError(opRead, path, err)
	}
	if len(buf) < segmentHeader || !strings.HasPrefix(string(buf[:8]), segmentMagic) {
		return &CorruptError{File: path, Reason: "segment header"}
	}
	seg.salt = binary.LittleEndian.Uint64(buf[8:])
	at := segmentHeader
	for at < len(buf) {
		f, ok := readFrame(buf[at:], seg.salt)
		if !ok {
			if newest && at > segmentHeader && !writtenAfter(buf[at:], seg.salt, p.nextSeq) {
				break
			}
			return &CorruptError{File: path, Offset: int64(at), Reason: "unreadable record"}
		}
		if err := p.readRecord(&seg, f, at == segmentHeader); err != nil {
			return &CorruptError{File: path, Offset: int64(at), Reason: err.Error()}
		}
		at += f.size()
	}
	if at == segmentHeader {
		return &CorruptError{File: path, Offset: int64(at), Reason: "segment has no checkpoint"}
	}
	seg.size, p.tail = int64(at), buf[:at]
	p.segments = append(p.segments, seg)
	return nil
}

func (p *replay) readRecord(seg *segment, f frame, first bool) error {
	r, err := decodeRecord(f.payload)
	if err != nil {
		return err
	}
	if first != (r.Checkpoint != nil) {
		return fmt.Errorf("checkpoint out of place")
	}
	oldest := first && len(p.segments) == 0
	if !oldest && f.seq != p.nextSeq {
		return fmt.Errorf("record %d where %d is due", f.seq, p.nextSeq)
	}
	p.nextSeq = f.seq + 1
	if first {
		return p.readCheckpoint(*r.Checkpoint, oldest)
	}
	if err := p.state.check(r); err != nil {
		return err
	}
	p.state.apply(r)
	p.applyEntries(r)
	seg.noteEntries(r)
	return nil
}

func (p *replay) readCheckpoint(c checkpoint, oldest bool) error {
	if oldest {
		p.state.start(c)
		return nil
	}
	if c != p.state.checkpoint() {
		return fmt.Errorf("checkpoint differs from the segments before it")
	}
	return nil
}

// applyEntries keeps p.entries equal to the entries in (floor, last] of the state.
func (p *replay) applyEntries(r record) {
	if r.Snapshot != nil && !r.Snapshot.KeepEntries {
		p.entries = nil
	} else if r.Snapshot != nil {
		p.dropThrough(r.Snapshot.Index)
	}
	if len(r.Entries) == 0 {
		return
	}
	first := r.Entries[0].Index
	for n := len(p.entries); n > 0 && p.entries[n-1].Index >= first; n-- {
		p.entries = p.entries[:n-1]
	}
	p.entries = append(p.entries, r.Entries...)
}

// dropThrough drops the entries up to index.
func (p *replay) dropThrough(index uint64) {
	for len(p.entries) > 0 && p.entries[0].Index <= index {
		p.entries = p.entries[1:]
	}
}
