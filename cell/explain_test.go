package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against an explanation that is lost on its way from the leader to an entry VM, that differs from what then
// happens, or that writes to the log.
func TestExplanationThroughTheCell(t *testing.T) {
	tc := newTestCell(t, 3)
	entry := tc.start(freeAddress(tc.c), "", false)
	tc.c.Assert(forwardCall(entry, Call{Kind: PutConfig, Config: testConfig(1)}).Code, qt.Equals, OK)
	tc.announce(entry, "w1")
	call := Call{Kind: ExplainJob, Host: "h", Path: "/d/", Spec: &job.Spec{Steps: []job.Step{{Count: 3, TaskResources: job.Resources{MilliCPU: 500, MemoryMB: 10}, EstimateMillis: 150}}}}
	var r Reply
	tc.eventually("the worker accepts work", func() bool {
		r = forwardCall(entry, call)
		return r.Code == OK && r.Explanation != nil && len(r.Explanation.Steps) == 1 && r.Explanation.Steps[0].Starts == 3
	})
	tc.c.Check(*r.Explanation, qt.DeepEquals, dispatch.Explanation{Queue: "drafts", Pool: "desk", Steps: []dispatch.StepExplanation{
		{Tasks: 3, Starts: 3, UsedWorkers: 1, Workers: []string{"w1"}, AllowedByHeadroom: 3, AllowedByLimit: 3, PoolWorkers: 1}}})
	tc.onEventLoop(tc.leader(), func(h *replicaHost) {
		before := decodedSnapshot(tc.c, h)
		var local Reply
		h.serve(h.node.eventLoop.Now(), call, func(r Reply) { local = r })
		tc.c.Check(local.Code, qt.Equals, OK)
		tc.c.Check(h.pendingOps, qt.HasLen, 0)
		tc.c.Check(h.submitting, qt.HasLen, 0)
		tc.c.Check(decodedSnapshot(tc.c, h), qt.DeepEquals, before)
		tc.c.Check(h.state.OpenCount(), qt.Equals, 0)
	})
	tc.c.Check(tc.workers.startCount(), qt.Equals, 0)
	tc.c.Assert(submit(entry, 1, 3).Code, qt.Equals, OK)
	tc.eventually("job done", func() bool { return status(entry, 1) == JobCompleted })
	tc.c.Check(tc.workers.startCount(), qt.Equals, 3)
}

// decodedSnapshot returns the replicated state. Encoded snapshots of one state differ in the order of their maps.
func decodedSnapshot(c *qt.C, h *replicaHost) any {
	var v any
	c.Assert(codec.DecMode.Unmarshal(h.state.Snapshot(), &v), qt.IsNil)
	return v
}

// startCount returns the number of starts of all tasks.
func (w *fakeWorkers) startCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, starts := range w.starts {
		n += starts
	}
	return n
}

// Guards against the explanation of a job that no submit would accept as a valid one, of another account than the
// key's, and against one that hides that the job would be rejected.
func TestExplanationFollowsTheSubmit(t *testing.T) {
	c := qt.New(t)
	config := accountConfig(1, map[string][]string{"ada": {"ada-1"}, "bob": {"bob-1"}})
	for i := range config.Accounts {
		if config.Accounts[i].Name == "ada" {
			config.Accounts[i].Limit.MilliCPU = 700
		}
	}
	h := newSoloHost(c, config)
	h.scheduler.BecomeLeader(time.Second, time.Now().UnixMilli(), 1)
	call := submitCall("/d/").withKey("ada-1")
	call.Kind = ExplainJob
	for _, spec := range []*job.Spec{nil, {}, {Steps: []job.Step{{Count: -1}}}} {
		invalid := call
		invalid.Spec = spec
		r := h.call(invalid)
		c.Check(r.Code, qt.Equals, BadCall)
		c.Check(r.Text, qt.Not(qt.Equals), "")
	}
	r := h.call(call)
	c.Assert(r.Code, qt.Equals, OK)
	c.Check(r.Explanation.IsRejected(), qt.IsFalse)
	c.Check(r.Explanation.Account.Name, qt.Equals, "ada")
	c.Check(r.Explanation.Account.Limit, qt.Equals, job.Resources{MilliCPU: 700})
	call.Spec.Steps[0].Count, call.Spec.Steps[0].Gang = 2, true
	submitted := call
	submitted.Kind, submitted.Path = SubmitJob, "/d/"+job.ID(1).String()
	refused := h.call(submitted)
	c.Assert(refused.Code, qt.Equals, LimitExceeded)
	c.Check(h.call(call).Explanation.LimitExceeded, qt.Equals, refused.Text)
	c.Check(h.call(call.withKey("bob-1")).Explanation.IsRejected(), qt.IsFalse)
	c.Check(h.state.OpenCount(), qt.Equals, 0)
}
