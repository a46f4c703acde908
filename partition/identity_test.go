package partition

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/oleanderchute/oleanderchute/api"
)

// resolve returns the route that serves a kind.
func resolve(t api.Tables, kind string) (api.Route, bool) {
	if r := indexRoutes(t)[kind]; r != nil {
		return *r, true
	}
	return api.Route{}, false
}

// resend submits a request of a kind under tables as an entry VM does, and returns the reply.
func (h *harness) resend(tables api.Tables, kind, body string) Reply {
	h.step(TablesChanged{Tables: tables})
	route, ok := resolve(tables, kind)
	h.c.Assert(ok, qt.IsTrue)
	w := h.submit("k", func(s *Submit) { s.Route, s.Request.Kind, s.Request.Body = route, kind, []byte(body) })
	h.commit()
	return h.replies[w]
}

func routesNamed(routes ...api.Route) api.Tables {
	for i := range routes {
		if routes[i].Pool == "" {
			routes[i].Pool = "blue"
		}
	}
	return api.Tables{Routes: routes, Pools: []api.Pool{{Name: "blue", Home: "north"}, {Name: "green", Home: "north"}}}
}

// Guards against a resend that is refused, or told that its work did not run, because the tables call its route by
// another name, and against a key that is taken for the request of another kind of work.
func TestResendAfterTheRouteWasRenamed(t *testing.T) {
	const refused, refusedNotRun = "refused", "refused, not run"
	before := routesNamed(api.Route{Name: "drafting", Aliases: []string{"draft"}}, api.Route{Name: "timing", Pool: "green"})
	for name, test := range map[string]struct {
		accepted  string // kind
		tables    api.Tables
		kind      string
		body      string
		want      string // empty for the state of the request
		byEarlier string // the same for a record of an earlier build
	}{
		"unchanged":               {"drafting", before, "drafting", "body", "", ""},
		"alias":                   {"drafting", before, "draft", "body", "", ""},
		"accepted under an alias": {"draft", before, "drafting", "body", "", ""},
		"other body":              {"drafting", before, "drafting", "other", refusedNotRun, refusedNotRun},
		"other kind":              {"drafting", before, "timing", "body", refusedNotRun, refused},
		"renamed":                 {"drafting", routesNamed(api.Route{Name: "drawing", Aliases: []string{"drafting"}}), "drafting", "body", "", ""},
		"renamed, new name":       {"drafting", routesNamed(api.Route{Name: "drawing", Aliases: []string{"drafting"}}), "drawing", "body", "", ""},
		"renamed, other body":     {"drafting", routesNamed(api.Route{Name: "drawing", Aliases: []string{"drafting"}}), "drafting", "other", refusedNotRun, refusedNotRun},
		"renamed without alias":   {"drafting", routesNamed(api.Route{Name: "drawing"}), "drawing", "body", refused, refused},
		"only the alias is kept":  {"draft", routesNamed(api.Route{Name: "drawing", Aliases: []string{"draft"}}), "draft", "body", "", refused},
		"names swapped":           {"drafting", routesNamed(api.Route{Name: "timing"}, api.Route{Name: "drafting", Pool: "green"}), "drafting", "body", "", ""},
		"names swapped, other":    {"drafting", routesNamed(api.Route{Name: "timing"}, api.Route{Name: "drafting", Pool: "green"}), "timing", "body", refusedNotRun, refused},
		"now for lower classes":   {"drafting", routesNamed(api.Route{Name: "drafting", Class: api.ClassLow}), "drafting", "body", "", ""},
	} {
		for _, phase := range []string{"accepting", "queued", "running", "done", "new owner", "restarted"} {
			for _, earlier := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/earlier=%v", name, phase, earlier), func(t *testing.T) {
					h := newHarness(t)
					h.step(TablesChanged{Tables: before})
					route, _ := resolve(before, test.accepted)
					submit := func(s *Submit) {
						s.Route, s.Request.Kind, s.Request.NonIdempotent = route, test.accepted, true
						if earlier {
							s.Request.Kind = "" // is what earlier builds stored
						}
					}
					h.reach(phase, submit)
					if phase == "restarted" {
						restored := New(Config{Name: "north", Seed: 1}, h.p.newScheduler)
						h.c.Assert(restored.Restore(h.p.Snapshot()), qt.IsNil)
						h.p = restored
						h.becomeOwner()
					}
					want := test.want
					if earlier {
						want = test.byEarlier
					}
					starts := len(h.dispatches)
					reply := h.resend(test.tables, test.kind, test.body)
					h.c.Check(h.dispatches, qt.HasLen, starts)
					if want == "" {
						h.c.Check(reply.Err == nil, qt.IsTrue, qt.Commentf("%v", reply.Err))
						return
					}
					h.c.Assert(reply.Err != nil, qt.IsTrue)
					h.c.Check(reply.Err.Code, qt.Equals, api.CodeKeyReused)
					h.c.Check(reply.Err.NotRun, qt.Equals, want == refusedNotRun)
				})
			}
		}
	}
}

