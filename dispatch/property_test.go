package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/oleanderchute/oleanderchute/job"
)

// workerCapacity is the capacity of the simulated workers.
var workerCapacity = job.Resources{MilliCPU: 8000, MemoryMB: 16000}

// setUp applies a configuration and starts workers.
func (c *cluster) setUp(workers int, advised bool) {
	q := job.Queue{Name: "drafts", Host: "h", Prefix: "/d/", Pool: "desk", MaxAttempts: 4, SlackFactor: 2, TargetMillis: 1000}
	if advised {
		q.Advisor = &job.AdvisorConfig{DecisionMillis: 50, PerWorkerMillis: 1, TicketValidityMillis: 2000}
	}
	c.state.Apply(job.Op{Config: &job.Config{Version: 1, Queues: []job.Queue{q}, Pools: []job.Pool{{Name: "desk"}}}})
	for i := range workers {
		c.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("10.0.0.%d:80", i), workerCapacity)
	}
}

// submit proposes a job.
func (c *cluster) submit(id job.ID, steps ...job.Step) {
	c.propose([]job.Op{{Submit: &job.Submit{ID: id, Queue: "drafts", Spec: job.Spec{Steps: steps}, AcceptedMillis: c.wallMillis()}}})
}

// newStep returns a step of count tasks that need cpu thousandths of a core and take about millis
// milliseconds.
func newStep(count int, cpu, millis int64) job.Step {
	return job.Step{Count: count, TaskResources: job.Resources{MilliCPU: cpu, MemoryMB: 100}, EstimateMillis: millis}
}

// openJobCount returns the number of jobs that have not ended.
func (c *cluster) openJobCount() int {
	n := 0
	c.state.Jobs(func(j *job.Job) {
		if j.Outcome == job.Open {
			n++
		}
	})
	return n
}

// drawFaults draws up to five faults of workers and leaders and schedules them.
func (c *cluster) drawFaults(rt *rapid.T, workers int) {
	for range rapid.IntRange(0, 5).Draw(rt, "faults") {
		at := time.Duration(rapid.IntRange(0, 9000).Draw(rt, "at")) * time.Millisecond
		address := fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, workers-1).Draw(rt, "worker"))
		switch rapid.SampledFrom([]string{"crash", "partition", "failover", "rename", "failing", "leave", "foreign"}).Draw(rt, "kind") {
		case "crash":
			c.schedule(at, func() { c.addWorker(c.workers[address].info.Name, address, workerCapacity) })
		case "rename":
			c.schedule(at, func() { c.addWorker(c.workers[address].info.Name+"x", address, workerCapacity) })
		case "foreign":
			born := rapid.SampledFrom([]int64{-1000, 0, 1, 1_000_000}).Draw(rt, "born")
			name := rapid.SampledFrom([]string{"", "other"}).Draw(rt, "name")
			isElsewhere := rapid.Bool().Draw(rt, "elsewhere")
			c.schedule(at, func() { c.announceForeign(c.workers[address], name, born, isElsewhere) })
		case "leave":
			c.schedule(at, func() { c.workers[address].leave() })
		case "partition":
			c.schedule(at, func() {
				w := c.workers[address]
				w.isPartitioned = true
				c.schedule(time.Duration(1+c.rng.IntN(9))*time.Second, func() { w.isPartitioned = false })
			})
		case "failing":
			c.schedule(at, func() {
				w := c.workers[address]
				w.failsAllRuns = true
				c.schedule(2*time.Second, func() { w.failsAllRuns = false })
			})
		default:
			c.schedule(at, func() {
				if !c.noLeader {
					c.failover(time.Duration(300+c.rng.IntN(2500)) * time.Millisecond)
				}
			})
		}
	}
}

// Guards against simultaneous runs of a task, starts beyond a worker's capacity, before a step's
// dependencies or after a task's end, ends that are acknowledged but not in the log, and jobs that
// never end. Orders are lost or delayed, workers crash, restart, sign off and are partitioned,
// something that is no worker announces itself with their names and addresses, and leaders change.
func TestTasksRunOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		c := newCluster(seed, faults{
			lostOrder: rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(rt, "lost"),
			lateOrder: rapid.SampledFrom([]float64{0, 0.05}).Draw(rt, "late"),
			failedRun: 0.03,
		})
		workers := rapid.IntRange(2, 6).Draw(rt, "workers")
		c.setUp(workers, rapid.Bool().Draw(rt, "advised"))
		c.run(2 * time.Second)
		for i := range rapid.IntRange(1, 12).Draw(rt, "jobs") {
			first := newStep(1+i%5, int64(500+700*(i%4)), 300+int64(i)*150)
			first.Gang = rapid.Bool().Draw(rt, "gang")
			second := newStep(2, 1000, 500)
			second.DependsOn = []int{0}
			c.schedule(time.Duration(i)*400*time.Millisecond, func() { c.submit(job.ID(i+1), first, second) })
		}
		c.drawFaults(rt, workers)
		c.run(20 * time.Second)
		c.faults = faults{}
		c.run(90 * time.Second)
		if len(c.violations) > 0 {
			task, _, _ := strings.Cut(strings.SplitN(c.violations[0], ": ", 3)[1], " ")
			rt.Fatalf("broken rules: %v\n%s", c.violations, c.traceOf(task))
		}
		if n := c.openJobCount(); n > 0 {
			rt.Fatalf("%d jobs are open after the faults\n%s", n, c.openTrace())
		}
		for _, w := range c.workers {
			if len(w.runs) > 0 || len(w.ended) > 0 {
				rt.Fatalf("%s still has %d runs and %d ends that are not acknowledged", w.info.Name, len(w.runs), len(w.ended))
			}
		}
		for number, w := range c.sched.workers {
			if w.allocated != (job.Resources{}) || len(w.claims) > 0 {
				rt.Fatalf("worker %d has %v allocated by %d claims", number, w.allocated, len(w.claims))
			}
		}
	})
}

