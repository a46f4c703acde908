package dispatch

import (
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// Settings of a Scheduler. All durations are on the leader's clock.
type Settings struct {
	// MaxLease is the longest lease that workers grant; orders ask for TaskLease at most.
	MaxLease time.Duration
	// StopTimeout is how long a worker takes to stop a task.
	StopTimeout time.Duration
	// KeepEnded is how long the state of an ended job can be asked for.
	EndedJobRetention time.Duration
}

// Action is what the embedder carries out.
type Action interface{ action() }

// Propose asks for a batch of operations to be put into the log.
type Propose struct{ Ops []job.Op }

// Order is what goes to one life of a worker.
type Order struct {
	Worker       job.Worker
	FencingToken uint64
	// UntilMillis is the end of the lease on the worker's clock, 0 if none is asked for.
	LeaseUntilMillis int64
}

// Hold renews the lease of all that runs on a worker, acknowledges ends and asks for both
// lists. The answer waits for an end for Wait at most.
type RenewLease struct {
	Order
	AckedEnd uint64 // all ends up to this number are committed
	MaxWait  time.Duration
}

// Start starts a task. It may be repeated: the same run is the same order.
type Start struct {
	Order
	Task       job.TaskRef
	Run        uint32
	Payload    string
	Checkpoint string
	Ticket     string
}

// Stop stops a run of a task, and keeps it from starting later.
type Stop struct {
	Order
	Task job.TaskRef
	Run  uint32
}

// Advise asks the advisor, through the member Via, which workers may run a step.
type Advise struct {
	Via     string
	Step    job.StepRef
	Workers []job.Worker
	Timeout time.Duration
}

// StepDown gives up the leadership: a worker has seen a newer leader.
type StepDown struct{}

func (Propose) action()    {}
func (RenewLease) action() {}
func (Start) action()      {}
func (Stop) action()       {}
func (Advise) action()     {}
func (StepDown) action()   {}

// Running is a task that a worker lists as running.
type RunningTask struct {
	Task       job.TaskRef
	Run        uint32
	Checkpoint string // newest checkpoint, empty if there is none
}

// Ended is a run that a worker lists as ended.
type EndedRun struct {
	Number     uint64 // rises by one with each end in a life
	Task       job.TaskRef
	Run        uint32
	Kind       job.EndKind
	Checkpoint string
}

// Report is a worker's answer to Hold.
type Report struct {
	StartedMillis int64 // 0 if the worker did not say
	ClockMillis   int64
	Running       []RunningTask
	Ended         []EndedRun
}

// Reply tells how an order ended.
type Reply uint8

// The replies to an order.
const (
	Accepted            Reply = iota + 1
	RefusedStaleLeader        // a newer leader has given orders to this worker
	RefusedRunEnded           // this run or a newer one has ended or was stopped there
	RefusedLeaseExpired       // the order's lease had ended
	RefusedCapacity
	RefusedTicket
	Unhealthy        // the worker did nothing
	OtherIncarnation // another life of the worker has the address
	InvalidOrder     // the worker cannot read the order
	NoReply          // the order may have been carried out, or may be later
)

// String returns the reply as it stands in logs.
func (r Reply) String() string {
	names := [...]string{"none", "accepted", "refused_fence", "refused_ended", "refused_late", "refused_room",
		"refused_ticket", "unhealthy", "other_life", "invalid", "no_reply"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Ticket lets a life of a worker run a step.
type Ticket struct {
	Worker uint32
	Value  string
}

// Decision is a line for the log: what was decided about what, and from which inputs.
type Decision struct {
	Event         string // such as "placed" or "worker lost"
	Job           job.ID // 0 if it concerns no job
	Task          job.TaskRef
	Run           uint32
	Worker        string
	Reason        string
	InputAge      time.Duration // of the input that decided it
	ConfigVersion int64         // of the configuration, or 0
}
