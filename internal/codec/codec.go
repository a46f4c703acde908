// Package codec provides the CBOR encoding and decoding modes that several packages share.
package codec

import "github.com/fxamacker/cbor/v2"

// maxArrayElements is the maximum length of an array in a message or record, so that a
// corrupt length field cannot cause an allocation larger than a message or record may be.
const maxArrayElements = 1 << 24

var (
	// EncMode encodes into a buffer that the caller provides.
	EncMode = Must(cbor.EncOptions{}.UserBufferEncMode())
	// DecMode decodes what EncMode has encoded.
	DecMode = Must(cbor.DecOptions{MaxArrayElements: maxArrayElements}.DecMode())
	// DeterministicEncMode encodes equal values to equal bytes.
	DeterministicEncMode = Must(cbor.CoreDetEncOptions().EncMode())
)

// Must returns mode, or panics if err is not nil. The options of the modes are constants,
// so invalid options cause a panic when the program starts.
func Must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}
