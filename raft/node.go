package raft

import (
	"math/rand/v2"
	"time"
)

// Node is one member of a group. It is not safe for concurrent use: one goroutine of
// the embedder owns it. Every call that takes the time tolerates a pause before it: it
// first drops whatever the elapsed time has ended.
type Node struct {
	cfg Config
	rng *rand.Rand
	now time.Duration // the newest time seen
	hs  HardState
	// written is the hard state of the last advanced Ready, offered that of the Ready
	// that is outstanding or was returned last.
	written, offered HardState
	role             Role
	leader           NodeID
	log              raftLog
	memberships      memberships
	membership       Membership // the newest in the log
	messages         []Message
	outstanding      bool

	// Voting.
	votes    map[NodeID]bool
	deadline time.Duration // when to stand for election
	heard    bool          // whether heardAt is set
	heardAt  time.Duration // receipt of the last message from a leader
	// voteAfter ends the wait after a restart.
	voteAfter time.Duration

	// Following. leaderEcho is the newest SentAt of the leader of echoTerm.
	leaderEcho      time.Duration
	echoTerm        uint64
	confirmedAt     time.Duration
	confirmedCommit uint64

	// Leading.
	progress    map[NodeID]*progress
	others      []NodeID // the keys of progress, sorted
	termStart   uint64   // index of the empty entry of this term
	beatAt      time.Duration
	beatDue     bool
	commitMarks [2]uint64 // commit index at the last two heartbeats, older first
	transfer    NodeID
	leaseGiven  bool // given up for a transfer, for the rest of the term
	transferEnd time.Duration

	// Recovery.
	facts    map[NodeID]ObservedState
	started  map[NodeID]uint64 // Starts in the newest hello of a member
	answered map[NodeID]bool
	helloAt  time.Duration
	reported map[NodeID]Membership // by the disk, under the own name, and by the answers
}

// New returns a node. rec is the zero value on first start, else what the data folder
// holds; now is the local time. The first Ready carries the incremented Starts.
//
// The initial members must be given the same Voters and Learners: each writes them as
// entry 1 of term 0, which counts as committed. A node that joins later is listed in
// neither, starts with an empty log and learns the membership from the leader.
//
// LeaseDuration is reduced to 95% of ElectionTimeout if it is longer, since with clock
// rates that differ by 1% a longer lease could outlast the voters' promise.
func New(cfg Config, rec PersistentState, now time.Duration) *Node {
	cfg = cfg.withDefaults()
	n := &Node{cfg: cfg, now: now, hs: rec.HardState, written: rec.HardState, log: newRaftLog(rec),
		rng:   rand.New(rand.NewPCG(cfg.Seed, rec.HardState.StartCount)),
		facts: map[NodeID]ObservedState{}, started: map[NodeID]uint64{}}
	n.memberships = memberships{{rec.Snapshot.Index, rec.Snapshot.Membership}}
	n.memberships.add(n.log.entries)
	restarted := rec.HardState.StartCount > 0 || rec.HardState.Term > 0 || n.log.last() > 0
	n.bootstrap()
	n.membership = n.memberships.at(n.log.last())
	n.hs.Commit = n.log.commit
	n.hs.StartCount++
	n.role = n.passiveRole()
	n.resetDeadline()
	switch {
	case n.hs.StateLost:
		n.role = RoleStateLost
	case restarted:
		n.startRecovery()
	}
	return n
}

func (cfg Config) withDefaults() Config {
	orDefault(&cfg.HeartbeatInterval, 50*time.Millisecond)
	orDefault(&cfg.ElectionTimeout, 500*time.Millisecond)
	orDefault(&cfg.LeaseDuration, 400*time.Millisecond)
	orDefault(&cfg.MaxAppendBytes, 1<<20)
	orDefault(&cfg.MaxInflightBytes, 4<<20)
	orDefault(&cfg.TrailingLogBytes, 1<<20)
	cfg.LeaseDuration = min(cfg.LeaseDuration, cfg.ElectionTimeout*95/100)
	return cfg
}

