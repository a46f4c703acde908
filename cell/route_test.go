package cell

import (
	"fmt"
	"math/rand/v2"
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

// Guards against accepted jobs that are not found at their location, found at a second one or not cancelled,
// and against submissions that are stored on another route or refused when they are sent again, whatever
// configurations are proposed and applied between the calls.
func TestJobsUnderRandomRouteChanges(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := &routeModel{testCell: newTestCell(t, 1), rng: rand.New(rand.NewPCG(seed, 1)), accepted: map[job.ID]string{}, cancelled: map[job.ID]bool{}}
			m.c.Assert(m.serveTogether(m.randomConfig())[0].Code, qt.Equals, OK)
			for range 150 {
				m.makeCalls()
				m.checkJobs()
				if t.Failed() {
					return
				}
			}
			m.c.Check(len(m.cancelled) > 0 && len(m.accepted) > len(m.cancelled), qt.IsTrue)
		})
	}
}

// routeModel makes random calls about jobs at some locations while configurations rename, move, add and remove
// their routes.
type routeModel struct {
	*testCell
	rng     *rand.Rand
	version int64
	// accepted holds the prefix at which each job was accepted, cancelled the jobs whose cancel was acknowledged.
	accepted  map[job.ID]string
	cancelled map[job.ID]bool
}

var modelPrefixes = []string{"/a/", "/b/", "/c/"}

func pathOf(prefix string, id job.ID) string { return prefix + id.String() }

// randomConfig returns a call with a configuration of some of the prefixes, under names that any of them may have had.
func (m *routeModel) randomConfig() Call {
	m.version++
	config := testConfig(m.version)
	template := config.Queues[0]
	config.Queues = nil
	for _, prefix := range modelPrefixes {
		if m.rng.IntN(4) > 0 {
			q := template
			q.Name, q.Prefix = fmt.Sprintf("n%d", m.rng.IntN(3)), prefix
			config.Queues = append(config.Queues, q)
		}
	}
	return Call{Kind: PutConfig, Config: config}
}

// makeCalls serves up to five calls in one pass of the event loop, and compares the replies with the jobs known before.
func (m *routeModel) makeCalls() {
	type submission struct {
		id     job.ID
		prefix string
	}
	var calls []Call
	var about []submission
	for range 1 + m.rng.IntN(5) {
		s := submission{job.ID(1 + m.rng.IntN(60)), modelPrefixes[m.rng.IntN(len(modelPrefixes))]}
		call := submitCall(pathOf(s.prefix, s.id))
		switch m.rng.IntN(6) {
		case 0:
			call = m.randomConfig()
		case 1:
			call = Call{Kind: CancelJob, Host: "h", Path: pathOf(s.prefix, s.id)}
		}
		calls, about = append(calls, call), append(about, s)
	}
	for i, r := range m.serveTogether(calls...) {
		first, isKnown := m.accepted[about[i].id]
		isOwn := isKnown && first == about[i].prefix
		switch calls[i].Kind {
		case PutConfig:
			m.c.Check(r.Code, qt.Equals, OK)
			continue
		case SubmitJob:
			if r.Code == OK && !isKnown {
				m.accepted[about[i].id] = about[i].prefix
			}
		case CancelJob:
			if r.Code == OK {
				m.cancelled[about[i].id] = true
			}
		}
		if isOwn {
			m.c.Check(r.Code == OK || r.Code == NoQueue, qt.IsTrue, qt.Commentf("%v of job %v at its location: %v", calls[i].Kind, about[i].id, r.Code))
		}
	}
}

// checkJobs asks for each accepted job at all locations.
func (m *routeModel) checkJobs() {
	for id, own := range m.accepted {
		var calls []Call
		for _, prefix := range modelPrefixes {
			calls = append(calls, Call{Kind: QueryJob, Host: "h", Path: pathOf(prefix, id)})
		}
		found := 0
		for i, r := range m.serveTogether(calls...) {
			if r.Code == OK {
				found++
				m.c.Check(r.Status == JobCanceled, qt.Equals, m.cancelled[id], qt.Commentf("job %v", id))
			}
			if modelPrefixes[i] == own {
				m.c.Check(r.Code == OK || r.Code == NoQueue, qt.IsTrue, qt.Commentf("job %v at its location: %v", id, r.Code))
			}
		}
		m.c.Check(found <= 1, qt.IsTrue, qt.Commentf("job %v is found at %d locations", id, found))
	}
}
