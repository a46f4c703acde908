package codec

import (
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an entry or snapshot that was written and cannot be read: every replica ends at
// it at each start. The limits and checks of a decoder apply to values that its encoder accepts.
func TestDecModeDecodesWhatEncModeEncodes(t *testing.T) {
	type record struct {
		Name   string          `cbor:"1,keyasint"`
		ByName map[string]bool `cbor:"2,keyasint,omitempty"`
		Done   map[uint32]bool `cbor:"3,keyasint,omitempty"`
	}
	large := map[uint32]bool{}
	for i := range uint32(200_000) {
		large[i] = true
	}
	for name, want := range map[string]record{
		"text that is not UTF-8": {Name: "i-\xff3a91c2"},
		"key that is not UTF-8":  {ByName: map[string]bool{"\xc3\x28": true}},
		"many map pairs":         {Done: large},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := EncMode.Marshal(want)
			qt.Assert(t, err, qt.IsNil)
			var got record
			qt.Assert(t, DecMode.Unmarshal(data, &got), qt.IsNil)
			qt.Assert(t, reflect.DeepEqual(got, want), qt.IsTrue) // qt.DeepEquals takes seconds for the large map
		})
	}
}
