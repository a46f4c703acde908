package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// newFullPool returns a cluster of 10 workers that run long tasks while jobs of the given work, in
// seconds of the whole pool, wait in the queue "urgent". The queue "drafts" is less urgent.
func newFullPool(seconds int) *cluster {
	k := newCluster(1, faults{})
	k.onLeader = func(s *Scheduler) { s.settings.OrderByCost = true }
	k.onLeader(k.sched)
	k.setUp(10, false)
	drafts := k.state.Config().Queues[0]
	drafts.Priority = 1
	urgent := job.Queue{Name: "urgent", Host: "h", Prefix: "/u/", Pool: "desk", MaxAttempts: 4, SlackFactor: 2, TargetMillis: 120_000}
	k.state.Apply(job.Op{Config: &job.Config{Version: 2, Pools: []job.Pool{{Name: "desk"}, {Name: "spare", Standby: true}}, Queues: []job.Queue{drafts, urgent}}})
	k.run(7 * time.Second)
	k.submit(1, newStep(10, workerCapacity.MilliCPU, 100_000))
	k.run(8 * time.Second)
	for i := range seconds {
		k.propose([]job.Op{{Submit: &job.Submit{ID: job.ID(100 + i), Queue: "urgent", Spec: job.Spec{Steps: []job.Step{newStep(10, workerCapacity.MilliCPU, 1000)}},
			AcceptedMillis: k.wallMillis()}}})
	}
	k.run(9 * time.Second)
	return k
}

// admit asks for the admission of a job with one step to a queue.
func (k *cluster) admit(queue string, step job.Step) Admission {
	spec := job.Spec{Steps: []job.Step{step}}
	for i := range k.state.Config().Queues {
		if q := &k.state.Config().Queues[i]; q.Name == queue {
			return k.sched.Admit(q, &spec, "")
		}
	}
	return Admission{}
}

// Guards against the rejection of a job that can end before its result is worth nothing, and the
// admission of one that cannot. A job of "drafts" that takes a second has an objective of 3 s.
func TestAdmissionRejectsOnlyWhatComesTooLate(t *testing.T) {
	c := qt.New(t)
	step := newStep(1, 1000, 1000)
	c.Assert(newFullPool(7).admit("drafts", step).Rejected, qt.IsFalse)
	k := newFullPool(12)
	a := k.admit("drafts", step)
	c.Assert(a.Rejected, qt.IsTrue)
	c.Assert(a.Limit, qt.Equals, 9*time.Second)
	c.Assert(a.ExpectedStart, qt.Equals, 12*time.Second)
	c.Assert(a.WorkAhead, qt.Equals, 12*80.0)
	c.Assert(a.RetryAfter, qt.Equals, 4*time.Second)
	c.Assert(k.admit("urgent", step).Rejected, qt.IsFalse)
}

// Guards against rejections without the switch, and of jobs whose duration or time is not limited by an
// objective.
func TestAdmissionAppliesOnlyToJobsWithAnObjective(t *testing.T) {
	c := qt.New(t)
	k := newFullPool(12)
	q := &k.state.Config().Queues[0]
	service := newStep(1, 1000, 1000)
	service.LongRunning = true
	c.Assert(k.admit("drafts", service).Rejected, qt.IsFalse)
	repeated := job.Spec{Steps: []job.Step{newStep(1, 1000, 1000)}, Repetitions: 3, StartMillis: k.wallMillis() + 60_000}
	c.Assert(k.sched.Admit(q, &repeated, "").Rejected, qt.IsFalse)
	without := *q
	without.TargetMillis, without.SlackFactor = 0, 0
	c.Assert(k.sched.Admit(&without, &job.Spec{Steps: []job.Step{newStep(1, 1000, 1000)}}, "").Rejected, qt.IsFalse)
	k.sched.settings.OrderByCost = false
	c.Assert(k.admit("drafts", newStep(1, 1000, 1000)).Rejected, qt.IsFalse)
}

// Guards against a new leader that rejects jobs before it has counted the backlog, or because workers
// have not registered yet.
func TestNewLeaderAdmitsUntilItKnowsTheBacklog(t *testing.T) {
	c := qt.New(t)
	k := newFullPool(12)
	hopeless, huge := newStep(1, 1000, 1000), newStep(1, 2*workerCapacity.MilliCPU, 1000)
	c.Assert(k.admit("drafts", huge).Rejected, qt.IsTrue)
	k.electLeader()
	c.Assert(k.admit("drafts", hopeless).Rejected, qt.IsFalse)
	c.Assert(k.admit("drafts", huge).Rejected, qt.IsFalse)
	k.run(k.now + 50*time.Millisecond)
	c.Assert(k.admit("drafts", hopeless).Rejected, qt.IsTrue)
	c.Assert(k.sched.now-k.sched.leadingSince < settleTime, qt.IsTrue)
	wide := newStep(11, workerCapacity.MilliCPU, 10)
	wide.Gang = true
	c.Assert(k.admit("urgent", wide).Rejected, qt.IsFalse)
	k.run(k.now + settleTime)
	c.Assert(k.admit("urgent", wide).Rejected, qt.IsTrue)
	wide.Count = 10
	c.Assert(k.admit("urgent", wide).Rejected, qt.IsFalse)
}

// Guards against a rejection where the workers are powered off until they are needed.
func TestStandbyPoolAdmitsAll(t *testing.T) {
	k := newFullPool(0)
	q := k.state.Config().Queues[0]
	q.Pool = "spare"
	k.sched.loadOf("spare").total = job.Resources{MilliCPU: 1000, MemoryMB: 100}
	qt.Assert(t, k.sched.Admit(&q, &job.Spec{Steps: []job.Step{newStep(1, 99_000, 1000)}}, "").Rejected, qt.IsFalse)
}

// Guards against one long task that makes the jobs of all others appear hopeless.
func TestLongTaskDoesNotCloseThePool(t *testing.T) {
	k := newFullPool(0)
	k.propose([]job.Op{{Submit: &job.Submit{ID: 99, Queue: "urgent", Spec: job.Spec{Steps: []job.Step{newStep(2, 8000, 1<<40)}}, AcceptedMillis: k.wallMillis()}}})
	k.run(k.now + 100*time.Millisecond)
	qt.Assert(t, k.admit("drafts", newStep(1, 1000, 1000)).Rejected, qt.IsFalse)
}

// Guards against jobs that are rejected by a backlog which was counted before the configuration had no
// accounts for some time.
func TestBacklogOfAnEarlierConfigurationRejectsNothing(t *testing.T) {
	c := qt.New(t)
	k := newFullPool(12)
	step := newStep(1, 1000, 1000)
	c.Assert(k.admit("drafts", step).Rejected, qt.IsTrue)
	k.sched.settings.OrderByCost = false // as after the removal of all accounts
	k.sched.runPass()
	k.sched.settings.OrderByCost = true
	c.Assert(k.admit("drafts", step).Rejected, qt.IsFalse)
}

// Guards against the rejection of a job in an idle pool because its estimate alone exceeds the time in
// which its result has a value: estimates are off by half, and nothing goes before the job.
func TestIdlePoolRejectsNoEstimate(t *testing.T) {
	k := newFullPool(0)
	drafts := k.state.Config().Queues[0]
	drafts.SlackFactor, drafts.TargetMillis = 0, 1000
	spec := job.Spec{Steps: []job.Step{newStep(1, 1000, 3500)}}
	qt.Assert(t, k.sched.Admit(&drafts, &spec, "").Rejected, qt.IsFalse)
}
