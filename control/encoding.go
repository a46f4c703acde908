package control

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/oleanderchute/oleanderchute/internal/codec"
)

// maxArrayElements bounds each array and map of a command or snapshot, so that a damaged
// length field cannot claim more memory than the data could fill. It leaves room for 64
// times the 1,000 routes that the tables are designed for.
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

// mustEncode encodes a value of this package's own types, which cannot fail.
func mustEncode(v any) []byte {
	data, err := encMode.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}