// reach submits the request "k" and brings it into a phase. A worker is there from "running" on.
func (h *harness) reach(phase string, submit func(*Submit)) {
	if phase == "accepting" {
		h.submit("k", submit)
		return
	}
	if phase == "queued" || phase == "new owner" {
		h.submit("k", submit)
		h.commit()
		if phase == "new owner" {
			h.becomeOwner()
		}
		return
	}
	h.addWorker("w1", "i1")
	_, id := h.startTask("k", submit)
	if phase == "running" {
		return
	}
	h.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "bond")))
	h.commit()
	h.c.Assert(h.status("k"), qt.Equals, api.StateDone)
}

// Guards against a second run, or a refusal that a caller must take for "not run", whatever happens to the names and
// aliases of routes between a call and its resends.
func TestResendsUnderRandomTables(t *testing.T) {
	kinds := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		h.addWorker("w1", "i1")
		drawTables := func() api.Tables {
			order := rapid.Permutation(kinds).Draw(rt, "names")
			routes := []api.Route{{Name: order[0], Pool: "blue"}, {Name: order[1], Pool: "blue"}}
			for _, alias := range order[2:] {
				if at := rapid.IntRange(0, 2).Draw(rt, "route of "+alias); at < 2 {
					routes[at].Aliases = append(routes[at].Aliases, alias)
				}
			}
			return routesNamed(routes...)
		}
		tables := drawTables()
		first, body := "", "body"
		for range rapid.IntRange(2, 12).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"submit", "tables", "owner", "end"}).Draw(rt, "step") {
			case "tables":
				tables = drawTables()
			case "owner":
				h.step(LostOwnership{})
				h.becomeOwner()
				h.addWorker("w1", "i1")
				h.advance(3 * time.Second)
				h.commit()
			case "end":
				if n := len(h.dispatches); n > 0 && !h.status("k").IsOutcome() {
					h.answerDispatch(n-1, api.DispatchStarted, "i1")
				}
			case "submit":
				kind := rapid.SampledFrom(kinds).Draw(rt, "kind")
				if _, ok := resolve(tables, kind); !ok {
					continue
				}
				if first == "" {
					first = kind
				}
				reply := h.resend(tables, kind, body)
				if kind == first && reply.Err != nil && reply.Err.Code == api.CodeKeyReused {
					rt.Fatalf("the request was accepted as %q; its resend is refused: %v", first, reply.Err)
				}
				if other, _ := resolve(tables, kind); reply.Err != nil && reply.Err.NotRun && serves(other, first) {
					rt.Fatalf("kind %q is served by the route of %q, and its call is told that it did not run", kind, first)
				}
			}
		}
		if len(h.p.records) > 1 {
			rt.Fatalf("%d records for one key", len(h.p.records))
		}
	})
}
