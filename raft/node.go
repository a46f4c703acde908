package raft

import (
	"math/rand/v2"
	"time"
)

// Node is one member of a group. It is not safe for concurrent use: one goroutine of
// the application owns it. The process may be paused before any call. Methods that take
// the current time therefore first end a leadership or transfer that has expired.
type Node struct {
	cfg       Config
	rng       *rand.Rand
	now       time.Duration // the newest time that was passed to the node
	hardState HardState
	// persistedHardState is the hard state in the last Ready that was advanced and had
	// one. readyHardState is the hard state in the last Ready that was returned.
	persistedHardState, readyHardState HardState
	role                               Role
	leader                             NodeID
	log                                raftLog
	memberships                        memberships
	membership                         Membership // the newest membership in the log
	messages                           []Message
	hasOutstandingReady                bool

	// Elections.
	votes             map[NodeID]bool // the answers so far, true if granted
	electionDeadline  time.Duration   // when to start an election
	hasHeardLeader    bool            // whether lastLeaderContact is set
	lastLeaderContact time.Duration   // receipt of the last message from a leader
	// voteNotBefore is the end of the wait after a restart, before which the node neither
	// votes nor campaigns.
	voteNotBefore time.Duration

	// Follower state. leaderSentAt is the newest SentAt of the leader of term
	// leaderSentAtTerm. confirmedAt and confirmedCommit are the results of ConfirmedAt.
	leaderSentAt     time.Duration
	leaderSentAtTerm uint64
	confirmedAt      time.Duration
	confirmedCommit  uint64
	// respondedDuringSave is the newest SentAt of the leader that MessagesDuringSave has
	// responded to.
	respondedDuringSave time.Duration

	// Leader state.
	progress         map[NodeID]*progress
	progressIDs      []NodeID // the keys of progress, sorted
	termStartIndex   uint64   // index of the empty entry of this term
	nextHeartbeatAt  time.Duration
	heartbeatDue     bool
	heartbeatCommits [2]uint64 // commit index at the last two heartbeats, older first
	transferTarget   NodeID
	leaseReleased    bool // true for the rest of the term after a transfer was started
	transferDeadline time.Duration

	// Detection of lost state; see recovery.go.
	observedStates    map[NodeID]ObservedState
	startCounts       map[NodeID]uint64 // StartCount in the newest MsgRecovery of each member
	recoveryResponses map[NodeID]bool   // the peers that have responded; nil if the node did not need recovery
	peersWithoutLease map[NodeID]bool   // the peers that have responded that they hold no lease
	recoveryRetryAt   time.Duration
	// reportedMemberships holds the memberships in the peers' responses, and under the
	// node's own ID the membership on its disk.
	reportedMemberships map[NodeID]Membership
}

// New returns a node. persisted is the content of the data folder, or the zero value on the
// first start; now is the local time. The first Ready has the incremented StartCount.
//
// All initial members must be given the same Voters and Learners: each of them writes
// this membership as entry 1 of term 0, which counts as committed. A node that joins
// later is in neither list, starts with an empty log and receives the membership from
// the leader.
//
// LeaseDuration is limited to 95% of ElectionTimeout. If clock rates differ by 1%, a
// longer lease could outlast the time in which the voters refuse other candidates.
func New(cfg Config, persisted PersistentState, now time.Duration) *Node {
	cfg = cfg.withDefaults()
	n := &Node{cfg: cfg, now: now, hardState: persisted.HardState, persistedHardState: persisted.HardState, log: newRaftLog(persisted),
		rng:            rand.New(rand.NewPCG(cfg.Seed, persisted.HardState.StartCount)),
		observedStates: map[NodeID]ObservedState{}, startCounts: map[NodeID]uint64{}}
	n.memberships = memberships{{persisted.Snapshot.Index, persisted.Snapshot.Membership}}
	n.memberships.add(n.log.entries)
	restarted := persisted.HardState.StartCount > 0 || persisted.HardState.Term > 0 || n.log.lastIndex() > 0
	n.bootstrap()
	n.membership = n.memberships.atIndex(n.log.lastIndex())
	n.hardState.Commit = n.log.commit
	n.hardState.StartCount++
	n.role = n.passiveRole()
	n.resetElectionDeadline()
	switch {
	case n.hardState.StateLost:
		n.role = RoleStateLost
	case restarted:
		n.startRecovery()
	}
	return n
}

