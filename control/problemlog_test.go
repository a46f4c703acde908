package control

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// newTestResolver returns a resolver for the normalized tables.
func newTestResolver(t api.Tables) *Resolver { return NewResolver(NormalizeTables(t), nil) }

// TestProblemLogUnknownKind guards against unknown kinds that are not grouped, counted,
// explained or removed.
func TestProblemLogUnknownKind(t *testing.T) {
	c, l, r := qt.New(t), NewProblemLog(0), newTestResolver(tablesWithRoute("plan", "timing", "east"))
	for i := range 30 {
		l.RecordUnknownKind(int64(1000+i), "plam", fmt.Sprintf("caller-%02d", i%15), r)
	}
	l.RecordUnknownKind(5000, "recalibrate", "x", r)
	got := l.List()
	c.Assert(got, qt.HasLen, 2)
	c.Assert([]any{got[0].Subject, got[0].Nearest}, qt.DeepEquals, []any{"recalibrate", ""})
	c.Assert([]any{got[1].Subject, got[1].Nearest, got[1].Count, got[1].FirstSeenUnixMillis}, qt.DeepEquals, []any{"plam", "plan", int64(30), int64(1000)})
	c.Assert(got[1].Callers, qt.HasLen, maxCallersPerUnknownKind)
	c.Assert(got[1].Remedy, qt.Contains, `send kind "plan", or write "aliases: [plam]" in route "plan"`)

	fixed := tablesWithRoute("plan", "timing", "east")
	fixed.Routes[0].Aliases = []string{"plam"}
	l.Refresh(6000, newTestResolver(fixed))
	c.Assert(l.List(), qt.HasLen, 1)
	l.Refresh(5000+unknownKindExpiry.Milliseconds()+1, newTestResolver(fixed))
	c.Assert(l.List(), qt.HasLen, 0)
}

// TestProblemLogUnknownPool guards against a misspelled pool of a worker that is not
// reported, and against a report that remains after the pool was added, the worker moved
// to another pool or the worker left.
func TestProblemLogUnknownPool(t *testing.T) {
	c, r := qt.New(t), newTestResolver(tablesWithRoute("plan", "timing", "east"))
	newLog := func() *ProblemLog {
		l := NewProblemLog(0)
		l.RecordUnknownPool(1000, "w2", "timng", r)
		l.RecordUnknownPool(1000, "w1", "timng", r)
		return l
	}
	l := newLog()
	got := l.List()
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].Message, qt.Equals, `2 workers, such as "w1", announce pool "timng", which does not exist, so they get no work`)
	c.Assert(got[0].Remedy, qt.Contains, `start them with "--pool timing"`)
	l.RemoveWorker("w1", r)
	c.Assert(l.List()[0].Message, qt.Contains, `worker "w2" announces`)
	l.RemoveWorker("w2", r)
	c.Assert(l.List(), qt.HasLen, 0)

	l = newLog()
	l.Refresh(1000, newTestResolver(tablesWithRoute("plan", "timng", "east")))
	c.Assert(l.List(), qt.HasLen, 0)
	l = newLog()
	l.Refresh(1000+unknownPoolExpiry.Milliseconds(), r)
	c.Assert(l.List(), qt.HasLen, 1)
	l.Refresh(1001+unknownPoolExpiry.Milliseconds(), r)
	c.Assert(l.List(), qt.HasLen, 0)
}

// TestProblemLogIsBounded guards against memory use that grows with the number of
// misspellings, and against random names that evict a misspelling that many callers send.
func TestProblemLogIsBounded(t *testing.T) {
	c, l, r := qt.New(t), NewProblemLog(20), newTestResolver(api.Tables{})
	l.RecordUnknownKind(1, "plam", "x", r)
	l.RecordUnknownKind(2, "plam", "x", r)
	for i := range 1000 {
		l.RecordUnknownKind(int64(10+i), fmt.Sprintf("random-%d", i), "y", r)
		l.RecordUnknownPool(int64(10+i), "w", fmt.Sprintf("random-%d", i), r)
	}
	l.RecordUnknownKind(1, strings.Repeat("é", 300), "x", r)
	got := l.List()
	c.Assert(got, qt.HasLen, 40)
	c.Assert([]string{got[38].Subject, got[39].Subject}, qt.DeepEquals, []string{"plam", strings.Repeat("é", maxNameBytes/2)})
}

