package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against a task that is placed again by a new leader while it runs on an incarnation that nobody knows
// of: its worker has started again, taken a start for the previous incarnation and been cut off, and then the
// leader is lost.
func TestNewLeaderWaitsForStartThatAnUnknownIncarnationTook(t *testing.T) {
	c := qt.New(t)
	reached := 0
	for seed := range uint64(20) {
		k, next := newClusterWithUnknownIncarnation(c, seed)
		if len(next.runs) > 0 {
			reached++
		}
		k.failover(500 * time.Millisecond)
		k.run(k.now + 60*time.Second)
		c.Check(k.violations, qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, k.traceOf("")))
	}
	c.Assert(reached > 0, qt.IsTrue)
}

// Guards against a task that is placed again while it runs on an incarnation that nobody knows of: a repeated
// start was late, the run that a report had listed ended with its incarnation, and the late copy started it
// again in the next one, which was then cut off.
func TestLateCopyOfAListedStartIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(2, false)
	k.run(20 * time.Second)
	withheld := k.submitWithholdingStart(c, newStep(1, 1000, 20_000))
	k.schedule(600*time.Millisecond, func() { k.sched.Started(k.now, *withheld, NoReply) }) // it is held up on its way
	k.run(k.now + 3*time.Second)                                                            // the repeated start runs and is listed
	key := claimKey{withheld.Task, withheld.Run}
	claim := k.sched.claims[key]
	c.Assert(claim, qt.IsNotNil)
	c.Assert(claim.isListed && claim.startMayArrive, qt.IsTrue)
	next := k.workers[withheld.Worker.Address].restart()
	next.isPartitioned = true
	k.run(k.now + 500*time.Millisecond)
	c.Assert(next.start(*withheld), qt.Equals, Accepted) // 3.5 s after it was sent
	k.cutOff(next.info.Address, 15*time.Second)
	k.run(k.now + 60*time.Second)
	c.Assert(k.violations, qt.HasLen, 0, qt.Commentf("%s", k.traceOf("")))
}

// Guards against a task that is placed again while a worker that has started again twice runs it: the first
// report of its second incarnation does not list the start, which reaches the third one instead, before an
// order of its own.
func TestLateStartThatSkipsAnIncarnation(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(2, false)
	k.run(20 * time.Second)
	withheld := k.submitWithholdingStart(c, newStep(1, 1000, 20_000))
	second := k.workers[withheld.Worker.Address].restart()
	for k.sched.newest(second.info.Name).info.StartedMillis != second.info.StartedMillis || !k.sched.newest(second.info.Name).hasReported {
		k.run(k.now + time.Millisecond)
	}
	third := second.restart()
	c.Assert(third.start(*withheld), qt.Equals, Accepted)
	k.run(k.now + 60*time.Second)
	c.Assert(k.violations, qt.HasLen, 0, qt.Commentf("%s", k.traceOf("")))
}

// Guards against a task that is placed while the leader knows that a run of it which no claim names is still
// being stopped: a report listed that run.
func TestTaskIsNotPlacedWhileAnUnclaimedRunOfItIsStopped(t *testing.T) {
	c := qt.New(t)
	found := 0
	for seed := range uint64(20) {
		k := newCluster(seed, faults{})
		k.setUp(2, false)
		k.run(2 * time.Second)
		leaving := k.workers["10.0.0.1:80"]
		leaving.info.Leaving = true // it gets no new tasks
		k.run(4 * time.Second)
		k.submit(1, newStep(1, workerCapacity.MilliCPU, 20_000)) // on the other worker
		k.run(5 * time.Second)
		k.submit(2, newStep(1, 1000, 10_000))
		k.run(6 * time.Second)
		w, task := k.sched.newest(leaving.info.Name), job.TaskRef{StepRef: job.StepRef{Job: 2}}
		k.propose([]job.Op{{Claim: &job.Claim{Task: task, Run: 1, Worker: w.info.Number}}, {End: &job.End{Task: task, Run: 1, Kind: job.EndLost}}})
		k.run(k.now + 100*time.Millisecond)
		c.Assert(leaving.start(Start{Order: k.sched.newLeaseOrder(w), Task: task, Run: 1}), qt.Equals, Accepted)
		for ; k.traceOf("unclaimed run found") == ""; k.run(k.now + time.Millisecond) {
			c.Assert(k.now < 9*time.Second, qt.IsTrue)
		}
		k.addWorker("idle", "10.0.0.9:80", workerCapacity)
		k.run(k.now + 30*time.Second)
		if len(k.violations) > 0 {
			found++
			if found == 1 {
				t.Log(k.violations, "\n"+k.traceOf("0000000000000002"))
			}
		}
	}
	c.Assert(found, qt.Equals, 0, qt.Commentf("of 20 seeds"))
}
