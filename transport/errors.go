package transport

import (
	"fmt"

	"github.com/pkg/errors"
)

// The outcomes of a call without an answer, to be tested for with errors.Is.
var (
	// ErrNotSent means that the call was certainly not executed.
	ErrNotSent = errors.New("transport: call was not sent")
	// ErrConnectionLost means that the connection ended while the call was under way;
	// the call may have been executed.
	ErrConnectionLost = errors.New("transport: connection lost")
	// ErrNoAnswer means that the deadline passed or the context ended while the call
	// was under way; the call may have been executed.
	ErrNoResponse = errors.New("transport: no answer in time")
)

var (
	errSilent       = errors.New("transport: connection is silent")
	errClosed       = errors.New("transport: closed")
	errQueueFull    = errors.New("transport: send queue is full")
	errTooLarge     = errors.New("transport: message is too large")
	errBadChunk     = errors.New("transport: bad chunk")
	errWithdrawn    = errors.New("transport: call was withdrawn")
	errDrainTimeout = errors.New("transport: connections closed before their calls ended")
)

// callError is one of the outcomes above with its cause; errors.Is matches both.
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

// RemoteError is an error that the called method returned, or that the server has no
// such method. The call reached the server.
type RemoteError struct {
	Method string
	Text   string
}

func (e *RemoteError) Error() string { return fmt.Sprintf("%s: %s", e.Method, e.Text) }

// MayHaveRun reports whether a call that returned err may have been executed.
func MayHaveRun(err error) bool { return !errors.Is(err, ErrNotSent) }
