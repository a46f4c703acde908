package raft

import (
	"errors"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const ms = time.Millisecond

// newNode returns the node of v1, one of the voters v1 to v3, at time 10 s. If persisted
// is not empty, the node is restarted from it.
func newNode(persisted PersistentState) *Node {
	n := New(Config{ID: "v1", Group: "g", Voters: []NodeID{"v1", "v2", "v3"}}, persisted, 10*time.Second)
	drainReady(n)
	return n
}

// drainReady advances n until it has no more work and returns the messages.
func drainReady(n *Node) (out []Message) {
	for rd, ok := n.Ready(); ok; rd, ok = n.Ready() {
		out = append(out, rd.Messages...)
		n.Advance(rd)
	}
	return out
}

// step passes m to n and returns the messages that n sends. By default m is from v2 in
// term 1.
func step(n *Node, now time.Duration, m Message) []Message {
	m.Group, m.To = "g", n.cfg.ID
	if m.From == "" {
		m.From = "v2"
	}
	if m.Term == 0 {
		m.Term = 1
	}
	n.Step(now, m)
	return drainReady(n)
}

// newLeader returns the node of v1 as the leader of term 1 at time 12 s, before its first
// Ready of the term.
func newLeader() *Node {
	n := newNode(PersistentState{})
	n.Tick(12 * time.Second)
	n.Tick(12*time.Second + 1) // the gap has moved the election deadline
	n.electionDeadline = n.now
	n.Tick(12*time.Second + 2)
	step(n, n.now, Message{Kind: MsgPreVoteResponse})
	n.Step(n.now, Message{Kind: MsgVoteResponse, Group: "g", From: "v2", To: "v1", Term: 1})
	return n
}

// restartedState returns the persistent state of v1 with term 1, a vote for v2 and three
// entries.
func restartedState() PersistentState {
	bootstrap := Entry{Index: 1, Kind: EntryMembership, Data: Membership{Voters: []NodeID{"v1", "v2", "v3"}}.encode()}
	return PersistentState{HardState: HardState{Term: 1, Vote: "v2", Commit: 1, StartCount: 4},
		Entries: []Entry{bootstrap, {Term: 1, Index: 2}, {Term: 1, Index: 3, Data: []byte("x")}}}
}

// If a voter that is bound by a leader's lease granted a vote to another candidate, two
// leaders could hold a lease at the same time.
func TestVoteRules(t *testing.T) {
	recoveryResponses := []Message{{Kind: MsgRecoveryResponse, Hint: 5, ObservedStates: []ObservedState{{ID: "v1"}}},
		{Kind: MsgRecoveryResponse, Hint: 5, ObservedStates: []ObservedState{{ID: "v1"}}, From: "v3"}}
	heartbeat := Message{Kind: MsgAppend, Term: 1}
	for _, tc := range []struct {
		name           string
		persisted      PersistentState
		before         []Message
		delay          time.Duration // since the last message before
		m              Message
		wantGrant      bool
		wantNoResponse bool
		wantTerm       uint64
	}{
		{name: "first start", m: Message{Kind: MsgVote, Index: 1}, wantGrant: true, wantTerm: 1},
		{name: "pre-vote does not change the term", m: Message{Kind: MsgPreVote, Index: 1}, wantGrant: true},
		{name: "short log", m: Message{Kind: MsgVote}, wantTerm: 1},
		{name: "leader heard", before: []Message{heartbeat}, delay: 499 * ms, m: Message{Kind: MsgVote, Term: 2, Index: 9, LogTerm: 1}, wantTerm: 1},
		{name: "leader heard, pre-vote", before: []Message{heartbeat}, delay: 499 * ms, m: Message{Kind: MsgPreVote, Term: 2, Index: 9, LogTerm: 1}, wantTerm: 1},
		{name: "leader silent", before: []Message{heartbeat}, delay: 500 * ms, m: Message{Kind: MsgVote, Term: 2, Index: 9, LogTerm: 1}, wantGrant: true, wantTerm: 2},
		{name: "lease released", before: []Message{heartbeat}, m: Message{Kind: MsgVote, Term: 2, Index: 9, LogTerm: 1, Transfer: true}, wantGrant: true, wantTerm: 2},
		{name: "second vote in a term", before: []Message{{Kind: MsgVote, Term: 2, Index: 1}}, delay: time.Second, m: Message{Kind: MsgVote, From: "v3", Term: 2, Index: 1}, wantTerm: 2},
		{name: "recovering", persisted: restartedState(), delay: time.Second, m: Message{Kind: MsgVote, Term: 2, Index: 9, LogTerm: 1}, wantNoResponse: true, wantTerm: 1},
		{name: "restarted, before the end of the wait", persisted: restartedState(), before: recoveryResponses, delay: 499 * ms, m: Message{Kind: MsgVote, Term: 2, Index: 9, LogTerm: 1}, wantTerm: 1},
		{name: "restarted, at the end of the wait", persisted: restartedState(), before: recoveryResponses, delay: 500 * ms, m: Message{Kind: MsgVote, Term: 2, Index: 9, LogTerm: 1}, wantGrant: true, wantTerm: 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := newNode(tc.persisted)
			for _, m := range tc.before {
				step(n, n.now, m)
			}
			out := step(n, n.now+tc.delay, tc.m)
			quicktest.Assert(t, n.hardState.Term, quicktest.Equals, tc.wantTerm)
			if tc.wantNoResponse {
				quicktest.Assert(t, out, quicktest.HasLen, 0)
				return
			}
			quicktest.Assert(t, out, quicktest.HasLen, 1)
			quicktest.Assert(t, out[0].Reject, quicktest.Equals, !tc.wantGrant)
		})
	}
}

