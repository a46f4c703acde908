package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// newIdleWorkers returns workers without soft state other than a speed.
func newIdleWorkers(n int) []*worker {
	var out []*worker
	for i := range n {
		out = append(out, &worker{info: &job.Worker{Number: uint32(i + 1), Pool: "desk"}})
	}
	return out
}

// Guards against speeds that are still wrong after a few runs, that follow the luck of the tasks or a
// few runs that take much longer, or that depend on how long the tasks of a job are.
func TestSpeedsConverge(t *testing.T) {
	for _, test := range []struct {
		name             string
		spread           float64
		longRuns, longer float64 // fraction of the runs, and of the jobs, that take seven times as long
		width            int     // tasks of a step
		runs             int     // of each worker
		tolerance        float64 // mean error of the logarithm
	}{
		{"no spread", 0, 0, 0, 30, 8, 0.03},
		{"few runs", 0.15, 0, 0, 30, 6, 0.10},
		{"many runs", 0.15, 0, 0, 30, 60, 0.05},
		{"wide spread", 0.3, 0, 0, 30, 60, 0.10},
		{"narrow steps", 0.15, 0, 0, 3, 60, 0.07},
		{"long jobs", 0.15, 0, 0.03, 30, 60, 0.05},
		{"long runs", 0.15, 0.03, 0, 30, 60, 0.06},
	} {
		t.Run(test.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(1, 1))
			v, workers := newSpeeds(), newIdleWorkers(30)
			for n := range test.runs * len(workers) / test.width {
				ref := job.StepRef{Job: job.ID(n + 1)}
				work := 0.5 + 2*rng.Float64()
				if rng.Float64() < test.longer {
					work *= 7
				}
				for _, i := range rng.Perm(len(workers))[:test.width] {
					seconds := work * max(1+test.spread*rng.NormFloat64(), 0.3) / unevenSpeeds[i%3]
					if rng.Float64() < test.longRuns {
						seconds *= 7
					}
					v.addRun(ref, "q", &job.Step{Count: test.width, EstimateMillis: 1000}, speedSample{workers[i], time.Duration(seconds * float64(time.Second))})
				}
				v.finishStep(ref)
			}
			sum := 0.0
			for i, w := range workers {
				sum += math.Abs(math.Log(w.speed.value() / unevenSpeeds[i%3]))
			}
			if mean := sum / float64(len(workers)); mean > test.tolerance {
				t.Errorf("the mean error is %.3f after %d runs of each worker; want at most %v", mean, test.runs, test.tolerance)
			}
		})
	}
}

// Guards against a worker that keeps a speed that it had long ago, for example before another
// process started to use its processors.
func TestSpeedFollowsChange(t *testing.T) {
	v, workers := newSpeeds(), newIdleWorkers(10)
	finishSteps := func(n int, speed float64) {
		for range n {
			ref := job.StepRef{Job: 1}
			for i, w := range workers {
				seconds := 1.0
				if i == 0 {
					seconds /= speed
				}
				v.addRun(ref, "q", &job.Step{Count: 10, EstimateMillis: 1000}, speedSample{w, time.Duration(seconds * float64(time.Second))})
			}
			v.finishStep(ref)
		}
	}
	finishSteps(500, 1.25)
	qt.Assert(t, math.Abs(workers[0].speed.value()-1.25) < 0.05, qt.IsTrue)
	finishSteps(60, 0.8)
	qt.Assert(t, math.Abs(workers[0].speed.value()-0.8) < 0.05, qt.IsTrue, qt.Commentf("%v", workers[0].speed.value()))
}

