package slo

import (
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a corrupt file or response that crashes the process or is accepted.
func FuzzDecode(f *testing.F) {
	list := mustParseAll(f)
	s := NewSet(list)
	f.Add([]byte(mustEncode(f, s)))
	for i := range 40 {
		s.Record(baseTime.Add(time.Duration(i)*time.Hour), Sample{Indicator: Wait, Class: "urgent", Value: time.Duration(i) * time.Second})
	}
	f.Add([]byte(mustEncode(f, s)))
	f.Fuzz(func(t *testing.T, data []byte) {
		// The second input has a valid checksum, so that the fuzzer reaches the code
		// behind the checksum test.
		for _, d := range [][]byte{data, replaceChecksum(data)} {
			got, err := Decode(list, d)
			if err != nil {
				if !errors.Is(err, ErrCorrupt) {
					t.Fatal(err)
				}
				continue
			}
			once := mustEncode(t, got)
			again, err := Decode(list, []byte(once))
			if err != nil || mustEncode(t, again) != once {
				t.Fatalf("decoded data differs after a round trip: %v", err)
			}
			got.Merge(again)
			got.Report(baseTime)
		}
	})
}

// replaceChecksum replaces the checksum by the one of the remaining data.
func replaceChecksum(data []byte) []byte {
	if len(data) < checksumBytes {
		return data
	}
	return withChecksum(data[checksumBytes:])
}
