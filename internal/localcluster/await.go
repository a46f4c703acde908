package localcluster

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/client"
)

// pollInterval is how often a condition is looked at.
const pollInterval = 50 * time.Millisecond

// AwaitServing waits until so many VMs may serve and so many partitions exist.
func AwaitServing(ctx context.Context, timeout time.Duration, c *client.Client, vms, partitions int) error {
	goal := fmt.Sprintf("%d VMs that may serve, and %d partitions", vms, partitions)
	return await(ctx, timeout, goal, func() bool {
		st, err := c.Status(ctx)
		serving := 0
		for _, vm := range st.VMs {
			if vm.MayServe {
				serving++
			}
		}
		return err == nil && serving == vms && len(st.Partitions) == partitions
	})
}

// AwaitWorkers waits until so many workers are ready.
func AwaitWorkers(ctx context.Context, timeout time.Duration, c *client.Client, n int) error {
	return await(ctx, timeout, fmt.Sprintf("%d ready workers", n), func() bool {
		workers, err := c.Workers(ctx)
		ready := 0
		for _, w := range workers {
			if w.State == "ready" {
				ready++
			}
		}
		return err == nil && ready == n
	})
}

// await polls until the condition holds. Its error names what was awaited when the bound has
// passed or ctx has ended.
func await(ctx context.Context, timeout time.Duration, goal string, condition func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Errorf("not in time: %s", goal)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
