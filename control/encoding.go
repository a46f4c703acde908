package control

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/oleanderchute/oleanderchute/internal/codec"
)

// maxArrayElements limits the length of each array and map in a command or snapshot, so
// that a corrupt length field cannot cause a large allocation. It allows for 64 times
// the 1,000 routes that the tables are designed for.
const maxArrayElements = 1 << 16

var (
	encMode = codec.DeterministicEncMode
	decMode = codec.Must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements:  maxArrayElements,
		MaxMapPairs:       maxArrayElements,
		IndefLength:       cbor.IndefLengthForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

// mustEncode encodes a value of one of this package's types, for which encoding cannot
// fail.
func mustEncode(v any) []byte {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
