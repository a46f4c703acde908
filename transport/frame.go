package transport

import (
	"encoding/binary"
	"io"
)

// A chunk is a header of 8 bytes, little-endian, and a body:
//
//	0 kind    1 byte
//	1 last    1 byte, 1 on the last chunk of a message
//	2 zero    2 bytes
//	4 length  4 bytes, of the body; for pings and pongs their number, without a body
//
// Chunks of one message follow each other; only chunks without a body come between
// them. The receiver answers each chunk that is not the last of its message with a
// progress chunk, so that a large message in the buffers of a slow link does not make
// the link look silent.
const (
	frameHeaderBytes = 8
	// chunkBytes bounds a chunk's body, and so how long a ping waits behind one.
	maxFrameBodyBytes = 16 << 10
)

type frameKind byte

const (
	frameData frameKind = iota + 1
	framePing
	framePong
	frameProgress
)

// chunk is a decoded header.
type frame struct {
	kind       frameKind
	last       bool
	lengthOrID uint32
}

func (f frame) appendTo(buf []byte) []byte {
	last := byte(0)
	if f.last {
		last = 1
	}
	buf = append(buf, byte(f.kind), last, 0, 0)
	return binary.LittleEndian.AppendUint32(buf, f.lengthOrID)
}

func readFrameHeader(r io.Reader) (frame, error) {
	var h [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return frame{}, err
	}
	f := frame{kind: frameKind(h[0]), last: h[1] == 1, lengthOrID: binary.LittleEndian.Uint32(h[4:])}
	if f.kind < frameData || f.kind > frameProgress || f.kind == frameData && f.lengthOrID > maxFrameBodyBytes {
		return frame{}, errInvalidFrame
	}
	return f, nil
}
