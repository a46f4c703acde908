package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against a new leader that sends the first renewal to all workers simultaneously. Their
// answers delay its heartbeats until it loses the leadership.
func TestNewLeaderLimitsFirstLeaseRenewals(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(60, false)
	k.run(2 * time.Second)
	k.electLeader()
	k.sched.Tick(k.now, k.wallMillis())
	renewals := 0
	for _, a := range k.sched.Actions() {
		if renewal, ok := a.(RenewLease); ok {
			renewals++
			k.renewLease(renewal)
		}
	}
	c.Assert(renewals, qt.Equals, maxFirstRenewals)
	k.run(k.now + 500*time.Millisecond)
	for _, w := range k.sched.workers {
		c.Assert(w.hasReported, qt.IsTrue, qt.Commentf("%s", w.info.Name))
	}
}

// Guards against repeating orders to a worker that is gone every few milliseconds until its lease
// expires. Such a worker refuses each connection immediately.
func TestRetryDelayOfUnansweredOrdersGrows(t *testing.T) {
	c := qt.New(t)
	var unanswered claim
	total := time.Duration(0)
	for range 10 {
		total += unanswered.nextRetryDelay()
	}
	c.Assert(total > taskLease, qt.IsTrue, qt.Commentf("%v", total))
}

// Guards against runs of cancelled and failed jobs that go on under a new leader, since the stops that the
// previous leader sent did not arrive.
func TestNewLeaderStopsRunsOfEndedJobs(t *testing.T) {
	for _, outcome := range []job.Outcome{job.Canceled, job.Failed} {
		for _, changes := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s, changes of the leader %d", outcome, changes), func(t *testing.T) {
				c := qt.New(t)
				k := newCluster(1, faults{failedRun: 1})
				k.setUp(4, false)
				k.onOrder = k.loseStop
				k.run(2 * time.Second)
				k.submit(1, newStep(6, 1000, 120_000), newStep(1, 1000, 500)) // the second step fails within seconds
				if outcome == job.Canceled {
					k.schedule(500*time.Millisecond, func() { k.cancel(1) })
				}
				k.run(10 * time.Second)
				c.Assert(k.state.Job(1).Outcome, qt.Equals, outcome)
				for range changes {
					k.electLeader()
					k.run(k.now + 500*time.Millisecond)
					c.Assert(k.runsOnWorkers(1), qt.Equals, 6)
				}
				k.onOrder = nil
				k.run(k.now + 2*time.Second)
				c.Assert(k.runsOnWorkers(1), qt.Equals, 0, qt.Commentf("%s", k.traceOf("")))
				c.Assert(k.sched.claims, qt.HasLen, 0)
			})
		}
	}
}

// loseStop is a value of onOrder that loses all stops.
func (c *cluster) loseStop(a Action) bool {
	stop, isStop := a.(Stop)
	if sched := c.sched; isStop {
		c.schedule(600*time.Millisecond, func() { sched.Stopped(c.now, stop, NoReply) })
	}
	return !isStop
}

// runsOnWorkers returns the number of runs of a job on all workers.
func (c *cluster) runsOnWorkers(id job.ID) int {
	n := 0
	for _, w := range c.workers {
		for key := range w.runs {
			if w.isUp && key.task.Job == id {
				n++
			}
		}
	}
	return n
}

// cancel cancels a job. It repeats the cancel until it is in the log.
func (c *cluster) cancel(id job.ID) {
	if j := c.state.Job(id); j != nil && j.Outcome != job.Open {
		return
	}
	if !c.noLeader {
		c.propose([]job.Op{{Cancel: &job.Cancel{ID: id, AtMillis: c.wallMillis()}}})
	}
	c.schedule(200*time.Millisecond, func() { c.cancel(id) })
}

// stableWindow is the time after a fault in which a run that a late order started may go on.
const stableWindow = 4 * time.Second

// Guards against long-running tasks of cancelled jobs that go on when orders, workers and leaders fail around
// the cancel.
func TestCancelledServicesStopUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(rt, "seed"), faults{
			lostOrder: rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(rt, "lost"),
			lateOrder: rapid.SampledFrom([]float64{0, 0.05}).Draw(rt, "late"),
		})
		workers := rapid.IntRange(2, 6).Draw(rt, "workers")
		c.setUp(workers, rapid.Bool().Draw(rt, "advised"))
		c.run(2 * time.Second)
		services := rapid.IntRange(1, 8).Draw(rt, "services")
		for i := range services {
			step := newStep(1+i%5, 500, 1000)
			step.LongRunning = true
			c.submit(job.ID(i+1), step)
		}
		for i := range services {
			at := time.Duration(rapid.IntRange(500, 9000).Draw(rt, "cancelled at")) * time.Millisecond
			c.schedule(at, func() { c.cancel(job.ID(i + 1)) })
			if rapid.Bool().Draw(rt, "leader lost") {
				c.schedule(at+time.Duration(rapid.IntRange(0, 100).Draw(rt, "lost after"))*time.Millisecond, func() { c.failover(300 * time.Millisecond) })
			}
		}
		c.drawFaults(rt, workers)
		c.run(20 * time.Second)
		c.faults = faults{}
		c.run(32*time.Second + stableWindow + c.settings().StopTimeout) // orders are up to 12 s late
		for i := range services {
			if n := c.runsOnWorkers(job.ID(i + 1)); n > 0 {
				rt.Fatalf("%d tasks of job %d, which is %v, run\n%s", n, i+1, c.state.Job(job.ID(i+1)).Outcome, c.traceOf(""))
			}
		}
		if len(c.violations) > 0 {
			rt.Fatalf("broken rules: %v\n%s", c.violations, c.traceOf(""))
		}
	})
}
