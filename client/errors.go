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

// UnreachableError reports that no entry VM answered a call. The call had no effect: either
// nothing was sent, or the call was a read.
type UnreachableError struct {
	Addresses []string
	Cause     error // error of the last try
}

// Error returns the addresses and the error of the last try.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", strings.Join(e.Addresses, ", "), e.Cause)
}

// Unwrap returns the error of the last try.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// effect says whether a failed try may have taken effect.
type effect int

const (
	effectNone    effect = iota // the try had no effect
	effectUnknown               // the server may have processed the call
)

// tryError is the failure of one try. Exactly one of apiErr and cause is set.
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

// isRetryable reports whether another try is safe and may succeed.
func (e *tryError) isRetryable(rule resendRule) bool {
	if e.permanent || (e.effect == effectUnknown && rule == resendNever) {
		return false
	}
	return e.apiErr == nil || e.apiErr.Code == api.CodeUnavailable || e.apiErr.Code == api.CodeUnknownResult
}

// isDeterministic reports whether the refusal depends only on the request itself, so that
// an earlier copy was refused too.
func (e *tryError) isDeterministic() bool {
	return e.apiErr != nil && (e.apiErr.Code == api.CodeBadRequest || e.apiErr.Code == api.CodeTooLarge || e.apiErr.Code == api.CodeKeyReused && e.apiErr.NotRun)
}

// newTransportError classifies a failure without a response. Only after a failed dial is it
// certain that nothing was sent.
func newTransportError(err error) *tryError {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &tryError{effect: effectNone, cause: err}
	}
	return &tryError{effect: effectUnknown, cause: err}
}

// newStatusError decodes the api.Error of a response that is not 2xx. A response without
// one comes from an intermediary, such as a load balancer, that cannot know the effect of the
// call; its status determines the code and the effect.
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
	return &tryError{effect: eff, apiErr: api.Errorf(code, "response %d %s without a typed error: %q", status, http.StatusText(status), text)}
}
