package api

import "fmt"

// ErrorCode classifies a refusal.
type ErrorCode string

// The error codes. Only CodeUnavailable, CodeOverloaded and CodeConflictRetry are
// worth a resend of the same request.
const (
	CodeBadRequest    ErrorCode = "bad_request"    // 400, Field names the field
	CodeNoRoute       ErrorCode = "no_route"       // 404, Nearest names the nearest route
	CodeNotFound      ErrorCode = "not_found"      // 404
	CodeKeyReused     ErrorCode = "key_reused"     // 409, same key with another body
	CodeVersion       ErrorCode = "version"        // 409, table version has moved on
	CodeTooLarge      ErrorCode = "too_large"      // 413
	CodeNeverFits     ErrorCode = "never_fits"     // 422, the work can never run
	CodeOverloaded    ErrorCode = "overloaded"     // 429, RetryAfterMillis is set
	CodeUnavailable   ErrorCode = "unavailable"    // 503, nothing was accepted
	CodeUnknownResult ErrorCode = "unknown_result" // 503, may have been accepted; ask by key
	CodeInternal      ErrorCode = "internal"       // 500
)

// Error is the body of every answer that is not 2xx. It implements error.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	Field   string    `json:"field,omitempty"`
	Nearest string    `json:"nearest,omitempty"`
	// NotRun is true when the owner of the key has no record of it and refused it, so the
	// work did not and will not run. An entry VM that refuses a call before it asks the
	// owner leaves it false, since an earlier copy of the request may have been accepted.
	NotRun bool `json:"not_run,omitempty"`
	// RetryAfterMillis is when a resend makes sense, in milliseconds from now.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

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

// HTTPStatus returns the HTTP status code that carries the error code.
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
