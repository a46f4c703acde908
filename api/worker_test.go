package api

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// Guards against a changed encoding of tasks that are not part of a gang, and against an
// encoding that omits the index of a gang's task.
func TestTaskIDEncoding(t *testing.T) {
	c := qt.New(t)
	id := TaskID{RequestKey: RequestKey{Caller: "c", Key: "k"}, Attempt: 2}
	data, err := json.Marshal(id)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Equals, `{"caller":"c","key":"k","attempt":2}`)
	data, err = cbor.Marshal(id)
	c.Assert(err, qt.IsNil)
	c.Assert(data, qt.DeepEquals, []byte("\xa3\x01\x61c\x02\x61k\x03\x02"))
	id.Index = 3
	data, err = cbor.Marshal(id)
	c.Assert(err, qt.IsNil)
	c.Assert(data, qt.DeepEquals, []byte("\xa4\x01\x61c\x02\x61k\x03\x02\x04\x03"))
}
