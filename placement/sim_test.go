package placement

import (
	"fmt"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// sim simulates the workers of a Scheduler. It ends each started task after its actual run
// time, on a clock that advances in steps of simStep.
type sim struct {
	s              *Scheduler
	now            time.Duration
	lastKey        int
	runTimes       map[api.RequestKey]time.Duration // actual run times
	endingAt       map[time.Duration][]Placement
	items          map[api.RequestKey]Item
	waits          map[api.RequestKey]time.Duration
	placedOn       map[api.RequestKey][]string
	failingWorkers map[string]bool // workers on which every task fails
}

const simStep = 50 * time.Millisecond

// newSim returns a sim with a pool of workers with 8 cores, 16 GB and 8 slots each, four
// workers per rack.
func newSim(workers int) *sim {
	m := &sim{
		s: New(Config{Seed: 3, LocalRegion: "r0"}), runTimes: map[api.RequestKey]time.Duration{}, endingAt: map[time.Duration][]Placement{},
		items: map[api.RequestKey]Item{}, waits: map[api.RequestKey]time.Duration{}, placedOn: map[api.RequestKey][]string{}, failingWorkers: map[string]bool{},
	}
	for n := range workers {
		m.s.UpsertWorker(0, testWorker(n))
	}
	return m
}

func testWorker(n int) Worker {
	return Worker{
		Name: fmt.Sprintf("w%02d", n), Pool: "p", Rack: fmt.Sprint("k", n/4), FailureDomain: fmt.Sprint("d", n/8%3), Region: "r0",
		Slots: 8, Connections: 64, Capacity: api.Resources{MilliCPU: 8000, MemoryMB: 16000},
	}
}

// add queues an item of one core. change, if not nil, modifies it first.
func (m *sim) add(team string, class api.Class, run time.Duration, change func(*Item)) api.RequestKey {
	m.lastKey++
	item := Item{
		Key: api.RequestKey{Caller: "c", Key: fmt.Sprint(m.lastKey)}, Pool: "p", Kind: "k", Team: team, Class: class, Workload: api.WorkloadBatch,
		Tasks: 1, Resources: api.Resources{MilliCPU: 1000, MemoryMB: 1000}, RunTime: run, Accepted: m.now,
	}
	if change != nil {
		change(&item)
	}
	m.items[item.Key], m.runTimes[item.Key] = item, run
	m.s.Enqueue(m.now, item)
	return item.Key
}

// step ends the tasks that are due, makes a decision and advances the clock by simStep.
func (m *sim) step() {
	for _, p := range m.endingAt[m.now] {
		for task, name := range p.Workers {
			o := OutcomeSuccess
			if m.failingWorkers[name] {
				o = OutcomeFailure
			}
			m.s.ReportOutcome(m.now, name, m.items[p.Key].Kind, o, m.runTimes[p.Key])
			m.s.Release(m.now, p.Key, task)
		}
	}
	delete(m.endingAt, m.now)
	for _, p := range m.s.Decide(m.now, 1000).Placements {
		run := max(m.runTimes[p.Key], simStep).Round(simStep)
		m.endingAt[m.now+run] = append(m.endingAt[m.now+run], p)
		m.waits[p.Key] = m.now - m.items[p.Key].Accepted
		m.placedOn[p.Key] = p.Workers
	}
	m.now += simStep
}

// runFor makes steps for the given duration and calls f, unless it is nil, before each.
func (m *sim) runFor(duration time.Duration, f func()) {
	for end := m.now + duration; m.now < end; {
		if f != nil {
			f()
		}
		m.step()
	}
}
