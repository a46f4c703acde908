package client

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

// Submit submits a request, or joins the execution of the request with the same key. It
// returns the outcome or, after WaitMillis, the current state. Resends carry the same key and
// therefore join the first execution. An outcome is kept for 10 min, after which the key
// counts as new. After an error with CodeUnknownResult the request may have been accepted;
// call Outcome, or call Submit again with the same key and body.
func (c *Client) Submit(ctx context.Context, r api.SubmitRequest) (api.RequestStatus, error) {
	if r.Caller == "" || r.Key == "" {
		return api.RequestStatus{}, missingKeyError(r.Caller)
	}
	wait := millisToDuration(r.WaitMillis)
	serverWait := min(wait, maxServerWait)
	r.WaitMillis = serverWait.Milliseconds()
	status, err := c.requestStatus(ctx, callSpec{method: http.MethodPost, path: "/v1/requests", body: r, resend: resendKeyed, serverWait: serverWait})
	if err != nil {
		return status, err
	}
	return c.pollOutcome(ctx, api.RequestKey{Caller: r.Caller, Key: r.Key}, r.Kind, wait-serverWait, status), nil
}

// Outcome returns the state of a request. It waits for the outcome for at most wait. Kind is
// the kind that the request was submitted with; it determines the partition that holds the
// record.
func (c *Client) Outcome(ctx context.Context, key api.RequestKey, kind string, wait time.Duration) (api.RequestStatus, error) {
	return c.callByKey(ctx, http.MethodGet, key, kind, wait, resendRead)
}

// Cancel cancels a request and returns its state. The state is not_run only if it is certain
// that the request did not run. It is safe to repeat a cancel.
func (c *Client) Cancel(ctx context.Context, key api.RequestKey, kind string, wait time.Duration) (api.RequestStatus, error) {
	return c.callByKey(ctx, http.MethodDelete, key, kind, wait, resendKeyed)
}

// maxServerWait limits how long the server is asked to wait in one call. An unresponsive
// connection is therefore detected after this time plus the call timeout, not after the
// total wait.
const maxServerWait = 5 * time.Second

// callByKey makes a call about a request. If the request has no outcome when the call
// returns, callByKey polls for it for the rest of the wait.
func (c *Client) callByKey(ctx context.Context, method string, key api.RequestKey, kind string, wait time.Duration, rule resendRule) (api.RequestStatus, error) {
	if key.Caller == "" || key.Key == "" {
		return api.RequestStatus{}, missingKeyError(key.Caller)
	}
	serverWait := min(max(wait, 0), maxServerWait)
	status, err := c.callByKeyOnce(ctx, method, key, kind, serverWait, rule)
	if err != nil {
		return status, err
	}
	return c.pollOutcome(ctx, key, kind, wait-serverWait, status), nil
}

// pollOutcome queries the outcome until the wait is over. After an error it returns the last
// known status, because the request is known to be accepted.
func (c *Client) pollOutcome(ctx context.Context, key api.RequestKey, kind string, wait time.Duration, last api.RequestStatus) api.RequestStatus {
	for wait > 0 && !last.State.IsOutcome() {
		serverWait := min(wait, maxServerWait)
		status, err := c.callByKeyOnce(ctx, http.MethodGet, key, kind, serverWait, resendRead)
		if err != nil {
			return last
		}
		last, wait = status, wait-serverWait
	}
	return last
}

func (c *Client) callByKeyOnce(ctx context.Context, method string, key api.RequestKey, kind string, wait time.Duration, rule resendRule) (api.RequestStatus, error) {
	query := url.Values{"kind": {kind}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	path := "/v1/requests/" + url.PathEscape(key.Caller) + "/" + url.PathEscape(key.Key) + "?" + query.Encode()
	return c.requestStatus(ctx, callSpec{method: method, path: path, resend: rule, serverWait: wait})
}

// requestStatus makes a call whose response is a RequestStatus and checks that the answer
// in it is complete.
func (c *Client) requestStatus(ctx context.Context, spec callSpec) (api.RequestStatus, error) {
	var status api.RequestStatus
	spec.out = &status
	spec.verify = func() error { return verifyAnswer(status) }
	if err := c.do(ctx, spec); err != nil {
		return api.RequestStatus{}, err
	}
	return status, nil
}

func verifyAnswer(s api.RequestStatus) error {
	if s.AnswerDigest == "" {
		return nil
	}
	sum := sha256.Sum256(s.Answer)
	if got := hex.EncodeToString(sum[:]); got != s.AnswerDigest {
		return errors.Errorf("answer of %d bytes has digest %s, want %s", len(s.Answer), got, s.AnswerDigest)
	}
	return nil
}

func missingKeyError(caller string) *api.Error {
	field := "key"
	if caller == "" {
		field = "caller"
	}
	return &api.Error{Code: api.CodeBadRequest, Field: field, Message: "must not be empty", NotRun: true}
}

func millisToDuration(ms int64) time.Duration { return time.Duration(max(ms, 0)) * time.Millisecond }
