package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// newBacklog returns a cluster whose workers are full of long runs, and jobs that wait for them: one
// half are gangs that do not preempt, the other single tasks. All wait for longer than their
// objective.
func newBacklog(workers, jobs int) *cluster {
	k := newCluster(1, faults{})
	k.setUp(workers, false)
	drafts := k.state.Config().Queues[0]
	urgent := job.Queue{Name: "urgent", Host: "h", Prefix: "/u/", Pool: "desk", MaxAttempts: 4, SlackFactor: 2, TargetMillis: 400}
	drafts.Priority = 1
	k.state.Apply(job.Op{Config: &job.Config{Version: 2, Pools: []job.Pool{{Name: "desk"}}, Queues: []job.Queue{drafts, urgent}}})
	k.run(2 * time.Second)
	k.submit(1, newStep(workers, workerCapacity.MilliCPU-1000, 60_000)) // leaves one core on each worker
	k.run(3 * time.Second)
	for i := range jobs {
		step := newStep(4, 4000, 1000)
		step.Gang = i%2 == 0
		k.submit(job.ID(100+i), step)
	}
	k.run(8 * time.Second)
	return k
}

// Guards against a leader that spends its processor on a backlog: each waiting step was tried again
// every 25 ms, so commits and urgent jobs waited for passes that placed nothing.
func TestCostOfABacklogIsBounded(t *testing.T) {
	c := qt.New(t)
	const interval = 4 * time.Second
	k := newBacklog(60, 2000)
	began := k.sched.examined
	k.run(k.now + interval)
	perPass := (k.sched.examined - began) / int(interval/passInterval)
	c.Assert(perPass <= maxExaminedPerPass+4*60, qt.IsTrue, qt.Commentf("%d workers examined per pass", perPass))

	k = newBacklog(60, 50)
	began = k.sched.examined
	k.run(k.now + interval)
	eachTime := int(interval/placementRetryMin) * 50 * 60 // every step, each time, on each worker
	c.Assert(k.sched.examined-began <= eachTime/4, qt.IsTrue, qt.Commentf("%d of %d workers examined", k.sched.examined-began, eachTime))
}

// Guards against an urgent job that waits behind the attempts to place a backlog.
func TestUrgentJobIsPlacedDespiteABacklog(t *testing.T) {
	c := qt.New(t)
	k := newBacklog(60, 2000)
	submit := job.Submit{ID: 7, Queue: "urgent", Spec: job.Spec{Steps: []job.Step{newStep(3, 1000, 500)}}, AcceptedMillis: k.wallMillis()}
	k.propose([]job.Op{{Submit: &submit}})
	k.run(k.now + 20*time.Millisecond + 2*passInterval) // the longest commit, and the next pass
	claimed := 0
	for key := range k.sched.claimsByJob[7] {
		c.Assert(key.run, qt.Equals, uint32(1))
		claimed++
	}
	c.Assert(claimed, qt.Equals, 3)
}

// Guards against a step that is not tried again once there is capacity, because it has failed often.
func TestBackloggedStepsStartWhenCapacityIsFree(t *testing.T) {
	c := qt.New(t)
	k := newBacklog(60, 20)
	for _, w := range k.workers {
		for key := range w.runs {
			w.endRun(key, job.EndDone)
		}
	}
	began := k.now
	k.run(began + lateRetryMax + 200*time.Millisecond) // the ends are reported and committed meanwhile
	waiting := 0
	for _, steps := range k.sched.ready {
		waiting += len(steps)
	}
	c.Assert(waiting, qt.Equals, 0)
}

// Guards against workers that report ends late, because the next renewal waits for a scan of all
// workers after the ends before are committed.
func TestRenewalFollowsTheCommitOfEnds(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(1, false)
	k.run(2 * time.Second)
	s := k.sched
	w := s.workers[1]
	w.isRenewing, s.nextWorkerScan = true, k.now+time.Hour
	renewals := func() int {
		n := 0
		for _, a := range s.Actions() {
			if _, ok := a.(RenewLease); ok {
				n++
			}
		}
		return n
	}
	end := EndedRun{Number: 1, Task: job.TaskRef{StepRef: job.StepRef{Job: 7}}, Run: 1, Kind: job.EndDone}
	s.Reported(k.now, RenewLease{Order: s.newOrder(w)}, k.now, Accepted, Report{StartedMillis: w.info.StartedMillis, ClockMillis: 1, Ended: []EndedRun{end}})
	c.Assert(renewals(), qt.Equals, 0) // the end has to be committed before it is acknowledged
	s.Applied(k.now, job.Op{EndsCommitted: &job.EndsCommitted{Worker: 1, UpTo: 1}})
	c.Assert(renewals(), qt.Equals, 1)
}
