package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"reflect"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxResponseBytes is the maximum size of a response body. A list of 6,600 workers takes
// about 3 MB, and an answer of 1 MiB takes 1.4 MB in JSON.
const maxResponseBytes = 16 << 20

// callSpec describes one call of the HTTP API.
type callSpec struct {
	method string
	path   string // escaped, with query
	body   any    // encoded as JSON; nil for none
	out    any    // decoded from JSON; nil to ignore the response
	// serverWait is how long the server is asked to wait for an outcome before it responds.
	serverWait time.Duration
	// resend says whether the call may be resent after a try whose effect is unknown.
	resend resendRule
	// verify returns an error if the decoded response is corrupt; nil for no check.
	verify func() error
}

// resendRule says whether a call may be resent after a try whose effect is unknown.
type resendRule int

const (
	// resendNever is for calls of which a second copy could have a second effect.
	resendNever resendRule = iota
	// resendKeyed is for calls of which the server recognizes a second copy by its key or
	// change id.
	resendKeyed
	// resendRead is for calls that change nothing.
	resendRead
)

// do makes a call and tries the addresses in turn. The error is an *api.Error if the
// response is not 2xx or the result is unknown, and otherwise an *UnreachableError or an
// encoding error.
func (c *Client) do(ctx context.Context, spec callSpec) error {
	var body []byte
	if spec.body != nil {
		var err error
		if body, err = json.Marshal(spec.body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.MaxElapsed+spec.serverWait)
	defer cancel()
	first := int(c.preferred.Load())
	var last *tryError
	uncertain := false
	for try := range c.opts.MaxTries {
		if try > 0 && !c.waitBeforeRetry(ctx, try, last) {
			break
		}
		index := (first + try) % len(c.addresses)
		last = c.try(ctx, c.addresses[index], spec, body)
		if last == nil {
			c.preferred.Store(int64(index))
			return nil
		}
		uncertain = uncertain || last.effect == effectUnknown
		if !last.isRetryable(spec.resend) {
			break
		}
	}
	return c.finalError(spec, last, uncertain)
}

// waitBeforeRetry waits for the backoff after each round over all addresses. Within a round
// it does not wait. It returns false if the context ends first.
func (c *Client) waitBeforeRetry(ctx context.Context, try int, last *tryError) bool {
	if try%len(c.addresses) != 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(max(c.backoff(try/len(c.addresses)), c.retryAfter(last)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// backoff returns the wait after a round. It doubles with each round up to
// Options.MaxBackoff. Half of it is random, so that clients that failed simultaneously do
// not retry simultaneously.
func (c *Client) backoff(round int) time.Duration {
	d := c.opts.MaxBackoff
	if shift := round - 1; shift < 20 {
		d = min(c.opts.MinBackoff<<shift, c.opts.MaxBackoff)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.jitter.Int64N(int64(d/2)+1))
}

// retryAfter returns the wait that the server asked for, up to Options.MaxBackoff.
func (c *Client) retryAfter(last *tryError) time.Duration {
	if last.apiErr == nil {
		return 0
	}
	return min(time.Duration(last.apiErr.RetryAfterMillis)*time.Millisecond, c.opts.MaxBackoff)
}

// try sends the call once. It returns nil after a 2xx response that decodes and verifies.
func (c *Client) try(ctx context.Context, address string, spec callSpec, body []byte) *tryError {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout+spec.serverWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, spec.method, address+spec.path, bytes.NewReader(body))
	if err != nil {
		return &tryError{effect: effectNone, cause: err, permanent: true}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// Idle connections to the VM may be unresponsive too. Closing them makes the next try
		// open a new connection.
		c.http.CloseIdleConnections()
		return newTransportError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		c.http.CloseIdleConnections()
		return &tryError{effect: effectUnknown, cause: errors.Wrap(err, "read response")}
	}
	if len(data) > maxResponseBytes {
		return &tryError{effect: effectUnknown, cause: errors.Errorf("response exceeds %d bytes", maxResponseBytes)}
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return newStatusError(resp.StatusCode, data)
	}
	return decodeResponse(spec, data)
}

func decodeResponse(spec callSpec, data []byte) *tryError {
	if spec.out == nil {
		return nil
	}
	reflect.ValueOf(spec.out).Elem().SetZero() // clears the fields of a corrupt earlier response
	if err := json.Unmarshal(data, spec.out); err != nil {
		return &tryError{effect: effectUnknown, cause: errors.Wrap(err, "decode response")}
	}
	if spec.verify != nil {
		if err := spec.verify(); err != nil {
			return &tryError{effect: effectUnknown, cause: err}
		}
	}
	return nil
}

// finalError returns the error of a call after its last try. If the effect of an earlier
// try is unknown, a later refusal proves nothing about that copy, which may still arrive, so
// the result is unknown.
func (c *Client) finalError(spec callSpec, last *tryError, uncertain bool) error {
	if uncertain && spec.resend != resendRead && !last.isDeterministic() {
		return &api.Error{Code: api.CodeUnknownResult, Message: "the call may have taken effect: " + last.Error()}
	}
	if last.apiErr != nil {
		e := *last.apiErr
		e.NotRun = e.NotRun && !uncertain
		return &e
	}
	return &UnreachableError{Addresses: c.addresses, Cause: last.cause}
}
