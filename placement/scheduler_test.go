package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against queueing an item that can never run and refusing one that can.
func TestAdmit(t *testing.T) {
	for _, test := range []struct {
		name    string
		change  func(*Item)
		verdict Verdict
		reason  string
	}{
		{"fits", func(*Item) {}, Admitted, ""},
		{"too much memory", func(i *Item) { i.Resources.MemoryMB = 16001 }, NeverFits, "memory_mb: .*"},
		{"no accelerators", func(i *Item) { i.Resources.Accelerators = 1 }, NeverFits, "accelerators: .*"},
		{"too many connections", func(i *Item) { i.Connections = 65 }, NeverFits, "connections: .*"},
		{"all cores of a worker", func(i *Item) { i.Resources = api.Resources{MilliCPU: 8000, MemoryMB: 1000} }, Admitted, ""},
		{"gang at the limit", func(i *Item) { i.Tasks = 32 }, Admitted, ""},
		{"gang over the limit", func(i *Item) { i.Tasks = 33 }, NeverFits, "tasks: .*"},
		{"unknown pool waits", func(i *Item) { i.Pool = "new"; i.Resources.Accelerators = 9 }, Admitted, ""},
		{"over the quota alone", func(i *Item) { i.Team, i.Tasks = "small", 5 }, QuotaExceeded, "milli_cpu: .*"},
		{"deadline passed", func(i *Item) { i.Deadline = time.Nanosecond }, Overloaded, ".*wait.*"},
		{"maximal sizes", func(i *Item) { i.Resources.MilliCPU, i.Tasks = 1<<62, 1<<30 }, NeverFits, "milli_cpu: .*"},
	} {
		m := newSim(4)
		m.s.SetPools([]api.Pool{{Name: "p", Quotas: map[string]api.Resources{"small": {MilliCPU: 4000}}}})
		m.s.RemoveWorker(0, "w00") // a worker that was announced before still counts
		item := Item{Pool: "p", Team: "t", Tasks: 1, Resources: api.Resources{MilliCPU: 1000, MemoryMB: 1000}}
		test.change(&item)
		a := m.s.Admit(time.Second, item)
		qt.Check(t, a.Verdict, qt.Equals, test.verdict, qt.Commentf("%s: %s", test.name, a.Reason))
		qt.Check(t, a.Reason, qt.Matches, test.reason, qt.Commentf(test.name))
	}
}

// Guards against an unbounded queue, a refusal without a retry time, and a full queue of
// one team that causes items of another team to be refused.
func TestAdmitComparesWaitWithDeadline(t *testing.T) {
	c := qt.New(t)
	m := newSim(2)
	m.runFor(5*time.Second, func() { m.backlog("t0", api.ClassNormal, 100, time.Second) })
	// With 16 slots and one second per item, 100 items take about 6 s.
	item := Item{Pool: "p", Team: "t0", Class: api.ClassNormal, Tasks: 1, Kind: "k", Resources: api.Resources{MilliCPU: 1000}}
	item.Deadline = m.now + time.Second
	a := m.s.Admit(m.now, item)
	c.Assert(a.Verdict, qt.Equals, Overloaded)
	c.Assert(a.RetryAfter >= time.Second && a.RetryAfter < time.Minute, qt.IsTrue, qt.Commentf("%v", a.RetryAfter))
	item.Deadline = m.now + time.Minute
	c.Assert(m.s.Admit(m.now, item).Verdict, qt.Equals, Admitted)
	item.Team, item.Deadline = "t1", m.now+time.Second
	c.Assert(m.s.Admit(m.now, item).Verdict, qt.Equals, Admitted)
}

// Guards against new work on a worker on which the tasks found running already exceed
// its capacity.
func TestAllocateOverCapacityStopsPlacement(t *testing.T) {
	c := qt.New(t)
	m := newSim(0)
	for n := range 3 {
		key := api.RequestKey{Key: fmt.Sprint("found", n)}
		m.s.Allocate(0, Item{Key: key, Pool: "p", Resources: api.Resources{MilliCPU: 4000}}, 0, "w00")
	}
	m.s.UpsertWorker(0, testWorker(0))
	key := m.add("t0", api.ClassNormal, time.Second, nil)
	m.step()
	c.Assert(m.placedOn[key], qt.IsNil)
	c.Assert(m.s.Stats(), qt.Equals, Stats{Queued: 1, Running: 3, Workers: 1})
	m.s.Release(m.now, api.RequestKey{Key: "found0"}, 0)
	m.step()
	c.Assert(m.placedOn[key], qt.IsNil) // 8 of 8 cores are still taken
	m.s.Release(m.now, api.RequestKey{Key: "found1"}, 0)
	m.step()
	c.Assert(m.placedOn[key], qt.DeepEquals, []string{"w00"})
}

