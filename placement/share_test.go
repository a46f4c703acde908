package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/oleanderchute/oleanderchute/api"
)

// backlog adds items until n items of the team and class are queued.
func (m *sim) backlog(team string, class api.Class, n int, run time.Duration) {
	for q := m.s.poolOf("p").teamOf(team).classOf(class); q.queued < n; {
		m.add(team, class, run, nil)
	}
}

// Guards against a flood in any class that reduces other teams, or the other classes of
// the same team, to less than their fair share.
func TestFloodLeavesOthersTheirFairShare(t *testing.T) {
	classes := []api.Class{api.ClassUrgent, api.ClassNormal, api.ClassLow}
	rapid.Check(t, func(t *rapid.T) {
		m := newSim(8)
		weights := map[string]int64{}
		for i := range 3 {
			weights[fmt.Sprint("t", i)] = rapid.Int64Range(1, 4).Draw(t, "weight")
		}
		m.s.SetPools([]api.Pool{{Name: "p", Shares: weights}})
		flood := rapid.SampledFrom(classes).Draw(t, "flood")
		other := rapid.SampledFrom(classes).Draw(t, "other")
		run := time.Duration(rapid.IntRange(5, 20).Draw(t, "run")) * simStep
		used := map[string]float64{}
		steps := 0.0
		for m.now < 8*time.Second {
			m.backlog("t0", flood, 200, run)
			m.backlog("t0", api.ClassLow, 64, run)
			m.backlog("t1", other, 64, run)
			m.backlog("t2", other, 64, run)
			m.step()
			if m.now > 2*time.Second {
				steps++
				for name := range weights {
					used[name] += m.s.poolOf("p").teamOf(name).dominantShare()
				}
				used["low"] += m.s.poolOf("p").teamOf("t0").classOf(api.ClassLow).dominantShare()
			}
		}
		for _, name := range []string{"t1", "t2"} {
			if fairShare := m.s.poolOf("p").teamOf(name).fairShare(); used[name]/steps < 0.95*fairShare {
				t.Fatalf("%s used %.3f of the pool, its fair share is %.3f", name, used[name]/steps, fairShare)
			}
		}
		// The low class uses whole cores, but its fair share may not be a whole number of
		// them, so one task less is accepted.
		if fairShare := m.s.poolOf("p").teamOf("t0").classOf(api.ClassLow).fairShare(); used["low"]/steps < 0.95*fairShare-1.0/64 {
			t.Fatalf("low class of t0 used %.3f of the pool, its fair share is %.3f", used["low"]/steps, fairShare)
		}
	})
}

// Guards against urgent work that waits behind a flood of urgent work of another team. At
// this small load it starts on headroom workers immediately, well within 2.2 s.
func TestUrgentWorkStartsDuringUrgentFlood(t *testing.T) {
	m := newSim(40)
	var urgent []api.RequestKey
	for m.now < time.Minute {
		m.backlog("t0", api.ClassUrgent, 500, 20*time.Second)
		if m.now > 5*time.Second && m.now%time.Second == 0 {
			urgent = append(urgent, m.add("t1", api.ClassUrgent, 5*time.Second, nil))
		}
		m.step()
	}
	m.runFor(5*time.Second, nil)
	for _, key := range urgent {
		wait, started := m.waits[key]
		qt.Assert(t, started && wait <= 500*time.Millisecond, qt.IsTrue, qt.Commentf("%v waited %v, started %v", key, wait, started))
	}
}

// Guards against urgent work that waits for the long tasks of its own team, and against a
// flood of urgent work that takes more than a small part of another team's fair share.
func TestUrgentBurstIsBounded(t *testing.T) {
	c := qt.New(t)
	m := newSim(64)
	m.add("t1", api.ClassNormal, time.Second, nil)
	for range 258 { // t0 uses more than its half of the pool for a long time
		m.add("t0", api.ClassNormal, time.Hour, nil)
	}
	m.step()
	addOtherWork := func() {
		// 1024 queued items imply waits longer than restrictedWorkerDelay.
		for q := m.s.poolOf("p").teamOf("t1").classOf(api.ClassNormal); q.queued < 1024; {
			m.add("t1", api.ClassNormal, time.Duration(10+m.lastKey%20)*simStep, nil)
		}
	}
	m.runFor(10*time.Second, addOtherWork)
	urgent := m.add("t0", api.ClassUrgent, time.Second, nil)
	m.runFor(2*time.Second, addOtherWork)
	_, started := m.waits[urgent]
	c.Assert(started, qt.IsTrue)
	used, steps := 0.0, 0.0
	t1 := m.s.poolOf("p").teamOf("t1")
	m.runFor(20*time.Second, func() {
		addOtherWork()
		m.backlog("t0", api.ClassUrgent, 200, 2*time.Second)
		used, steps = used+t1.dominantShare(), steps+1
	})
	c.Assert(used/steps >= 0.95*t1.fairShare(), qt.IsTrue, qt.Commentf("t1 used %.3f of the pool", used/steps))
}

