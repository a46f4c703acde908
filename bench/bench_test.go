package bench

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against comparisons whose figures differ between runs with the same seed, and against
// a simulation that loses requests.
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

// Guards against a workload whose load differs from the one in its name.
func TestGeneratedLoadMatchesTarget(t *testing.T) {
	w := mixedLoad(1, "day", 32)
	work := newGenerator(1, 32).workerSeconds(w.Arrivals)
	qt.Assert(t, work/(smallFleetSize*smallFleetDuration.Seconds()), qt.Satisfies, func(load float64) bool { return load > 0.799 && load < 0.801 })
}

// BenchmarkFleet runs four seconds of peak starts at several fleet sizes, with starts in
// proportion to the fleet. The cost of a placement should grow much less than the fleet.
func BenchmarkFleet(b *testing.B) {
	for _, workers := range []int{825, 1650, 3300, 6600, 13200} {
		for _, startsFactor := range []float64{1, 1.5} {
			b.Run(fmt.Sprintf("workers=%d/load=%.1f", workers, startsFactor), func(b *testing.B) {
				w := ScaledFleet(1, workers, startsFactor, 4*time.Second)
				for b.Loop() {
					r := Run(newScheduler(1), &w)
					b.ReportMetric(1e9/r.DecisionsPerSecond, "ns/placement")
					b.ReportMetric(float64(r.P99Decision.Microseconds()), "p99-µs/decision")
				}
			})
		}
	}
}