func orDefault[T ~int | ~int64](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// bootstrap writes the initial membership into an empty log.
func (n *Node) bootstrap() {
	initial := Membership{Voters: n.cfg.Voters, Learners: n.cfg.Learners}.clone()
	if n.log.last() > 0 || !initial.IsMember(n.cfg.ID) {
		return
	}
	e := Entry{Index: 1, Kind: EntryMembership, Data: initial.encode()}
	n.log.append(e)
	n.memberships.add([]Entry{e})
	n.log.commitTo(1)
}

// observe takes the time of a call. Time that goes backwards is ignored. After a gap
// of an election timeout or more the node was paused: a follower then gives the leader
// another timeout, and a leader that has lost its quorum meanwhile steps down.
func (n *Node) observe(now time.Duration) {
	if now <= n.now {
		return
	}
	gap := now - n.now
	n.now = now
	if gap >= n.cfg.ElectionTimeout {
		n.resetDeadline()
	}
	if n.role != RoleLeader {
		return
	}
	if now-n.quorumTime((*progress).contact) >= n.cfg.ElectionTimeout || n.transferExpired() {
		n.becomeFollower(n.hs.Term, "")
	}
}

// Tick lets time pass. The embedder calls it at least once per HeartbeatInterval.
func (n *Node) Tick(now time.Duration) {
	n.observe(now)
	switch n.role {
	case RoleLeader:
		n.tickLeader()
	case RoleRecovering:
		n.tickRecovery()
	case RoleFollower, RolePreCandidate, RoleCandidate:
		n.repeatHello()
		if n.now >= n.deadline {
			n.startPreVote()
		}
	case RoleLearner:
		n.repeatHello()
	}
}

// Step takes a message from another node of the group. Messages for other groups or
// nodes are ignored.
func (n *Node) Step(now time.Duration, m Message) {
	n.observe(now)
	if m.Group != n.cfg.Group || m.To != n.cfg.ID || m.From == n.cfg.ID {
		return
	}
	switch {
	case n.role == RoleStateLost || n.role == RoleStorageFailed:
		return
	case m.Kind == MsgRecovery:
		n.answerHello(m)
		return
	case m.Kind == MsgRecoveryResponse:
		n.onHelloResponse(m)
		return
	case n.role == RoleRecovering:
		n.askStranger(m)
		return
	case m.StartCount < n.started[m.From]:
		// A late message from before a restart speaks for a disk that may have been
		// rolled back since.
		return
	}
	n.learnFacts(m)
	n.dispatch(m)
}

func (n *Node) dispatch(m Message) {
	switch m.Kind {
	case MsgPreVote:
		n.onPreVote(m)
	case MsgPreVoteResponse:
		n.onPreVoteResponse(m)
	case MsgVote:
		n.onVote(m)
	case MsgVoteResponse:
		n.onVoteResponse(m)
	case MsgAppend:
		n.onAppend(m)
	case MsgSnapshot:
		n.onSnapshot(m)
	case MsgAppendResponse:
		n.onAppendResponse(m)
	case MsgTimeoutNow:
		n.onTimeoutNow(m)
	}
}

// send queues a message for the next Ready.
func (n *Node) send(m Message) {
	m.Group, m.From, m.StartCount = n.cfg.Group, n.cfg.ID, n.hs.StartCount
	if m.Term == 0 {
		m.Term = n.hs.Term
	}
	n.messages = append(n.messages, m)
}

// Propose appends data to the leader's log and returns the place of the entry. The
// entry is committed if and when Ready returns an entry with this index and term;
// with another term at this index it is lost. data must not be modified afterwards.
// Errors: NotLeaderError, ErrTransferring, ErrEmptyProposal.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.observe(now)
	if err := n.mayPropose(); err != nil {
		return 0, 0, err
	}
	if len(data) == 0 {
		return 0, 0, ErrEmptyProposal
	}
	return n.appendOwn(EntryNormal, data), n.hs.Term, nil
}

func (n *Node) mayPropose() error {
	if n.role != RoleLeader {
		return &NotLeaderError{n.leader}
	}
	if n.transfer != "" {
		return ErrTransferring
	}
	return nil
}

// appendOwn appends an entry of this leader's term.
func (n *Node) appendOwn(kind EntryKind, data []byte) uint64 {
	e := Entry{Term: n.hs.Term, Index: n.log.last() + 1, Kind: kind, Data: data}
	n.log.append(e)
	if kind == EntryMembership {
		n.memberships.add([]Entry{e})
		n.membershipChanged()
	}
	return e.Index
}

// StepDown ends a leadership at once, without naming a successor.
func (n *Node) StepDown() {
	if n.role == RoleLeader {
		n.becomeFollower(n.hs.Term, "")
	}
}

// SetStorageFailed takes the node out of the group for the life of the process: it
// steps down, drops its unsent messages and from then on neither votes, acknowledges
// nor returns a Ready. The embedder calls it when a write or sync failed.
func (n *Node) SetStorageFailed() {
	n.StepDown()
	n.role, n.leader, n.messages = RoleStorageFailed, "", nil
}

// AppliedTerm is the term of the last entry whose Ready was advanced. A leader knows
// everything that was committed before its term when this equals its term.
func (n *Node) AppliedTerm() uint64 { return n.log.appliedTerm }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hs.Term }

// Role returns the present role.
func (n *Node) Role() Role { return n.role }

// Leader returns the leader as far as it is known, else "".
func (n *Node) Leader() NodeID { return n.leader }

// ID returns the identity of this node.
func (n *Node) ID() NodeID { return n.cfg.ID }

// Status returns a view of the node.
func (n *Node) Status() Status {
	s := Status{ID: n.cfg.ID, Group: n.cfg.Group, Role: n.role, Term: n.hs.Term,
		Leader: n.leader, Commit: n.log.commit, Applied: n.log.applied,
		AppliedTerm: n.log.appliedTerm, LastIndex: n.log.last(),
		Membership: n.membership.clone()}
	if n.role == RoleLeader {
		s.Match = map[NodeID]uint64{n.cfg.ID: n.log.stable}
		for id, p := range n.progress {
			s.Match[id] = p.match
		}
	}
	return s
}
