package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// Scheduler decides which requests start on which workers, and keeps the allocations on the
// workers. Times are since the process's monotonic origin. The owner of a partition uses one
// instance for one period of ownership, from one goroutine.
type Scheduler interface {
	// UpsertWorker adds a worker or changes its description; its allocations are kept.
	UpsertWorker(now time.Duration, w placement.Worker)
	// SetPlaceable allows or prevents new placements on a worker; its allocations are kept.
	SetPlaceable(now time.Duration, worker string, placeable bool)
	// RemoveWorker removes a worker and its allocations.
	RemoveWorker(now time.Duration, worker string)
	// SetPools replaces the pools, which define shares and quotas.
	SetPools(pools []api.Pool)
	// Admit checks whether an item may be accepted. It changes nothing.
	Admit(now time.Duration, item placement.Item) placement.Admission
	// Enqueue adds an accepted item. It never refuses one.
	Enqueue(now time.Duration, item placement.Item)
	// Cancel removes a queued item and reports whether it was queued.
	Cancel(key api.RequestKey) bool
	// Decide places at most max items and allocates the resources for them.
	Decide(now time.Duration, max int) placement.Decision
	// Allocate allocates the resources for a task that was found running on a worker.
	Allocate(now time.Duration, item placement.Item, task int, worker string)
	// Release releases the allocation of a task, if it has one.
	Release(now time.Duration, key api.RequestKey, task int)
	// ReportOutcome reports how a dispatched task ended on a worker.
	ReportOutcome(now time.Duration, worker, kind string, o placement.Outcome, runTime time.Duration)
	// ReportUsage reports the measured resource usage of a running task.
	ReportUsage(now time.Duration, key api.RequestKey, used api.Resources)
	// Explain returns why an item waits.
	Explain(now time.Duration, key api.RequestKey) placement.Explanation
	// Stats returns the numbers of items and workers.
	Stats() SchedulerStats
}

// SchedulerStats counts the items and workers of a Scheduler.
type SchedulerStats = placement.Stats
