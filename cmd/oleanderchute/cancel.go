package main

import (
	"context"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// CancelCmd cancels a request.
type CancelCmd struct {
	RequestFlags
	Wait time.Duration `default:"5s" help:"How long to wait for a running task to stop."`
}

// Help returns the detailed help of the command.
func (CancelCmd) Help() string {
	return `The exit code is 0 if the request did not run or is being stopped, and 1 if it has
already ended.

Example: oleanderchute cancel g-2041 --caller tenders --kind draft-guarantee`
}

// Run cancels the request and prints its state.
func (c *CancelCmd) Run(a *app) error {
	status, err := callCluster(a, func(cl *client.Client, ctx context.Context) (api.RequestStatus, error) {
		return cl.Cancel(ctx, c.key(), c.Kind, c.Wait)
	})
	if err != nil {
		return c.withOutcomeHint(err)
	}
	return a.printRequestStatus(status, "", cancelExitCode)
}

// cancelExitCode returns the exit code of cancel for the state of the request.
func cancelExitCode(s api.State) int {
	switch s {
	case api.StateDone, api.StateFailed:
		return exitFailed
	case api.StateUnknown:
		return exitUnknown
	}
	return exitOK
}
