package partition

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/oleanderchute/oleanderchute/api"
)

// poolTables returns tables in which routes serve kinds in pools, both by position.
func poolTables(routes ...api.Route) api.Tables {
	return api.Tables{Routes: routes, Pools: []api.Pool{{Name: "blue", Home: "north"}, {Name: "red", Home: "north"}}}
}

// addWorkerOf adds a worker of a pool.
func (h *harness) addWorkerOf(pool, name string) {
	h.step(WorkerAnnounced{api.Announcement{Worker: name, Incarnation: "i1", URL: "http://" + name, Pool: pool, Slots: 32, Capacity: api.Resources{MilliCPU: 32_000}}})
	h.answerSync(name, "i1", nil)
	h.commit()
}

// startedOn returns the workers to which tasks were dispatched.
func (h *harness) startedOn() []string {
	var names []string
	for _, d := range h.dispatches {
		names = append(names, d.Worker)
	}
	return names
}

// Guards against an accepted request that waits in a pool that its route no longer names, and against one that
// starts in both pools.
func TestWaitingRequestFollowsItsRoute(t *testing.T) {
	draft := func(pool string, aliases ...string) api.Route {
		return api.Route{Name: "draft", Pool: pool, Aliases: aliases}
	}
	for name, test := range map[string]struct {
		tables api.Tables
		want   string // worker
	}{
		"unchanged":                {poolTables(draft("blue")), "w-blue"},
		"other pool":               {poolTables(draft("red")), "w-red"},
		"renamed, other pool":      {poolTables(api.Route{Name: "drawing", Pool: "red", Aliases: []string{"draft"}}), "w-red"},
		"removed":                  {poolTables(api.Route{Name: "timing", Pool: "red"}), "w-blue"},
		"an alias of another name": {poolTables(draft("red", "drafting")), "w-red"},
	} {
		for _, change := range []string{"before the commit", "after the commit", "before a new owner", "after a backoff"} {
			t.Run(name+"/"+change, func(t *testing.T) {
				h := newHarness(t)
				h.step(TablesChanged{Tables: poolTables(draft("blue"))})
				h.submit("k", func(s *Submit) { s.Request.NonIdempotent, s.Request.Kind = true, "draft" })
				if change != "before the commit" {
					h.commit()
				}
				if change == "after a backoff" {
					h.addWorkerOf("blue", "w-old")
					h.answerDispatch(0, api.DispatchRefused, "i1")
					h.commit()
					h.dispatches = nil
				}
				h.step(TablesChanged{Tables: test.tables})
				h.commit()
				if change == "before a new owner" {
					h.becomeOwner()
				}
				h.addWorkerOf("red", "w-red")
				h.addWorkerOf("blue", "w-blue")
				h.advance(minBackoff)
				h.commit()
				if change == "after a backoff" && test.want == "w-blue" {
					test.want = "w-old" // the first worker of the pool
				}
				h.c.Assert(h.startedOn(), qt.DeepEquals, []string{test.want})
			})
		}
	}
}

// Guards against a task that is stopped, or starts a second time, because its route names another pool.
func TestRunningRequestStaysInItsPool(t *testing.T) {
	h := newHarness(t)
	h.step(TablesChanged{Tables: poolTables(api.Route{Name: "draft", Pool: "blue"})})
	h.addWorkerOf("blue", "w-blue")
	h.addWorkerOf("red", "w-red")
	w, id := h.startTask("k", nil)
	h.step(TablesChanged{Tables: poolTables(api.Route{Name: "draft", Pool: "red"})})
	h.advance(time.Second)
	h.commit()
	h.c.Check(h.startedOn(), qt.DeepEquals, []string{"w-blue"})
	h.c.Check(h.stops, qt.HasLen, 0)
	h.answerSync("w-blue", "i1", withEnds(taskEnd(id, api.EndDone, "bond")))
	h.commit()
	h.c.Check(h.replies[w].Status.State, qt.Equals, api.StateDone)
}

