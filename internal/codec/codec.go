// Package codec holds the CBOR modes that several packages share.
package codec

import "github.com/fxamacker/cbor/v2"

// maxArrayElements bounds arrays in messages and records, so that a damaged length field
// cannot claim more memory than a record or message may hold.
const maxArrayElements = 1 << 24

var (
	// Encode writes into a buffer of the caller.
	EncMode = Must(cbor.EncOptions{}.UserBufferEncMode())
	// Decode reads what Encode has written.
	DecMode = Must(cbor.DecOptions{MaxArrayElements: maxArrayElements}.DecMode())
	// Deterministic gives equal bytes for equal values.
	DeterministicEncMode = Must(cbor.CoreDetEncOptions().EncMode())
)

// Must returns a mode, or panics if its options are invalid. The options are constants of
// the program, so this shows at its start.
func Must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}
