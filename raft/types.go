// Package raft implements the Raft consensus algorithm as a deterministic state machine
// that does no I/O. The application passes in messages and the current time, and
// processes each Ready in this order: write HardState, Entries and Snapshot to stable
// storage and sync them; send Messages; apply Committed; call Advance. If Messages were
// sent before the sync, an acknowledged entry could be lost in a crash. While a sync takes
// long, the application sends what MessagesDuringSave returns.
//
// All times are time.Duration since the process's monotonic origin. The package has
// no clock, goroutine or random source of its own.
package raft

import "time"

// NodeID is a VM name with its incarnation, such as "vm1#5f2a9c". A VM that starts with
// an empty data folder gets a new incarnation, so its node is not a voter of any existing
// group.
type NodeID string

// Config configures a Node.
type Config struct {
	ID    NodeID
	Group string // name of the Raft group
	// Voters and Learners are the initial membership. They are used only on the first
	// start, when the PersistentState passed to New is empty.
	Voters   []NodeID
	Learners []NodeID
	// HeartbeatInterval, ElectionTimeout and LeaseDuration default to 50 ms, 500 ms
	// and 400 ms. An election timeout is drawn from [ElectionTimeout, 2*ElectionTimeout).
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	LeaseDuration     time.Duration
	// ElectionDelay is added to each drawn election timeout. Replicas outside the home
	// region set it, so that a replica in the home region usually becomes the leader.
	ElectionDelay time.Duration
	// Observer is true for a node on a VM without a disk. It neither campaigns nor votes.
	Observer bool
	// MaxAppendBytes limits the size of the entries in one append message; default 1 MiB.
	MaxAppendBytes int
	// MaxInflightBytes limits the size of the entries that were sent to one follower and
	// are not yet acknowledged; default 4 MiB. The last append may exceed the limit by
	// MaxAppendBytes.
	MaxInflightBytes int
	// TrailingLogBytes limits the size of the entries that stay in memory after a
	// compaction although the snapshot covers them; default 1 MiB. A follower that is
	// slightly behind then needs no snapshot.
	TrailingLogBytes int
	// Seed seeds the random number generator that draws the election timeouts.
	Seed uint64
}

