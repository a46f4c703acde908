package main

import (
	"context"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// SubmitCmd submits a request.
type SubmitCmd struct {
	RequestFlags
	AnswerFlag
	Team          string        `help:"Team whose share and quota the work counts against; by default the caller."`
	Class         string        `enum:"urgent,normal,low" default:"normal" help:"Urgency: urgent, normal or low."`
	MilliCPU      int64         `name:"milli-cpu" default:"1000" help:"Thousandths of a core for each task."`
	MemoryMB      int64         `name:"memory-mb" default:"256" help:"Memory in MB for each task."`
	Accelerators  int64         `help:"Accelerators for each task."`
	Tasks         int           `default:"1" help:"Number of tasks; the tasks of a gang start together."`
	RunTime       time.Duration `help:"Declared run time."`
	Deadline      time.Duration `help:"How long after acceptance the work may still start."`
	NonIdempotent bool          `help:"The work must run at most once."`
	Wait          time.Duration `help:"How long to wait for the outcome."`
	Body          string        `placeholder:"FILE" help:"File with the request body; - for the standard input."`
}

// Help returns the detailed help of the command.
func (SubmitCmd) Help() string {
	return `A resend with the same key and body joins the first execution. The exit code is 1
for the outcomes failed and not_run, and 4 for unknown.

Example: oleanderchute submit g-2041 --caller tenders --kind draft-guarantee --body bond.json --non-idempotent --wait 20s`
}

// Run submits the request and prints its state.
func (c *SubmitCmd) Run(a *app) error {
	request := api.SubmitRequest{
		Caller: c.Caller, Key: c.Key, Kind: c.Kind, Team: c.Team, Class: api.Class(c.Class), Tasks: c.Tasks,
		Resources:     api.Resources{MilliCPU: c.MilliCPU, MemoryMB: c.MemoryMB, Accelerators: c.Accelerators},
		RunTimeMillis: api.Millis(c.RunTime), DeadlineMillis: api.Millis(c.Deadline), WaitMillis: api.Millis(c.Wait),
		NonIdempotent: c.NonIdempotent,
	}
	if c.Body != "" {
		body, err := a.readFile(c.Body)
		if err != nil {
			return failureErrorf("%v", err)
		}
		request.Body = body
	}
	status, err := callCluster(a, func(cl *client.Client, ctx context.Context) (api.RequestStatus, error) {
		return cl.Submit(ctx, request)
	})
	if err != nil {
		return c.withOutcomeHint(err)
	}
	return a.printRequestStatus(status, c.Answer, outcomeExitCode)
}
