package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a worker that fails every task immediately, is therefore always free and
// attracts most of the work, and against a worker that gets no work after it recovers.
func TestFailingWorkerIsPutOnProbationUntilItRecovers(t *testing.T) {
	c := qt.New(t)
	m := newSim(10)
	m.failingWorkers["w03"] = true
	// taskSteps returns the number of tasks running on w03, summed over all steps.
	taskSteps := func(length time.Duration) int {
		n := 0
		m.runFor(length, func() {
			m.backlog("t0", api.ClassNormal, 20, 400*time.Millisecond)
			n += len(m.s.workers["w03"].allocations)
		})
		return n
	}
	taskSteps(10 * time.Second)
	c.Assert(m.s.workers["w03"].health.onProbation, qt.IsTrue)
	c.Assert(len(m.s.poolOf("p").probationWorkers), qt.Equals, 1)
	// A trial task occupies one of 8 slots for 8 steps, at most once a second.
	c.Assert(taskSteps(20*time.Second) <= 20*8, qt.IsTrue)
	m.failingWorkers["w03"] = false
	taskSteps(5 * time.Minute)
	c.Assert(m.s.workers["w03"].health.onProbation, qt.IsFalse)
}

// Guards against putting workers on probation because of a kind of work that fails on
// every worker.
func TestKindThatFailsEverywherePutsNoWorkerOnProbation(t *testing.T) {
	m := newSim(10)
	for n := range 10 {
		m.failingWorkers[testWorker(n).Name] = true
	}
	m.runFor(20*time.Second, func() { m.backlog("t0", api.ClassNormal, 20, 200*time.Millisecond) })
	qt.Assert(t, len(m.s.poolOf("p").probationWorkers), qt.Equals, 0)
}

// Guards against a restart that resets the health of a failing worker.
func TestRestartKeepsProbation(t *testing.T) {
	m := newSim(10)
	m.s.poolOf("p").startProbation(0, m.s.workers["w01"])
	m.s.RemoveWorker(time.Second, "w01")
	m.s.UpsertWorker(2*time.Second, testWorker(1))
	qt.Assert(t, m.s.workers["w01"].health.onProbation, qt.IsTrue)
}
