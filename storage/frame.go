package storage

import (
	"bytes"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A frame is a header of 32 bytes, little-endian, and a payload:
//
//	0  magic     4 bytes
//	4  length    4 bytes, of the payload
//	8  sequence  8 bytes, one higher for each record of the group
//	16 checksum  8 bytes, xxhash64 of bytes 4 to 16
//	24 checksum  8 bytes, xxhash64 of bytes 4 to 16 and of the payload
//
// The checksums are seeded with the file's random salt, so bytes of a caller's body
// never pass for a frame. The header has its own, so that the length of a torn record
// can be trusted or not.
const (
	frameMagic           = 0x6f6c6472
	frameHeaderSize      = 32
	headerChecksumOffset = 16
	frameChecksumOffset  = 24
	checksummedOffset    = 4
	// maxFramePayload bounds a record and a snapshot, in bytes.
	maxFramePayload = 256 << 20
)

var frameMagicBytes = binary.LittleEndian.AppendUint32(nil, frameMagic)

type frame struct {
	seq     uint64
	payload []byte
}

func (f frame) size() int { return frameHeaderSize + len(f.payload) }

// sealFrame fills in the header of buf, whose payload starts at frameHeader.
func putFrameHeader(buf []byte, salt, seq uint64) {
	binary.LittleEndian.PutUint32(buf[0:], frameMagic)
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(buf)-frameHeaderSize))
	binary.LittleEndian.PutUint64(buf[8:], seq)
	binary.LittleEndian.PutUint64(buf[headerChecksumOffset:], frameChecksum(buf, nil, salt))
	binary.LittleEndian.PutUint64(buf[frameChecksumOffset:], frameChecksum(buf, buf[frameHeaderSize:], salt))
}

func frameChecksum(buf, payload []byte, salt uint64) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(salt)
	digest.Write(buf[checksummedOffset:headerChecksumOffset])
	digest.Write(payload)
	return digest.Sum64()
}

// hasHeader reports whether buf starts with an undamaged header.
func hasValidHeader(buf []byte, salt uint64) bool {
	return len(buf) >= frameHeaderSize && bytes.HasPrefix(buf, frameMagicBytes) &&
		binary.LittleEndian.Uint64(buf[headerChecksumOffset:]) == frameChecksum(buf, nil, salt)
}

// readFrame decodes the frame at the start of buf; ok is false if there is none that
// is whole and undamaged. The payload aliases buf.
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

func frameEnd(buf []byte) int    { return frameHeaderSize + int(binary.LittleEndian.Uint32(buf[4:])) }
func frameSeq(buf []byte) uint64 { return binary.LittleEndian.Uint64(buf[8:]) }

// writtenAfter reports whether buf, which starts with an unreadable frame that should
// have sequence seq, holds traces of a later write: bytes after the end of the frame,
// or a later frame.
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
