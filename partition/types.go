// Package partition is the request life cycle of one partition: its records, claims,
// task leases and outcomes. It has no clock, goroutine or input and output. The
// embedder feeds it events with the time (time.Duration since the process's monotonic
// origin) and carries out the actions it returns. Records change only in Apply, which
// every replica calls with the same committed batches; everything else is soft state
// of the owner (the group's leader while its lease is valid).
package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Config configures a Partition. Zero values take the defaults of docs/design.md.
type Config struct {
	Name string
	// TaskLease is L (2 s); ClockRateBound is ρ (0.01).
	TaskLease      time.Duration
	ClockRateBound float64
	// OutcomeRetention is how long a finished outcome stays available (10 min).
	OutcomeRetention time.Duration
	MaxAttempts      int // 3
	Seed             uint64
}

// WaiterID names a caller's call that waits for a Reply. The embedder chooses it.
type WaiterID uint64

// Event is something that happened. The concrete types are below.
type Event interface{ isEvent() }

// Submit asks to accept a request or to join the one with the same key. The first
// Reply comes when the request has an outcome, or at the latest at WaitUntil with its
// current state.
type Submit struct {
	Waiter    WaiterID
	WaitUntil time.Duration
	Request   api.SubmitRequest
	Route     api.Route // as resolved by the entry VM
	Region    string    // of the entry VM that received it
	// NowUnixMillis is wall-clock time for records, in milliseconds.
	NowUnixMillis int64
}

// Query asks for the state of a key. The Reply comes as for Submit.
type Query struct {
	Waiter    WaiterID
	WaitUntil time.Duration
	Key       api.RequestKey
}

// Cancel asks to end a request. The Reply carries the state after the cancel is
// durable: not_run with proof, the outcome, or the running state if it must first stop.
type Cancel struct {
	Waiter    WaiterID
	WaitUntil time.Duration
	Key       api.RequestKey
}

// Forget drops a waiter whose caller has gone.
type ForgetWaiter struct{ Waiter WaiterID }

// Announced is a worker's announcement, forwarded by an entry VM.
type WorkerAnnounced struct{ Announcement api.Announcement }

// Synced is the answer to a SendSync action. Sequence is the one of that action; an
// answer to any but the outstanding sync is ignored, since it shows an older state of
// the worker.
type SyncAnswered struct {
	Worker   string
	Sequence uint64
	Response api.SyncResponse
}

// SyncFailed ends a SendSync action without an answer. Sequence is the one of that action.
type SyncFailed struct {
	Worker   string
	Sequence uint64
}

// DispatchAnswered is the answer to a SendDispatch action. Response is nil when the
// call failed and the worker may or may not have received it.
type DispatchAnswered struct {
	Worker   string
	Task     api.TaskID
	Response *api.DispatchResponse
}

// CommandAnswered is the answer to a SendRevoke or SendStop action, as DispatchAnswered.
type CommandAnswered struct {
	Worker   string
	Task     api.TaskID
	Revoke   bool
	Response *api.DispatchResponse
}

// BecameOwner tells that this replica leads the group with a valid lease, has applied
// everything of earlier terms, and may act with this epoch.
type BecameOwner struct {
	Epoch uint64
	// NowUnixMillis is wall-clock time in milliseconds, from which the remaining
	// deadlines of queued requests are computed; with 0 they start anew.
	NowUnixMillis int64
}

// LostOwnership tells that the replica no longer leads. All waiters are answered with
// CodeUnknownResult, soft state is dropped, and no action is returned until
// BecameOwner.
type LostOwnership struct{}

// ProposeFailed tells that a Propose action was not taken into the log.
type ProposeFailed struct{ Sequence uint64 }

// TablesChanged replaces the tables this partition works with.
type TablesChanged struct{ Tables api.Tables }

// PlacingAllowed lets the owner start work, or stops it from starting any. The embedder
// sends it when it loses or regains the knowledge of the configuration in force. It holds
// until the next one, also over changes of ownership; placing is allowed at first.
type PlacementAllowed struct{ Allowed bool }

// Tick tells the time; the embedder sends one at least every 50 ms.
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

// Action is something the embedder has to do. The concrete types are below.
type Action interface{ isAction() }

// Propose adds Data (an encoded command batch) to the group's log. It may enter the log
// only in the term that equals Epoch; the embedder answers ProposeFailed or drops it
// otherwise.
type Propose struct {
	Epoch    uint64
	Sequence uint64
	Data     []byte
}

// SendSync calls POST /v1/sync on the worker and returns Synced or SyncFailed.
type SendSync struct {
	Worker   string
	URL      string
	Sequence uint64 // to be repeated in Synced or SyncFailed
	Request  api.SyncRequest
}

// SendDispatch calls POST /v1/tasks on the worker and returns DispatchAnswered.
type SendDispatch struct {
	Worker   string
	URL      string
	Dispatch api.Dispatch
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

// OwnershipDisputed tells that a worker has seen a higher epoch than this owner's. The
// partition has already given up its ownership as on LostOwnership; the embedder should
// step down and must not carry out actions of the former epoch.
type OwnershipDisputed struct {
	Worker string
	Epoch  uint64 // the higher epoch
}

func (Propose) isAction()      {}
func (SendSync) isAction()     {}
func (SendDispatch) isAction() {}
func (SendRevoke) isAction()   {}
func (SendStop) isAction()     {}
func (Reply) isAction()        {}

func (OwnershipDisputed) isAction() {}
