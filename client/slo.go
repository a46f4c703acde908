package client

import (
	"context"

	"github.com/oleanderchute/oleanderchute/api"
)

// SLO returns the report on service-level objectives, merged from all VMs that answer.
func (c *Client) SLO(ctx context.Context) (api.SLOReport, error) {
	return get[api.SLOReport](ctx, c, "/v1/slo")
}
