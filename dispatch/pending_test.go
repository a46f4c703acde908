package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against counting a job as started once it is claimed, although workers refuse every
// start. Callers would be told that no job is pending.
func TestJobIsPendingUntilWorkerConfirmsStart(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(1, false)
	k.run(2 * time.Second)
	submit := job.Op{Submit: &job.Submit{ID: 7, Queue: "drafts", Spec: job.Spec{Steps: []job.Step{newStep(1, 1000, 1000)}}, AcceptedMillis: k.wallMillis()}}
	k.state.Apply(submit)
	k.sched.Applied(k.now, submit)
	var started []Start
	for range 20 {
		k.now += 5 * time.Millisecond
		k.sched.Tick(k.now, k.wallMillis())
		for _, a := range k.sched.Actions() {
			switch a := a.(type) {
			case Propose:
				for _, op := range a.Ops {
					k.state.Apply(op)
					k.sched.Applied(k.now, op)
				}
			case Start:
				started = append(started, a)
				k.sched.Started(k.now, a, RefusedCapacity)
			}
		}
	}
	c.Assert(started, qt.Not(qt.HasLen), 0)
	c.Assert(k.sched.PendingJobs(&k.state.Config().Queues[0]), qt.Equals, 1)

	last := started[len(started)-1]
	k.sched.addClaim(last.Task, last.Run+1, k.sched.workers[1], &k.state.Job(7).Spec.Steps[0], claimSent)
	last.Run++
	k.sched.Started(k.now, last, Accepted)
	c.Assert(k.sched.PendingJobs(&k.state.Config().Queues[0]), qt.Equals, 0)
}

// Guards against counting a job as pending again under a new leader after one of its runs has ended.
func TestJobWithEndedRunIsNotPendingUnderNewLeader(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(1, false)
	k.submit(7, newStep(2, 1000, 300))
	k.run(2 * time.Second)
	k.submit(8, newStep(1, 1000, 300), job.Step{Count: 1, TaskResources: job.Resources{MilliCPU: 99_000}, EstimateMillis: 1, DependsOn: []int{0}})
	k.run(4 * time.Second)
	k.sched = New(k.settings(), k.state, k.recordDecision)
	c.Assert(k.sched.PendingJobs(&k.state.Config().Queues[0]), qt.Equals, 0)
}

// Guards against a job that waits for good because its route was renamed when it got another pool, and against
// one that is missing in the count of the renamed route.
func TestWaitingJobFollowsItsRenamedRoute(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(1, false)
	pools := []job.Pool{{Name: "desk"}, {Name: "empty"}}
	queue := k.state.Config().Queues[0]
	queue.Pool = "empty"
	k.state.Apply(job.Op{Config: &job.Config{Version: 2, Queues: []job.Queue{queue}, Pools: pools}})
	k.submit(7, newStep(1, 1000, 300))
	k.run(4 * time.Second)
	c.Assert(k.openJobCount(), qt.Equals, 1)
	queue.Name, queue.Pool = "drawings", "desk"
	k.state.Apply(job.Op{Config: &job.Config{Version: 3, Queues: []job.Queue{queue}, Pools: pools}})
	c.Check(k.sched.PendingJobs(&k.state.Config().Queues[0]), qt.Equals, 1)
	k.run(8 * time.Second)
	c.Check(k.openJobCount(), qt.Equals, 0)
}