// A node must detect that its disk lost state, and must not stop taking part if its disk
// lost nothing.
func TestStateLossDetection(t *testing.T) {
	for _, tc := range []struct {
		name      string
		observed  ObservedState
		hint      uint64
		stateLost bool
	}{
		{"nothing observed", ObservedState{}, 5, false},
		{"what the disk holds", ObservedState{StartCount: 4, Term: 1, Index: 3, Vote: "v2"}, 5, false},
		{"same start in the response to this request", ObservedState{StartCount: 5}, 5, true},
		{"same start in the response to an older request", ObservedState{StartCount: 5}, 4, false},
		{"later start", ObservedState{StartCount: 6}, 4, true},
		{"later term", ObservedState{Term: 2}, 5, true},
		{"higher index in the same term", ObservedState{Term: 1, Index: 4}, 5, true},
		{"higher index in an older term, since truncated", ObservedState{Term: 0, Index: 9}, 5, false},
		{"other vote", ObservedState{Term: 1, Vote: "v3"}, 5, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n := newNode(restartedState())
			tc.observed.ID = "v1"
			n.Step(n.now, Message{Kind: MsgRecoveryResponse, Group: "g", From: "v2", To: "v1", Hint: tc.hint, ObservedStates: []ObservedState{tc.observed}})
			rd, ok := n.Ready()
			quicktest.Assert(t, n.Status().Role == RoleStateLost, quicktest.Equals, tc.stateLost)
			if tc.stateLost {
				quicktest.Assert(t, ok && rd.HardStateChanged && rd.HardState.StateLost, quicktest.IsTrue)
				n.Advance(rd)
				quicktest.Assert(t, step(n, n.now+time.Minute, Message{Kind: MsgVote, Term: 9, Index: 99, LogTerm: 8}), quicktest.HasLen, 0)
				restarted := New(n.cfg, PersistentState{HardState: rd.HardState, Entries: restartedState().Entries}, 0)
				quicktest.Assert(t, restarted.Status().Role, quicktest.Equals, RoleStateLost)
			}
		})
	}
}

// An acknowledgement that was sent before a rollback of the sender's disk may be for entries
// that the disk no longer holds.
func TestIgnoresMessagesOfEarlierStart(t *testing.T) {
	n := newLeader()
	drainReady(n)
	step(n, n.now, Message{Kind: MsgRecovery, StartCount: 3})
	step(n, n.now, Message{Kind: MsgAppendResponse, Index: 2, StartCount: 2})
	quicktest.Assert(t, n.log.commit, quicktest.Equals, uint64(1))
	step(n, n.now, Message{Kind: MsgAppendResponse, Index: 2, StartCount: 3})
	quicktest.Assert(t, n.log.commit, quicktest.Equals, uint64(2))
}

// A node with an emptied disk has the address of its predecessor, whose ID it must not answer for:
// it has neither the votes nor the entries of that node.
func TestIgnoresMessagesToFormerIdentity(t *testing.T) {
	for kind := MsgPreVote; kind <= MsgTimeoutNow; kind++ {
		n := New(Config{ID: "v1#2", Group: "g"}, PersistentState{}, 10*time.Second)
		drainReady(n)
		before := n.Status()
		n.Step(n.now, Message{Kind: kind, Group: "g", From: "v2", To: "v1#1", Term: 3, Index: 5, LogTerm: 3, StartCount: 1})
		quicktest.Assert(t, drainReady(n), quicktest.HasLen, 0, quicktest.Commentf("kind %d", kind))
		quicktest.Assert(t, n.Status(), quicktest.DeepEquals, before, quicktest.Commentf("kind %d", kind))
	}
}

