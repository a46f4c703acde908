package placement

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a worker that fails everything and, being always free, keeps taking
// work; and against one that is never given work again after its repair.
func TestFailingWorkerIsPutOnProbationUntilItRecovers(t *testing.T) {
	c := qt.New(t)
	m := newSim(10)
	m.failing["w03"] = true
	starts := func(length time.Duration) int {
		n := 0
		m.steps(length, func() {
			m.backlog("t0", api.ClassNormal, 20, 400*time.Millisecond)
			n += len(m.s.workers["w03"].tasks)
		})
		return n
	}
	starts(10 * time.Second)
	c.Assert(m.s.workers["w03"].health.onProbation, qt.IsTrue)
	c.Assert(len(m.s.poolOf("p").trials), qt.Equals, 1)
	// A trial occupies one of 8 slots for 8 steps, at most once a second.
	c.Assert(starts(20*time.Second) <= 20*8, qt.IsTrue)
	m.failing["w03"] = false
	starts(5 * time.Minute)
	c.Assert(m.s.workers["w03"].health.onProbation, qt.IsFalse)
}

// Guards against workers that are condemned by a kind of work that fails everywhere.
func TestKindThatFailsEverywherePutsNoWorkerOnProbation(t *testing.T) {
	m := newSim(10)
	for n := range 10 {
		m.failing[testWorker(n).Name] = true
	}
	m.steps(20*time.Second, func() { m.backlog("t0", api.ClassNormal, 20, 200*time.Millisecond) })
	qt.Assert(t, len(m.s.poolOf("p").trials), qt.Equals, 0)
}

// Guards against a restart that clears the judgment of a failing worker.
func TestRestartKeepsProbation(t *testing.T) {
	m := newSim(10)
	m.s.poolOf("p").condemn(0, m.s.workers["w01"])
	m.s.RemoveWorker(time.Second, "w01")
	m.s.UpsertWorker(2*time.Second, testWorker(1))
	qt.Assert(t, m.s.workers["w01"].health.onProbation, qt.IsTrue)
}
