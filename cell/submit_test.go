package cell

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// serveTogether serves calls on the leader in one pass of its event loop, so that all of them are
// proposed before the first is applied, and returns their replies.
func (tc *testCell) serveTogether(calls ...Call) []Reply {
	tc.c.Helper()
	replies := make([]chan Reply, len(calls))
	tc.onEventLoop(tc.leader(), func(h *replicaHost) {
		for i, call := range calls {
			replies[i] = make(chan Reply, 1)
			h.serve(h.node.eventLoop.Now(), call, func(r Reply) { replies[i] <- r })
		}
	})
	var out []Reply
	for _, reply := range replies {
		out = append(out, <-reply)
	}
	return out
}

// testConfigWith returns a configuration with one route of each name, at the prefix "/PREFIX/".
func testConfigWith(version int64, prefixByName map[string]string) *job.Config {
	config := testConfig(version)
	template := config.Queues[0]
	config.Queues = nil
	for name, prefix := range prefixByName {
		q := template
		q.Name, q.Prefix = name, prefix
		config.Queues = append(config.Queues, q)
	}
	return config
}

func submitCall(path string) Call {
	spec := &job.Spec{Steps: []job.Step{{Count: 1, TaskResources: job.Resources{MilliCPU: 500, MemoryMB: 10}, EstimateMillis: 150}}}
	return Call{Kind: SubmitJob, Host: "h", Path: path, Spec: spec}
}

// Guards against a job that its caller is told is accepted and that is not stored, or is stored on another
// route, because a configuration before it in the log removes or renames its route.
func TestSubmitBehindRemovalOfItsRoute(t *testing.T) {
	const path = "/d/00000000000000aa"
	for name, test := range map[string]struct {
		routes map[string]string // after the change, prefix by name
		want   Code
	}{
		"removed": {map[string]string{"other": "/o/"}, NoQueue},
		"renamed": {map[string]string{"drafts-2": "/d/"}, OK},
		"kept":    {map[string]string{"drafts": "/d/", "other": "/o/"}, OK},
		"moved":   {map[string]string{"drafts": "/m/"}, NoQueue},
		"swapped": {map[string]string{"other": "/d/", "drafts": "/o/"}, OK},
	} {
		t.Run(name, func(t *testing.T) {
			tc := newTestCell(t, 3)
			n := tc.nodes[tc.leader()].node
			tc.c.Assert(forwardCall(n, Call{Kind: PutConfig, Config: testConfig(1)}).Code, qt.Equals, OK)
			replies := tc.serveTogether(Call{Kind: PutConfig, Config: testConfigWith(2, test.routes)}, submitCall(path), submitCall(path))
			tc.c.Check(replies[0].Code, qt.Equals, OK)
			tc.c.Check(replies[1].Code, qt.Equals, test.want)
			tc.c.Check(replies[2].Code, qt.Equals, test.want) // joined the first one
			r := forwardCall(n, Call{Kind: QueryJob, Host: "h", Path: path})
			tc.c.Check(r.Code, qt.Equals, test.want)
		})
	}
}

// Guards against a submission that is told OK because it was joined with one of the same ID on
// another route.
func TestSameIDOnTwoRoutesAtOnce(t *testing.T) {
	tc := newTestCell(t, 3)
	n := tc.nodes[tc.leader()].node
	config := testConfigWith(1, map[string]string{"drafts": "/d/", "other": "/o/"})
	tc.c.Assert(forwardCall(n, Call{Kind: PutConfig, Config: config}).Code, qt.Equals, OK)
	replies := tc.serveTogether(submitCall("/d/00000000000000aa"), submitCall("/o/00000000000000aa"))
	tc.c.Check(replies[0].Code, qt.Equals, OK)
	tc.c.Check(replies[1].Code, qt.Equals, Conflict)
}

// Guards against a caller that is told that its job was refused although it is stored, because its
// route is removed right behind it in the log.
func TestSubmitBeforeRemovalOfItsRoute(t *testing.T) {
	tc := newTestCell(t, 3)
	n := tc.nodes[tc.leader()].node
	tc.c.Assert(forwardCall(n, Call{Kind: PutConfig, Config: testConfig(1)}).Code, qt.Equals, OK)
	removal := testConfigWith(2, map[string]string{"other": "/o/"})
	replies := tc.serveTogether(submitCall("/d/00000000000000aa"), Call{Kind: PutConfig, Config: removal})
	tc.c.Check(replies[0].Code, qt.Equals, OK)
	tc.c.Check(replies[1].Code, qt.Equals, OK)
	tc.onEventLoop(tc.leader(), func(h *replicaHost) { tc.c.Check(h.state.Job(0xaa), qt.IsNotNil) })
}

// Guards against a submission that gets no reply because it waits for a configuration that is lost with the
// leadership.
func TestSubmitBehindLostConfiguration(t *testing.T) {
	tc := newTestCell(t, 3)
	n := tc.nodes[tc.leader()].node
	tc.c.Assert(forwardCall(n, Call{Kind: PutConfig, Config: testConfig(1)}).Code, qt.Equals, OK)
	replies := make(chan Reply, 2)
	tc.onEventLoop(tc.leader(), func(h *replicaHost) {
		now, reply := h.node.eventLoop.Now(), func(r Reply) { replies <- r }
		h.serve(now, Call{Kind: PutConfig, Config: testConfigWith(2, map[string]string{"other": "/o/"})}, reply)
		h.serve(now, submitCall("/d/00000000000000aa"), reply)
		h.group.Node.StepDown()
		h.updateLeadership(now)
	})
	tc.c.Check((<-replies).Code, qt.Equals, Interrupted)
	tc.c.Check((<-replies).Code, qt.Equals, NotLeader)
}

// Guards against a cancel that is told that there is no such job while the job's submission is about to be
// acknowledged: the job would run.
func TestCancelBehindItsSubmit(t *testing.T) {
	const path = "/d/00000000000000aa"
	tc := newTestCell(t, 3)
	n := tc.nodes[tc.leader()].node
	tc.c.Assert(forwardCall(n, Call{Kind: PutConfig, Config: testConfig(1)}).Code, qt.Equals, OK)
	cancel := Call{Kind: CancelJob, Host: "h", Path: path}
	replies := tc.serveTogether(cancel, submitCall(path), cancel)
	tc.c.Check(replies[0].Code, qt.Equals, NoJob)
	tc.c.Check(replies[1].Code, qt.Equals, OK)
	tc.c.Check(replies[2].Code, qt.Equals, OK)
	tc.c.Check(forwardCall(n, Call{Kind: QueryJob, Host: "h", Path: path}).Status, qt.Equals, JobCanceled)
}
