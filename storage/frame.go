package storage

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A frame is a header of 32 bytes followed by a payload. Numbers are little-endian:
//
//	0  magic     4 bytes
//	4  length    4 bytes, length of the payload
//	8  sequence  8 bytes, incremented for each record of the group
//	16 checksum  8 bytes, xxhash64 of bytes 4 to 16
//	24 checksum  8 bytes, xxhash64 of bytes 4 to 16 and of the payload
//
// The checksums are seeded with the random salt of the file, so that bytes in a caller's
// body are never taken for a frame. A snapshot file uses the term as its salt and the index
// as its sequence. The header has a checksum of its own, which shows whether the length of
// a torn record is valid.
const (
	frameMagic           = 0x6f6c6472
	frameHeaderSize      = 32
	headerChecksumOffset = 16
	frameChecksumOffset  = 24
	// The checksums cover the header from checksummedOffset to headerChecksumOffset.
	checksummedOffset = 4
	// maxFramePayload is the maximum size of a record or snapshot, in bytes.
	maxFramePayload = 256 << 20
)

var frameMagicBytes = binary.LittleEndian.AppendUint32(nil, frameMagic)

// frame is a decoded frame.
type frame struct {
	seq     uint64 // sequence number
	payload []byte
}

func (f frame) size() int { return frameHeaderSize + len(f.payload) }

// putFrameHeader fills in the header of buf, whose payload starts at frameHeaderSize.
func putFrameHeader(buf []byte, salt, seq uint64) {
	binary.LittleEndian.PutUint32(buf[0:], frameMagic)
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(buf)-frameHeaderSize))
	binary.LittleEndian.PutUint64(buf[8:], seq)
	binary.LittleEndian.PutUint64(buf[headerChecksumOffset:], frameChecksum(buf, nil, salt))
	binary.LittleEndian.PutUint64(buf[frameChecksumOffset:], frameChecksum(buf, buf[frameHeaderSize:], salt))
}

// frameChecksum returns the checksum over the length and sequence in the header of buf
// and over payload.
func frameChecksum(buf, payload []byte, salt uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(salt)
	digest.Write(buf[checksummedOffset:headerChecksumOffset])
	digest.Write(payload)
	return digest.Sum64()
}

// hasValidHeader reports whether buf starts with a valid frame header.
func hasValidHeader(buf []byte, salt uint64) bool {
	return len(buf) >= frameHeaderSize && bytes.HasPrefix(buf, frameMagicBytes) &&
		binary.LittleEndian.Uint64(buf[headerChecksumOffset:]) == frameChecksum(buf, nil, salt)
}

// decodeFrame decodes the frame at the start of buf. ok is false if the frame is
// incomplete or its checksums do not match. The payload aliases buf.
func decodeFrame(buf []byte, salt uint64) (f frame, ok bool) {
	if !hasValidHeader(buf, salt) {
		return frame{}, false
	}
	end := frameEnd(buf)
	if end > len(buf) || end > frameHeaderSize+maxFramePayload {
		return frame{}, false
	}
	payload := buf[frameHeaderSize:end]
	if binary.LittleEndian.Uint64(buf[frameChecksumOffset:]) != frameChecksum(buf, payload, salt) {
		return frame{}, false
	}
	return frame{seq: frameSeq(buf), payload: payload}, true
}

// frameEnd returns the offset of the end of the frame, according to its header.
func frameEnd(buf []byte) int { return frameHeaderSize + int(binary.LittleEndian.Uint32(buf[4:])) }

// frameSeq returns the sequence number in a valid frame header.
func frameSeq(buf []byte) uint64 { return binary.LittleEndian.Uint64(buf[8:]) }

// hasLaterWrite reports whether buf contains data of a write that came after its first
// frame: bytes after the end of that frame, or a frame with a higher sequence number.
// The first frame is unreadable and was expected to have sequence number seq.
func hasLaterWrite(buf []byte, salt, seq uint64) bool {
	if hasValidHeader(buf, salt) && frameEnd(buf) < len(buf) {
		return true
	}
	for offset := 1; offset < len(buf); offset++ {
		i := bytes.Index(buf[offset:], frameMagicBytes)
		if i < 0 {
			return false
		}
		offset += i
		if rest := buf[offset:]; hasValidHeader(rest, salt) && frameSeq(rest) > seq {
			return true
		}
	}
	return false
}