// Guards against a request that waits without a route and about which an operator learns nothing.
func TestWaitingRequestWithoutRouteIsReported(t *testing.T) {
	h := newHarness(t)
	h.step(TablesChanged{Tables: poolTables(api.Route{Name: "draft", Pool: "blue", Aliases: []string{"drafting"}})})
	for i := range 3 {
		h.submit(fmt.Sprint(i), func(s *Submit) { s.Request.Kind = "drafting" })
	}
	h.commit()
	h.c.Check(h.p.Waiting(), qt.DeepEquals, []api.WaitingRequests{{Kind: "drafting", Route: "draft", Pool: "blue", Count: 3}})
	h.c.Check(strings.Contains(h.p.Explain(h.now, key("1")).WaitsFor, "blue"), qt.IsTrue)
	h.step(TablesChanged{Tables: api.Tables{Routes: []api.Route{{Name: "timing", Pool: "red"}}, Pools: []api.Pool{{Name: "red", Home: "north"}}}})
	waitsFor := h.p.Explain(h.now, key("1")).WaitsFor
	h.c.Check(strings.Contains(waitsFor, `"drafting"`) && strings.Contains(waitsFor, `"blue"`), qt.IsTrue, qt.Commentf("%s", waitsFor))
	h.step(TablesChanged{Tables: poolTables(api.Route{Name: "draft", Pool: "blue"})})
	h.addWorkerOf("blue", "w-blue")
	h.c.Check(h.startedOn(), qt.HasLen, 3)
	h.c.Check(h.p.Waiting(), qt.HasLen, 0)
}

// Guards against a status that denies the time for which a request has waited.
func TestStatusOfQueuedRequestHasItsWait(t *testing.T) {
	h := newHarness(t)
	h.submit("k", nil)
	h.commit()
	h.advance(10 * time.Second)
	status, _ := h.p.Status(key("k"))
	h.c.Check(status.WaitedMillis, qt.Equals, int64(10_000))
	h.addWorker("w1", "i1")
	h.advance(time.Second)
	h.commit()
	status, _ = h.p.Status(key("k"))
	h.c.Check(status.WaitedMillis, qt.Equals, int64(10_000))
}

// Guards against requests that wait beside an idle worker of the pool that their route names, or start twice, whatever
// names and pools the tables give their routes.
func TestRequestsUnderRandomRoutes(t *testing.T) {
	kinds, pools := []string{"a", "b", "c"}, []string{"blue", "red"}
	rapid.Check(t, func(rt *rapid.T) {
		h := newHarness(t)
		drawTables := func() api.Tables {
			order := rapid.Permutation(kinds).Draw(rt, "names")
			var routes []api.Route
			for i := range rapid.IntRange(1, 2).Draw(rt, "routes") {
				routes = append(routes, api.Route{Name: order[i], Pool: rapid.SampledFrom(pools).Draw(rt, "pool")})
			}
			for _, alias := range order[len(routes):] {
				if at := rapid.IntRange(0, 2).Draw(rt, "route of "+alias); at < len(routes) {
					routes[at].Aliases = append(routes[at].Aliases, alias)
				}
			}
			return poolTables(routes...)
		}
		tables := drawTables()
		h.step(TablesChanged{Tables: tables})
		kindOf := map[string]string{}
		for i := range rapid.IntRange(1, 15).Draw(rt, "steps") {
			switch rapid.SampledFrom([]string{"submit", "submit", "tables", "owner", "commit"}).Draw(rt, "step") {
			case "submit":
				kind, k := rapid.SampledFrom(kinds).Draw(rt, "kind"), fmt.Sprint(i)
				if route, ok := resolve(tables, kind); ok {
					kindOf[k] = kind
					h.submit(k, func(s *Submit) { s.Route, s.Request.Kind, s.Request.NonIdempotent = route, kind, true })
					h.commit()
				}
			case "tables":
				tables = drawTables()
				h.step(TablesChanged{Tables: tables})
			case "owner":
				h.becomeOwner()
			case "commit":
				h.advance(time.Second)
				h.commit()
			}
		}
		h.addWorkerOf("blue", "w-blue")
		h.addWorkerOf("red", "w-red")
		h.advance(time.Second)
		h.commit()
		workers := map[string]string{}
		for _, d := range h.dispatches {
			if workers[d.Dispatch.Task.Key] != "" {
				rt.Fatalf("request %s starts twice", d.Dispatch.Task.Key)
			}
			workers[d.Dispatch.Task.Key] = d.Worker
		}
		for k, kind := range kindOf {
			if route, ok := resolve(tables, kind); ok && workers[k] != "w-"+route.Pool {
				rt.Fatalf("request %s of kind %s starts on %q; its route names pool %s", k, kind, workers[k], route.Pool)
			}
			if workers[k] == "" {
				rt.Fatalf("request %s of kind %s waits beside idle workers of both pools", k, kind)
			}
		}
	})
}
