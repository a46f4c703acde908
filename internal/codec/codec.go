// Package codec provides the CBOR encoding and decoding modes that several packages share.
package codec

import "github.com/fxamacker/cbor/v2"

// maxElements is the maximum length of an array or map in a message or record, so that a
// corrupt length field cannot cause an allocation larger than a message or record may be.
const maxElements = 1 << 24

var (
	// EncMode encodes into a buffer that the caller provides.
	EncMode = Must(cbor.EncOptions{}.UserBufferEncMode())
	// DecMode decodes everything that EncMode encodes. EncMode does not check text, so DecMode
	// must not either: a log entry that cannot be decoded ends every replica at each start.
	DecMode = Must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: maxElements, UTF8: cbor.UTF8DecodeInvalid}.DecMode())
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
