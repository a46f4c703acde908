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

// Check returns the problems that the tables would have as a replacement of those in
// force. It changes nothing.
func (c *Client) Check(ctx context.Context, t api.Tables) ([]api.Problem, error) {
	var out []api.Problem
	err := c.do(ctx, callSpec{method: http.MethodPost, path: "/v1/tables/check", body: t, out: &out, resend: resendRead})
	return out, err
}

// NewChangeID returns an id for one change. Apply chooses one if the request has none;
// a caller that wants to resend after an unknown result chooses it itself.
func NewChangeID() string { return uuid.NewString() }

// Apply proposes a change. All its tries carry the same change id, so that a resend gets
// the first answer. A change that lost to another one, or that the checks refuse, is
// answered with Accepted=false and no error.
func (c *Client) Apply(ctx context.Context, r api.ApplyRequest) (api.ApplyResponse, error) {
	if r.ChangeID == "" {
		r.ChangeID = NewChangeID()
	}
	var out api.ApplyResponse
	err := c.do(ctx, callSpec{method: http.MethodPost, path: "/v1/tables/apply", body: r, out: &out, resend: resendKeyed})
	return out, err
}

// History returns the accepted changes, newest first.
func (c *Client) History(ctx context.Context) ([]api.HistoryEntry, error) {
	return get[[]api.HistoryEntry](ctx, c, "/v1/history")
}

// Problems returns what operators should mend, newest first.
func (c *Client) Problems(ctx context.Context) ([]api.Problem, error) {
	return get[[]api.Problem](ctx, c, "/v1/problems")
}

// Status returns the VMs and partitions.
func (c *Client) Status(ctx context.Context) (api.StatusResponse, error) {
	return get[api.StatusResponse](ctx, c, "/v1/status")
}

// Workers returns the workers as their owners see them.
func (c *Client) Workers(ctx context.Context) ([]api.WorkerStatus, error) {
	return get[[]api.WorkerStatus](ctx, c, "/v1/workers")
}

// Explain tells why a request has not started.
func (c *Client) Explain(ctx context.Context, key api.RequestKey, kind string) (api.Explanation, error) {
	query := url.Values{"caller": {key.Caller}, "key": {key.Key}, "kind": {kind}}
	return get[api.Explanation](ctx, c, "/v1/explain?"+query.Encode())
}

// Drain makes a VM finish what it has and take nothing new. An empty name means the VM
// that receives the call. It is not resent after an uncertain try, because a VM that was
// restarted in between would be drained again.
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