// Guards against speeds and ratios that grow without bound, which would make every worker but one
// too slow, and against memory that grows with the open steps or their width.
func TestSpeedsAreBounded(t *testing.T) {
	c := qt.New(t)
	v, workers := newSpeeds(), newIdleWorkers(10)
	for n := range 300 {
		ref := job.StepRef{Job: job.ID(n)}
		for i, w := range workers {
			took := time.Second
			switch i {
			case 0:
				took = time.Hour
			case 1:
				took = time.Millisecond
			}
			v.addRun(ref, "q", &job.Step{Count: 10, EstimateMillis: 1}, speedSample{w, took})
		}
		v.finishStep(ref)
	}
	c.Assert(workers[0].speed.value() >= minSpeed*0.999, qt.IsTrue)
	c.Assert(workers[1].speed.value() <= maxSpeed*1.001, qt.IsTrue)
	c.Assert(workers[0].speed.class(), qt.Equals, -maxSpeedClass)
	c.Assert(workers[1].speed.class(), qt.Equals, maxSpeedClass)
	c.Assert(math.Exp(v.ratios["q"].value) <= maxRatio*1.001, qt.IsTrue)
	for n := range 3 * maxSampledSteps {
		v.addRun(job.StepRef{Job: job.ID(n)}, "q", &job.Step{Count: 9, EstimateMillis: 1000}, speedSample{workers[2], time.Second})
	}
	c.Assert(v.samples, qt.HasLen, maxSampledSteps)
	for range 3 * maxSamplesOfStep {
		v.addRun(job.StepRef{}, "q", &job.Step{Count: 999, EstimateMillis: 1000}, speedSample{workers[2], time.Second})
	}
	c.Assert(len(v.samples[job.StepRef{}].runs) <= maxSamplesOfStep, qt.IsTrue)
}