// HardState is the state that must be synced before any message that depends on it is
// sent.
type HardState struct {
	Term uint64 `cbor:"1,keyasint"`
	// Vote is the candidate that this node voted for in Term; empty if none.
	Vote   NodeID `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
	// StartCount is the number of starts of this node ID. It is incremented at each start
	// and synced before the node sends any message.
	StartCount uint64 `cbor:"4,keyasint"`
	// StateLost is set when a peer has proved that this disk lost state that had been
	// synced. It is never cleared.
	StateLost bool `cbor:"5,keyasint"`
}

// EntryKind is the type of the data of an entry.
type EntryKind uint8

// The kinds of entry.
const (
	EntryNormal     EntryKind = iota // Data is the application's; empty in the first entry of a term
	EntryMembership                  // Data is an encoded Membership
)

// Entry is one entry of the log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
}

// Membership is the set of voters and learners of a group.
type Membership struct {
	Voters   []NodeID `cbor:"1,keyasint"`
	Learners []NodeID `cbor:"2,keyasint"`
}

// Snapshot is the state of the application after the entry at Index. It replaces the
// log up to and including that entry.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// PersistentState is the state that was read from the data folder at start. Its zero
// value means that this is the first start. New ignores entries up to Snapshot.Index and
// panics if the remaining entries have a gap.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // the entries after Snapshot.Index
}

// MessageKind is the type of a message.
type MessageKind uint8

// The kinds of message.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend // a heartbeat if it has no entries
	MsgAppendResponse
	MsgSnapshot
	MsgRecovery // a restarted node asks its peers which of its states they have observed
	MsgRecoveryResponse
	MsgTimeoutNow // a leader that released its lease asks the recipient to start an election immediately
)

// ObservedState is the newest state of a member that another node knows from messages.
// The member had synced this state before it sent those messages, so if its disk holds
// less, the disk was rolled back to an older copy.
type ObservedState struct {
	ID         NodeID `cbor:"1,keyasint"`
	StartCount uint64 `cbor:"2,keyasint,omitempty"`
	Term       uint64 `cbor:"3,keyasint,omitempty"`
	// Index is the highest index that the member acknowledged, or sent as the leader, in
	// Term. Vote is the vote of the member in Term; empty if unknown.
	Index uint64 `cbor:"4,keyasint,omitempty"`
	Vote  NodeID `cbor:"5,keyasint,omitempty"`
}

// Message is a message between two nodes of one group.
type Message struct {
	Kind  MessageKind `cbor:"1,keyasint"`
	Group string      `cbor:"2,keyasint"`
	From  NodeID      `cbor:"3,keyasint"`
	To    NodeID      `cbor:"4,keyasint"`
	Term  uint64      `cbor:"5,keyasint"`
	// Index and LogTerm are the index and term of the entry that precedes Entries in an
	// append, or of the candidate's last entry in a vote request. In a response to an
	// append, Index is the acknowledged index or, if Reject is true, the Index of the
	// rejected append. LogTerm is then the term of the entry at Hint.
	Index   uint64  `cbor:"6,keyasint"`
	LogTerm uint64  `cbor:"7,keyasint"`
	Entries []Entry `cbor:"8,keyasint,omitempty"`
	Commit  uint64  `cbor:"9,keyasint"`
	Reject  bool    `cbor:"10,keyasint,omitempty"`
	// Hint is, in the rejection of an append, the highest index at which the follower's
	// log may match the leader's. In a MsgRecoveryResponse it is the StartCount of the
	// MsgRecovery that it responds to, or 0 if the message must not count as a response.
	Hint     uint64    `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"12,keyasint,omitempty"`
	// SentAt is the sender's local time. Echo is the newest SentAt that the sender has
	// received from the recipient. The leader's lease and a follower's configuration
	// lease both start at an echoed time, which was read from the holder's own clock.
	SentAt time.Duration `cbor:"13,keyasint,omitempty"`
	Echo   time.Duration `cbor:"14,keyasint,omitempty"`
	// LeaseHeld is true in an append if the leader's lease was valid when it was sent.
	// Only then does Echo confirm Commit; see Node.ConfirmedAt.
	LeaseHeld bool `cbor:"15,keyasint,omitempty"`
	// StartCount is the sender's HardState.StartCount.
	StartCount uint64 `cbor:"16,keyasint,omitempty"`
	// EchoStartCount is the StartCount with which the recipient sent the time in Echo. It
	// is set in an append. Times of different starts have different origins.
	EchoStartCount uint64 `cbor:"17,keyasint,omitempty"`
	// Transfer is true in a vote request that follows a MsgTimeoutNow: the leader has
	// released its lease.
	Transfer bool `cbor:"18,keyasint,omitempty"`
	// Observer is true in an append response of a node that must not be promoted to voter.
	Observer bool `cbor:"19,keyasint,omitempty"`
	// ObservedStates are the states that the sender has observed: of the recipient in a
	// MsgRecoveryResponse, of the voters other than the recipient in a MsgAppend.
	ObservedStates []ObservedState `cbor:"20,keyasint,omitempty"`
	// Membership is the sender's newest membership, set in a MsgRecoveryResponse. The
	// membership on the disk of a restarted node may be out of date.
	Membership *Membership `cbor:"21,keyasint,omitempty"`
	// HoldsNoLease is true in a MsgRecoveryResponse if the sender is not the leader.
	HoldsNoLease bool `cbor:"22,keyasint,omitempty"`
}

// Ready is a batch of work for the application, to be processed in the order of its
// fields. Its slices are shared with the node and must not be modified.
type Ready struct {
	// HardState, Entries and Snapshot are to be persisted and synced. HardState is valid
	// only if HardStateChanged is true. Entries replace all persisted entries from
	// Entries[0].Index on. Snapshot, if not nil, replaces the log and the state of the
	// state machine.
	HardState        HardState
	HardStateChanged bool
	Entries          []Entry
	Snapshot         *Snapshot
	Messages         []Message // to be sent after the sync
	Committed        []Entry   // to be applied to the state machine
}

// Role is the role of a node in its group.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
	RoleLearner
	RoleRecovering    // a restarted node that waits for recovery responses of its peers
	RoleStateLost     // a node whose disk lost synced state; it never votes again
	RoleStorageFailed // the application cannot persist; the node no longer takes part in the group
)

// String returns the name that operators see for the role. Followers and candidates are
// shown as "voter", learners as "follower" and nodes that lost state as "forgot".
func (r Role) String() string {
	names := [...]string{"voter", "voter", "voter", "leader", "follower", "recovering", "forgot", "storage-failed"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Status is a copy of a node's state for routing, status pages and tests.
type Status struct {
	ID      NodeID
	Group   string
	Role    Role
	Term    uint64
	Leader  NodeID
	Commit  uint64
	Applied uint64
	// AppliedTerm is the term of the entry at Applied. If it equals Term on a leader, the
	// leader has committed and applied an entry of its own term.
	AppliedTerm uint64
	LastIndex   uint64
	Membership  Membership
	// Match is the highest index that each member is known to hold. It is set on the
	// leader only.
	Match map[NodeID]uint64
}
