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
	chunkHeader = 8
	// chunkBytes bounds a chunk's body, and so how long a ping waits behind one.
	chunkBytes = 16 << 10
)

type chunkKind byte

const (
	chunkData chunkKind = iota + 1
	chunkPing
	chunkPong
	chunkProgress
)

// chunk is a decoded header.
type chunk struct {
	kind   chunkKind
	last   bool
	number uint32
}

func (c chunk) append(buf []byte) []byte {
	last := byte(0)
	if c.last {
		last = 1
	}
	buf = append(buf, byte(c.kind), last, 0, 0)
	return binary.LittleEndian.AppendUint32(buf, c.number)
}

func readChunk(r io.Reader) (chunk, error) {
	var h [chunkHeader]byte
	if _, err := io.ReadFull(r, h[:]); err != nil {
		return chunk{}, err
	}
	c := chunk{kind: chunkKind(h[0]), last: h[1] == 1, number: binary.LittleEndian.Uint32(h[4:])}
	if c.kind < chunkData || c.kind > chunkProgress || c.kind == chunkData && c.number > chunkBytes {
		return chunk{}, errBadChunk
	}
	return c, nil
}
