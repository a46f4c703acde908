package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/google/uuid"

	"github.com/oleanderchute/oleanderchute/api"
)

// Tables returns the tables in force.
func (c *Client) Tables(ctx context.Context) (api.Tables, error) {
	return get[api.Tables](ctx, c, "/v1/tables")
}

// Check returns the problems that would result if the tables replaced those in force. It
// changes nothing.
func (c *Client) Check(ctx context.Context, t api.Tables) ([]api.Problem, error) {
	var out []api.Problem
	err := c.do(ctx, callSpec{method: http.MethodPost, path: "/v1/tables/check", body: t, out: &out, resend: resendRead})
	return out, err
}

// NewChangeID returns a unique change id. Apply generates one if the request has none. A
// caller that may have to resend the change after an unknown result must set the id itself.
func NewChangeID() string { return uuid.NewString() }

// Apply proposes a change of the tables. All its tries carry the same change id, so that a
// resend gets the first response. If another change was accepted first or the checks refuse
// the change, Apply returns a response with Accepted=false and no error.
func (c *Client) Apply(ctx context.Context, r api.ApplyRequest) (api.ApplyResponse, error) {
	if r.ChangeID == "" {
		r.ChangeID = NewChangeID()
	}
	var out api.ApplyResponse
	err := c.do(ctx, callSpec{method: http.MethodPost, path: "/v1/tables/apply", body: r, out: &out, resend: resendKeyed})
	return out, err
}

// History returns the accepted changes of the tables, newest first.
func (c *Client) History(ctx context.Context) ([]api.HistoryEntry, error) {
	return get[[]api.HistoryEntry](ctx, c, "/v1/history")
}

// Problems returns the problems that operators should fix, newest first.
func (c *Client) Problems(ctx context.Context) ([]api.Problem, error) {
	return get[[]api.Problem](ctx, c, "/v1/problems")
}

// Status returns the status of the VMs and partitions.
func (c *Client) Status(ctx context.Context) (api.StatusResponse, error) {
	return get[api.StatusResponse](ctx, c, "/v1/status")
}

// Workers returns the status of the workers as known to their owners.
func (c *Client) Workers(ctx context.Context) ([]api.WorkerStatus, error) {
	return get[[]api.WorkerStatus](ctx, c, "/v1/workers")
}

// Explain returns why a request has not started.
func (c *Client) Explain(ctx context.Context, key api.RequestKey, kind string) (api.Explanation, error) {
	query := url.Values{"caller": {key.Caller}, "key": {key.Key}, "kind": {kind}}
	return get[api.Explanation](ctx, c, "/v1/explain?"+query.Encode())
}

// Drain makes a VM finish its current work and accept no new work. An empty name means the
// VM that receives the call. Drain is not resent after a try whose effect is unknown,
// because a VM that was restarted in the meantime would be drained again.
func (c *Client) Drain(ctx context.Context, vm string) error {
	path := "/v1/drain"
	if vm != "" {
		path += "?" + url.Values{"vm": {vm}}.Encode()
	}
	return c.do(ctx, callSpec{method: http.MethodPost, path: path})
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	var out T
	err := c.do(ctx, callSpec{method: http.MethodGet, path: path, out: &out, resend: resendRead})
	return out, err
}
