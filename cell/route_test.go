package cell

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against accepted jobs that disappear for their callers when a configuration renames their route: a
// cancel that is acknowledged and not carried out, a state and a count that deny the job, and a repeated
// submission that is refused although its job runs.
func TestJobsStayWithTheLocationOfTheirRoute(t *testing.T) {
	type routes = map[string]string // prefix by name
	type codes struct{ state, submit, cancel Code }
	found, absent, noRoute := codes{OK, OK, OK}, codes{NoJob, Conflict, NoJob}, codes{NoQueue, NoQueue, NoQueue}
	before := routes{"drafts": "/d/", "other": "/o/"}
	for name, test := range map[string]struct {
		changes []routes
		at      map[string]codes // by prefix
	}{
		"unchanged":     {nil, map[string]codes{"/d/": found, "/o/": absent}},
		"renamed":       {[]routes{{"drawings": "/d/", "other": "/o/"}}, map[string]codes{"/d/": found, "/o/": absent}},
		"renamed twice": {[]routes{{"drawings": "/d/"}, {"sketches": "/d/"}}, map[string]codes{"/d/": found}},
		"names swapped": {[]routes{{"other": "/d/", "drafts": "/o/"}}, map[string]codes{"/d/": found, "/o/": absent}},
		"removed":       {[]routes{{"other": "/o/"}}, map[string]codes{"/d/": noRoute, "/o/": absent}},
		"removed and added again under another name": {[]routes{{"other": "/o/"}, {"drawings": "/d/"}}, map[string]codes{"/d/": found}},
		"moved":                           {[]routes{{"drafts": "/m/", "other": "/o/"}}, map[string]codes{"/d/": noRoute, "/m/": found, "/o/": absent}},
		"moved, another in its place":     {[]routes{{"drafts": "/m/", "other": "/d/"}}, map[string]codes{"/m/": absent, "/d/": found}},
		"moved, its prefix is in another": {[]routes{{"drafts": "/d/d/", "other": "/d"}}, map[string]codes{"/d/d/": found}},
	} {
		for _, restarted := range []bool{false, true} {
			for prefix, want := range test.at {
				t.Run(fmt.Sprintf("%s/at %s/restarted=%v", name, prefix, restarted), func(t *testing.T) {
					c := qt.New(t)
					h := newSoloHost(c, testConfigWith(1, before))
					c.Assert(h.call(submitCall("/d/"+job.ID(1).String())).Code, qt.Equals, OK)
					for i, change := range test.changes {
						h.apply(job.Op{Config: testConfigWith(int64(i)+2, change)})
					}
					if restarted {
						c.Assert(h.state.Restore(h.state.Snapshot()), qt.IsNil)
					}
					calls := callerKinds(prefix)
					pending := h.call(calls["pending"])
					got := codes{state: h.call(calls["state"]).Code, submit: h.call(calls["submit"]).Code, cancel: h.call(calls["cancel"]).Code}
					c.Check(got, qt.Equals, want)
					c.Check(pending.Pending == 1, qt.Equals, want == found)
					c.Check(h.state.Job(1).Outcome == job.Canceled, qt.Equals, want == found)
				})
			}
		}
	}
}

// Guards against a job that is stored on another route of the same name and runs on the workers of that route.
func TestRoutesOfOneName(t *testing.T) {
	tc := newTestCell(t, 3)
	n := tc.nodes[tc.leader()].node
	config := testConfigWith(1, map[string]string{"drafts": "/d/", "other": "/o/"})
	config.Pools = append(config.Pools, job.Pool{Name: "studio"})
	config.Queues[1].Name, config.Queues[1].Pool = config.Queues[0].Name, "studio"
	tc.c.Assert(forwardCall(n, Call{Kind: PutConfig, Config: config}).Code, qt.Equals, OK)
	for i, q := range config.Queues {
		id := job.ID(i + 1)
		tc.c.Assert(forwardCall(n, submitCall(q.Prefix+id.String())).Code, qt.Equals, OK)
		tc.c.Check(forwardCall(n, Call{Kind: QueryJob, Host: "h", Path: q.Prefix + id.String()}).Status, qt.Equals, JobQueued)
		tc.c.Check(forwardCall(n, Call{Kind: CountPending, Host: "h", Path: q.Prefix}).Pending, qt.Equals, 1)
		tc.onEventLoop(tc.leader(), func(h *replicaHost) { tc.c.Check(h.state.Job(id).Queue.Pool, qt.Equals, q.Pool) })
	}
}
