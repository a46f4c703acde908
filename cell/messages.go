package cell

import (
	"github.com/oleanderchute/oleanderchute/job"
)

// Kind says what a call to the leader asks for.
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
)

// String returns the kind as it stands in logs and metrics.
func (k Kind) String() string {
	names := [...]string{"none", "submit", "state", "cancel", "pending", "put_config", "get_config", "announce", "sign_off"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Call is a call that only the leader can serve. Fields that its kind does not need are
// empty.
type Call struct {
	Kind Kind `cbor:"1,keyasint"`
	// Host and Path select a queue; what follows the queue's prefix is the job's id.
	Host         string        `cbor:"2,keyasint,omitempty"`
	Path         string        `cbor:"3,keyasint,omitempty"`
	Spec         *job.Spec     `cbor:"4,keyasint,omitempty"`
	Config       *job.Config   `cbor:"5,keyasint,omitempty"`
	Announcement *Announcement `cbor:"6,keyasint,omitempty"`
	Worker       string        `cbor:"7,keyasint,omitempty"` // its name, for SignOff
}

// Code is the outcome of a call.
type Code uint8

// The outcomes of a call.
const (
	OK          Code = iota + 1
	NotLeader        // nothing was done; Reply.Leader may name the leader
	Interrupted      // the leader lost its office; the call may come into force or not
	NoConfig         // there is no configuration yet
	NoQueue
	NoJob
	BadCall // Reply.Text says what is wrong
	Conflict
	// Unavailable means that no leader could be asked in time and nothing was done.
	Unavailable
	// Unknown means that no clear answer came in time.
	Unknown
)

// String returns the code as it stands in logs.
func (c Code) String() string {
	names := [...]string{"none", "ok", "not_leader", "interrupted", "no_config", "no_queue", "no_job", "bad_call", "conflict", "unavailable", "unknown"}
	if int(c) < len(names) {
		return names[c]
	}
	return "invalid"
}

// JobStatus is the state of a job as its caller sees it.
type JobStatus uint8

// The states of a job.
const (
	JobQueued JobStatus = iota + 1
	JobRunning
	JobCompleted
	JobFailed
	JobCanceled
)

// Reply answers a Call.
type Reply struct {
	Code     Code      `cbor:"1,keyasint"`
	Leader   string    `cbor:"2,keyasint,omitempty"`
	Text     string    `cbor:"3,keyasint,omitempty"`
	Status   JobStatus `cbor:"4,keyasint,omitempty"`
	Pending  int       `cbor:"5,keyasint,omitempty"`
	Document []byte    `cbor:"6,keyasint,omitempty"`
	// Public is where the leader takes announcements itself.
	PublicAddress string `cbor:"7,keyasint,omitempty"`
}

// JoinArgs tell the leader of a VM.
type JoinArgs struct {
	Address string      `cbor:"1,keyasint"`
	Keeper  *job.Member `cbor:"2,keyasint,omitempty"` // nil for an entry VM
}

// JoinReply names the leader, as far as it is known, and the keepers.
type JoinReply struct {
	Leader  string   `cbor:"1,keyasint,omitempty"`
	Keepers []string `cbor:"2,keyasint,omitempty"`
}

// AdviseArgs ask a VM to call the advisor.
type AdviseArgs struct {
	Step          job.StepRef `cbor:"1,keyasint"`
	Workers       []string    `cbor:"2,keyasint"`
	TimeoutMillis int64       `cbor:"3,keyasint"`
}

// AdviseReply is what the advisor granted.
type AdviseReply struct {
	Grants      []Grant `cbor:"1,keyasint,omitempty"`
	ValidMillis int64   `cbor:"2,keyasint,omitempty"`
}