func (cfg Config) withDefaults() Config {
	setDefault(&cfg.HeartbeatInterval, 50*time.Millisecond)
	setDefault(&cfg.ElectionTimeout, 500*time.Millisecond)
	setDefault(&cfg.LeaseDuration, 400*time.Millisecond)
	setDefault(&cfg.MaxAppendBytes, 1<<20)
	setDefault(&cfg.MaxInflightBytes, 4<<20)
	setDefault(&cfg.TrailingLogBytes, 1<<20)
	cfg.LeaseDuration = min(cfg.LeaseDuration, cfg.ElectionTimeout*95/100)
	return cfg
}

func setDefault[T ~int | ~int64](v *T, d T) {
	if *v <= 0 {
		*v = d
	}
}

// bootstrap appends the initial membership to an empty log and commits it, if this node
// is one of the initial members.
func (n *Node) bootstrap() {
	initial := Membership{Voters: n.cfg.Voters, Learners: n.cfg.Learners}.clone()
	if n.log.lastIndex() > 0 || !initial.IsMember(n.cfg.ID) {
		return
	}
	e := Entry{Index: 1, Kind: EntryMembership, Data: initial.encode()}
	n.log.append(e)
	n.memberships.add([]Entry{e})
	n.log.commitTo(1)
}

// advanceTime sets the current time and ends a leadership that has expired. A time in
// the past is ignored. A gap of an election timeout or more means that the process was
// paused: the election timeout then restarts, so that a follower gives the leader time to
// make contact. A leader steps down if it has not heard from a quorum for an election
// timeout or if its transfer has timed out.
func (n *Node) advanceTime(now time.Duration) {
	if now <= n.now {
		return
	}
	gap := now - n.now
	n.now = now
	if gap >= n.cfg.ElectionTimeout {
		n.resetElectionDeadline()
	}
	if n.role != RoleLeader {
		return
	}
	if now-n.quorumTime((*progress).lastContact) >= n.cfg.ElectionTimeout || n.isTransferExpired() {
		n.becomeFollower(n.hardState.Term, "")
	}
}

// Tick performs the work that is due at the time now, such as heartbeats and elections.
// The application calls it at least once per HeartbeatInterval.
func (n *Node) Tick(now time.Duration) {
	n.advanceTime(now)
	switch n.role {
	case RoleLeader:
		n.tickLeader()
	case RoleRecovering:
		n.tickRecovery()
	case RoleFollower, RolePreCandidate, RoleCandidate:
		n.retryRecoveryRequests()
		if n.now >= n.electionDeadline {
			n.startPreVote()
		}
	case RoleLearner:
		n.retryRecoveryRequests()
	}
}

// Step processes a message from another node of the group. Messages for other groups or
// nodes are ignored.
func (n *Node) Step(now time.Duration, m Message) {
	n.advanceTime(now)
	if m.Group != n.cfg.Group || m.To != n.cfg.ID || m.From == n.cfg.ID {
		return
	}
	switch {
	case n.role == RoleStateLost || n.role == RoleStorageFailed:
		return
	case m.Kind == MsgRecovery:
		n.onRecovery(m)
		return
	case m.Kind == MsgRecoveryResponse:
		n.onRecoveryResponse(m)
		return
	case n.role == RoleRecovering:
		n.queryUnknownSender(m)
		return
	case m.StartCount < n.startCounts[m.From]:
		// The message was sent before the sender's last restart. Its disk may have been
		// rolled back since, so the message may acknowledge entries that are gone.
		return
	}
	n.recordSenderState(m)
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
	m.Group, m.From, m.StartCount = n.cfg.Group, n.cfg.ID, n.hardState.StartCount
	if m.Term == 0 {
		m.Term = n.hardState.Term
	}
	n.messages = append(n.messages, m)
}

