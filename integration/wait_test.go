package integration

import (
	"context"
	"time"

	qt "github.com/frankban/quicktest"
)

// pollInterval is the pause between two looks at a condition.
const pollInterval = 10 * time.Millisecond

// waitFor waits until the condition holds, returns how long that took, and fails the
// test if it does not hold within the bound.
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

// within returns a context that ends after the bound.
func timeoutContext(c *qt.C, timeout time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c.Cleanup(cancel)
	return ctx
}