// Guards against starting a request again while its earlier attempt is still running.
func TestResubmittedItemWaitsForRelease(t *testing.T) {
	c := qt.New(t)
	m := newSim(2)
	key := m.add("t0", api.ClassNormal, time.Hour, nil)
	m.step()
	m.s.Enqueue(m.now, m.items[key])
	c.Assert(m.s.Decide(m.now, 10).Placements, qt.HasLen, 0)
	c.Assert(m.s.Stats(), qt.Equals, Stats{Queued: 1, Running: 1, Workers: 2})
	m.s.Release(m.now, key, 0)
	c.Assert(m.s.Decide(m.now, 10).Placements, qt.HasLen, 1)
}

// Guards against services of one kind sharing a failure domain or rack while others are
// free.
func TestServicesSpreadOverFailureDomains(t *testing.T) {
	m := newSim(24)
	domains := map[string]bool{}
	for range 3 {
		key := m.add("t0", api.ClassNormal, time.Hour, func(i *Item) { i.Workload = api.WorkloadService })
		m.step()
		domains[m.s.workers[m.placedOn[key][0]].FailureDomain] = true
	}
	qt.Assert(t, domains, qt.HasLen, 3)
}

// Guards against placing batch work on an empty worker while it fits on a used one.
func TestBatchItemsPackOnOneWorker(t *testing.T) {
	m := newSim(12)
	used := map[string]bool{}
	for range 8 {
		key := m.add("t0", api.ClassNormal, time.Hour, nil)
		m.step()
		used[m.placedOn[key][0]] = true
	}
	qt.Assert(t, used, qt.HasLen, 1)
}

// Guards against placing work in another region while it fits in the caller's region, and
// against work that waits for a full region while another one has free capacity.
func TestCallersRegionIsPreferred(t *testing.T) {
	m := newSim(1)
	remote := testWorker(1)
	remote.Region = "r1"
	m.s.UpsertWorker(0, remote)
	var workers []string
	for range 9 {
		key := m.add("t0", api.ClassNormal, time.Hour, func(i *Item) { i.Region = "r0" })
		m.runFor(4*simStep, nil)
		workers = append(workers, m.placedOn[key]...)
	}
	qt.Assert(t, workers, qt.DeepEquals, []string{"w00", "w00", "w00", "w00", "w00", "w00", "w00", "w00", "w01"})
}

// Guards against placing work in another region when the wait in the caller's region would
// be shorter than the added latency, and against not doing so when it would be longer.
func TestCrossRegionPlacementWaitsWhileReleasesAreFrequent(t *testing.T) {
	c := qt.New(t)
	m := newSim(1)
	remote := testWorker(1)
	remote.Region = "r1"
	m.s.UpsertWorker(0, remote)
	add := func(n int) {
		for range n {
			m.add("t0", api.ClassNormal, simStep, func(i *Item) { i.Region = "r0" })
		}
	}
	m.runFor(10*time.Second, func() { add(8) }) // 160 releases a second
	add(12)
	m.step()
	c.Assert(m.s.workers["w00"].allocations, qt.HasLen, 8)
	c.Assert(m.s.workers["w01"].allocations, qt.HasLen, 0)
	m.s.SetPlaceable(m.now, "w00", false)
	m.step()
	c.Assert(m.s.workers["w01"].allocations, qt.HasLen, 4)
}

// Guards against small items that fill the capacity freed by a large item before the next
// large item can use it.
func TestCapacityFreedByLargeItemIsKeptForLargeItems(t *testing.T) {
	c := qt.New(t)
	m := newSim(1)
	wholeWorker := func(i *Item) { i.Resources.MilliCPU = 8000 }
	m.add("t0", api.ClassNormal, time.Second, wholeWorker)
	m.step()
	next := m.add("t1", api.ClassNormal, time.Second, wholeWorker)
	m.step() // the large item is blocked
	m.s.Cancel(next)
	m.runFor(800*time.Millisecond, nil)
	small := m.add("t2", api.ClassNormal, time.Second, nil)
	m.runFor(500*time.Millisecond, nil)
	c.Assert(m.s.workers["w00"].allocations, qt.HasLen, 0)
	c.Assert(m.placedOn[small], qt.IsNil)
	next = m.add("t1", api.ClassNormal, 10*time.Second, wholeWorker)
	m.step()
	c.Assert(m.placedOn[next], qt.HasLen, 1)
}

