// Package placement decides which requests start, when and on which worker. It holds the
// queues and the exact capacity accounting of the workers of one partition.
//
// The package has no clock, no goroutines and no I/O. Times are arguments, given as
// time.Duration since the process's monotonic origin, and the same sequence of calls gives
// the same results.
//
// The main concepts are:
//
//   - fair share: the part of a pool that a team is entitled to by its weight. A team that
//     uses at least that borrows from teams that use less. See team.
//   - allocation: the amount of a worker's capacity that a running task takes.
//   - reservation: workers set aside for a blocked item until it fits. See reservation.
//   - headroom: workers set aside for urgent work. See headroomDivisor.
//   - large-only worker: a worker that a large item has left and that is set aside for
//     other large items for a short time. See largeOnlyDuration.
//   - burst: urgent work started beyond its team's fair share. See burstDivisor.
//   - probation: a worker that fails tasks that succeed elsewhere gets only a few trial
//     tasks until they succeed. See health.
package placement

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Config configures a Scheduler.
type Config struct {
	// Seed seeds the random choices of the scheduler.
	Seed uint64
	// Candidates bounds the workers that are scored for one placement; 0 means 32.
	Candidates int
	// LocalRegion is the region of the partition. It is assumed for items whose
	// caller's region is unknown.
	LocalRegion string
}

// Worker describes a worker.
type Worker struct {
	Name          string
	Pool          string
	Rack          string
	FailureDomain string
	Region        string
	Capacity      api.Resources
	Slots         int // maximum number of concurrent tasks
	Connections   int // maximum number of concurrent connections of its tasks
}

// Item is a request to be placed.
type Item struct {
	Key       api.RequestKey
	Pool      string
	Kind      string // kind of work; run times and failures are learned by kind
	Team      string
	Class     api.Class
	Workload  api.Workload
	Resources api.Resources // of one task
	Tasks     int           // 1 unless a gang
	RunTime   time.Duration // declared; 0 if unknown
	Region    string        // of the caller; "" if unknown
	Accepted  time.Duration // when the request was accepted
	Deadline  time.Duration // latest start; 0 if none
	// Connections is how many of its worker's connections one task takes; 0 means 1.
	Connections int
}

// Verdict is the result of an admission check.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	// NeverFits means that the workers of the pool, present or announced before, could
	// not run the request.
	NeverFits
	// Overloaded means that the queue of the team and class or the whole scheduler is
	// full, or that the expected wait exceeds the deadline or, without a deadline, the
	// bound of the class. Admission.RetryAfter says when to try again.
	Overloaded
	// QuotaExceeded means that the request alone exceeds its team's quota.
	QuotaExceeded
)

// Admission is the result of Admit.
type Admission struct {
	Verdict    Verdict
	Reason     string        // why it is refused; names the insufficient dimension or the wait
	RetryAfter time.Duration // for Overloaded
}

// Placement is the decision to start one item. Workers names the worker of each task, in
// task order.
type Placement struct {
	Key     api.RequestKey
	Workers []string
}

// Expired is an item whose deadline passed before it could start.
type Expired struct {
	Key api.RequestKey
}

// Decision is the result of Decide. Capacity for the placements is already allocated.
type Decision struct {
	Placements []Placement
	Expired    []Expired
}

// Outcome is the outcome of a started task. It serves to detect faulty workers.
type Outcome uint8

// The outcomes.
const (
	OutcomeSuccess Outcome = iota
	OutcomeFailure
	OutcomeLost // no report, since the worker or the connection was lost
)

// Explanation describes why an item is waiting.
type Explanation struct {
	Found    bool
	Position int    // in the order of arrival of its team and class, from 1
	WaitsFor string // what must change for the item to start
	// RuledOut counts the workers by the limit that excludes them: "milli_cpu",
	// "memory_mb", "accelerators", "slots", "connections", "not_placeable", "probation",
	// "held", "kept_for_large" or "headroom". A worker may count under several limits.
	RuledOut map[string]int
}

// Stats counts the items, tasks and workers of a Scheduler.
type Stats struct {
	Queued  int // items
	Running int // tasks with an allocation
	Workers int // in a pool
}
