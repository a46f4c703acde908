package bench

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a comparison whose figures change from run to run with one seed, and
// against a driver that loses requests.
func TestRunIsDeterministic(t *testing.T) {
	w := gangMix(1)
	again := Policies(5)
	for i, p := range Policies(5) {
		a, b := Run(p.Policy, &w), Run(again[i].Policy, &w)
		qt.Assert(t, a.Jobs, qt.DeepEquals, b.Jobs, qt.Commentf(p.Name))
		qt.Assert(t, a.Jobs, qt.HasLen, len(w.Arrivals))
		started := 0
		for _, j := range a.Jobs {
			if j.Started {
				started++
			}
		}
		qt.Assert(t, started > len(w.Arrivals)/2, qt.IsTrue, qt.Commentf(p.Name))
	}
}

// Guards against a workload whose load is not the one in its name.
func TestGeneratedLoadMatchesTarget(t *testing.T) {
	w := day(1, "day", 32)
	work := newGenerator(1, 32).work(w.Arrivals)
	qt.Assert(t, work/(firmSize*firmEnd.Seconds()), qt.Satisfies, func(load float64) bool { return load > 0.799 && load < 0.801 })
}

// BenchmarkFleet runs two seconds of peak starts at several fleet sizes, with starts in
// proportion to the fleet. The cost of a placement should grow much less than that.
func BenchmarkFleet(b *testing.B) {
	for _, workers := range []int{825, 1650, 3300, 6600, 13200} {
		for _, multiple := range []float64{1, 1.5} {
			b.Run(fmt.Sprintf("workers=%d/load=%.1f", workers, multiple), func(b *testing.B) {
				w := ScaledFleet(1, workers, multiple, 4*time.Second)
				for b.Loop() {
					r := Run(newScheduler(1), &w)
					b.ReportMetric(1e9/r.DecisionsPerSecond, "ns/placement")
					b.ReportMetric(float64(r.P99Decision.Microseconds()), "p99-µs/decision")
				}
			})
		}
	}
}
