package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against urgent jobs that wait for less urgent runs of their own account, because a burst of
// those has filled the account's limit.
func TestUrgentJobIsNotBlockedByABurstOfItsAccount(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(20, false)
	queue := func(name string, priority int) job.Queue {
		return job.Queue{Name: name, Host: "h", Prefix: "/" + name + "/", Pool: "desk", Priority: priority, MaxAttempts: 4, SlackFactor: 4, TargetMillis: 3000}
	}
	k.state.Apply(job.Op{Config: &job.Config{Version: 100, Pools: []job.Pool{{Name: "desk"}}, Queues: []job.Queue{queue("lookups", 0), queue("batches", 2)},
		HasAccounts: true, Accounts: []job.Account{{Name: "a", Weight: 1, Limit: job.Resources{MilliCPU: 20_000}}}}})
	k.run(2 * time.Second)
	submit := func(id job.ID, queue string, step job.Step) {
		k.propose([]job.Op{{Submit: &job.Submit{ID: id, Queue: queue, Account: "a", Spec: job.Spec{Steps: []job.Step{step}}, AcceptedMillis: k.wallMillis()}}})
	}
	submit(1, "lookups", newStep(3, 1000, 300)) // an earlier urgent job
	k.run(k.now + time.Second)
	submit(2, "batches", newStep(40, 1000, 60_000))
	k.run(k.now + 300*time.Millisecond)
	c.Assert(k.runsOf(2) >= 16 && k.runsOf(2) <= 17, qt.IsTrue, qt.Commentf("%d runs of the burst", k.runsOf(2)))
	submit(3, "lookups", newStep(3, 1000, 300))
	k.run(k.now + 100*time.Millisecond)
	c.Assert(k.runsOf(3), qt.Equals, 3)
	c.Assert(k.sched.accounts["a"].used[0] <= 20_000, qt.IsTrue)

	k.propose([]job.Op{{Cancel: &job.Cancel{ID: 2, AtMillis: k.wallMillis()}}})
	k.run(k.now + 2*time.Second)
	submit(4, "batches", newGang(18, 1000, 500)) // larger than what the headroom can ever leave
	k.run(k.now + 3*time.Second)
	c.Assert(k.state.Job(4).Outcome, qt.Equals, job.Completed)
}