// TestProblemLogTableProblems guards against problems of the tables that remain after a
// change resolved them, and against unresolved ones that are listed as new each time.
func TestProblemLogTableProblems(t *testing.T) {
	c, l := qt.New(t), NewProblemLog(0)
	a := newWarningProblem(ProblemPoolWithoutWorker, "timing", "", "m", "r")
	b := newWarningProblem(ProblemPoolWithoutWorker, "draft", "", "m", "r")
	l.SetTableProblems(10, []api.Problem{a})
	l.SetTableProblems(20, []api.Problem{a, b})
	got := l.List()
	c.Assert([]any{got[0].Subject, got[0].FirstSeenUnixMillis, got[1].Subject, got[1].FirstSeenUnixMillis, got[1].Count}, qt.DeepEquals,
		[]any{"draft", int64(20), "timing", int64(10), int64(2)})
	a.Message = "m with another number"
	l.SetTableProblems(25, []api.Problem{a, a, newUnknownPoolProblem(WorkerInfo{Worker: "w", Pool: "timng"}, "")})
	l.RecordUnknownPool(26, "w", "timng", newTestResolver(api.Tables{}))
	got = l.List()
	c.Assert(got, qt.HasLen, 3)
	c.Assert([]any{got[0].Subject, got[0].FirstSeenUnixMillis, got[2].FirstSeenUnixMillis}, qt.DeepEquals, []any{"timng", int64(26), int64(10)})
	l.RemoveWorker("w", newTestResolver(api.Tables{}))
	l.SetTableProblems(30, nil)
	c.Assert(l.List(), qt.HasLen, 0)
}

// TestResolverIsSafeForConcurrentUse guards against a data race between requests that
// resolve unknown kinds.
func TestResolverIsSafeForConcurrentUse(t *testing.T) {
	r := newTestResolver(tablesWithRoute("plan", "timing", "east"))
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for j := range 300 {
				_, _, err := r.Resolve(fmt.Sprintf("plan%d", i*j))
				qt.Check(t, err.Nearest, qt.Equals, "plan")
			}
		})
	}
	wg.Wait()
	qt.Assert(t, len(r.nearestKinds.nearest) <= maxNearestCacheEntries, qt.IsTrue)
}

// TestMergeProblems guards against a problem that is listed once per VM.
func TestMergeProblems(t *testing.T) {
	r := newTestResolver(tablesWithRoute("plan", "timing", "east"))
	x, y := NewProblemLog(0), NewProblemLog(0)
	x.RecordUnknownKind(20, "plam", "a", r)
	y.RecordUnknownKind(10, "plam", "b", r)
	y.RecordUnknownKind(30, "plam", "b", r)
	got := MergeProblems(x.List(), y.List())
	qt.Assert(t, got, qt.HasLen, 1)
	qt.Assert(t, []any{got[0].Count, got[0].FirstSeenUnixMillis}, qt.DeepEquals, []any{int64(3), int64(10)})
	qt.Assert(t, got[0].Callers, qt.DeepEquals, []string{"a", "b"})
}

// Guards against a merged problem without the time at which a VM first saw it, because another report has none.
func TestMergedProblemKeepsItsFirstTime(t *testing.T) {
	seen := api.Problem{Kind: ProblemPoolWithoutWorker, Subject: "slow", FirstSeenUnixMillis: 5, Count: 1}
	later, computed := seen, seen
	later.FirstSeenUnixMillis = 9
	computed.FirstSeenUnixMillis, computed.Count = 0, 0
	for _, list := range [][]api.Problem{{seen, computed}, {computed, seen}, {later, seen}, {seen, later}} {
		merged := MergeProblems(list[:1], list[1:])
		qt.Assert(t, merged, qt.HasLen, 1)
		qt.Check(t, merged[0].FirstSeenUnixMillis, qt.Equals, int64(5))
	}
}

// Guards against requests that wait without a route and are not reported, and against a warning about those that have one.
func TestCheckWaiting(t *testing.T) {
	tables := api.Tables{Routes: []api.Route{{Name: "drawing", Pool: "drafters", Aliases: []string{"draft"}}}, Pools: []api.Pool{{Name: "drafters", Home: "n"}}}
	problems := CheckWaiting(tables, []api.WaitingRequests{
		{Kind: "draft", Route: "drafting", Pool: "drafters", Count: 1}, // by the kind
		{Kind: "d", Route: "drawing", Pool: "drafters", Count: 1},      // by the name of the route
		{Route: "drawing", Pool: "drafters", Count: 1},
		{Kind: "timing", Route: "timing", Pool: "slow", Count: 2},
		{Kind: "timing", Route: "times", Pool: "slow", Count: 3},
		{Route: "timing", Pool: "slow", Count: 4},
	})
	qt.Assert(t, problems, qt.HasLen, 1)
	p := problems[0]
	qt.Check(t, p.Severity, qt.Equals, api.SeverityWarning)
	qt.Check(t, p.Subject, qt.Equals, "timing")
	qt.Check(t, p.Message, qt.Contains, `pool "slow": 9, which the tables do not have`)
	qt.Check(t, p.Remedy, qt.Contains, "aliases: [timing]")
}