// Guards against runs of an account that together take more than its limit, by what the workers
// run: in the pass that starts several tasks, at a new leader, for a run whose start was late or that
// no claim names, and after the limit was lowered or the account removed. Guards also against a job
// that the limit keeps waiting for ever, and against usage that remains when all runs have ended.
func TestAccountLimitsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		c := newCluster(seed, faults{
			lostOrder: rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(rt, "lost"),
			lateOrder: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "late"),
			failedRun: 0.03,
		})
		workers := rapid.IntRange(2, 6).Draw(rt, "workers")
		c.setUp(workers, rapid.Bool().Draw(rt, "advised"))
		widest := job.Resources{MilliCPU: 4 * 2600, MemoryMB: 500} // what the widest of the gangs below need
		if rapid.Bool().Draw(rt, "has urgent queue") {
			c.addUrgentQueue()
		}
		c.setLimits(map[string]job.Resources{"a": widest, "b": {MemoryMB: 700}})
		c.run(2 * time.Second)
		for i := range rapid.IntRange(4, 12).Draw(rt, "jobs") {
			first := newStep(1+i%5, int64(500+700*(i%4)), 300+int64(i)*150)
			first.Gang = rapid.Bool().Draw(rt, "gang")
			second := newStep(2, 1000, 500)
			second.DependsOn = []int{0}
			account := rapid.SampledFrom([]string{"a", "a", "b", ""}).Draw(rt, "account")
			queue := rapid.SampledFrom([]string{"drafts", c.state.Config().Queues[len(c.state.Config().Queues)-1].Name}).Draw(rt, "queue")
			c.schedule(time.Duration(i)*250*time.Millisecond, func() { c.submitTo(queue, account, job.ID(i+1), first, second) })
		}
		for range rapid.IntRange(0, 4).Draw(rt, "changes") {
			at := time.Duration(rapid.IntRange(0, 9000).Draw(rt, "changed at")) * time.Millisecond
			limits := map[string]job.Resources{}
			if rapid.IntRange(0, 9).Draw(rt, "removed") > 0 {
				limits["a"] = job.Resources{MilliCPU: int64(rapid.IntRange(1, 20_000).Draw(rt, "cpu")), MemoryMB: int64(rapid.IntRange(0, 800).Draw(rt, "memory"))}
			}
			c.schedule(at, func() { c.setLimits(limits) })
		}
		c.drawFaults(rt, workers)
		c.run(20 * time.Second)
		c.faults = faults{}
		c.setLimits(map[string]job.Resources{"a": widest, "b": widest})
		c.run(120 * time.Second)
		if len(c.violations) > 0 {
			task, _, _ := strings.Cut(strings.SplitN(c.violations[0], ": ", 3)[1], " ")
			rt.Fatalf("broken rules: %v\n%s", c.violations, c.traceOf(task))
		}
		if n := c.openJobCount(); n > 0 {
			rt.Fatalf("%d jobs are open after the faults\n%s", n, c.openTrace())
		}
		for name, a := range c.sched.accounts {
			if a.used != (amounts{}) {
				rt.Fatalf("account %s has %v in use after all runs have ended", name, a.used)
			}
		}
	})
}

// Guards against taking a report that was requested before a start was answered as proof that the
// run does not exist.
func TestReportRequestedBeforeStartReplyKeepsClaim(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(1, false)
	k.run(2 * time.Second)
	k.sched.Tick(k.now, k.wallMillis())
	w := k.sched.workers[1]
	ref := job.TaskRef{StepRef: job.StepRef{Job: 7}}
	s := newStep(1, 1000, 1000)
	claim := k.sched.addClaim(ref, 1, w, &s, claimSent)
	requestedAt := k.now + 2*time.Millisecond // between two ticks
	k.sched.Started(k.now+5*time.Millisecond, Start{Order: k.sched.newOrder(w), Task: ref, Run: 1}, Accepted)
	k.sched.Reported(k.now+6*time.Millisecond, RenewLease{Order: k.sched.newOrder(w)}, requestedAt, Accepted, Report{StartedMillis: w.info.StartedMillis, ClockMillis: 1})
	c.Assert(k.sched.claims[claim.key], qt.Equals, claim)
}
