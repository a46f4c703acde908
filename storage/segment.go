package storage

import (
	"bytes"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
)

const (
	segmentPrefix = "log-"
	segmentSuffix = ".seg"
	segmentMagic  = "oldlog01"
	// segmentHeaderSize is the size of the magic and the salt, 8 bytes each.
	segmentHeaderSize = 16
)

// segment describes one file of the log.
type segment struct {
	number uint64
	salt   uint64 // seeds the checksums of the frames
	size   int64  // bytes
	// maxIndex is the highest index of all entries written to the segment, including
	// entries that were overwritten later.
	maxIndex uint64
}

func (s segment) name() string {
	return fmt.Sprintf("%s%016x%s", segmentPrefix, s.number, segmentSuffix)
}

// updateMaxIndex raises maxIndex to the last entry of a record written to the segment.
func (s *segment) updateMaxIndex(r record) {
	if n := len(r.Entries); n > 0 {
		s.maxIndex = max(s.maxIndex, r.Entries[n-1].Index)
	}
}

// newSegment returns a segment with a random salt and writes its header to buf.
func newSegment(buf *bytes.Buffer, number uint64) (segment, error) {
	salt := make([]byte, 8)
	if _, err := rand.Read(salt); err != nil {
		return segment{}, errors.Wrap(err, "generate segment salt")
	}
	buf.WriteString(segmentMagic)
	buf.Write(salt)
	return segment{number: number, salt: binary.LittleEndian.Uint64(salt)}, nil
}

// segmentNumbers returns the numbers of the segments in a folder in ascending order.
func segmentNumbers(fsys FS, dir string) ([]uint64, error) {
	names, err := fsys.ReadDir(dir)
	if err != nil {
		return nil, wrapDiskError(opRead, dir, err)
	}
	var numbers []uint64
	for _, n := range names {
		if !strings.HasPrefix(n, segmentPrefix) || !strings.HasSuffix(n, segmentSuffix) {
			continue
		}
		var number uint64
		if _, err := fmt.Sscanf(n, segmentPrefix+"%x", &number); err != nil {
			return nil, &CorruptError{File: filepath.Join(dir, n), Reason: "invalid segment file name"}
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}
