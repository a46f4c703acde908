package placement

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oleanderchute/oleanderchute/api"
)

// model makes random calls to a Scheduler and checks it against its own record of which
// tasks run where.
type model struct {
	s         *Scheduler
	now       time.Duration
	workers   map[string]Worker
	running   map[api.RequestKey][]string // worker names by task; "" once released
	items     map[api.RequestKey]Item
	queued    map[api.RequestKey]bool
	lastKey   int
	decisions []Decision
}

func newModel() *model {
	s := New(Config{Seed: 7, LocalRegion: "r0"})
	s.SetPools([]api.Pool{{Name: "p", Shares: map[string]int64{"t0": 3}, Quotas: map[string]api.Resources{"t2": {MilliCPU: 8000}}}})
	return &model{
		s: s, workers: map[string]Worker{}, running: map[api.RequestKey][]string{},
		items: map[api.RequestKey]Item{}, queued: map[api.RequestKey]bool{},
	}
}

func (m *model) upsert(t *rapid.T) {
	n := rapid.IntRange(0, 40).Draw(t, "worker")
	w := Worker{
		Name: fmt.Sprint("w", n), Pool: "p", Rack: fmt.Sprint("k", n/4), FailureDomain: fmt.Sprint("d", n%3),
		Region: fmt.Sprint("r", n%2), Slots: 8, Connections: 64,
		Capacity: api.Resources{MilliCPU: 8000, MemoryMB: 16000, Accelerators: int64(n % 3)},
	}
	m.workers[w.Name] = w
	m.s.UpsertWorker(m.now, w)
}

func (m *model) remove(t *rapid.T) {
	name := fmt.Sprint("w", rapid.IntRange(0, 40).Draw(t, "worker"))
	m.s.RemoveWorker(m.now, name)
	delete(m.workers, name)
	for _, tasks := range m.running {
		for i := range tasks {
			if tasks[i] == name {
				tasks[i] = ""
			}
		}
	}
}

func (m *model) enqueue(t *rapid.T) {
	m.lastKey++
	item := Item{
		Key:  api.RequestKey{Caller: "c", Key: fmt.Sprint(m.lastKey)},
		Pool: "p", Kind: fmt.Sprint("k", m.lastKey%3), Team: fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team")),
		Class:     rapid.SampledFrom([]api.Class{api.ClassUrgent, api.ClassNormal, api.ClassLow}).Draw(t, "class"),
		Workload:  rapid.SampledFrom([]api.Workload{api.WorkloadService, api.WorkloadBatch}).Draw(t, "workload"),
		Resources: api.Resources{MilliCPU: rapid.Int64Range(0, 9000).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 17000).Draw(t, "memory"), Accelerators: rapid.Int64Range(0, 2).Draw(t, "acc")},
		Region:    rapid.SampledFrom([]string{"", "r0", "r1"}).Draw(t, "region"), Accepted: m.now, Tasks: 1,
		RunTime: time.Duration(rapid.IntRange(0, 20).Draw(t, "run")) * time.Second,
	}
	if rapid.IntRange(0, 4).Draw(t, "gang") == 0 {
		item.Workload, item.Tasks = api.WorkloadGang, rapid.IntRange(2, 12).Draw(t, "tasks")
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		item.Deadline = m.now + 30*time.Second
	}
	m.items[item.Key], m.queued[item.Key] = item, true
	m.s.Enqueue(m.now, item)
}

func (m *model) decide(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
	d := m.s.Decide(m.now, rapid.IntRange(1, 20).Draw(t, "max"))
	m.decisions = append(m.decisions, d)
	for _, x := range d.Expired {
		if !m.queued[x.Key] || m.items[x.Key].Deadline >= m.now {
			t.Fatalf("%v expired although it was not queued or its deadline had not passed", x.Key)
		}
		delete(m.queued, x.Key)
	}
	for _, p := range d.Placements {
		if !m.queued[p.Key] {
			t.Fatalf("%v placed but not queued", p.Key)
		}
		if len(p.Workers) != m.items[p.Key].Tasks {
			t.Fatalf("%v: %d of %d tasks placed", p.Key, len(p.Workers), m.items[p.Key].Tasks)
		}
		delete(m.queued, p.Key)
		m.running[p.Key] = p.Workers
	}
	m.checkCapacity(t, d)
}

