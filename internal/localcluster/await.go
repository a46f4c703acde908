package localcluster

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/client"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// AwaitServing waits until exactly wantVMs VMs may serve and exactly wantPartitions
// partitions exist. It returns an error after timeout or when ctx is done.
func AwaitServing(ctx context.Context, timeout time.Duration, c *client.Client, wantVMs, wantPartitions int) error {
	goal := fmt.Sprintf("%d VMs that may serve and %d partitions", wantVMs, wantPartitions)
	return await(ctx, timeout, goal, func() bool {
		status, err := c.Status(ctx)
		serving := 0
		for _, vm := range status.VMs {
			if vm.MayServe {
				serving++
			}
		}
		return err == nil && serving == wantVMs && len(status.Partitions) == wantPartitions
	})
}

// AwaitWorkers waits until exactly want workers are ready. It returns an error after timeout or
// when ctx is done.
func AwaitWorkers(ctx context.Context, timeout time.Duration, c *client.Client, want int) error {
	return await(ctx, timeout, fmt.Sprintf("%d ready workers", want), func() bool {
		workers, err := c.Workers(ctx)
		ready := 0
		for _, w := range workers {
			if w.State == "ready" {
				ready++
			}
		}
		return err == nil && ready == want
	})
}

// await polls until isMet returns true. It returns an error that names goal after timeout
// or when ctx is done.
func await(ctx context.Context, timeout time.Duration, goal string, isMet func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for !isMet() {
		select {
		case <-ctx.Done():
			return errors.Errorf("timed out or canceled while waiting for %s", goal)
		case <-time.After(pollInterval):
		}
	}
	return nil
}