// The states that a leader has observed are lost when it fails, unless it has sent them to
// the other voters.
func TestObservedStatesAreShared(t *testing.T) {
	n := newNode(PersistentState{})
	known := ObservedState{ID: "v3", StartCount: 2, Term: 1, Index: 7, Vote: "v2"}
	step(n, n.now, Message{Kind: MsgAppend, ObservedStates: []ObservedState{known}})
	out := step(n, n.now, Message{Kind: MsgRecovery, From: "v3", StartCount: 3})
	quicktest.Assert(t, out[0].ObservedStates, quicktest.DeepEquals, []ObservedState{known})

	l := newLeader()
	drainReady(l)
	step(l, l.now, Message{Kind: MsgAppendResponse, From: "v3", StartCount: 2, Index: 2})
	l.Tick(l.now + 600*ms)
	quicktest.Assert(t, l.observedVoterStatesExcept("v2"), quicktest.DeepEquals, []ObservedState{{ID: "v3", StartCount: 2, Term: 1, Index: 2}})
}

// If a restarted voter took part before a quorum has responded, a rollback of its disk could
// stay undetected. If it waited for all voters, it could not return while another is down.
func TestRecovery(t *testing.T) {
	n := newNode(restartedState())
	quicktest.Assert(t, n.hardState.StartCount, quicktest.Equals, uint64(5))
	appended := Message{Kind: MsgAppend, Index: 3, LogTerm: 1}
	quicktest.Assert(t, step(n, n.now, appended), quicktest.HasLen, 0)
	step(n, n.now, Message{Kind: MsgRecoveryResponse, Hint: 4})
	n.Tick(n.now + 600*ms)
	quicktest.Assert(t, n.role, quicktest.Equals, RoleRecovering) // the response was to a request of an earlier start
	quicktest.Assert(t, len(drainReady(n)), quicktest.Equals, 2)
	uncommitted := Membership{Voters: []NodeID{"v2", "v9"}} // v9 may never respond
	step(n, n.now, Message{Kind: MsgRecoveryResponse, Hint: 5, Membership: &uncommitted})
	quicktest.Assert(t, n.role, quicktest.Equals, RoleFollower)
	quicktest.Assert(t, step(n, n.now, appended), quicktest.HasLen, 1)
}

// A restart of all voters leaves the group without a leader. A voter that has waited after
// its restart must not wait for another full election timeout before it campaigns, which
// would only prolong the outage.
func TestVoterWithoutLeaderCampaignsSoonAfterRecovery(t *testing.T) {
	for seed := range uint64(50) {
		n := New(Config{ID: "v1", Group: "g", Seed: seed}, restartedState(), 10*time.Second)
		drainReady(n)
		step(n, n.now, Message{Kind: MsgRecoveryResponse, From: "v2", Hint: 5})
		step(n, n.now, Message{Kind: MsgRecoveryResponse, From: "v3", Hint: 5})
		quicktest.Assert(t, n.role, quicktest.Equals, RoleFollower)
		quicktest.Assert(t, n.electionDeadline < n.now+n.cfg.ElectionTimeout, quicktest.IsTrue)
	}
}

// A learner that was promoted after the old copy of a disk was made may be the only node
// that knows of a loss, so it must be queried. Its response must not count towards a
// quorum, since in the membership on the disk it is a learner.
func TestRecoveryQueriesLearnersButDoesNotCountThem(t *testing.T) {
	persisted := restartedState()
	persisted.Entries[0].Data = Membership{Voters: []NodeID{"v1", "v2", "v3"}, Learners: []NodeID{"l1"}}.encode()
	n := New(Config{ID: "v1", Group: "g"}, persisted, 10*time.Second)
	quicktest.Assert(t, drainReady(n), quicktest.HasLen, 3)
	step(n, n.now+600*ms, Message{Kind: MsgRecoveryResponse, From: "l1", Hint: 5})
	quicktest.Assert(t, n.role, quicktest.Equals, RoleRecovering)
	step(n, n.now, Message{Kind: MsgRecoveryResponse, From: "l1", Hint: 5, ObservedStates: []ObservedState{{ID: "v1", Term: 1, Index: 4}}})
	quicktest.Assert(t, n.role, quicktest.Equals, RoleStateLost)
}

