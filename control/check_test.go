package control

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// TestCheck guards against inconsistent tables that Check does not report, against valid
// tables that it rejects, and against remedies that do not tell the operator what to
// write.
func TestCheck(t *testing.T) {
	partitions := []string{"east", "west"}
	worker := func(pool string) []WorkerInfo {
		return []WorkerInfo{{Worker: "w1", Pool: pool, Capacity: api.Resources{MilliCPU: 1000, MemoryMB: 500}}}
	}
	validTables := func(edit func(*api.Tables)) api.Tables {
		tables := api.Tables{Routes: []api.Route{{Name: "plan", Pool: "timing", Aliases: []string{"plam"}}}, Pools: []api.Pool{{Name: "timing", Home: "east"}}}
		edit(&tables)
		return tables
	}
	quota := func(r api.Resources) func(*api.Tables) {
		return func(t *api.Tables) { t.Pools[0].Quotas = map[string]api.Resources{"red": r} }
	}
	addRoute := func(r api.Route) func(*api.Tables) {
		return func(t *api.Tables) { t.Routes = append(t.Routes, r) }
	}
	for _, test := range []struct {
		name    string
		old     api.Tables
		edit    func(*api.Tables)
		workers []WorkerInfo
		want    string // lines of the form "severity kind subject nearest", one per problem
		remedy  string // part of the remedies
	}{
		{name: "valid", edit: func(*api.Tables) {}},
		{name: "route without pool", edit: addRoute(api.Route{Name: "recalibrate", Pool: "timng"}), want: "error route_without_pool recalibrate timing", remedy: `write "pool: timing" in route "recalibrate"`},
		{name: "route names no pool", edit: addRoute(api.Route{Name: "recalibrate"}), want: "error route_without_pool recalibrate ", remedy: `write "pool: NAME"`},
		{name: "duplicate route", edit: addRoute(api.Route{Name: "plan", Pool: "timing"}), want: "error duplicate_route plan ", remedy: "remove one"},
		{name: "alias is a route", edit: addRoute(api.Route{Name: "x-ray", Pool: "timing", Aliases: []string{"plan"}}), want: "error alias_conflict plan \nwarning near_duplicate_route plan plam", remedy: `remove "plan" from the aliases of route "x-ray"`},
		{name: "alias twice", edit: addRoute(api.Route{Name: "x-ray", Pool: "timing", Aliases: []string{"plam"}}), want: "error alias_conflict plam \nwarning near_duplicate_route plan plam", remedy: `remove "plam"`},
		{name: "workload", edit: func(t *api.Tables) { t.Routes[0].Workload = "bach" }, want: "error bad_value plan batch", remedy: `write "workload: batch"`},
		{name: "class", edit: func(t *api.Tables) { t.Routes[0].Class = "urgnt" }, want: "error bad_value plan urgent", remedy: `write "class: urgent"`},
		{name: "bad name", edit: addRoute(api.Route{Name: "a b/c", Pool: "timing"}), want: "error bad_name a b/c ", remedy: `write "a-b-c"`},
		{name: "no home", edit: func(t *api.Tables) { t.Pools[0].Home = "" }, want: "error unknown_home timing ", remedy: `write "home: PARTITION"`},
		{name: "unknown home", edit: func(t *api.Tables) { t.Pools[0].Home = "esat" }, want: "error unknown_home timing east", remedy: `write "home: east" in pool "timing"`},
		{name: "zero share", edit: func(t *api.Tables) { t.Pools[0].Shares = map[string]int64{"red": 0} }, want: "error bad_share timing ", remedy: `write "red: N"`},
		{name: "negative quota", edit: quota(api.Resources{MilliCPU: -1, MemoryMB: 1}), want: "error bad_quota timing ", remedy: `write "milli_cpu:"`},
		{name: "quota without memory", edit: quota(api.Resources{MilliCPU: 1}), want: "warning bad_quota timing ", remedy: "write both"},
		{name: "quota above the workers", edit: quota(api.Resources{MilliCPU: 1000, MemoryMB: 501}), workers: worker("timing"), want: "warning quota_exceeds_workers timing ", remedy: `write "memory_mb: 500" or less`},
		{name: "quota of accelerators", edit: quota(api.Resources{MilliCPU: 1, MemoryMB: 1, Accelerators: 1}), workers: worker("timing"), want: "warning quota_exceeds_workers timing ", remedy: `"accelerators: 0"`},
		{name: "pool without worker", edit: func(*api.Tables) {}, workers: []WorkerInfo{}, want: "warning pool_without_worker timing ", remedy: `start workers with "--pool timing"`},
		{name: "worker misspells pool", edit: func(*api.Tables) {}, workers: worker("tirning"), want: "warning pool_without_worker timing tirning\nwarning worker_without_pool tirning timing", remedy: `start them with "--pool timing"`},
		{name: "pool without route", edit: func(t *api.Tables) { t.Pools = append(t.Pools, api.Pool{Name: "spare", Home: "west"}) }, want: "warning pool_without_route spare ", remedy: `"pool: spare"`},
		{name: "used pool loses its route", old: tablesWithRoute("plan", "timing", "east"), edit: func(t *api.Tables) { t.Routes = nil }, workers: worker("timing"), want: "warning pool_loses_last_route timing ", remedy: `"pool: timing"`},
		{name: "home changes", old: tablesWithRoute("plan", "timing", "west"), edit: func(*api.Tables) {}, want: "error pool_home_changed timing west\nerror route_home_changed plan ", remedy: `write "home: west"`},
		{name: "near duplicate by case", edit: addRoute(api.Route{Name: "Plan", Pool: "timing"}), want: "warning near_duplicate_route plan Plan\nwarning near_duplicate_route plam Plan", remedy: `remove "plan" and write "aliases: [plan]" in route "Plan"`},
		{name: "near duplicate pool", edit: func(t *api.Tables) {
			t.Pools = append(t.Pools, api.Pool{Name: "tim_ing", Home: "east"})
			addRoute(api.Route{Name: "x-ray", Pool: "tim_ing"})(t)
		}, want: "warning near_duplicate_pool timing tim_ing", remedy: "rename one"},
		{name: "Cyrillic letter", edit: func(t *api.Tables) { t.Routes[0].Name = "plаn" }, want: "warning mixed_alphabets plаn ", remedy: "type the name again with Latin letters: plan"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var got []string
			remedies := ""
			for _, p := range Check(test.old, validTables(test.edit), test.workers, partitions) {
				got = append(got, fmt.Sprintf("%s %s %s %s", p.Severity, p.Kind, p.Subject, p.Nearest))
				remedies += p.Remedy + "\n"
				qt.Check(t, p.Remedy != "" && p.Message != "", qt.IsTrue, qt.Commentf("%+v", p))
			}
			var want []string
			if test.want != "" {
				want = strings.Split(test.want, "\n")
			}
			qt.Assert(t, got, qt.ContentEquals, want)
			qt.Assert(t, remedies, qt.Contains, test.remedy)
		})
	}
}

