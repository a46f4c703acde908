// Package partition implements the life cycle of the requests of one partition: their
// records, claims, task leases and outcomes. It is a deterministic state machine without
// clock, goroutines or I/O. The application passes it events with the time (time.Duration since
// the process's monotonic origin) and carries out the actions that it returns. Records change
// only in Apply, which every replica calls with the same committed batches. Everything else
// is soft state of the owner, which is the group's leader while its lease is valid.
package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Config configures a Partition. Zero values select the defaults, which are given in
// parentheses and in docs/design.md.
type Config struct {
	Name string
	// TaskLease is L, the length of a task lease (2 s). ClockRateBound is ρ, the bound on
	// the relative difference of clock rates (0.01).
	TaskLease      time.Duration
	ClockRateBound float64
	// OutcomeRetention is how long a final outcome is kept (10 min).
	OutcomeRetention time.Duration
	MaxAttempts      int    // maximum number of attempts of a request (3)
	Seed             uint64 // seed of the random part of the backoff
}

// WaiterID identifies a caller's call that waits for a Reply. The application chooses it.
type WaiterID uint64

// Event is an input of Step. The concrete types are below.
type Event interface{ isEvent() }

// Submit asks to accept a request, or to wait for the request with the same key. The Reply
// is returned when the request has an outcome, or at WaitUntil at the latest with its current
// state. A call whose accept or cancel is being committed may wait longer, up to 1 s in total.
type Submit struct {
	Waiter    WaiterID
	WaitUntil time.Duration
	Request   api.SubmitRequest
	Route     api.Route // resolved by the entry VM
	Region    string    // region of the entry VM that received the request
	// NowUnixMillis is the wall-clock time for the record, in Unix milliseconds.
	NowUnixMillis int64
}

// Query asks for the state of a request. The Reply is returned as for Submit.
type Query struct {
	Waiter    WaiterID
	WaitUntil time.Duration
	Key       api.RequestKey
}

// Cancel asks to end a request. The Reply is returned once the cancel is durable and holds the
// state: not_run if it is proven that the request never ran, another outcome, or, at WaitUntil,
// the running state if the request has not stopped yet.
type Cancel struct {
	Waiter    WaiterID
	WaitUntil time.Duration
	Key       api.RequestKey
}

// ForgetWaiter drops a waiter whose caller no longer waits.
type ForgetWaiter struct{ Waiter WaiterID }

// WorkerAnnounced is a worker's announcement, forwarded by an entry VM.
type WorkerAnnounced struct{ Announcement api.Announcement }

// SyncAnswered is the answer to a SendSync action. Sequence is that of the action. An answer
// to any sync but the outstanding one is ignored, since it shows an older state of the worker.
type SyncAnswered struct {
	Worker   string
	Sequence uint64
	Response api.SyncResponse
}

// SyncFailed reports that a SendSync action got no answer. Sequence is that of the action.
type SyncFailed struct {
	Worker   string
	Sequence uint64
}

// DispatchAnswered is the answer to a SendDispatch action. Response is nil if the call failed;
// the worker may or may not have received it.
type DispatchAnswered struct {
	Worker   string
	Task     api.TaskID
	Response *api.DispatchResponse
}

// CommandAnswered is the answer to a SendRevoke or SendStop action. Response is as in
// DispatchAnswered. Revoke is set for SendRevoke.
type CommandAnswered struct {
	Worker   string
	Task     api.TaskID
	Revoke   bool
	Response *api.DispatchResponse
}

// BecameOwner reports that this replica leads the group with a valid lease, has applied all
// entries of earlier terms, and may act with this epoch.
type BecameOwner struct {
	Epoch uint64
	// NowUnixMillis is the wall-clock time in Unix milliseconds, from which the remaining
	// time to the deadlines of queued requests is computed. If it is 0, their deadlines count
	// from now.
	NowUnixMillis int64
}

// LostOwnership reports that the replica no longer leads. All waiters are answered with
// CodeUnknownResult and the soft state is dropped. Until BecameOwner, the only actions are
// replies that refuse calls.
type LostOwnership struct{}

// ProposeFailed reports that the batch of a Propose action was not added to the log.
type ProposeFailed struct{ Sequence uint64 }

// TablesChanged replaces the tables that the partition uses.
type TablesChanged struct{ Tables api.Tables }

// PlacementAllowed allows the owner to place requests, or forbids it. The application sends it
// when it no longer knows, or knows again, which configuration is in force. It applies until
// the next PlacementAllowed, even across changes of ownership. Placements are allowed initially.
type PlacementAllowed struct{ Allowed bool }

// Tick reports the passage of time. The application sends one at least every 50 ms.
type Tick struct{}

func (Submit) isEvent()           {}
func (Query) isEvent()            {}
func (Cancel) isEvent()           {}
func (ForgetWaiter) isEvent()     {}
func (WorkerAnnounced) isEvent()  {}
func (SyncAnswered) isEvent()     {}
func (SyncFailed) isEvent()       {}
func (DispatchAnswered) isEvent() {}
func (CommandAnswered) isEvent()  {}
func (BecameOwner) isEvent()      {}
func (LostOwnership) isEvent()    {}
func (ProposeFailed) isEvent()    {}
func (TablesChanged) isEvent()    {}
func (PlacementAllowed) isEvent() {}
func (Tick) isEvent()             {}

// Action is an output of Step and Apply that the application has to carry out. The concrete types
// are below.
type Action interface{ isAction() }

// Propose adds Data, an encoded batch of commands, to the group's log. Data may be added only
// in the term that equals Epoch. Otherwise the application sends ProposeFailed or drops it.
type Propose struct {
	Epoch    uint64
	Sequence uint64
	Data     []byte
}

// SendSync calls POST /v1/sync on the worker and returns SyncAnswered or SyncFailed.
type SendSync struct {
	Worker   string
	URL      string
	Sequence uint64 // to be repeated in SyncAnswered or SyncFailed
	Request  api.SyncRequest
}

// SendDispatch calls POST /v1/tasks on the worker and returns DispatchAnswered.
type SendDispatch struct {
	Worker   string
	URL      string
	Dispatch api.DispatchRequest
}

// SendRevoke calls POST /v1/revoke and returns CommandAnswered with Revoke set.
type SendRevoke struct {
	Worker  string
	URL     string
	Command api.TaskCommand
}

// SendStop calls POST /v1/stop and returns CommandAnswered.
type SendStop struct {
	Worker  string
	URL     string
	Command api.TaskCommand
}

// Reply answers a waiter. Exactly one of Status and Err is set. Status.Answer belongs to
// the record and must not be changed.
type Reply struct {
	Waiter WaiterID
	Status *api.RequestStatus
	Err    *api.Error
}

// OwnershipDisputed reports that a worker has seen a higher epoch than this owner's. The
// partition has already ended its ownership as on LostOwnership. The application should step down
// and must not carry out actions of the previous epoch.
type OwnershipDisputed struct {
	Worker string
	Epoch  uint64 // the higher epoch
}

// WorkerAvailability reports for the log that a worker may get new work again, or may not any more.
type WorkerAvailability struct {
	Worker    string
	Reason    string        // why it may not, empty if it may
	ReportAge time.Duration // time since its newest report; 0 if it has not reported since it was lost
}

func (WorkerAvailability) isAction() {}

func (Propose) isAction()      {}
func (SendSync) isAction()     {}
func (SendDispatch) isAction() {}
func (SendRevoke) isAction()   {}
func (SendStop) isAction()     {}
func (Reply) isAction()        {}

func (OwnershipDisputed) isAction() {}