// An entry or vote that is counted before it is synced can be lost in a crash.
func TestCountsOnlyPersistedEntriesAndVotes(t *testing.T) {
	n := newLeader()
	quicktest.Assert(t, n.role, quicktest.Equals, RoleLeader)
	rd, _ := n.Ready()
	_, second := n.Ready()
	quicktest.Assert(t, second, quicktest.IsFalse)
	n.Step(n.now, Message{Kind: MsgAppendResponse, Group: "g", From: "v2", To: "v1", Term: 1, Index: 2})
	quicktest.Assert(t, n.log.commit, quicktest.Equals, uint64(1))
	n.Advance(rd)
	quicktest.Assert(t, n.log.commit, quicktest.Equals, uint64(2))

	single := New(Config{ID: "v1", Group: "g", Voters: []NodeID{"v1"}}, PersistentState{}, 0)
	drainReady(single)
	single.Step(0, Message{Kind: MsgPreVote, Group: "g", From: "v2", To: "v1", Term: 1})
	earlier, _ := single.Ready()
	single.startPreVote()
	single.Advance(earlier) // this Ready does not have the vote
	rd, _ = single.Ready()
	quicktest.Assert(t, single.role, quicktest.Equals, RoleCandidate)
	single.Advance(rd)
	quicktest.Assert(t, single.role, quicktest.Equals, RoleLeader)
}

// A leader that does not detect a pause of its process could act as the leader while its
// successor does too.
func TestPauseEndsLease(t *testing.T) {
	n := newLeader()
	drainReady(n)
	sent := n.now
	step(n, sent+300*ms, Message{Kind: MsgAppendResponse, Index: 2, Echo: sent})
	quicktest.Assert(t, n.LeaseValid(sent+399*ms), quicktest.IsTrue)
	quicktest.Assert(t, n.LeaseValid(sent+400*ms), quicktest.IsFalse)
	_, _, err := n.Propose(sent+500*ms, []byte("x"))
	quicktest.Assert(t, errors.Is(err, ErrNotLeader), quicktest.IsTrue)
	n.Step(sent+500*ms, Message{Kind: MsgAppendResponse, Group: "g", From: "v2", To: "v1", Term: 1, Index: 2, Echo: sent + 450*ms})
	quicktest.Assert(t, n.LeaseValid(sent+500*ms), quicktest.IsFalse)
}

// An echoed time of an earlier start has another origin. It may be in the future, or seem
// recent although it is old.
func TestConfirmationRequiresValidEcho(t *testing.T) {
	for _, tc := range []struct {
		name string
		m    Message
		want time.Duration
	}{
		{"confirmed", Message{LeaseHeld: true, Echo: 9 * time.Second, EchoStartCount: 1}, 9 * time.Second},
		{"no lease", Message{Echo: 9 * time.Second, EchoStartCount: 1}, 0},
		{"other start", Message{LeaseHeld: true, Echo: 9 * time.Second, EchoStartCount: 2}, 0},
		{"future", Message{LeaseHeld: true, Echo: 11 * time.Second, EchoStartCount: 1}, 0},
	} {
		n := newNode(PersistentState{})
		tc.m.Kind = MsgAppend
		step(n, n.now, tc.m)
		at, _ := n.ConfirmedAt()
		quicktest.Check(t, at, quicktest.Equals, tc.want, quicktest.Commentf("%s", tc.name))
	}
}

// The quorums of two concurrent membership changes need not overlap, and a learner that is
// promoted before it has caught up can block commits.
func TestMembershipChangeRules(t *testing.T) {
	n := newLeader()
	propose := func(kind MembershipChangeKind, id NodeID) error {
		return n.ProposeMembershipChange(n.now, MembershipChange{kind, id})
	}
	ack := func(id NodeID, index uint64, observer bool) {
		step(n, n.now, Message{Kind: MsgAppendResponse, From: id, Index: index, Echo: n.now, Observer: observer})
	}
	quicktest.Assert(t, propose(AddLearner, "l1"), quicktest.Equals, ErrTermNotCommitted)
	drainReady(n)
	ack("v2", 2, false)
	quicktest.Assert(t, propose(AddLearner, "v2"), quicktest.Equals, ErrAlreadyMember)
	quicktest.Assert(t, propose(RemoveMember, "x"), quicktest.Equals, ErrUnknownMember)
	quicktest.Assert(t, propose(PromoteLearner, "v2"), quicktest.Equals, ErrUnknownMember)
	quicktest.Assert(t, propose(0, "v2"), quicktest.Equals, ErrInvalidChange)
	quicktest.Assert(t, propose(AddLearner, "l1"), quicktest.IsNil)
	quicktest.Assert(t, propose(AddLearner, "l2"), quicktest.Equals, ErrChangePending)
	drainReady(n)
	ack("v2", 3, false)
	quicktest.Assert(t, propose(PromoteLearner, "l1"), quicktest.Equals, ErrNotCaughtUp)
	ack("l1", 3, true)
	quicktest.Assert(t, propose(PromoteLearner, "l1"), quicktest.Equals, ErrObserver)
	ack("l1", 3, false)
	quicktest.Assert(t, propose(PromoteLearner, "l1"), quicktest.IsNil)
	quicktest.Assert(t, n.membership.quorum(), quicktest.Equals, 3)
	_, err := Membership{Voters: []NodeID{"v1"}}.apply(MembershipChange{RemoveMember, "v1"})
	quicktest.Assert(t, err, quicktest.Equals, ErrLastVoter)
}

