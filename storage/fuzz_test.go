package storage

import (
	"bytes"
	"testing"

	"github.com/oleanderchute/oleanderchute/raft"
)

// Guards against a panic or an oversized allocation on damaged input, and against a
// decoded record that does not encode to an equal one.
func FuzzRecord(f *testing.F) {
	var buf bytes.Buffer
	r := record{HardState: &raft.HardState{Term: 3, Vote: "vm1#a"}, Entries: entriesFrom(7, 2, 9), Snapshot: &snapshotRef{Index: 6, Term: 2, KeepEntries: true}}
	if err := appendFrame(&buf, r, 1, 1); err != nil {
		f.Fatal(err)
	}
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, data []byte) {
		writtenAfter(data, 1, 1)
		payload := data[min(frameHeader, len(data)):]
		if fr, ok := readFrame(data, 1); ok {
			payload = fr.payload
		}
		r, err := decodeRecord(payload)
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := appendFrame(&out, r, 1, 1); err != nil {
			t.Fatal(err)
		}
		fr, ok := readFrame(out.Bytes(), 1)
		if !ok {
			t.Fatal("encoded frame is unreadable")
		}
		if _, err := decodeRecord(fr.payload); err != nil {
			t.Fatal(err)
		}
	})
}