// Guards against ratios that follow a few long jobs, or that count the slowness of workers twice.
func TestRatioOfQueue(t *testing.T) {
	v, workers := newSpeeds(), newIdleWorkers(3)
	for i, w := range workers {
		w.speed.log.value = math.Log(unevenSpeeds[i])
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for n := range 400 {
		ref := job.StepRef{Job: job.ID(n)}
		seconds := 1.5 * (0.8 + 0.4*rng.Float64())
		if rng.Float64() < 0.03 {
			seconds *= 7
		}
		for i, w := range workers {
			v.addRun(ref, "q", &job.Step{Count: 3, EstimateMillis: 1000}, speedSample{w, time.Duration(seconds / unevenSpeeds[i] * float64(time.Second))})
		}
		v.finishStep(ref)
	}
	ratio := math.Exp(v.ratios["q"].value)
	qt.Assert(t, math.Abs(ratio-1.5) < 0.15, qt.IsTrue, qt.Commentf("%v", ratio))
}

// Guards against speeds that are learned from runs whose time says nothing about one worker: the
// members of a gang end together, a resumed run does part of the work, a run that was stopped or
// failed did not do all of it, and the start of a run that was not confirmed at once is not known.
func TestNothingIsLearnedFromOtherRuns(t *testing.T) {
	for _, test := range []struct {
		name   string
		kind   job.EndKind
		change func(*Scheduler, *claim)
		learns bool
	}{
		{"done", job.EndDone, func(*Scheduler, *claim) {}, true},
		{"gang", job.EndDone, func(_ *Scheduler, c *claim) { c.step.Gang = true }, false},
		{"long-running", job.EndDone, func(_ *Scheduler, c *claim) { c.step.LongRunning = true }, false},
		{"best-effort", job.EndDone, func(_ *Scheduler, c *claim) { c.step.BestEffortCPU = true }, false},
		{"stopped", job.EndStopped, func(*Scheduler, *claim) {}, false},
		{"failed", job.EndFailed, func(*Scheduler, *claim) {}, false},
		{"lease expired", job.EndLeaseExpired, func(*Scheduler, *claim) {}, false},
		{"being stopped", job.EndDone, func(_ *Scheduler, c *claim) { c.phase = claimStopping }, false},
		{"start not confirmed", job.EndDone, func(_ *Scheduler, c *claim) { c.phase = claimSent }, false},
		{"start without a reply", job.EndDone, func(_ *Scheduler, c *claim) { c.startMayArrive = true }, false},
		{"disabled", job.EndDone, func(s *Scheduler, _ *claim) { s.settings.OrderByCost = false }, false},
	} {
		for run, learns := range map[uint32]bool{1: test.learns, 2: false} {
			t.Run(fmt.Sprintf("%s, run %d", test.name, run), func(t *testing.T) {
				k := newCluster(1, faults{})
				k.orderByCost = true
				k.sched.settings = k.settings()
				k.setUp(3, false)
				k.run(2 * time.Second)
				step := newStep(3, 1000, 1000)
				k.state.Apply(job.Op{Submit: &job.Submit{ID: 7, Queue: "drafts", Spec: job.Spec{Steps: []job.Step{step}}}})
				began := k.now
				var claims []*claim
				for i := range 3 {
					c := k.sched.addClaim(job.TaskRef{StepRef: job.StepRef{Job: 7}, Index: uint16(i)}, run, k.sched.workers[uint32(i+1)], &step, claimRunning)
					c.confirmedAt = began
					test.change(k.sched, c)
					claims = append(claims, c)
				}
				for i, c := range claims {
					k.sched.now = began + time.Duration(i+1)*time.Second
					k.sched.reconcileEnded(c.worker, EndedRun{Number: 1, Task: c.key.task, Run: run, Kind: test.kind})
				}
				k.sched.speeds.finishStep(job.StepRef{Job: 7})
				for _, c := range claims {
					qt.Assert(t, c.worker.speed.runs > 0, qt.Equals, learns)
				}
			})
		}
	}
}

// Guards against speeds that the leader does not learn from the reports of real runs, that drift
// from the mean of the pool, that are logged again and again, or that a new leader takes from
// anything but its own observations.
func TestLeaderLearnsSpeeds(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{lostOrder: 0.02, failedRun: 0.02})
	k.orderByCost = true
	k.sched.settings = k.settings()
	k.setUp(12, false)
	k.run(2 * time.Second)
	for i := range 12 {
		k.workers[fmt.Sprintf("10.0.0.%d:80", i)].speed = unevenSpeeds[i%3]
	}
	k.work = func(ref job.TaskRef) time.Duration {
		rng := rand.New(rand.NewPCG(uint64(ref.Job), uint64(ref.Index)))
		return time.Duration(1+ref.Job%3) * time.Duration(float64(time.Second)*(0.8+0.4*rng.Float64()))
	}
	for n := range 60 {
		k.schedule(time.Duration(n)*time.Second, func() { k.submit(job.ID(n+1), newStep(24, 1500, 1000)) })
	}
	k.run(70 * time.Second)
	for _, w := range k.sched.workers {
		want := k.workers[w.info.Address].speed
		if speed := k.sched.speedOf(w); math.Abs(math.Log(speed/want)) > 0.15 {
			t.Errorf("%s has the speed %.2f after %d runs; want %v", w.info.Name, speed, w.speed.runs, want)
		}
	}
	spread := k.sched.Load().Speeds
	c.Assert(spread.Slowest < 0.93 && spread.Fastest > 1.07 && spread.Slowest < spread.Median && spread.Median < spread.Fastest, qt.IsTrue, qt.Commentf("%v", spread))
	for i := range 12 {
		logged := 0
		for _, line := range k.trace {
			var at, name string
			if n, _ := fmt.Sscanf(line, "%s worker speed learned 0000000000000000.0.0.0 run 0 %s", &at, &name); n == 2 && name == fmt.Sprintf("w%d", i) {
				logged++
			}
		}
		if i%3 != 1 {
			c.Check(logged, qt.Equals, 1, qt.Commentf("w%d", i))
		}
	}
	c.Assert(k.sched.expectedMillis("drafts", 1000) > 1300, qt.IsTrue) // two seconds on average
	c.Assert(k.sched.expectedMillis("unknown", 1000), qt.Equals, int64(1000))
	k.failover(time.Second)
	k.run(k.now + 3*time.Second)
	for _, w := range k.sched.workers {
		c.Assert(k.sched.speedOf(w), qt.Equals, 1.0)
	}
	c.Assert(k.sched.expectedMillis("drafts", 1000), qt.Equals, int64(1000))
}

