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
	Seed           uint64
}

// HardState is the state that is synced before any message that depends on it.
type HardState struct {
	Term   uint64 `cbor:"1,keyasint"`
	Vote   NodeID `cbor:"2,keyasint"`
	Commit uint64 `cbor:"3,keyasint"`
	// Starts counts the starts of this identity; it is incremented and synced before
	// the node takes part.
	Starts uint64 `cbor:"4,keyasint"`
	// Forgot is set for good when a peer has shown that this disk lost state.
	Forgot bool `cbor:"5,keyasint"`
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
type Recovered struct {
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
	MsgHello // a restarted voter asks its peers what they know of it
	MsgHelloResponse
)

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
	LeaseHeld bool   `cbor:"15,keyasint,omitempty"`
	Starts    uint64 `cbor:"16,keyasint,omitempty"`
}

// Ready is a batch of work for the embedder, in the order of its fields.
type Ready struct {
	// HardState, Entries and Snapshot are to be persisted and synced; HardState is
	// valid when HardStateChanged. Snapshot, if not nil, replaces log and state machine.
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
	RoleRecovering // a restarted voter that waits for its peers' hello responses
	RoleForgot     // a voter whose disk lost state; it never votes again
)

// String returns the role in lower case, as operators see it.
func (r Role) String() string {
	names := [...]string{"voter", "voter", "voter", "leader", "follower", "recovering", "forgot"}
	if int(r) < len(names) {
		return names[r]
	}
	return "invalid"
}

// Status is a view of a node for routing, status pages and tests.
type Status struct {
	ID         NodeID
	Group      string
	Role       Role
	Term       uint64
	Leader     NodeID
	Commit     uint64
	Applied    uint64
	LastIndex  uint64
	Membership Membership
	// Match is the acknowledged index of each member, on the leader only.
	Match map[NodeID]uint64
}
