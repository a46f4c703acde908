// Package placement decides which requests start, when and on which worker. It keeps
// the queues and the exact account of the workers of one partition. It has no clock,
// goroutine or input and output: time is an argument, in time.Duration since the
// process's monotonic origin, and the same calls give the same results.
package placement

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Config configures a Scheduler. Zero values take the defaults.
type Config struct {
	Seed uint64
	// Candidates bounds how many workers are scored for one placement; default 32.
	Candidates int
	// LocalRegion is the partition's home region.
	LocalRegion string
}

// Worker describes a worker that may take work.
type Worker struct {
	Name          string
	Pool          string
	Rack          string
	FailureDomain string
	Region        string
	Capacity      api.Resources
	Slots         int
	Connections   int
}

// Item is a request that waits for a place.
type Item struct {
	Key       api.RequestKey
	Pool      string
	Kind      string
	Team      string
	Class     api.Class
	Workload  api.Workload
	Resources api.Resources // of one task
	Tasks     int           // 1 unless a gang
	RunTime   time.Duration // declared; 0 if unknown
	Region    string        // of the caller; "" if unknown
	Accepted  time.Duration
	Deadline  time.Duration // latest start; 0 if none
	// Connections is what one task takes of its worker's connections; 0 means 1.
	Connections int
}

// Verdict classifies an admission.
type Verdict uint8

// The verdicts.
const (
	Admitted Verdict = iota
	// NeverFits: no worker of the pool, present or announced before, could hold it.
	NeverFits
	// Overloaded: the wait it implies exceeds its deadline or the queue bound of its
	// team and class; Admission.RetryAfter says when to try again.
	Overloaded
	// QuotaExceeded: the request alone exceeds its team's quota.
	QuotaExceeded
)

// Admission is the outcome of Admit.
type Admission struct {
	Verdict    Verdict
	Reason     string // names the short dimension
	RetryAfter time.Duration
}

// Placement starts one item. Workers has one name a task, in task order.
type Placement struct {
	Key     api.RequestKey
	Workers []string
}

// Expired is an item whose deadline passed before it could start.
type Expired struct {
	Key api.RequestKey
}

// Decision is the outcome of Decide. Placements have been reserved in the account.
type Decision struct {
	Placements []Placement
	Expired    []Expired
}

// Outcome of a started task, for the detection of workers that fail everything.
type Outcome uint8

// The outcomes.
const (
	OutcomeSuccess Outcome = iota
	OutcomeFailure
	OutcomeLost // no report: worker or connection lost
)

// Explanation says why an item waits.
type Explanation struct {
	Found    bool
	Position int
	WaitsFor string
	RuledOut map[string]int // by limit: "milli_cpu", "memory_mb", "accelerators", "slots", "connections", "probation", ...
}

// Stats counts what a Scheduler holds.
type Stats struct {
	Queued  int // items
	Running int // tasks with a reservation
	Workers int
}
