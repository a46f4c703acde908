package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against a job that is accepted although it can never run within the limit of its account,
// against a rejection that does not name the dimension, and against the rejection of a job that was
// accepted before.
func TestJobBeyondItsAccountsLimitIsRejected(t *testing.T) {
	tc := newTestCell(t, 3)
	n := tc.nodes[tc.leader()].node
	config := testConfig(1)
	key := job.DigestKey("k")
	config.HasAccounts = true
	config.Accounts = []job.Account{{Name: "a", Keys: []job.KeyDigest{key}, Weight: 1, Limit: job.Resources{MilliCPU: 700}}}
	tc.c.Assert(forwardCall(n, Call{Kind: PutConfig, Config: config}).Code, qt.Equals, OK)

	within, beyond := submitCall("/d/00000000000000aa"), submitCall("/d/00000000000000bb")
	within.Key, beyond.Key = &key, &key
	beyond.Spec.Steps[0].Count, beyond.Spec.Steps[0].Gang = 2, true
	tc.c.Check(forwardCall(n, within).Code, qt.Equals, OK)
	r := forwardCall(n, beyond)
	tc.c.Check(r.Code, qt.Equals, LimitExceeded)
	tc.c.Check(r.Text, qt.Matches, ".*milli_cpu.*")
	tc.onEventLoop(tc.leader(), func(h *replicaHost) { tc.c.Check(h.state.Job(0xbb), qt.IsNil) })

	lowered := *config
	lowered.Version, lowered.Accounts = 2, []job.Account{config.Accounts[0]}
	lowered.Accounts[0].Limit.MilliCPU = 100
	tc.c.Assert(forwardCall(n, Call{Kind: PutConfig, Config: &lowered}).Code, qt.Equals, OK)
	tc.c.Check(forwardCall(n, within).Code, qt.Equals, OK)
}
