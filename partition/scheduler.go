package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// Scheduler decides which requests start and where, and keeps the account of the
// workers. Times are since the process's monotonic origin. The owner of a partition
// uses one instance for one period of ownership, from one goroutine.
type Scheduler interface {
	// UpsertWorker adds a worker or changes its description; its account is kept.
	UpsertWorker(now time.Duration, w placement.Worker)
	// SetPlaceable allows or stops new placements on a worker; its account is kept.
	SetPlaceable(now time.Duration, worker string, placeable bool)
	// RemoveWorker forgets a worker and drops its reservations.
	RemoveWorker(now time.Duration, worker string)
	// SetPools replaces the pools, which carry shares and quotas.
	SetPools(pools []api.Pool)
	// Admit checks whether an item may be accepted; it changes nothing.
	Admit(now time.Duration, item placement.Item) placement.Admission
	// Enqueue adds an accepted item; it never refuses.
	Enqueue(now time.Duration, item placement.Item)
	// Cancel removes a queued item and reports whether it was queued.
	Cancel(key api.RequestKey) bool
	// Decide places at most max items and reserves their resources.
	Decide(now time.Duration, max int) placement.Decision
	// Reserve enters a task that was found running on a worker into its account.
	Reserve(now time.Duration, item placement.Item, task int, worker string)
	// Release returns the reservation of a task, if it has one.
	Release(now time.Duration, key api.RequestKey, task int)
	// ReportOutcome tells how a started task ended on a worker.
	ReportOutcome(now time.Duration, worker, kind string, o placement.Outcome, runTime time.Duration)
	// ReportUsage tells what a running task was measured to use.
	ReportUsage(now time.Duration, key api.RequestKey, used api.Resources)
	// Explain says why an item waits.
	Explain(now time.Duration, key api.RequestKey) placement.Explanation
	// Stats counts items and workers.
	Stats() SchedulerStats
}

// SchedulerStats counts what a Scheduler holds.
type SchedulerStats = placement.Stats
