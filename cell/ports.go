package cell

import (
	"context"
	"time"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
)

// WorkerClient sends orders to workers. Its methods are called from several goroutines and
// return when ctx ends at the latest.
type WorkerClient interface {
	RenewLease(ctx context.Context, o dispatch.RenewLease) (dispatch.Reply, dispatch.Report)
	// Start and Stop also return the worker's clock in milliseconds, 0 if it did not say.
	Start(ctx context.Context, o dispatch.Start) (dispatch.Reply, int64)
	Stop(ctx context.Context, o dispatch.Stop) (dispatch.Reply, int64)
}

// Grant lets the worker of that name run a step.
type Grant struct {
	Worker string `cbor:"1,keyasint"`
	Ticket string `cbor:"2,keyasint"`
}

// AdvisorClient asks the advisor which of the named workers may run a step. valid is how
// long the tickets hold.
type AdvisorClient interface {
	Advise(ctx context.Context, step job.StepRef, workers []string) (grants []Grant, valid time.Duration, err error)
}

// Announcement is what a worker said about itself to one VM.
type Announcement = dispatch.Announcement
