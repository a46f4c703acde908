package main

import (
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// The exit codes. They are documented in the help text and must stay stable for scripts.
const (
	exitOK          = 0
	exitFailed      = 1 // refused or failed, or a check found errors
	exitUsage       = 2
	exitUnreachable = 3 // no VM is reachable or available; nothing took effect
	exitUnknown     = 4 // the call may have taken effect, or the request's outcome is unknown
)

// exitError makes the process exit with a code. The message is empty if the command has
// already printed everything.
type exitError struct {
	code    int
	message string
}

func (e *exitError) Error() string { return e.message }

func usageErrorf(format string, args ...any) error {
	return &exitError{exitUsage, fmt.Sprintf(format, args...)}
}

func failureErrorf(format string, args ...any) error {
	return &exitError{exitFailed, fmt.Sprintf(format, args...)}
}

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var exit *exitError
	var unreachable *client.UnreachableError
	var apiErr *api.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &unreachable):
		return exitUnreachable
	case !errors.As(err, &apiErr):
		return exitFailed
	case apiErr.Code == api.CodeUnavailable:
		return exitUnreachable
	case apiErr.Code == api.CodeUnknownResult:
		return exitUnknown
	}
	return exitFailed
}

// errorOutput is the JSON form of an error on the standard error stream.
type errorOutput struct {
	ExitCode int        `json:"exit_code"`
	Message  string     `json:"message"`
	Error    *api.Error `json:"error,omitempty"`
}

// reportError prints the error of a command and returns the exit code.
func (a *app) reportError(err error) int {
	code := exitCode(err)
	if err == nil || err.Error() == "" {
		return code
	}
	if a.Output != "json" {
		fmt.Fprintln(a.err, "error:", printable(errorMessage(err)))
		return code
	}
	out := errorOutput{ExitCode: code, Message: err.Error()}
	if errors.As(err, &out.Error) {
		out.Message = out.Error.Message
	}
	_ = json.NewEncoder(a.err).Encode(out)
	return code
}

// errorMessage returns the message of an error for people. To an error of the server it adds
// the nearest route name, when to try again, and whether the work is known not to have run.
func errorMessage(err error) string {
	var e *api.Error
	if !errors.As(err, &e) {
		return err.Error()
	}
	message := err.Error()
	if e.Code == api.CodeNoRoute && e.Nearest != "" {
		message = fmt.Sprintf("%s; type \"--kind %s\"", message, e.Nearest)
	}
	if e.RetryAfterMillis > 0 {
		message = fmt.Sprintf("%s; try again in %d ms", message, e.RetryAfterMillis)
	}
	if e.NotRun {
		message += "; the work of this call did not run"
	}
	return message
}
