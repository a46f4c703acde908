package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// newClusterWithRuns returns a cluster of two workers on which two tasks of 20 s run, and the worker
// that runs the first of them.
func newClusterWithRuns(c *qt.C) (*cluster, *fakeWorker) {
	k := newCluster(1, faults{})
	k.setUp(2, false)
	k.run(2 * time.Second)
	k.submit(1, newStep(2, 1000, 20_000))
	k.run(3 * time.Second)
	for _, w := range k.workers {
		if len(w.runs) > 0 {
			return k, w
		}
	}
	c.Fatal("no task runs")
	return nil, nil
}

// Guards against two runs of a task when the reply to a worker's sign-off is lost: the worker
// runs on until it has a reply to a later one, or gives up.
func TestTasksOfSignedOffWorkerRunOnce(t *testing.T) {
	c := qt.New(t)
	k, w := newClusterWithRuns(c)
	c.Assert(k.sched.SignedOff(k.now, w.info.Name), qt.IsTrue)
	k.run(k.now + 5*time.Second) // no confirmation ends the worker
	c.Assert(k.violations, qt.HasLen, 0, qt.Commentf("%s", k.traceOf("run")))
	c.Assert(w.runs, qt.HasLen, 0)
	for _, other := range k.workers {
		if other != w {
			c.Assert(other.runs, qt.HasLen, 2)
		}
	}
}

// Guards against a sign-off that is confirmed before the worker's runs have ended, so that they are
// lost with it, and against one that waits for a worker which does not answer.
func TestSignOffIsConfirmed(t *testing.T) {
	for name, answers := range map[string]bool{"when the runs are stopped": true, "in time if the worker does not answer": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k, w := newClusterWithRuns(c)
			w.isPartitioned = !answers
			signedOffAt := k.now
			c.Assert(k.sched.SignedOff(k.now, w.info.Name), qt.IsTrue)
			state := k.sched.newest(w.info.Name)
			for !state.isSignOffConfirmed && k.now < signedOffAt+2*time.Second {
				k.run(k.now + 5*time.Millisecond)
			}
			c.Assert(k.now <= signedOffAt+k.settings().StopTimeout+signOffMargin+20*time.Millisecond, qt.IsTrue, qt.Commentf("%v", k.now-signedOffAt))
			c.Assert(len(w.runs) == 0, qt.Equals, answers)
			if !answers {
				w.end()
			}
			k.run(k.now + 15*time.Second)
			c.Assert(k.violations, qt.HasLen, 0)
		})
	}
}