// TestFindNearDuplicates guards against near duplicates that are not found, and against
// warnings about numbered or lettered series, which would hide the other warnings.
func TestFindNearDuplicates(t *testing.T) {
	for _, test := range []struct {
		a, b string
		near bool
	}{
		{"draft", "Draft", true}, {"draft-it", "draft_it", true}, {"draft", "drafts", true}, {"draft", "dratf", true},
		{"issue", "lssue", true}, {"pool1", "pooll", true}, {"go0", "goO", true}, {"сору", "copy", true}, {"plan-l", "plan-1", true},
		{"plan-1", "plan-2", false}, {"plan-1", "plan-12", false}, {"rack-a", "rack-b", false}, {"draft", "issue", false}, {"abcd", "abxy", false},
	} {
		got := findNearDuplicates([]ownedName{{test.a, "x"}, {test.b, "y"}})
		qt.Check(t, len(got) == 1, qt.Equals, test.near, qt.Commentf("%s %s", test.a, test.b))
	}
	qt.Assert(t, findNearDuplicates([]ownedName{{"draft", "x"}, {"drafts", "x"}}), qt.HasLen, 0)
}

// TestNearest guards against suggestions that are missing for common misspellings, or that
// are not similar to the name.
func TestNearest(t *testing.T) {
	names := []string{"draft-guarantee", "issue", "timing-plan"}
	for name, want := range map[string]string{
		"isue": "issue", "ISSUE": "issue", "lssue": "issue", "plan": "timing-plan", "draft_garante": "draft-guarantee",
		"xyz": "", "": "", strings.Repeat("x", 300): "",
	} {
		qt.Check(t, Nearest(name, names), qt.Equals, want, qt.Commentf("%q", name))
	}
}

// TestSummarizeWorkersKeepsProblems guards against a summary for which Check returns
// other problems than for the separate workers.
func TestSummarizeWorkersKeepsProblems(t *testing.T) {
	workers := []WorkerInfo{{Worker: "w2", Pool: "timing", Capacity: api.Resources{MilliCPU: 5}}, {Worker: "w1", Pool: "timing", Capacity: api.Resources{MilliCPU: 5}}, {Worker: "w3", Pool: "x"}}
	tables := tablesWithRoute("plan", "timing", "east")
	tables.Pools[0].Quotas = map[string]api.Resources{"red": {MilliCPU: 11, MemoryMB: 1}}
	summary := SummarizeWorkers(workers)
	qt.Assert(t, summary[0], qt.DeepEquals, WorkerInfo{Worker: "w1", Pool: "timing", Capacity: api.Resources{MilliCPU: 10}, Count: 2})
	qt.Assert(t, Check(api.Tables{}, tables, summary, nil), qt.DeepEquals, Check(api.Tables{}, tables, workers, nil))
	qt.Assert(t, SummarizeWorkers(nil), qt.IsNil)
}