// checkCapacity checks, by the model's record and by the allocations, that no worker that
// the decision used is over capacity.
func (m *model) checkCapacity(t *rapid.T, d Decision) {
	used := map[string]*vector{}
	for key, tasks := range m.running {
		for _, name := range tasks {
			if used[name] == nil {
				used[name] = &vector{}
			}
			item := m.items[key]
			used[name].add(item.demand())
		}
	}
	for _, p := range d.Placements {
		for _, name := range p.Workers {
			w := m.workers[name]
			if capacity := vectorOf(w.Capacity, w.Slots, w.Connections); !used[name].fitsIn(&capacity) {
				t.Fatalf("%s: demand of its tasks %v, capacity %v", name, *used[name], capacity)
			}
			if state := m.s.workers[name]; !state.allocated.fitsIn(&state.capacity) {
				t.Fatalf("%s: allocated %v, capacity %v", name, state.allocated, state.capacity)
			}
		}
	}
}

func (m *model) release(t *rapid.T) {
	for n := range m.lastKey {
		key := api.RequestKey{Caller: "c", Key: fmt.Sprint(n + 1)}
		tasks := m.running[key]
		if tasks == nil || rapid.IntRange(0, 2).Draw(t, "skip") > 0 {
			continue
		}
		for i, name := range tasks {
			if name == "" {
				continue
			}
			o := Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
			m.s.ReportOutcome(m.now, name, m.items[key].Kind, o, time.Second)
			m.s.Release(m.now, key, i)
			tasks[i] = ""
		}
		delete(m.running, key)
		return
	}
}

func (m *model) cancel(t *rapid.T) {
	key := api.RequestKey{Caller: "c", Key: fmt.Sprint(rapid.IntRange(1, m.lastKey+1).Draw(t, "key"))}
	if m.s.Cancel(key) != m.queued[key] {
		t.Fatalf("cancel of %v does not report whether it was queued", key)
	}
	delete(m.queued, key)
}

// reportUsage reports a usage of up to ten times the largest declared size.
func (m *model) reportUsage(t *rapid.T) {
	key := api.RequestKey{Caller: "c", Key: fmt.Sprint(rapid.IntRange(1, m.lastKey+1).Draw(t, "key"))}
	m.s.ReportUsage(m.now, key, api.Resources{MilliCPU: rapid.Int64Range(-1, 90000).Draw(t, "used")})
}

// check compares the counts with the model, and the totals of each pool with the sums over
// its workers and teams.
func (m *model) check(t *rapid.T) {
	tasks := 0
	for _, names := range m.running {
		for _, name := range names {
			if name != "" {
				tasks++
			}
		}
	}
	want := Stats{Queued: len(m.queued), Running: tasks, Workers: len(m.workers)}
	if got := m.s.Stats(); got != want {
		t.Fatalf("stats %+v, want %+v", got, want)
	}
	for _, p := range m.s.poolList {
		var total, teams, capacity vector
		for _, w := range p.workers {
			total.add(w.allocated)
			capacity.add(w.capacity)
		}
		for _, team := range p.teams {
			teams.add(team.used)
		}
		if total != p.allocated || teams != p.allocated || capacity != p.capacity {
			t.Fatalf("allocated in the pool %v, on its workers %v, by its teams %v; capacity %v, want %v", p.allocated, total, teams, p.capacity, capacity)
		}
	}
}

// run makes random calls and checks the totals after each.
func (m *model) run(t *rapid.T) {
	steps := []func(*rapid.T){m.upsert, m.enqueue, m.enqueue, m.decide, m.decide, m.release, m.release, m.remove, m.cancel, m.reportUsage}
	for range 4 {
		m.upsert(t)
	}
	for range rapid.IntRange(20, 120).Draw(t, "steps") {
		steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")](t)
		m.check(t)
	}
}

// Guards against a worker over capacity, a partly started gang, an allocation that is
// leaked or counted twice, and a queue that loses or duplicates an item.
func TestAccountingStaysExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		m.run(t)
		for key, tasks := range m.running {
			for i := range tasks {
				m.s.Release(m.now, key, i)
			}
		}
		for _, w := range m.s.workers {
			if w.allocated != (vector{}) || len(w.allocations) > 0 {
				t.Fatalf("%s still has %v allocated", w.Name, w.allocated)
			}
		}
		if len(m.s.jobs) > 0 {
			t.Fatalf("%d jobs without allocations are kept", len(m.s.jobs))
		}
	})
}

// Guards against decisions that depend on map iteration order or on anything other than the
// calls.
func TestSameCallsGiveSameDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.IntRange(0, 1<<30).Draw(t, "calls")
		run := func() []Decision {
			m := newModel()
			rapid.Custom(func(t *rapid.T) int { m.run(t); return 0 }).Example(seed)
			return m.decisions
		}
		if a, b := run(), run(); !reflect.DeepEqual(a, b) {
			t.Fatalf("two runs differ:\n%v\n%v", a, b)
		}
	})
}
