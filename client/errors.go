package client

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

// UnreachableError reports that no entry VM could be reached. Nothing was sent, or the
// call was a read.
type UnreachableError struct {
	Addresses []string
	Cause     error // of the last try
}

// Error names the addresses and the last cause.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", strings.Join(e.Addresses, ", "), e.Cause)
}

// Unwrap returns the cause of the last try.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// effect tells what a failed try may have done.
type effect int

const (
	effectNone    effect = iota // certainly nothing
	effectUnknown               // the server may have carried it out
)

// tryError is the failure of one try. Exactly one of api and cause is set.
type tryError struct {
	effect    effect
	apiErr    *api.Error
	cause     error
	permanent bool // another try would fail in the same way
}

func (e *tryError) Error() string {
	if e.apiErr != nil {
		return e.apiErr.Error()
	}
	return e.cause.Error()
}

// isRetryable reports whether another try is worth it and safe.
func (e *tryError) isRetryable(rule resendRule) bool {
	if e.permanent || (e.effect == effectUnknown && rule == resendNever) {
		return false
	}
	return e.apiErr == nil || e.apiErr.Code == api.CodeUnavailable || e.apiErr.Code == api.CodeUnknownResult
}

// holdsForEveryCopy reports whether the refusal depends only on the request itself, so
// that an earlier copy was refused too.
func (e *tryError) isDeterministic() bool {
	return e.apiErr != nil && (e.apiErr.Code == api.CodeBadRequest || e.apiErr.Code == api.CodeTooLarge || e.apiErr.Code == api.CodeKeyReused)
}

// transportError classifies a failure without answer: only a failed dial is known to
// have sent nothing.
func newTransportError(err error) *tryError {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &tryError{effect: effectNone, cause: err}
	}
	return &tryError{effect: effectUnknown, cause: err}
}

// statusError reads the typed error of an answer that is not 2xx. An answer without one
// comes from something between client and entry VM, which cannot know the effect.
func newStatusError(status int, data []byte) *tryError {
	var e api.Error
	if err := json.Unmarshal(data, &e); err == nil && e.Code != "" {
		t := &tryError{apiErr: &e}
		if e.Code == api.CodeUnknownResult || e.Code == api.CodeInternal {
			t.effect = effectUnknown
		}
		return t
	}
	code, eff := api.CodeInternal, effectUnknown
	switch {
	case status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout:
		code = api.CodeUnknownResult
	case status == http.StatusNotFound || status == http.StatusMethodNotAllowed:
		code, eff = api.CodeNotFound, effectNone
	case status == http.StatusTooManyRequests:
		code, eff = api.CodeOverloaded, effectNone
	case status < http.StatusInternalServerError:
		code, eff = api.CodeBadRequest, effectNone
	}
	text := strings.TrimSpace(string(data[:min(len(data), 200)]))
	return &tryError{effect: eff, apiErr: api.Errorf(code, "answer %d %s without a typed error: %q", status, http.StatusText(status), text)}
}