// Guards against lent share that is not returned as the borrower's tasks end.
func TestLentShareIsReturnedAsTasksEnd(t *testing.T) {
	m := newSim(10)
	m.add("t1", api.ClassLow, time.Hour, nil) // t1 uses little of its half of the pool
	m.runFor(10*time.Second, func() { m.backlog("t0", api.ClassLow, 200, 2*time.Second) })
	t0, t1 := m.s.poolOf("p").teamOf("t0"), m.s.poolOf("p").teamOf("t1")
	qt.Assert(t, t0.dominantShare() > 0.95, qt.IsTrue, qt.Commentf("unused share is not lent: %v", t0.dominantShare()))
	// After one run time, all tasks on lent capacity have ended.
	m.runFor(2*time.Second+2*simStep, func() {
		m.backlog("t0", api.ClassLow, 200, 2*time.Second)
		m.backlog("t1", api.ClassLow, 200, 2*time.Second)
	})
	qt.Assert(t, t1.dominantShare() >= 0.95*t1.fairShare(), qt.IsTrue, qt.Commentf("t1 uses %v of the pool", t1.dominantShare()))
}

// Guards against a borrowing team that takes capacity for which other work within its fair
// share is waiting.
func TestLendingPausesWhileWorkersAreReservedForWorkWithinItsShare(t *testing.T) {
	c := qt.New(t)
	m := newSim(10)
	for range 30 { // t2 uses some of its share, so that t0 borrows
		m.add("t2", api.ClassNormal, time.Hour, nil)
	}
	flood := func() {
		for m.s.queued < 200 {
			m.add("t0", api.ClassNormal, time.Duration(20+m.lastKey*7%100)*simStep, nil)
		}
	}
	m.runFor(5*time.Second, flood)
	whole := m.add("t1", api.ClassNormal, time.Second, func(i *Item) { i.Resources.MilliCPU = 8000 })
	m.runFor(reservationDelayWithinShare+3*simStep, flood)
	p := m.s.poolOf("p")
	c.Assert(p.reservations, qt.HasLen, 1)
	for m.waits[whole] == 0 {
		flood()
		m.step()
		for _, w := range p.workers {
			for _, a := range w.allocations {
				// A task that starts within the fair share may exceed it by up to its
				// own slot, one of 80.
				t0 := p.teamOf("t0")
				lent := a.startedAt == m.now-simStep && a.job.class.team == t0 && t0.dominantShare() > t0.fairShare()+1.0/80
				c.Assert(lent && w.reservation == nil && len(p.reservations) > 0, qt.IsFalse)
			}
		}
		c.Assert(m.now < time.Minute, qt.IsTrue)
	}
}

// Guards against an item that never starts because small items take all freed capacity,
// for any size, number of tasks, class and team, even if declared run times are wrong by a
// factor of up to ten.
func TestNoItemStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSim(8)
		errorFactor := time.Duration(rapid.IntRange(1, 10).Draw(t, "wrong"))
		small := func() {
			for m.s.queued < 100 {
				m.add(fmt.Sprint("t", m.lastKey%3), api.ClassNormal, time.Duration(1+m.lastKey%20)*simStep*errorFactor, func(i *Item) { i.RunTime /= errorFactor })
			}
		}
		m.runFor(3*time.Second, small)
		class := rapid.SampledFrom([]api.Class{api.ClassUrgent, api.ClassNormal, api.ClassLow}).Draw(t, "class")
		key := m.add(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team")), class, time.Second, func(i *Item) {
			i.Resources.MilliCPU = rapid.Int64Range(1000, 8000).Draw(t, "cpu")
			if i.Tasks = rapid.IntRange(1, 8).Draw(t, "tasks"); i.Tasks > 1 {
				i.Workload = api.WorkloadGang
			}
		})
		for started := false; !started; _, started = m.waits[key] {
			if m.now > 4*time.Minute {
				t.Fatalf("not started after %v", m.now)
			}
			m.runFor(time.Second, small)
		}
	})
}
