package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/raft"
)

// Guards against a first configuration that is acknowledged and never in force because its version is 0 or
// negative, or that is gone after a restart of all keepers.
func TestFirstConfigurationOfAnyVersion(t *testing.T) {
	for name, version := range map[string]int64{"zero": 0, "negative": -3} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCell(t, 3)
			n := tc.nodes[tc.leader()].node
			put := func(config *job.Config) Code { return forwardCall(n, Call{Kind: PutConfig, Config: config}).Code }
			document := func() string { return string(forwardCall(n, Call{Kind: GetConfig}).Document) }
			first, second, next := testConfig(version), testConfig(version), testConfig(version+1)
			first.Document, second.Document = []byte("first"), []byte("second")
			tc.eventually("the first configuration is accepted", func() bool { return put(first) == OK })
			tc.c.Check(document(), qt.Equals, "first")
			tc.c.Check(submit(n, 1, 1).Code, qt.Equals, OK)
			tc.c.Check(put(second), qt.Equals, OK)
			tc.c.Check(put(testConfig(version-1)), qt.Equals, OK)
			tc.c.Check(document(), qt.Equals, "first")
			dirs := map[string]string{}
			for _, address := range tc.seeds {
				dirs[address] = tc.nodes[address].dir
				tc.stop(address)
			}
			for address, dir := range dirs {
				tc.start(address, dir, false)
			}
			n = tc.nodes[tc.leader()].node
			tc.c.Check(document(), qt.Equals, "first")
			tc.c.Check(status(n, 1), qt.Equals, JobQueued)
			tc.c.Check(put(next), qt.Equals, OK)
			tc.c.Check(document(), qt.Equals, string(next.Document))
		})
	}
}

// Guards against replicas that differ: those of an earlier build would ignore a first configuration of version 0, and
// then the jobs submitted under it.
func TestFirstConfigurationBesideAnEarlierBuild(t *testing.T) {
	tc := newTestCell(t, 3)
	leader := tc.leader()
	n := tc.nodes[leader].node
	put := func(version int64) Code {
		return forwardCall(n, Call{Kind: PutConfig, Config: testConfig(version)}).Code
	}
	committed := make(chan bool, 1)
	tc.onEventLoop(leader, func(h *replicaHost) {
		h.propose(func(ok bool) { committed <- ok }, job.Op{Member: &job.Member{Address: "earlier:1", NodeID: "earlier:1#1"}})
	})
	tc.c.Assert(<-committed, qt.IsTrue)
	tc.c.Check(put(0), qt.Equals, NotReady)
	tc.c.Check(forwardCall(n, Call{Kind: GetConfig}).Code, qt.Equals, NoConfig)
	tc.c.Check(put(1), qt.Equals, OK)
	tc.c.Check(put(0), qt.Equals, OK) // overtaken
	tc.c.Check(string(forwardCall(n, Call{Kind: GetConfig}).Document), qt.Equals, "v1")
}

// Guards against a voter of an unknown build that a leader does not wait for, and against a lost one that it waits
// for without end.
func TestUnregisteredVoter(t *testing.T) {
	voter := modelNodeID(0, 1)
	for _, test := range []struct {
		registered, silent bool
		want               bool
	}{{false, false, true}, {false, true, false}, {true, false, false}, {true, true, false}} {
		var members []job.Member
		if test.registered {
			members = append(members, job.Member{Address: "0", NodeID: string(voter)})
		}
		view := newMembershipView(raft.Membership{Voters: []raft.NodeID{voter}}, members, 1, func(raft.NodeID) time.Duration {
			if test.silent {
				return voterSilenceTimeout
			}
			return 0
		})
		qt.Check(t, view.unregisteredVoter() != "", qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
