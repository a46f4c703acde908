package storage

import (
	"bytes"

	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
)

// record is the payload of one frame of a segment. A Save is one record, so it is
// recovered as a whole or not at all.
type record struct {
	HardState  *raft.HardState `cbor:"1,keyasint,omitempty"`
	Entries    []raft.Entry    `cbor:"2,keyasint,omitempty"`
	Snapshot   *snapshotRef    `cbor:"3,keyasint,omitempty"`
	Checkpoint *checkpoint     `cbor:"4,keyasint,omitempty"`
}

// snapshotRef puts a snapshot in force. Its file is durable before the
// reference is written, and a file without a reference is ignored.
type snapshotRef struct {
	Index uint64 `cbor:"1,keyasint"`
	Term  uint64 `cbor:"2,keyasint"`
	// Keep is true if the log held the entry of the snapshot, so that the entries
	// after it stay; otherwise the snapshot replaces the log.
	KeepEntries bool `cbor:"3,keyasint"`
}

// checkpoint is the first record of a segment: the state in which the segment starts,
// so that the segments before it can be dropped.
type checkpoint struct {
	HardState raft.HardState `cbor:"1,keyasint"`
	Snapshot  snapshotRef    `cbor:"2,keyasint"`
	LastIndex uint64         `cbor:"3,keyasint"`
}

// appendFrame encodes v as a frame at the end of buf.
func appendFrame(buf *bytes.Buffer, v any, salt, seq uint64) error {
	start := buf.Len()
	buf.Write(make([]byte, frameHeader))
	if err := codec.EncMode.MarshalToBuffer(v, buf); err != nil {
		return errors.Wrap(err, "encode record")
	}
	b := buf.Bytes()[start:]
	if len(b) > frameHeader+maxFramePayload {
		return errors.Wrapf(ErrInvalid, "record of %d bytes", len(b))
	}
	sealFrame(b, salt, seq)
	return nil
}

func decodeRecord(payload []byte) (record, error) {
	var r record
	err := codec.DecMode.Unmarshal(payload, &r)
	return r, err
}
