package main

import (
	"context"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// OutcomeCmd shows the state or outcome of a request.
type OutcomeCmd struct {
	RequestFlags
	AnswerFlag
	Wait time.Duration `help:"How long to wait for the outcome."`
}

// Help returns the detailed help of the command.
func (OutcomeCmd) Help() string {
	return "Example: oleanderchute outcome g-2041 --caller tenders --kind draft-guarantee --wait 20s --answer bond.pdf"
}

// Run prints the state of the request.
func (c *OutcomeCmd) Run(a *app) error {
	status, err := callCluster(a, func(cl *client.Client, ctx context.Context) (api.RequestStatus, error) {
		return cl.Outcome(ctx, c.key(), c.Kind, c.Wait)
	})
	if err != nil {
		return err
	}
	return a.printRequestStatus(status, c.Answer, outcomeExitCode)
}
