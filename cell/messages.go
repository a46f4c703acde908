package cell

import (
	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
)

// Kind is the operation that a call requests from the leader.
type Kind uint8

// The kinds of call.
const (
	SubmitJob Kind = iota + 1
	QueryJob
	CancelJob
	CountPending
	PutConfig
	GetConfig
	Announce
	SignOff
	// ExplainJob asks what would happen to a job if it were submitted now.
	ExplainJob
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	names := [...]string{"none", "submit", "state", "cancel", "pending", "put_config", "get_config", "announce", "sign_off", "explain"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Call is a request that only the leader can serve. Fields that its kind does not use are
// empty.
type Call struct {
	Kind Kind `cbor:"1,keyasint"`
	// Host and Path select a queue. The part of Path after the queue's prefix is the job ID.
	Host         string        `cbor:"2,keyasint,omitempty"`
	Path         string        `cbor:"3,keyasint,omitempty"`
	Spec         *job.Spec     `cbor:"4,keyasint,omitempty"`
	Config       *job.Config   `cbor:"5,keyasint,omitempty"`
	Announcement *Announcement `cbor:"6,keyasint,omitempty"`
	Worker       string        `cbor:"7,keyasint,omitempty"` // worker name, for SignOff
	// Key is the digest of the key with which the caller identifies its account, nil if it sent none.
	Key *job.KeyDigest `cbor:"8,keyasint,omitempty"`
	// StartedMillis is the start time of the worker incarnation that signs off, 0 if the worker or a VM
	// of an earlier version did not send it.
	StartedMillis int64 `cbor:"9,keyasint,omitempty"`
}

// Code is the outcome of a call.
type Code uint8

// The outcomes of a call.
const (
	OK          Code = iota + 1
	NotLeader        // nothing was done; Reply.Leader may name the leader
	Interrupted      // the leader lost its leadership; the call may or may not take effect
	NoConfig         // there is no configuration yet
	NoQueue          // no queue matches Host and Path
	NoJob            // the queue has no job with this ID
	BadCall          // Reply.Text says what is wrong
	Conflict         // the job ID is in use on another queue
	// Unavailable means that no leader was reached before the deadline and nothing was done.
	Unavailable
	// Unknown means that no definite reply arrived before the deadline; the call may have
	// been executed.
	Unknown
	// Unauthenticated means that the queue needs a key of a client account and the call has none
	// that the configuration in force contains.
	Unauthenticated
	// LimitExceeded means that the job can never run within the limit of its account.
	LimitExceeded
	// Overloaded means that the job was rejected because there is too little capacity to finish it
	// while its result is of use.
	Overloaded
	// NotReady means that not all VMs can carry out the call yet and nothing was done.
	NotReady
)

// String returns the name of the code in logs and metrics.
func (c Code) String() string {
	names := [...]string{"none", "ok", "not_leader", "interrupted", "no_config", "no_queue", "no_job", "bad_call", "conflict", "unavailable", "unknown", "unauthenticated", "limit_exceeded", "overloaded", "not_ready"}
	if int(c) < len(names) {
		return names[c]
	}
	return "invalid"
}

// JobStatus is the status of a job as its caller sees it.
type JobStatus uint8

// The statuses of a job.
const (
	JobQueued JobStatus = iota + 1
	JobRunning
	JobCompleted
	JobFailed
	JobCanceled
)

// Reply answers a Call. Fields that the call's kind and the code do not use are empty.
type Reply struct {
	Code     Code      `cbor:"1,keyasint"`
	Leader   string    `cbor:"2,keyasint,omitempty"`
	Text     string    `cbor:"3,keyasint,omitempty"` // what is wrong, for codes that reject a call
	Status   JobStatus `cbor:"4,keyasint,omitempty"`
	Pending  int       `cbor:"5,keyasint,omitempty"` // open jobs of the queue that have not started
	Document []byte    `cbor:"6,keyasint,omitempty"` // the document of the configuration
	// PublicAddress is the address at which the leader itself accepts announcements.
	PublicAddress string `cbor:"7,keyasint,omitempty"`
	// RetryAfterMillis is when a rejected caller should try again, 0 if the leader does not know.
	RetryAfterMillis int64                 `cbor:"8,keyasint,omitempty"`
	Explanation      *dispatch.Explanation `cbor:"9,keyasint,omitempty"`
}

// JoinArgs announces a VM to the leader.
type JoinArgs struct {
	Address string      `cbor:"1,keyasint"`
	Keeper  *job.Member `cbor:"2,keyasint,omitempty"` // nil for an entry VM
}

// JoinReply returns the leader, empty if unknown, and the keepers.
type JoinReply struct {
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Keepers []string `cbor:"2,keyasint,omitempty"`
}

// AdviseArgs asks a VM to call the advisor.
type AdviseArgs struct {
	Step          job.StepRef `cbor:"1,keyasint"`
	Workers       []string    `cbor:"2,keyasint"`
	TimeoutMillis int64       `cbor:"3,keyasint"`
}

// AdviseReply returns the advisor's grants and how long their tickets are valid.
type AdviseReply struct {
	Grants      []Grant `cbor:"1,keyasint,omitempty"`
	ValidMillis int64   `cbor:"2,keyasint,omitempty"`
}
