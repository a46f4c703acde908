package transport

import (
	"bytes"
	"testing"

	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/oleanderchute/oleanderchute/raft"
)

// FuzzPeerInput guards against input from a peer that crashes the process: frame headers,
// the envelope of a message, and a batch of Raft messages.
func FuzzPeerInput(f *testing.F) {
	batch, err := encodeCBOR([]raft.Message{{Kind: raft.MsgAppend, Group: "control", From: "a#1", To: "b#1", Term: 3}})
	if err != nil {
		f.Fatal(err)
	}
	call, err := encodeMessage(envelope{Seq: 7, Method: "Cluster.Known"}, Empty{})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(frame{kind: frameData, last: true, lengthOrID: 16}.appendTo(nil))
	f.Add(batch)
	f.Add(call)
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		if header, err := readFrameHeader(bytes.NewReader(data)); err == nil && header.kind == frameData && header.lengthOrID > maxFrameBodyBytes {
			t.Fatalf("accepted a frame with a body of %d bytes", header.lengthOrID)
		}
		var e envelope
		if rest, err := codec.DecMode.UnmarshalFirst(data, &e); err == nil {
			_ = codec.DecMode.Unmarshal(rest, &Empty{}) // any error is fine, a panic is not
		}
		done := make(chan struct{})
		s := &RaftService{deliver: func([]raft.Message) {}}
		_ = s.Deliver(&RaftBatch{Payload: data, done: done}, &Empty{})
		select {
		case <-done:
		default:
			t.Fatal("an undecodable batch blocks the batches after it")
		}
	})
}

func encodeCBOR(v any) ([]byte, error) {
	var buf bytes.Buffer
	err := codec.EncMode.MarshalToBuffer(v, &buf)
	return buf.Bytes(), err
}
