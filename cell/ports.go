package cell

import (
	"context"
	"time"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
)

// WorkerClient sends orders to workers. Its methods are safe for concurrent use and return
// no later than ctx ends.
type WorkerClient interface {
	// RenewLease extends the worker's lease and returns the worker's report.
	RenewLease(ctx context.Context, o dispatch.RenewLease) (dispatch.Reply, dispatch.Report)
	Start(ctx context.Context, o dispatch.Start) dispatch.Reply
	Stop(ctx context.Context, o dispatch.Stop) dispatch.Reply
}

// Grant is the advisor's permission for the named worker to run a step.
type Grant struct {
	Worker string `cbor:"1,keyasint"`
	Ticket string `cbor:"2,keyasint"`
}

// AdvisorClient asks the advisor which of the named workers may run a step. valid is how
// long the tickets are valid.
type AdvisorClient interface {
	Advise(ctx context.Context, step job.StepRef, workers []string) (grants []Grant, valid time.Duration, err error)
}

// Announcement is what a worker reported about itself to one VM.
type Announcement = dispatch.Announcement
