package api

import "fmt"

// ErrorCode classifies a refusal.
type ErrorCode string

// The error codes. Resending the same request is useful only after CodeUnavailable,
// CodeOverloaded and CodeUnknownResult.
const (
	CodeBadRequest    ErrorCode = "bad_request"    // 400; Field names the invalid field
	CodeNoRoute       ErrorCode = "no_route"       // 404; Nearest is the most similar route name
	CodeNotFound      ErrorCode = "not_found"      // 404
	CodeKeyReused     ErrorCode = "key_reused"     // 409; the key belongs to another request; without NotRun it may be the same one
	CodeVersion       ErrorCode = "version"        // 409; the tables have changed since the given version
	CodeTooLarge      ErrorCode = "too_large"      // 413
	CodeNeverFits     ErrorCode = "never_fits"     // 422; the work can never run
	CodeOverloaded    ErrorCode = "overloaded"     // 429; RetryAfterMillis is set
	CodeUnavailable   ErrorCode = "unavailable"    // 503; the request was not accepted
	CodeUnknownResult ErrorCode = "unknown_result" // 503; the request may have been accepted; query it by key
	CodeInternal      ErrorCode = "internal"       // 500
)

// Error is the body of every response whose status is not 2xx. It implements error.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	Field   string    `json:"field,omitempty"`
	Nearest string    `json:"nearest,omitempty"`
	// NotRun is true if the owner of the key refused the call and had no record of the key, or
	// one of another request (CodeKeyReused), so that the work of this call did not run and will
	// not run. It says nothing about the other request. An entry VM that refuses a call before it asks
	// the owner leaves NotRun false, because an earlier copy of the request may have been
	// accepted.
	NotRun bool `json:"not_run,omitempty"`
	// RetryAfterMillis is how long to wait before a resend, in milliseconds.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Error returns the code, the field if there is one, and the message.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s: %s: %s", e.Code, e.Field, e.Message)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Errorf returns an Error with a formatted message.
func Errorf(code ErrorCode, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// HTTPStatus returns the HTTP status code of a response with the error code.
func (c ErrorCode) HTTPStatus() int {
	switch c {
	case CodeBadRequest:
		return 400
	case CodeNoRoute, CodeNotFound:
		return 404
	case CodeKeyReused, CodeVersion:
		return 409
	case CodeTooLarge:
		return 413
	case CodeNeverFits:
		return 422
	case CodeOverloaded:
		return 429
	case CodeUnavailable, CodeUnknownResult:
		return 503
	default:
		return 500
	}
}
