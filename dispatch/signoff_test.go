package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// SignedOff passes on a sign-off that does not contain the start time of the worker, and reports
// whether a confirmation will follow.
func (s *Scheduler) SignedOff(now time.Duration, name string) bool {
	return s.IncarnationSignedOff(now, name, 0) != 0
}

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

// newClusterRestartedWithRuns returns a cluster of one worker that has started again under its name and
// address, with the previous incarnation and the one that runs two tasks of 20 s now.
func newClusterRestartedWithRuns(c *qt.C) (k *cluster, previous job.Worker, w *fakeWorker) {
	k = newCluster(1, faults{})
	k.setUp(1, false)
	k.run(2 * time.Second)
	k.submit(1, newStep(2, 1000, 20_000))
	k.run(3 * time.Second)
	old := k.workers["10.0.0.0:80"]
	c.Assert(old.runs, qt.HasLen, 2)
	w = k.addWorker(old.info.Name, old.info.Address, workerCapacity)
	k.run(k.now + time.Second)
	c.Assert(w.runs, qt.HasLen, 2)
	return k, old.info, w
}

// Guards against the sign-off of a worker that arrives late or again when the worker has started again
// under its name: the new incarnation would lose its runs, get no work any more, and count as leaving
// in the replicated state.
func TestLateSignOffLeavesTheNextIncarnationAlone(t *testing.T) {
	for name, prepare := range map[string]func(k *cluster, previous job.Worker){
		"registered no longer": func(*cluster, job.Worker) {},
		"a leader without reports": func(k *cluster, _ job.Worker) {
			k.electLeader()
		},
		"registered again by a late announcement": func(k *cluster, previous job.Worker) {
			k.electLeader() // the next incarnation has not reported to this one
			previous.Address = "10.9.9.9:80"
			k.sched.Announced(k.now, Announcement{Worker: previous, Sequence: 9})
			k.run(k.now + 30*time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k, previous, w := newClusterRestartedWithRuns(c)
			prepare(k, previous)
			for range 2 {
				k.sched.IncarnationSignedOff(k.now, previous.Name, previous.StartedMillis)
				k.run(k.now + time.Second)
			}
			k.submit(2, newStep(1, 1000, 20_000))
			k.run(k.now + time.Second)
			c.Assert(w.runs, qt.HasLen, 3, qt.Commentf("%s", k.traceOf("")))
			c.Assert(k.traceOf("stop"), qt.Equals, "")
			k.state.Workers(func(info *job.Worker) {
				c.Check(info.Leaving && info.SameIncarnation(&w.info), qt.IsFalse)
			})
			c.Assert(k.violations, qt.HasLen, 0)
		})
	}
}

// Guards against a sign-off of an incarnation that is over and whose worker waits for a confirmation
// that does not come.
func TestSignOffOfAnIncarnationThatIsOverNeedsNoConfirmation(t *testing.T) {
	c := qt.New(t)
	k, previous, w := newClusterRestartedWithRuns(c)
	c.Assert(k.sched.IncarnationSignedOff(k.now, previous.Name, previous.StartedMillis), qt.Equals, uint32(0))
	c.Assert(k.sched.IncarnationSignedOff(k.now, "unknown", 0), qt.Equals, uint32(0))
	number := k.sched.newest(w.info.Name).info.Number
	c.Assert(k.sched.IncarnationSignedOff(k.now, w.info.Name, w.info.StartedMillis), qt.Equals, number)
}

// Guards against sign-offs that are lost because they do not contain the start time of the worker, as
// those that a VM of an earlier version passes on, or because they do.
func TestSignOffWithAndWithoutStartTimeEndsTheRuns(t *testing.T) {
	for _, hasStartTime := range []bool{false, true} {
		t.Run(fmt.Sprint(hasStartTime), func(t *testing.T) {
			c := qt.New(t)
			k, _, w := newClusterRestartedWithRuns(c)
			w.info.Leaving = true // in its next announcements
			startedMillis := int64(0)
			if hasStartTime {
				startedMillis = w.info.StartedMillis
			}
			c.Assert(k.sched.IncarnationSignedOff(k.now, w.info.Name, startedMillis) != 0, qt.IsTrue)
			k.run(k.now + time.Second)
			c.Assert(w.runs, qt.HasLen, 0)
			c.Assert(k.violations, qt.HasLen, 0)
		})
	}
}

// Guards against an order of events in which the sign-off of one incarnation ends the work of a later
// one. A worker starts again three times under its name, sign-offs of each incarnation that is over arrive
// at any time after its end, and the leader changes.
func TestLateSignOffsUnderRestartsAndChangesOfLeader(t *testing.T) {
	for seed := range uint64(200) {
		c := qt.New(t)
		rng := rand.New(rand.NewPCG(seed, 5))
		millis := func(n int) time.Duration { return time.Duration(rng.IntN(n)) * time.Millisecond }
		k := newCluster(seed, faults{})
		k.setUp(2, false)
		k.run(2 * time.Second)
		for i := range 6 {
			k.schedule(millis(6000), func() { k.submit(job.ID(i+1), newStep(1+i%3, 1000, 800)) })
		}
		signOffs := 0
		for range 3 {
			at := millis(6000)
			k.schedule(at, func() {
				old := k.workers["10.0.0.0:80"].info
				k.addWorker(old.Name, old.Address, workerCapacity)
				for range 4 {
					k.schedule(millis(2000), func() {
						signOffs++
						k.sched.IncarnationSignedOff(k.now, old.Name, old.StartedMillis)
						k.runScheduler()
						for _, w := range k.sched.byName[old.Name] {
							isRunning := w.info.SameIncarnation(&k.workers[old.Address].info)
							c.Assert(isRunning && w.isLeaving, qt.IsFalse, qt.Commentf("seed %d: %s", seed, k.traceOf("worker")))
						}
					})
				}
			})
		}
		if rng.IntN(2) == 0 {
			k.schedule(millis(7000), func() { k.failover(millis(1500)) })
		}
		k.run(40 * time.Second)
		c.Assert(signOffs, qt.Equals, 12)
		c.Assert(k.violations, qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, k.traceOf("")))
		c.Assert(k.openJobCount(), qt.Equals, 0, qt.Commentf("seed %d: %s", seed, k.openTrace()))
		k.state.Workers(func(info *job.Worker) {
			c.Assert(info.Leaving && info.SameIncarnation(&k.workers[info.Address].info), qt.IsFalse, qt.Commentf("seed %d: %s", seed, k.traceOf("worker")))
		})
	}
}
