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

// maxResponseBytes bounds an answer: 6,600 workers take about 3 MB, and an answer of
// 1 MiB takes 1.4 MB in JSON.
const maxResponseBytes = 16 << 20

// call describes one call of the HTTP interface.
type call struct {
	method string
	path   string // escaped, with query
	body   any    // encoded as JSON; nil for none
	out    any    // decoded from JSON; nil to ignore the answer
	// wait is how long the server is asked to hold the call.
	wait time.Duration
	// resend says what may be done after a try whose effect is not known.
	resend resendRule
	// verify refuses a decoded answer that is damaged; nil for none.
	verify func() error
}

// resendRule tells whether a call may be sent again after an uncertain try.
type resendRule int

const (
	// resendNever: a second copy could have a second effect.
	resendNever resendRule = iota
	// resendKeyed: the server recognizes a second copy by its key or change id.
	resendKeyed
	// resendRead: the call has no effect.
	resendRead
)

// do carries out a call, trying the addresses in turn. The error is *api.Error for an
// answer that is not 2xx and for an unknown result, otherwise *UnreachableError or a
// context error.
func (c *Client) do(ctx context.Context, k call) error {
	var body []byte
	if k.body != nil {
		var err error
		if body, err = json.Marshal(k.body); err != nil {
			return errors.Wrap(err, "encode request")
		}
	}
	ctx, cancel := context.WithTimeout(ctx, c.opts.MaxElapsed+k.wait)
	defer cancel()
	first := int(c.preferred.Load())
	var last *tryError
	uncertain := false
	for try := range c.opts.MaxTries {
		if try > 0 && !c.pause(ctx, try, last) {
			break
		}
		index := (first + try) % len(c.addresses)
		last = c.try(ctx, c.addresses[index], k, body)
		if last == nil {
			c.preferred.Store(int64(index))
			return nil
		}
		uncertain = uncertain || last.effect == effectUnknown
		if !last.isRetryable(k.resend) {
			break
		}
	}
	return c.finalError(k, last, uncertain)
}

// pause waits before a further try. A round over addresses that were not tried yet goes
// without a pause. It returns false when the context ends first.
func (c *Client) pause(ctx context.Context, try int, last *tryError) bool {
	if try%len(c.addresses) != 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(max(c.backOff(try/len(c.addresses)), c.retryAfter(last)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// backOff doubles with each round up to the bound. Half of it is random, so that clients
// that failed together do not return together.
func (c *Client) backOff(round int) time.Duration {
	d := c.opts.MaxBackoff
	if shift := round - 1; shift < 20 {
		d = min(c.opts.MinBackoff<<shift, c.opts.MaxBackoff)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return d/2 + time.Duration(c.jitter.Int64N(int64(d/2)+1))
}

// retryAfter is the server's wish, up to the bound.
func (c *Client) retryAfter(last *tryError) time.Duration {
	if last.api == nil {
		return 0
	}
	return min(time.Duration(last.api.RetryAfterMillis)*time.Millisecond, c.opts.MaxBackoff)
}

// try sends the call once. It returns nil after a 2xx answer.
func (c *Client) try(ctx context.Context, address string, k call, body []byte) *tryError {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout+k.wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, k.method, address+k.path, bytes.NewReader(body))
	if err != nil {
		return &tryError{effect: effectNone, cause: err, permanent: true}
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		// Idle connections to the VM may be as silent as this one; the next try dials anew.
		c.http.CloseIdleConnections()
		return transportError(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		c.http.CloseIdleConnections()
		return &tryError{effect: effectUnknown, cause: errors.Wrap(err, "read answer")}
	}
	if len(data) > maxResponseBytes {
		return &tryError{effect: effectUnknown, cause: errors.Errorf("the answer has more than %d bytes", maxResponseBytes)}
	}
	if resp.StatusCode < 200 || resp.StatusCode > 299 {
		return statusError(resp.StatusCode, data)
	}
	return decodeAnswer(k, data)
}

func decodeAnswer(k call, data []byte) *tryError {
	if k.out == nil {
		return nil
	}
	reflect.ValueOf(k.out).Elem().SetZero() // fields of a damaged earlier answer must not remain
	if err := json.Unmarshal(data, k.out); err != nil {
		return &tryError{effect: effectUnknown, cause: errors.Wrap(err, "decode answer")}
	}
	if k.verify != nil {
		if err := k.verify(); err != nil {
			return &tryError{effect: effectUnknown, cause: err}
		}
	}
	return nil
}

// finalError states what the caller may conclude. After an uncertain try a later refusal
// proves nothing about the first copy, which may still arrive, so the result is unknown.
func (c *Client) finalError(k call, last *tryError, uncertain bool) error {
	if uncertain && k.resend != resendRead && !last.holdsForEveryCopy() {
		return &api.Error{Code: api.CodeUnknownResult, Message: "the call may have taken effect: " + last.Error()}
	}
	if last.api != nil {
		e := *last.api
		e.NotRun = e.NotRun && !uncertain
		return &e
	}
	return &UnreachableError{Addresses: c.addresses, Cause: last.cause}
}