// Guards against a cancel that leaves a gap in the positions, reorders the remaining items
// or loses one.
func TestCancelKeepsOrder(t *testing.T) {
	c := qt.New(t)
	m := newSim(0)
	var keys, want []api.RequestKey
	for range 9 {
		keys = append(keys, m.add("t0", api.ClassNormal, time.Second, nil))
	}
	for i, key := range keys {
		if i%3 == 0 {
			c.Assert(m.s.Cancel(key), qt.IsTrue)
		} else {
			want = append(want, key)
			c.Assert(m.s.Explain(0, key).Position, qt.Equals, len(want))
		}
	}
	m.s.UpsertWorker(0, testWorker(0))
	var got []api.RequestKey
	for _, p := range m.s.Decide(0, 10).Placements {
		got = append(got, p.Key)
	}
	c.Assert(got, qt.DeepEquals, want)
}

// Guards against an endless loop in Decide when the retry time of a waiting item has passed
// while its team is at its quota.
func TestDecideTerminatesWhenRetryIsDueAtQuota(t *testing.T) {
	m := newSim(1)
	m.s.SetPools([]api.Pool{{Name: "p", Quotas: map[string]api.Resources{"t0": {MilliCPU: 8000}}}})
	m.add("t0", api.ClassNormal, time.Hour, func(i *Item) { i.Resources.MilliCPU = 8000 })
	m.step()
	key := m.add("t0", api.ClassNormal, time.Second, nil)
	e := m.s.entries[key]
	e.subqueue.blocked, e.subqueue.retryAt = true, m.now
	m.runFor(time.Second, nil)
	qt.Assert(t, m.s.Explain(m.now, key).WaitsFor, qt.Matches, "the team's quota of milli_cpu")
}

// Guards against explanations that name the wrong limits.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	m := newSim(3)
	m.s.SetPlaceable(0, "w00", false)
	m.s.poolOf("p").startProbation(0, m.s.workers["w01"])
	first := m.add("t0", api.ClassNormal, time.Hour, func(i *Item) { i.Resources.MemoryMB = 16000 })
	m.step()
	c.Assert(m.s.Explain(m.now, first), qt.DeepEquals, Explanation{})
	key := m.add("t0", api.ClassNormal, time.Hour, func(i *Item) { i.Resources.MemoryMB = 16000 })
	m.step()
	c.Assert(m.s.Explain(m.now, key), qt.DeepEquals, Explanation{
		Found: true, Position: 1, WaitsFor: "memory_mb",
		RuledOut: map[string]int{"not_placeable": 1, "probation": 1, "memory_mb": 1},
	})
}

// Guards against a learned run time that differs from the declared one without bound.
func TestLearnedRunTimeIsBounded(t *testing.T) {
	m := newSim(1)
	for range 50 {
		m.s.ReportOutcome(0, "w00", "k", OutcomeSuccess, time.Hour)
	}
	kinds := &m.s.poolOf("p").kinds
	qt.Assert(t, kinds.runTime(&Item{Kind: "k", RunTime: time.Second}), qt.Equals, 10*time.Second)
	qt.Assert(t, kinds.runTime(&Item{Kind: "k"}), qt.Equals, time.Hour)
}

// Guards against an allocation that does not cover the reported usage, shrinks again, or
// exceeds the capacity of the worker.
func TestAllocationGrowsToReportedUsage(t *testing.T) {
	m := newSim(1)
	key := m.add("t0", api.ClassNormal, time.Hour, nil)
	m.step()
	m.s.ReportUsage(m.now, key, api.Resources{MilliCPU: 1 << 50, MemoryMB: -5})
	qt.Assert(t, m.s.workers["w00"].allocated, qt.Equals, vector{8000, 1000, 0, 1, 1})
	m.s.ReportUsage(m.now, key, api.Resources{})
	qt.Assert(t, m.s.workers["w00"].allocated, qt.Equals, vector{8000, 1000, 0, 1, 1})
}