// A node whose storage has failed must not vote, acknowledge entries or lead. An observer
// must not start an election.
func TestStorageFailureAndObserver(t *testing.T) {
	n := newLeader()
	n.SetStorageFailed()
	quicktest.Assert(t, n.LeaseValid(n.now), quicktest.IsFalse)
	quicktest.Assert(t, step(n, n.now+time.Minute, Message{Kind: MsgVote, Term: 9, Index: 9, LogTerm: 9}), quicktest.HasLen, 0)
	quicktest.Assert(t, n.Status().Role.String(), quicktest.Equals, "storage-failed")

	o := New(Config{ID: "v1", Group: "g", Voters: []NodeID{"v1"}, Observer: true}, PersistentState{}, 0)
	for now := range 100 {
		o.Tick(time.Duration(now) * 50 * ms)
	}
	quicktest.Assert(t, o.hardState.Term, quicktest.Equals, uint64(0))
}

// Without a limit on the entries in flight, the leader would queue its whole log for a slow
// follower.
func TestFlowControl(t *testing.T) {
	n := newLeader()
	n.cfg.MaxAppendBytes, n.cfg.MaxInflightBytes = 1000, 4000
	drainReady(n)
	step(n, n.now, Message{Kind: MsgAppendResponse, Index: 2})
	for range 100 {
		_, _, err := n.Propose(n.now, make([]byte, 476))
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	bytes := map[NodeID]int{}
	for _, m := range drainReady(n) {
		bytes[m.To] += len(m.Entries) * 500
	}
	quicktest.Assert(t, bytes["v2"], quicktest.Equals, 4000)
	quicktest.Assert(t, bytes["v3"], quicktest.Equals, 0) // its first probe was not answered
}

// Heartbeats in every round to all learners would use most of the bandwidth budget of the
// link between regions. A learner without any heartbeats would not detect a lost append.
func TestLearnerHeartbeats(t *testing.T) {
	c := newCluster(t, 6, 3, "l1")
	voter, _ := c.otherHosts(c.waitForLeader())
	count := map[NodeID]int{}
	for range 1000 {
		c.tickAll(10 * ms)
		c.deliverAll(func(m Message) { count[m.To]++ })
	}
	quicktest.Assert(t, count[voter.cfg.ID] > 150, quicktest.IsTrue, quicktest.Commentf("%v", count))
	quicktest.Assert(t, count["l1"] >= 30 && count["l1"] <= 45, quicktest.IsTrue, quicktest.Commentf("%v", count))
}

// If the leader moved back by one entry at a time, a diverged log would take one round trip
// for each entry to repair.
func TestConflictHints(t *testing.T) {
	leader, follower := newLeader(), newNode(PersistentState{})
	var a, b []Entry
	for i := uint64(2); i <= 1000; i++ { // terms change every 100 entries, differently
		a = append(a, Entry{Term: 1 + i/100*2, Index: i})
		b = append(b, Entry{Term: 2 + i/100*2, Index: i})
	}
	leader.log.truncate(2)
	leader.log.append(a...)
	leader.hardState.Term = 30
	leader.progress["v2"].becomeState(stateProbe, 1001)
	follower.log.append(b...)
	follower.cfg.ID = "v2"
	rounds := 0
	for ; leader.progress["v2"].match < 1000 && rounds < 100; rounds++ {
		leader.heartbeatDue = true
		for _, m := range drainReady(leader) {
			if m.To == "v2" {
				follower.Step(follower.now, m)
			}
		}
		for _, m := range drainReady(follower) {
			leader.Step(leader.now, m)
		}
	}
	quicktest.Assert(t, follower.log.lastIndex(), quicktest.Equals, uint64(1000))
	quicktest.Assert(t, rounds <= 12, quicktest.IsTrue, quicktest.Commentf("%d rounds", rounds))
}