// Guards against speeds that drift together, which the comparison within steps cannot show and which
// would make every worker seem too slow, and against means that mix pools.
func TestSpeedsAreCentered(t *testing.T) {
	k := newCluster(1, faults{})
	k.orderByCost = true
	k.sched.settings = k.settings()
	k.setUp(7, false)
	k.run(2 * time.Second)
	workers := k.sched.sortedWorkers()
	for i, class := range []int{1, 3, 5, -4, -2, 0} {
		workers[i].setClass(class)
		if i >= 3 {
			other := *workers[i].info
			other.Pool = "other"
			workers[i].info = &other
		}
	}
	k.sched.centerSpeeds()
	for i, class := range []int{-2, 0, 2, -2, 0, 2, 0} {
		qt.Assert(t, workers[i].speed.class(), qt.Equals, class)
	}
}

// Guards against speeds that change the placement in deployments that do not order by cost.
func TestPlacementIgnoresSpeedsUnlessOrderedByCost(t *testing.T) {
	trace := func(knowsSpeeds, orderByCost bool) []string {
		k := newLoadedCluster(1, 60, mixedLoad(), 0.2) // more than the workers can do, with preemption
		k.orderByCost = orderByCost
		k.sched.settings = k.settings()
		for n, w := range k.sched.workers {
			if knowsSpeeds {
				w.speed = workerSpeed{log: average{value: math.Log(unevenSpeeds[n%3]), n: 20}, runs: 100}
			}
		}
		k.run(8 * time.Second)
		for _, w := range k.sched.workers {
			if knowsSpeeds && !orderByCost {
				qt.Assert(t, w.speed.runs, qt.Equals, 100)
				qt.Assert(t, k.sched.speedOf(w), qt.Equals, 1.0)
			}
		}
		return k.trace
	}
	without := trace(false, false)
	qt.Assert(t, slices.ContainsFunc(without, func(line string) bool { return strings.Contains(line, "preempted for") }), qt.IsTrue)
	qt.Assert(t, slices.Equal(trace(true, false), without), qt.IsTrue)
	qt.Assert(t, slices.Equal(trace(true, true), without), qt.IsFalse)
}

// Guards against the end of the leader by a speed outside the classes: when the fast half of a pool has
// left, the mean of the others is low, and centering moves a fast worker that remains beyond maxSpeed.
func TestCenteredSpeedsStayWithinBounds(t *testing.T) {
	for _, sign := range []int{1, -1} {
		k := newCluster(1, faults{})
		k.orderByCost = true
		k.sched.settings = k.settings()
		k.setUp(7, false)
		k.run(2 * time.Second)
		workers := k.sched.sortedWorkers()
		for i, w := range workers {
			if w.setClass(-7 * sign); i == 0 {
				w.setClass(7 * sign)
			}
		}
		k.sched.centerSpeeds()
		var slots slotsByClass
		for _, w := range workers {
			qt.Check(t, w.speed.class() >= -maxSpeedClass && w.speed.class() <= maxSpeedClass, qt.IsTrue, qt.Commentf("class %d", w.speed.class()))
			slots.add(w, 1)
		}
	}
}

// Guards against soft state that grows with each queue and pool that a configuration has ever had.
func TestStateOfRemovedQueuesAndPoolsIsDropped(t *testing.T) {
	k := newCluster(1, faults{})
	k.orderByCost = true
	k.sched.settings = k.settings()
	k.setUp(2, false)
	k.run(2 * time.Second)
	s := k.sched
	for _, name := range []string{"drafts", "removed"} {
		s.meanWorkOf(name).Add(1)
		s.speeds.learnRatio(name, 1000, 0.5)
	}
	s.loadOf("removed")
	s.nextJobDeletion = 0
	s.Tick(k.now, k.wallMillis())
	qt.Check(t, s.meanWork["removed"], qt.IsNil)
	qt.Check(t, s.speeds.ratios["removed"], qt.IsNil)
	qt.Check(t, s.loads["removed"], qt.IsNil)
	qt.Check(t, s.meanWork["drafts"], qt.IsNotNil)
	qt.Check(t, s.speeds.ratios["drafts"], qt.IsNotNil)
	qt.Check(t, s.loads["desk"], qt.IsNotNil)
}
