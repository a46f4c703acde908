// Package raft is a replicated log without input or output. The embedding program
// feeds it messages and the time and carries out what Ready returns, in this order:
// persist HardState, Entries and Snapshot and sync them; send Messages; apply
// Committed; call Advance. Sending before the sync breaks the promise that an
// acknowledged entry survives a crash.
//
// All times are time.Duration since the process's monotonic origin. The package has
// no clock, goroutine or random source of its own.
package raft

import "time"

// NodeID is a VM name with its incarnation, such as "vm1#5f2a9c". An empty data
// folder yields a new incarnation and so a node that is no voter.
type NodeID string

// Config configures a Node.
type Config struct {
	ID    NodeID
	Group string
	// Voters and Learners are the initial membership, used only when Recovered is empty.
	Voters   []NodeID
	Learners []NodeID
	// HeartbeatInterval, ElectionTimeout and LeaseDuration default to 50 ms, 500 ms
	// and 400 ms. An election timeout is drawn from [ElectionTimeout, 2*ElectionTimeout).
	HeartbeatInterval time.Duration
	ElectionTimeout   time.Duration
	LeaseDuration     time.Duration
	// ElectionDelay is added to each drawn election timeout; replicas outside the
	// home region use it to leave the leadership to the others.
	ElectionDelay time.Duration
	// Observer is true for a node that never stands for election (a VM without disk).
	Observer bool
	// MaxAppendBytes bounds the entries of one append message; default 1 MiB.
	MaxAppendBytes int
	// MaxInflightBytes bounds the entry bytes sent to one follower and not yet
	// acknowledged; default 4 MiB. One append may exceed it by MaxAppendBytes.
	MaxInflightBytes int
	// KeepBytes bounds the entries that stay in memory before a compaction point, for
	// followers that are a little behind; default 1 MiB.
	TrailingLogBytes int
	Seed             uint64
}

// HardState is the state that is synced before any message that depends on it.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   NodeID `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
	// Starts counts the starts of this identity; it is incremented and synced before
	// the node takes part.
	StartCount uint64 `cbor:"4,keyasint"`
	// Forgot is set for good when a peer has shown that this disk lost state.
	StateLost bool `cbor:"5,keyasint"`
}

// EntryKind tells what an entry carries.
type EntryKind uint8

// The kinds of entry.
const (
	EntryNormal     EntryKind = iota // Data is the embedder's; empty at the start of a term
	EntryMembership                  // Data is an encoded Membership
)

// Entry is one entry of the log.
type Entry struct {
	Term  uint64    `cbor:"1,keyasint"`
	Index uint64    `cbor:"2,keyasint"`
	Kind  EntryKind `cbor:"3,keyasint"`
	Data  []byte    `cbor:"4,keyasint"`
}

// Membership is the set of members of a group.
type Membership struct {
	Voters   []NodeID `cbor:"1,keyasint"`
	Learners []NodeID `cbor:"2,keyasint"`
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index      uint64     `cbor:"1,keyasint"`
	Term       uint64     `cbor:"2,keyasint"`
	Membership Membership `cbor:"3,keyasint"`
	Data       []byte     `cbor:"4,keyasint"`
}

// Recovered is what the data folder held at start. The zero value is a first start.
// Entries up to Snapshot.Index are ignored; New panics on a gap.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry // those after Snapshot.Index
}

// MessageKind tells what a message is for.
type MessageKind uint8

// The kinds of message.
const (
	MsgPreVote MessageKind = iota + 1
	MsgPreVoteResponse
	MsgVote
	MsgVoteResponse
	MsgAppend // also the heartbeat, with no entries
	MsgAppendResponse
	MsgSnapshot
	MsgRecovery // a restarted voter asks its peers what they know of it
	MsgRecoveryResponse
	MsgTimeoutNow // a leader that gave up its lease asks the addressee to stand at once
)

// MemberFact is what a node knows of another from the messages it received. The
// sender had synced all of it before it sent them, so a disk that holds less was
// rolled back.
type ObservedState struct {
	ID         NodeID `cbor:"1,keyasint"`
	StartCount uint64 `cbor:"2,keyasint,omitempty"`
	Term       uint64 `cbor:"3,keyasint,omitempty"`
	// Index is the highest index that the member acknowledged, or sent as a leader, in
	// Term; Vote is its vote in Term, if known.
	Index uint64 `cbor:"4,keyasint,omitempty"`
	Vote  NodeID `cbor:"5,keyasint,omitempty"`
}

