package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// newWaitingGang returns a cluster of 20 workers, with a waiting gang of four tasks that each need
// a whole worker, and the advice for it.
func newWaitingGang(t *testing.T) (*cluster, *readyStep, *advice) {
	k := newCluster(1, faults{})
	k.setUp(20, true)
	k.run(2 * time.Second)
	gang := newStep(4, 8000, 3000)
	gang.Gang = true
	submit := job.Op{Submit: &job.Submit{ID: 7, Queue: "drafts", Spec: job.Spec{Steps: []job.Step{gang}}, AcceptedMillis: k.wallMillis()}}
	k.state.Apply(submit)
	k.sched.Applied(k.now, submit)
	ready := k.sched.readySteps()
	if len(ready) != 1 {
		t.Fatalf("%d steps are ready", len(ready))
	}
	ready[0].pool = "desk"
	k.sched.collectWorkers()
	return k, ready[0], k.sched.adviceFor(ready[0].ref)
}

func (a *advice) addGrant(number uint32, until time.Duration) {
	a.tickets[number] = ticket{"t", until}
	a.granted = append(a.granted, number)
}

// Guards against a gang that asks about all workers although the granted ones suffice once their
// runs have ended. Such calls delay calls about other steps.
func TestGangStopsAskingOnceEnoughWorkersAreGranted(t *testing.T) {
	c := qt.New(t)
	k, r, a := newWaitingGang(t)
	full := newStep(1, 8000, 60_000)
	for n := uint32(1); n <= 20; n++ {
		k.sched.addClaim(job.TaskRef{StepRef: job.StepRef{Job: 9}, Index: uint16(n)}, 1, k.sched.workers[n], &full, claimRunning)
	}
	for n := uint32(1); n < gangCapacityFactor*4; n++ {
		a.addGrant(n, 0)
	}
	k.sched.requestAdvice(r)
	c.Assert(k.sched.queuedCalls, qt.Not(qt.HasLen), 0)

	k.sched.queuedCalls, a.openCalls, a.pending = nil, 0, map[uint32]bool{}
	a.addGrant(gangCapacityFactor*4, 0)
	k.sched.requestAdvice(r)
	c.Assert(k.sched.queuedCalls, qt.HasLen, 0)
}

// Guards against renewing the tickets of a gang one after the other, so that they are never valid
// at the same time.
func TestGangRenewsTicketsTogether(t *testing.T) {
	c := qt.New(t)
	k, r, a := newWaitingGang(t)
	a.addGrant(1, k.now-time.Second)
	a.addGrant(2, k.now+10*time.Millisecond)
	a.addGrant(3, k.now-time.Second)
	a.addGrant(4, k.now+10*time.Second)
	k.sched.requestAdvice(r)
	named := map[uint32]bool{}
	for _, call := range k.sched.queuedCalls {
		for _, w := range call.workers {
			named[w.Number] = true
		}
	}
	c.Assert(named, qt.DeepEquals, map[uint32]bool{1: true, 2: true, 3: true})
}

// Guards against jobs that will be late and delay jobs that can still meet their deadline.
func TestLateJobsRankBehindJobsThatCanFinishInTime(t *testing.T) {
	c := qt.New(t)
	k, r, _ := newWaitingGang(t)
	s := k.sched
	r.releasedMillis, r.deadlineMillis, r.remainingMillis = s.wallMillis, s.wallMillis+10_000, 5_000
	c.Assert(r.latenessAt(s.wallMillis), qt.Equals, inTime)
	s.wallMillis = r.deadlineMillis - 5_500
	c.Assert(r.latenessAt(s.wallMillis), qt.Equals, late)
	s.wallMillis = r.deadlineMillis + 2*10_000 + 1
	c.Assert(r.latenessAt(s.wallMillis), qt.Equals, worthless)
}

// newGangBesideBatch returns newWaitingGang with every worker filled by a preemptible run of a less
// urgent job that can be in time, and a gang that holds grants for four workers.
func newGangBesideBatch(t *testing.T, validity time.Duration) (*cluster, *readyStep) {
	k, r, a := newWaitingGang(t)
	s := k.sched
	queue := r.job.Queue
	batches := job.Queue{Name: "batches", Host: "h", Prefix: "/b/", Pool: "desk", MaxAttempts: 4, Priority: 2, SlackFactor: 4, TargetMillis: 3000}
	k.state.Apply(job.Op{Config: &job.Config{Version: 2, Pools: []job.Pool{{Name: "desk"}}, Queues: []job.Queue{queue, batches}}})
	batch := newStep(20, 8000, 60_000)
	batch.Checkpointing = true
	k.state.Apply(job.Op{Submit: &job.Submit{ID: 9, Queue: "batches", Spec: job.Spec{Steps: []job.Step{batch}}, AcceptedMillis: k.wallMillis()}})
	for n := uint32(1); n <= 20; n++ {
		s.addClaim(job.TaskRef{StepRef: job.StepRef{Job: 9}, Index: uint16(n - 1)}, 1, s.workers[n], &batch, claimRunning)
	}
	for n := uint32(1); n <= 4; n++ {
		a.addGrant(n, k.now+validity)
	}
	return k, r
}

// preemptions returns the number of runs that reserve has stopped for a step.
func (k *cluster) preemptions(r *readyStep) int {
	k.sched.reserve(r, k.sched.eligibleWorkers(r))
	n := 0
	for _, a := range k.sched.Actions() {
		if _, ok := a.(Stop); ok {
			n++
		}
	}
	return n
}

// Guards against stopping runs of jobs that can be in time for a gang that will be late anyway.
func TestLateGangDoesNotPreemptJobsInTime(t *testing.T) {
	c := qt.New(t)
	k, r := newGangBesideBatch(t, 10*time.Second)
	r.deadlineMillis = k.sched.wallMillis + r.remainingMillis/2
	c.Assert(k.preemptions(r), qt.Equals, 0)

	for _, claim := range k.sched.claims {
		claim.latenessWhenPlaced = late
	}
	c.Assert(k.preemptions(r), qt.Equals, 4)
}

// Guards against stopping runs for a gang whose tickets expire before the capacity is free.
func TestGangPreemptsOnlyWithTicketsThatOutlastIt(t *testing.T) {
	c := qt.New(t)
	stopTimeout := newCluster(1, faults{}).settings().StopTimeout
	k, r := newGangBesideBatch(t, stopTimeout)
	c.Assert(k.preemptions(r), qt.Equals, 0)
	k.sched.requestAdvice(r)
	c.Assert(k.sched.queuedCalls, qt.HasLen, 1)
	c.Assert(k.sched.queuedCalls[0].isRenewal, qt.IsTrue)

	k, r = newGangBesideBatch(t, 2*stopTimeout)
	c.Assert(k.preemptions(r), qt.Equals, 4)
}

// Guards against a gang of short tasks that reserves capacity, does not preempt the runs that take
// it, and loses its tickets meanwhile.
func TestGangOfShortTasksPreempts(t *testing.T) {
	c := qt.New(t)
	k, r := newGangBesideBatch(t, 10*time.Second)
	r.step.EstimateMillis, r.remainingMillis = 500, 500
	c.Assert(k.preemptions(r), qt.Equals, 4)
}