// collectMessages returns the messages that fn sends. They are not queued for the next Ready.
func (n *Node) collectMessages(fn func()) []Message {
	queued := n.messages
	n.messages = nil
	fn()
	collected := n.messages
	n.messages = queued
	return collected
}

// Propose appends data to the leader's log and returns the index and term of the entry.
// The entry is committed once Ready returns a committed entry with this index and term;
// it is lost if Ready returns an entry with this index and another term. data must not
// be modified afterwards.
// Errors: NotLeaderError, ErrTransferring, ErrEmptyProposal.
func (n *Node) Propose(now time.Duration, data []byte) (index, term uint64, err error) {
	n.advanceTime(now)
	if err := n.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if len(data) == 0 {
		return 0, 0, ErrEmptyProposal
	}
	return n.appendLeaderEntry(EntryNormal, data), n.hardState.Term, nil
}

// checkCanPropose returns an error if the node cannot accept proposals.
func (n *Node) checkCanPropose() error {
	if n.role != RoleLeader {
		return &NotLeaderError{n.leader}
	}
	if n.transferTarget != "" {
		return ErrTransferring
	}
	return nil
}

// appendLeaderEntry appends an entry of the current term to the leader's log and returns
// its index.
func (n *Node) appendLeaderEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{Term: n.hardState.Term, Index: n.log.lastIndex() + 1, Kind: kind, Data: data}
	n.log.append(e)
	if kind == EntryMembership {
		n.memberships.add([]Entry{e})
		n.activateMembership()
	}
	return e.Index
}

// StepDown makes a leader a follower immediately, without a transfer to another voter. On
// any other node it does nothing.
func (n *Node) StepDown() {
	if n.role == RoleLeader {
		n.becomeFollower(n.hardState.Term, "")
	}
}

// HandOver makes a leader a follower immediately and returns the message that asks the voter
// with the most entries, among those in contact, to start an election. Unlike
// TransferLeadership it does not wait until that voter holds the whole log, so entries that
// are not committed may be lost. It is for a leader that cannot write its own log. On any
// other node it does nothing.
func (n *Node) HandOver(now time.Duration) []Message {
	n.advanceTime(now)
	if n.role != RoleLeader {
		return nil
	}
	var target NodeID
	for _, id := range n.membership.Voters {
		p := n.progress[id]
		if p == nil || n.now-p.lastContact() >= n.cfg.ElectionTimeout {
			continue
		}
		if target == "" || p.match > n.progress[target].match {
			target = id
		}
	}
	isPersisted := n.hardState.Term == n.persistedHardState.Term
	n.becomeFollower(n.hardState.Term, "")
	if target == "" || !isPersisted {
		return nil
	}
	return n.collectMessages(func() { n.send(Message{Kind: MsgTimeoutNow, To: target}) })
}

// SetStorageFailed stops the node until the process restarts. The node steps down, drops
// its unsent messages, and from then on ignores messages and returns no Ready. The
// application calls it when a write or sync has failed.
func (n *Node) SetStorageFailed() {
	n.StepDown()
	n.role, n.leader, n.messages = RoleStorageFailed, "", nil
}

// AppliedTerm returns the term of the last applied entry. If it equals Term on a leader,
// the leader has applied everything that was committed in earlier terms.
func (n *Node) AppliedTerm() uint64 { return n.log.appliedTerm }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Role returns the current role.
func (n *Node) Role() Role { return n.role }

// Leader returns the current leader, or "" if it is unknown.
func (n *Node) Leader() NodeID { return n.leader }

// ID returns the ID of this node.
func (n *Node) ID() NodeID { return n.cfg.ID }

// Status returns a copy of the node's state.
func (n *Node) Status() Status {
	s := Status{ID: n.cfg.ID, Group: n.cfg.Group, Role: n.role, Term: n.hardState.Term,
		Leader: n.leader, Commit: n.log.commit, Applied: n.log.applied,
		AppliedTerm: n.log.appliedTerm, LastIndex: n.log.lastIndex(),
		Membership: n.membership.clone()}
	if n.role == RoleLeader {
		s.Match = map[NodeID]uint64{n.cfg.ID: n.log.stable}
		for id, p := range n.progress {
			s.Match[id] = p.match
		}
	}
	return s
}
