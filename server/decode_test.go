package server

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against bad input that is accepted, or refused without naming its field.
func TestInvalidInputErrorsNameTheField(t *testing.T) {
	c := qt.New(t)
	tests := []struct{ body, field string }{
		{`{"caller":"a","key":"k","kind":"d","kindd":"x"}`, "kindd"},
		{`{"caller":"a","key":"k","kind":5}`, "kind"},
		{`{"caller":"a","key":"","kind":"d"}`, "key"},
		{`{"caller":"a/b","key":"k","kind":"d"}`, "caller"},
		{`{"caller":"a","key":"k","kind":"d","class":"fast"}`, "class"},
		{`{"caller":"a","key":"k","kind":"d","resources":{"milli_cpu":-1}}`, "resources.milli_cpu"},
		{`{"caller":"a","key":"k","kind":"d","resources":{"memory_mb":99999999999}}`, "resources.memory_mb"},
		{`{"caller":"a","key":"k","kind":"d","tasks":-2}`, "tasks"},
		{`{"caller":"a","key":"k","kind":"d","wait_ms":999999999}`, "wait_ms"},
	}
	for _, test := range tests {
		var r api.SubmitRequest
		err := decodeJSON(strings.NewReader(test.body), &r)
		if err == nil {
			err = validateSubmit(&r)
		}
		c.Assert(err, qt.IsNotNil, qt.Commentf(test.body))
		c.Check(err.Field, qt.Equals, test.field)
		c.Check(err.Code, qt.Equals, api.CodeBadRequest)
	}
	large := api.SubmitRequest{Caller: "a", Key: "k", Kind: "d", Body: make([]byte, api.MaxBodyBytes+1)}
	c.Assert(validateSubmit(&large).Code, qt.Equals, api.CodeTooLarge)
	c.Assert(decodeJSON(strings.NewReader(`{} {}`), &api.SubmitRequest{}), qt.IsNotNil)
}

// FuzzSubmit guards against input that stops the process or passes the checks with an
// amount out of its bounds.
func FuzzSubmit(f *testing.F) {
	f.Add([]byte(`{"caller":"a","key":"k","kind":"d","resources":{"milli_cpu":1000},"body":"eA=="}`))
	f.Add([]byte(`{"caller":"a","key":"k","kind":"d","tasks":1e9}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var r api.SubmitRequest
		if decodeJSON(strings.NewReader(string(data)), &r) != nil || validateSubmit(&r) != nil {
			return
		}
		if r.Resources.MilliCPU < 0 || r.Resources.MilliCPU > maxMilliCPU || r.Tasks < 1 || r.Caller == "" || r.Team == "" {
			t.Fatalf("passed the checks: %+v", r)
		}
	})
}
