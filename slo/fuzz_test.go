package slo

import (
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a damaged file or answer that stops the process or is taken as data.
func FuzzDecode(f *testing.F) {
	list := objectives(f)
	s := NewSet(list)
	f.Add([]byte(encode(f, s)))
	for i := range 40 {
		s.Record(base.Add(time.Duration(i)*time.Hour), Sample{Indicator: Wait, Class: "urgent", Value: time.Duration(i) * time.Second})
	}
	f.Add([]byte(encode(f, s)))
	f.Fuzz(func(t *testing.T, data []byte) {
		// The checksum is computed here, so that the fuzzer reaches what is behind it.
		for _, d := range [][]byte{data, seal(data)} {
			got, err := Decode(list, d)
			if err != nil {
				if !errors.Is(err, ErrCorrupt) {
					t.Fatal(err)
				}
				continue
			}
			once := encode(t, got)
			again, err := Decode(list, []byte(once))
			if err != nil || encode(t, again) != once {
				t.Fatalf("decoded data do not survive a round trip: %v", err)
			}
			got.Merge(again)
			got.Report(base)
		}
	})
}

// seal replaces the checksum by that of the rest.
func seal(data []byte) []byte {
	if len(data) < checksumBytes {
		return data
	}
	return sealed(data[checksumBytes:])
}