// Message is what nodes of one group send each other.
type Message struct {
	Kind  MessageKind `cbor:"1,keyasint"`
	Group string      `cbor:"2,keyasint"`
	From  NodeID      `cbor:"3,keyasint"`
	To    NodeID      `cbor:"4,keyasint"`
	Term  uint64      `cbor:"5,keyasint"`
	// Index and LogTerm are the previous entry of an append, the last entry of a
	// candidate, or the acknowledged index of a response.
	Index    uint64    `cbor:"6,keyasint"`
	LogTerm  uint64    `cbor:"7,keyasint"`
	Entries  []Entry   `cbor:"8,keyasint,omitempty"`
	Commit   uint64    `cbor:"9,keyasint"`
	Reject   bool      `cbor:"10,keyasint,omitempty"`
	Hint     uint64    `cbor:"11,keyasint,omitempty"`
	Snapshot *Snapshot `cbor:"12,keyasint,omitempty"`
	// SentAt is the sender's local time; Echo returns the newest SentAt that the
	// sender received from the addressee. A follower's configuration lease and the
	// leader's lease are both counted from an echoed time of their own clock.
	SentAt time.Duration `cbor:"13,keyasint,omitempty"`
	Echo   time.Duration `cbor:"14,keyasint,omitempty"`
	// LeaseHeld is true in an append from a leader whose lease was valid when it was
	// sent; only then does Echo confirm Commit.
	LeaseHeld  bool   `cbor:"15,keyasint,omitempty"`
	StartCount uint64 `cbor:"16,keyasint,omitempty"`
	// EchoStarts is the Starts of the addressee that goes with Echo in an append: times
	// of different starts have different origins.
	EchoStartCount uint64 `cbor:"17,keyasint,omitempty"`
	// Transfer is true in the vote request of a candidate whose leader gave up its lease.
	Transfer bool `cbor:"18,keyasint,omitempty"`
	// Observer is true in the response of a node that must not be promoted.
	Observer bool `cbor:"19,keyasint,omitempty"`
	// Facts are what the sender knows of the addressee (MsgHelloResponse) or of the
	// other voters (MsgAppend).
	ObservedStates []ObservedState `cbor:"20,keyasint,omitempty"`
	// Membership is the sender's newest in a MsgHelloResponse. The one on the disk of a
	// restarted voter may be out of date.
	Membership *Membership `cbor:"21,keyasint,omitempty"`
}

// Ready is a batch of work for the embedder, in the order of its fields. Its slices
// are shared with the node and must not be modified.
type Ready struct {
	// HardState, Entries and Snapshot are to be persisted and synced; HardState is
	// valid when HardStateChanged. Snapshot, if not nil, replaces log and state machine.
	// Entries replace all persisted entries from Entries[0].Index on.
	HardState        HardState
	HardStateChanged bool
	Entries          []Entry
	Snapshot         *Snapshot
	Messages         []Message
	Committed        []Entry
}

// Role of a node.
type Role uint8

// The roles.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
	RoleLearner
	RoleRecovering    // a restarted voter that waits for its peers' hello responses
	RoleStateLost     // a voter whose disk lost state; it never votes again
	RoleStorageFailed // the embedder cannot persist; the node takes no further part
)

// String returns the role in lower case, as operators see it.
func (r Role) String() string {
	names := [...]string{"voter", "voter", "voter", "leader", "follower", "recovering", "forgot", "storage-failed"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Status is a view of a node for routing, status pages and tests.
type Status struct {
	ID      NodeID
	Group   string
	Role    Role
	Term    uint64
	Leader  NodeID
	Commit  uint64
	Applied uint64
	// AppliedTerm is the term of the entry at Applied. A leader has committed and
	// applied an entry of its own term when AppliedTerm equals Term.
	AppliedTerm uint64
	LastIndex   uint64
	Membership  Membership
	// Match is the acknowledged index of each member, on the leader only.
	Match map[NodeID]uint64
}
