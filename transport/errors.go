package transport

import (
	"fmt"

	"github.com/pkg/errors"
)

// Errors of calls without a response; test for them with errors.Is.
var (
	// ErrNotSent means that the call was certainly not executed: it was not sent, or the
	// server refused it because it is shutting down.
	ErrNotSent = errors.New("transport: call was not sent")
	// ErrConnectionLost means that the connection ended while the call was in flight;
	// the call may have been executed.
	ErrConnectionLost = errors.New("transport: connection lost")
	// ErrNoResponse means that the deadline passed or the context ended while the call
	// was in flight; the call may have been executed.
	ErrNoResponse = errors.New("transport: no response in time")
)

var (
	errPingTimeout     = errors.New("transport: no response to ping")
	errClosed          = errors.New("transport: closed")
	errQueueFull       = errors.New("transport: send queue is full")
	errTooLarge        = errors.New("transport: message is too large")
	errInvalidFrame    = errors.New("transport: invalid frame header")
	errCanceled        = errors.New("transport: call was canceled before it was sent")
	errShutdownTimeout = errors.New("transport: connections closed before their calls ended")
)

// callError combines one of the errors above (outcome) with its cause; errors.Is matches
// both.
type callError struct {
	outcome error
	method  string
	cause   error
}

func (e *callError) Error() string {
	return fmt.Sprintf("%v: %s: %v", e.outcome, e.method, e.cause)
}

// Unwrap returns the outcome and the cause.
func (e *callError) Unwrap() []error { return []error{e.outcome, e.cause} }

// RemoteError is an error that the called method returned, or reports that the server
// does not have the method. The call reached the server.
type RemoteError struct {
	Method string
	Text   string
}

func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Method, e.Text) }

// MayHaveRun reports whether a call that returned err may have been executed.
func MayHaveRun(err error) bool { return !errors.Is(err, ErrNotSent) }
