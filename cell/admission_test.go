package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against a caller that is told that its job was rejected although it is stored, and against the
// rejection of a copy of a job that is stored or being stored. The pool has 4 cores.
func TestRejectedJobIsNotStored(t *testing.T) {
	tc := newTestCell(t, 1)
	n := tc.nodes[tc.leader()].node
	config := testConfig(1)
	config.HasAccounts, config.Queues[0].Public = true, true
	urgent := config.Queues[0]
	urgent.Name, urgent.Prefix, urgent.Priority, urgent.TargetMillis = "urgent", "/u/", 0, 600_000
	config.Queues[0].Priority = 1
	config.Queues = append(config.Queues, urgent)
	tc.c.Assert(forwardCall(n, Call{Kind: PutConfig, Config: config}).Code, qt.Equals, OK)
	tc.announce(n, "w1")
	tc.eventually("the first job is done", func() bool {
		submit(n, 1, 1)
		j := forwardCall(n, Call{Kind: QueryJob, Host: "h", Path: "/d/0000000000000001"})
		return j.Status == JobCompleted
	})
	backlog := submitCall("/u/00000000000000bb")
	backlog.Spec = &job.Spec{Steps: []job.Step{{Count: 1000, TaskResources: job.Resources{MilliCPU: 4000, MemoryMB: 10}, EstimateMillis: 1000}}}
	replies := tc.serveTogether(backlog, submitCall("/d/00000000000000aa"), submitCall("/d/00000000000000aa"))
	for _, r := range replies {
		tc.c.Assert(r.Code, qt.Equals, OK) // the backlog is not counted yet
	}
	var rejected Reply
	lastID := job.ID(0xc00)
	tc.eventually("a job is rejected", func() bool {
		lastID++
		rejected = forwardCall(n, submitCall("/d/"+lastID.String()))
		return rejected.Code == Overloaded
	})
	tc.c.Check(rejected.RetryAfterMillis >= 1000, qt.IsTrue)
	tc.onEventLoop(tc.leader(), func(h *replicaHost) { tc.c.Check(h.state.Job(lastID), qt.IsNil) })
	tc.c.Check(forwardCall(n, submitCall("/d/00000000000000aa")).Code, qt.Equals, OK)
	tc.c.Check(forwardCall(n, submitCall("/u/00000000000000dd")).Code, qt.Equals, OK)
	families, err := n.Metrics().Gather()
	tc.c.Assert(err, qt.IsNil)
	counted := 0.0
	for _, family := range families {
		if family.GetName() == "oleander_cell_jobs_rejected_total" {
			counted = family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	tc.c.Check(counted >= 1, qt.IsTrue)
}
