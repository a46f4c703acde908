package transport

import (
	"encoding/binary"
	"io"
)

// A frame is a header of 8 bytes, little-endian, and a body:
//
//	offset 0  kind    1 byte
//	offset 1  last    1 byte, 1 on the last frame of a message
//	offset 2  zero    2 bytes
//	offset 4  length  4 bytes: length of the body, or the ID of a ping or pong, which
//	                  has no body
//
// The data frames of a message are contiguous, except that frames without a body may
// come between them. The receiver acknowledges each data frame that is not the last of
// its message with a progress frame, so that a large message in the buffers of a slow
// connection does not make the connection look dead.
const (
	frameHeaderBytes = 8
	// maxFrameBodyBytes bounds the body of a frame in bytes, and thereby how long a
	// ping waits behind a data frame.
	maxFrameBodyBytes = 16 << 10
)

type frameKind byte

const (
	frameData frameKind = iota + 1
	framePing
	framePong
	frameProgress
)

// frame is a decoded frame header, without the body.
type frame struct {
	kind       frameKind
	last       bool
	lengthOrID uint32 // length of the body in bytes, or the ID of a ping or pong
}

// appendTo appends the encoded header to buf.
func (f frame) appendTo(buf []byte) []byte {
	last := byte(0)
	if f.last {
		last = 1
	}
	buf = append(buf, byte(f.kind), last, 0, 0)
	return binary.LittleEndian.AppendUint32(buf, f.lengthOrID)
}

// readFrameHeader reads and validates a frame header; the body follows it in r.
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
