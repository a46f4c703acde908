package integration

import (
	"context"
	"time"

	qt "github.com/frankban/quicktest"
)

// pollInterval is the interval at which waitFor evaluates its condition.
const pollInterval = 10 * time.Millisecond

// waitFor waits until the condition holds and returns how long that took. It fails the test if
// the condition does not hold within the timeout.
func waitFor(c *qt.C, description string, timeout time.Duration, condition func() bool) time.Duration {
	c.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > timeout {
			c.Fatalf("not within %s: %s", timeout, description)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start)
}

// timeoutContext returns a context that ends after the timeout or at the end of the test.
func timeoutContext(c *qt.C, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c.Cleanup(cancel)
	return ctx
}
