// Package api holds the wire types that callers, workers and operators exchange
// with oleanderchute, including typed outcomes and errors. Durations are integers in
// milliseconds; sizes are integers in the unit that the field name states.
package api

import "time"

// MaxBodyBytes is the maximum size of a request body and of an answer, in bytes.
const MaxBodyBytes = 1 << 20

// Class is the urgency of a request.
type Class string

// The classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassLow    Class = "low"
)

// Workload selects the placement policy of a route.
type Workload string

// The workloads.
const (
	WorkloadService Workload = "service"
	WorkloadBatch   Workload = "batch"
	WorkloadGang    Workload = "gang"
)

// Resources is an amount of resources, such as the capacity of a worker or the needs of a
// task.
type Resources struct {
	MilliCPU     int64 `json:"milli_cpu" cbor:"1,keyasint,omitempty"` // thousandths of a core
	MemoryMB     int64 `json:"memory_mb" cbor:"2,keyasint,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
}

// Fits reports whether r is at most avail in every dimension.
func (r Resources) Fits(avail Resources) bool {
	return r.MilliCPU <= avail.MilliCPU && r.MemoryMB <= avail.MemoryMB && r.Accelerators <= avail.Accelerators
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// RequestKey identifies a request within its home partition. A resend carries the same
// key and joins the execution of the first copy.
type RequestKey struct {
	Caller string `json:"caller" cbor:"1,keyasint"`
	Key    string `json:"key" cbor:"2,keyasint"`
}

// String returns "caller/key", for logs.
func (k RequestKey) String() string { return k.Caller + "/" + k.Key }

// SubmitRequest is the body of POST /v1/requests.
type SubmitRequest struct {
	Caller string `json:"caller"`
	Key    string `json:"key"`
	// Kind is the name of a route or one of its aliases.
	Kind string `json:"kind"`
	// Team is the team whose share and quota the work counts against; empty means the
	// caller's name.
	Team string `json:"team,omitempty"`
	// Class defaults to normal.
	Class     Class     `json:"class,omitempty"`
	Resources Resources `json:"resources"`
	// Tasks is the number of tasks of a gang; 0 means 1. A value above 1 requires a route
	// with the workload gang. Each task gets Resources and Body.
	Tasks int `json:"tasks,omitempty"`
	// RunTimeMillis is the declared run time in milliseconds; 0 means unknown.
	RunTimeMillis int64 `json:"run_time_ms,omitempty"`
	// DeadlineMillis is how long after acceptance the work may still start, in
	// milliseconds; 0 means no deadline.
	DeadlineMillis int64 `json:"deadline_ms,omitempty"`
	// NonIdempotent marks work that must run at most once.
	NonIdempotent bool `json:"non_idempotent,omitempty"`
	// WaitMillis is how long the call may wait for an outcome, in milliseconds.
	WaitMillis int64  `json:"wait_ms,omitempty"`
	Body       []byte `json:"body,omitempty"`
}

// State is the state of an accepted request.
type State string

// The states. Done, failed and not_run are final. Unknown changes to one of the final
// states if the worker reports later.
const (
	StateQueued  State = "queued"
	StateClaimed State = "claimed"
	StateRunning State = "running"
	StateDone    State = "done"
	StateFailed  State = "failed"
	StateNotRun  State = "not_run"
	StateUnknown State = "unknown"
)

// IsFinal reports whether the state can no longer change.
func (s State) IsFinal() bool { return s == StateDone || s == StateFailed || s == StateNotRun }

// IsOutcome reports whether a waiting caller is answered as soon as the request is in
// this state.
func (s State) IsOutcome() bool { return s.IsFinal() || s == StateUnknown }

// RequestStatus is the response to a submit, a query or a cancel.
type RequestStatus struct {
	Caller string `json:"caller"`
	Key    string `json:"key"`
	Kind   string `json:"kind,omitempty"`
	State  State  `json:"state"`
	// Reason is why the state is not_run, failed or unknown, or what a queued request
	// waits for.
	Reason string `json:"reason,omitempty"`
	// Worker is the worker of the latest attempt; for a gang, the worker of its first task.
	Worker string `json:"worker,omitempty"`
	// Attempt is the number of the latest dispatch of this request, counted from 1; 0 means
	// that it was never dispatched.
	Attempt int `json:"attempt,omitempty"`
	// Answer is always complete. AnswerDigest is its SHA-256 digest in hexadecimal. The
	// answer of a gang is a JSON array of the answers of its tasks as base64 strings, in
	// task order.
	Answer       []byte `json:"answer,omitempty"`
	AnswerDigest string `json:"answer_digest,omitempty"`
	// WaitedMillis is the time from acceptance to the first dispatch in milliseconds.
	WaitedMillis int64 `json:"waited_ms,omitempty"`
}

// Millis converts a duration to whole milliseconds.
func Millis(d time.Duration) int64 { return d.Milliseconds() }
