package dispatch

import (
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// Settings configures a Scheduler. All durations are on the leader's clock.
type Settings struct {
	// MaxLease is the longest lease that workers grant; 0 if it is not known. Orders ask for
	// the shorter of taskLease and MaxLease.
	MaxLease time.Duration
	// StopTimeout is the longest time that a worker takes to stop a task.
	StopTimeout time.Duration
	// EndedJobRetention is how long the state of an ended job can be queried.
	EndedJobRetention time.Duration
	// RestoreTime is how long a run takes to resume from a checkpoint; 0 if it is not known.
	RestoreTime time.Duration
	// OrderByCost enables the decisions under shortage that a configuration with client accounts
	// enables as well.
	OrderByCost bool
}

// Action is something that the caller of Scheduler.Actions has to carry out.
type Action interface{ action() }

// Propose appends a batch of operations to the log.
type Propose struct{ Ops []job.Op }

// Order is the part that all orders to a worker incarnation have in common.
type Order struct {
	Worker job.Worker
	// FencingToken rises with the term of the leader, and within a term with each incarnation of a worker;
	// workers refuse orders with a lower one than they have seen.
	FencingToken uint64
	// LeaseUntilMillis is the requested end of the lease on the worker's clock, 0 if the order
	// requests no lease.
	LeaseUntilMillis int64
}

// RenewLease renews the lease of all runs on a worker, acknowledges ends and requests a
// Report. If the worker has no unacknowledged ends, it delays its answer until a run ends, but
// for at most MaxWait.
type RenewLease struct {
	Order
	AckedEnd uint64        // all ends up to this number are committed
	MaxWait  time.Duration // 0 asks for an answer without delay
}

// Start starts a run of a task. It is idempotent and may be repeated.
type Start struct {
	Order
	Task       job.TaskRef
	Run        uint32
	Payload    string
	Checkpoint string // to resume from, empty if there is none
	Ticket     string // of the advisor, empty if the queue has none
}

// Stop stops a run of a task, and prevents it from starting later.
type Stop struct {
	Order
	Task job.TaskRef
	Run  uint32
}

// Advise asks the advisor, through the member Via, for tickets: which of the workers may run a
// step.
type Advise struct {
	Via     string // address of a member
	Step    job.StepRef
	Workers []job.Worker
	Timeout time.Duration
}

// ConfirmSignOff tells a worker incarnation that has signed off that this is recorded.
type ConfirmSignOff struct {
	Worker string
	Number uint32 // of the incarnation
}

// StepDown gives up the leadership, since a worker has seen a newer leader.
type StepDown struct{}

func (Propose) action()        {}
func (RenewLease) action()     {}
func (Start) action()          {}
func (Stop) action()           {}
func (Advise) action()         {}
func (ConfirmSignOff) action() {}
func (StepDown) action()       {}

// RunningTask is a run that a worker reports as running.
type RunningTask struct {
	Task       job.TaskRef
	Run        uint32
	Checkpoint string // newest checkpoint, empty if there is none
}

// EndedRun is a run that a worker reports as ended.
type EndedRun struct {
	Number     uint64 // increases by one with each end in an incarnation
	Task       job.TaskRef
	Run        uint32
	Kind       job.EndKind
	Checkpoint string // newest checkpoint, empty if there is none
}

// Report is a worker's answer to RenewLease.
type Report struct {
	StartedMillis int64 // start time of the incarnation, 0 if the worker did not send it
	ClockMillis   int64 // the worker's clock when it answered
	Running       []RunningTask
	Ended         []EndedRun
}

// listed returns the runs that the report lists as running or as ended.
func (r *Report) listed() map[claimKey]bool {
	listed := make(map[claimKey]bool, len(r.Running)+len(r.Ended))
	for _, run := range r.Running {
		listed[claimKey{run.Task, run.Run}] = true
	}
	for _, e := range r.Ended {
		listed[claimKey{e.Task, e.Run}] = true
	}
	return listed
}

// isFull reports whether the report may omit ends, so that a missing run may be among them.
func (r *Report) isFull() bool { return len(r.Ended) >= maxEndsPerReport }

// Reply is the result of an order.
type Reply uint8

// The results of an order.
const (
	Accepted            Reply = iota + 1
	RefusedStaleLeader        // the worker has seen a higher fencing token
	RefusedRunEnded           // this run or a newer one of the task has ended or was stopped on the worker
	RefusedLeaseExpired       // the lease of the order had expired on arrival
	RefusedCapacity           // the worker has too little free capacity
	RefusedTicket             // the worker refused the ticket of the advisor
	Unhealthy                 // the worker is not healthy and did not carry out the order
	OtherIncarnation          // another worker or incarnation has the address
	InvalidOrder              // the worker cannot decode the order
	NoReply                   // the order may have been carried out, or may still be
)

// String returns the reply as it appears in logs and metrics.
func (r Reply) String() string {
	names := [...]string{"none", "accepted", "refused_fence", "refused_ended", "refused_late", "refused_room",
		"refused_ticket", "unhealthy", "other_life", "invalid", "no_reply"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Ticket permits a worker incarnation to run a step.
type Ticket struct {
	Worker uint32 // number of the incarnation
	Value  string
}

// Decision is a log record of one scheduling decision.
type Decision struct {
	Event         string // such as "placed" or "worker lost"
	Job           job.ID // 0 if it concerns no job
	Task          job.TaskRef
	Run           uint32
	Worker        string
	Incarnation   uint32        // number of the worker's incarnation, 0 if the decision concerns none
	StartedMillis int64         // start time of that incarnation
	ClockMillis   int64         // newest clock value received from it
	LeaseLeft     time.Duration // time until every lease granted so far has certainly expired
	LeaseBasis    string        // on what the end of the lease rests
	Reason        string
	InputAge      time.Duration // age of the input on which the decision is based
	Queued, Took  time.Duration // how long a call to the advisor waited for a proxy, and then for its answer
	ConfigVersion int64         // version of the configuration, or 0
}

// Load is the load of a leader.
type Load struct {
	OpenJobs    int // jobs that have not ended
	Workers     int // known worker incarnations
	QueuedCalls int // calls to the advisor that wait for a proxy
	BusyProxies int // calls to the advisor in flight
	// Accounts are the accounts of the configuration in its order.
	Accounts []AccountLoad
	Speeds   SpeedSpread
}

// AccountLoad is the load that one client account causes.
type AccountLoad struct {
	Name string
	// Share is the dominant share of the account in the pool where it is largest: what its runs take,
	// as a fraction of the capacity of the pool's workers. Entitlement is its part of that pool by
	// weight, among the accounts with work there; 0 if it has none.
	Share, Entitlement float64
	// LimitUsed is what the runs take as a fraction of the limit, in the dimension in which it is
	// largest; 0 without a limit.
	LimitUsed float64
	// BlockedSteps is the number of steps that the limit keeps waiting.
	BlockedSteps int
}

// SpeedSpread is the range of the learned speeds of the workers, relative to the mean of their
// pools. All are 0 if no speed is known.
type SpeedSpread struct{ Slowest, Median, Fastest float64 }
