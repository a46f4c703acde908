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

var bigWorker = job.Resources{MilliCPU: 8000, MemoryMB: 16000}

// setUp gives a cluster a configuration and workers.
func (c *cluster) setUp(workers int, advised bool) {
	q := job.Queue{Name: "drafts", Host: "h", Prefix: "/d/", Pool: "desk", MaxAttempts: 4, SlackFactor: 2, TargetMillis: 1000}
	if advised {
		q.Advisor = &job.AdvisorConfig{DecisionMillis: 50, PerWorkerMillis: 1, TicketValidityMillis: 2000}
	}
	c.state.Apply(job.Op{Config: &job.Config{Version: 1, Queues: []job.Queue{q}, Pools: []job.Pool{{Name: "desk"}}}})
	for i := range workers {
		c.addWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("10.0.0.%d:80", i), bigWorker)
	}
}

// submit puts a job into the log.
func (c *cluster) submit(id job.ID, steps ...job.Step) {
	c.propose([]job.Op{{Submit: &job.Submit{ID: id, Queue: "drafts", Spec: job.Spec{Steps: steps}, AcceptedMillis: c.wall()}}})
}

func step(count int, cpu, millis int64) job.Step {
	return job.Step{Count: count, TaskResources: job.Resources{MilliCPU: cpu, MemoryMB: 100}, EstimateMillis: millis}
}

func (c *cluster) open() int {
	n := 0
	c.state.Jobs(func(j *job.Job) {
		if j.Outcome == job.Open {
			n++
		}
	})
	return n
}

// Guards against two runs of a task at once, a start over capacity, before its
// dependencies or after its end, an end that is acknowledged and not in the log, and jobs
// that never end, while orders get lost or come late, workers crash, are cut off and start
// again, and leaders change.
func TestTasksRunOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		c := newCluster(seed, faults{
			lost:   rapid.SampledFrom([]float64{0, 0.02, 0.1}).Draw(rt, "lost"),
			late:   rapid.SampledFrom([]float64{0, 0.05}).Draw(rt, "late"),
			failed: 0.03,
		})
		workers := rapid.IntRange(2, 6).Draw(rt, "workers")
		c.setUp(workers, rapid.Bool().Draw(rt, "advised"))
		c.run(2 * time.Second)
		for i := range rapid.IntRange(1, 12).Draw(rt, "jobs") {
			first := step(1+i%5, int64(500+700*(i%4)), 300+int64(i)*150)
			first.Gang = rapid.Bool().Draw(rt, "gang")
			second := step(2, 1000, 500)
			second.DependsOn = []int{0}
			c.after(time.Duration(i)*400*time.Millisecond, func() { c.submit(job.ID(i+1), first, second) })
		}
		for range rapid.IntRange(0, 5).Draw(rt, "troubles") {
			at := time.Duration(rapid.IntRange(0, 9000).Draw(rt, "at")) * time.Millisecond
			address := fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, workers-1).Draw(rt, "which"))
			switch rapid.SampledFrom([]string{"crash", "cut", "failover", "rename", "failing"}).Draw(rt, "kind") {
			case "crash":
				c.after(at, func() { c.addWorker(c.workers[address].life.Name, address, bigWorker) })
			case "rename":
				c.after(at, func() { c.addWorker(c.workers[address].life.Name+"x", address, bigWorker) })
			case "cut":
				c.after(at, func() {
					w := c.workers[address]
					w.cut = true
					c.after(time.Duration(1+c.rng.IntN(9))*time.Second, func() { w.cut = false })
				})
			case "failing":
				c.after(at, func() {
					w := c.workers[address]
					w.failing = true
					c.after(2*time.Second, func() { w.failing = false })
				})
			default:
				c.after(at, func() {
					if !c.gap {
						c.failover(time.Duration(300+c.rng.IntN(2500)) * time.Millisecond)
					}
				})
			}
		}
		c.run(20 * time.Second)
		c.faults = faults{}
		c.run(90 * time.Second)
		if len(c.broken) > 0 {
			task, _, _ := strings.Cut(strings.SplitN(c.broken[0], ": ", 3)[1], " ")
			rt.Fatalf("broken: %v\n%s", c.broken, c.traceOf(task))
		}
		if n := c.open(); n > 0 {
			rt.Fatalf("%d jobs are open after the faults\n%s", n, c.openTrace())
		}
		for _, w := range c.workers {
			if len(w.runs) > 0 || len(w.ended) > 0 {
				rt.Fatalf("%s still has %d runs and %d ends that are not acknowledged", w.life.Name, len(w.runs), len(w.ended))
			}
		}
		for number, w := range c.sched.workers {
			if w.used != (job.Resources{}) || len(w.claims) > 0 {
				rt.Fatalf("worker %d has %v reserved by %d claims", number, w.used, len(w.claims))
			}
		}
	})
}

// Guards against a list that was asked for before a start was answered, which then counts
// as proof that the run is not there.
func TestReportRequestedBeforeStartReplyKeepsClaim(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(1, false)
	k.run(2 * time.Second)
	k.sched.Tick(k.now, k.wall())
	w := k.sched.workers[1]
	ref := job.TaskRef{StepRef: job.StepRef{Job: 7}}
	s := step(1, 1000, 1000)
	claim := k.sched.addClaim(ref, 1, w, &s, claimSent)
	sent := k.now + 2*time.Millisecond // between two ticks
	k.sched.Started(k.now+5*time.Millisecond, ref, 1, Accepted, 0)
	k.sched.Reported(k.now+6*time.Millisecond, 1, sent, Accepted, Report{StartedMillis: w.life.StartedMillis, ClockMillis: 1})
	c.Assert(k.sched.claims[claim.key], qt.Equals, claim)
}
