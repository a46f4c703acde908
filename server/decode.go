package server

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxHTTPBodyBytes limits the body of an HTTP call. It fits a request body of api.MaxBodyBytes
// in base64 and 64 KiB of other fields.
const maxHTTPBodyBytes = api.MaxBodyBytes*4/3 + 64<<10

// decodeJSON reads exactly one JSON value into v. Unknown fields, wrong types and trailing data
// are errors. The error names the field, if it is about one.
func decodeJSON(r io.Reader, v any) *api.Error {
	data, err := io.ReadAll(io.LimitReader(r, maxHTTPBodyBytes+1))
	if err != nil {
		return api.Errorf(api.CodeBadRequest, "the body could not be read: %v", err)
	}
	if len(data) > maxHTTPBodyBytes {
		return api.Errorf(api.CodeTooLarge, "the body is larger than %d bytes", maxHTTPBodyBytes)
	}
	dec := json.NewDecoder(strings.NewReader(string(data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return decodeError(err)
	}
	if dec.More() {
		return api.Errorf(api.CodeBadRequest, "the body holds more than one JSON value")
	}
	return nil
}

// decodeError converts an error of encoding/json and names the field that it is about.
func decodeError(err error) *api.Error {
	out := api.Errorf(api.CodeBadRequest, "the body is not valid JSON for this call: %v", err)
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		out.Field = typeErr.Field
		out.Message = "wrong type: expected " + typeErr.Type.String() + ", found " + typeErr.Value
		return out
	}
	const prefix = `json: unknown field "`
	if msg := err.Error(); strings.HasPrefix(msg, prefix) {
		out.Field = strings.TrimSuffix(strings.TrimPrefix(msg, prefix), `"`)
		out.Message = "unknown field"
	}
	return out
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client closed the connection, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, e *api.Error) { writeJSON(w, e.Code.HTTPStatus(), e) }
