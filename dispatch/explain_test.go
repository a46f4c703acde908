package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// explain explains a job of an account on a queue.
func (c *cluster) explain(queue, account string, steps ...job.Step) Explanation {
	for i := range c.state.Config().Queues {
		if q := &c.state.Config().Queues[i]; q.Name == queue {
			return c.sched.Explain(q, &job.Spec{Steps: steps}, account)
		}
	}
	panic("no queue " + queue)
}

// checkExplained submits a job and checks that its next claims are the explained ones. It returns
// the explanation.
func checkExplained(c *qt.C, k *cluster, queue, account string, steps ...job.Step) Explanation {
	c.Helper()
	e := k.explain(queue, account, steps...)
	const id = 9999
	// The Submit is applied at once, since other events change the state while a proposal waits.
	op := job.Op{Submit: &job.Submit{ID: id, Queue: queue, Spec: job.Spec{Steps: steps}, AcceptedMillis: k.wallMillis(), Account: account}}
	k.state.Apply(op)
	k.sched.Applied(k.now, op)
	k.sched.nextPass = 0
	k.sched.Tick(k.now, k.wallMillis())
	for i, step := range e.Steps {
		starts, names := 0, map[string]bool{}
		for key, claim := range k.sched.claimsByJob[id] {
			if int(key.task.Step) == step.Step {
				starts++
				names[claim.worker.info.Name] = true
			}
		}
		c.Check(step.Starts, qt.Equals, starts, qt.Commentf("step %d of %+v", i, e))
		c.Check(step.UsedWorkers, qt.Equals, len(names))
		c.Check(step.Workers, qt.HasLen, min(len(names), maxExplainedWorkers))
		for _, name := range step.Workers {
			c.Check(names[name], qt.IsTrue, qt.Commentf("%s of %v", name, names))
		}
	}
	return e
}

// Guards against an explanation that differs from what happens to the job when it is submitted at once.
func TestExplanationEqualsTheDecision(t *testing.T) {
	limits := map[string]job.Resources{"a": {MilliCPU: 4000}, "b": {}}
	sameRack, spread, bestEffort := newStep(5, 3000, 500), newStep(6, 1000, 500), newStep(5, 3000, 500)
	sameRack.SameRack, spread.MaxPerWorker, bestEffort.BestEffortCPU = true, 1, true
	second := newStep(30, 1000, 500)
	third := newStep(3, 1000, 500)
	third.DependsOn = []int{0}
	for name, test := range map[string]struct {
		account string
		steps   []job.Step
	}{
		"all start":                {"b", []job.Step{newStep(3, 1000, 500)}},
		"some start":               {"b", []job.Step{newStep(40, 1000, 500)}},
		"gang starts":              {"b", []job.Step{newGang(6, 2000, 500)}},
		"gang does not fit":        {"b", []job.Step{newGang(40, 1000, 500)}},
		"limit allows some":        {"a", []job.Step{newStep(6, 1000, 500)}},
		"limit blocks a gang":      {"a", []job.Step{newStep(2, 1000, 500), newGang(4, 1000, 500)}},
		"tasks per worker":         {"b", []job.Step{spread}},
		"same rack":                {"b", []job.Step{sameRack}},
		"best effort":              {"b", []job.Step{bestEffort}},
		"two steps, one dependent": {"b", []job.Step{newStep(2, 3000, 500), second, third}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k := newCluster(1, faults{})
			k.setUp(4, false)
			k.setLimits(limits)
			k.run(2 * time.Second)
			k.submitFor("b", 1, newStep(5, 2500, 60_000))
			k.run(k.now + 200*time.Millisecond)
			checkExplained(c, k, "drafts", test.account, test.steps...)
		})
	}
}

// Guards against an explanation that differs from the decision, or that does not account for all workers, on pools
// with many jobs, headroom, reservations and limits.
func TestExplanationEqualsTheDecisionOnBusyPools(t *testing.T) {
	for seed := range uint64(20) {
		for _, byCost := range []bool{false, true} {
			t.Run(fmt.Sprintf("seed %d, by cost %v", seed, byCost), func(t *testing.T) {
				c := qt.New(t)
				k := newCluster(seed, faults{})
				k.orderByCost = byCost
				k.sched.settings = k.settings()
				k.setUp(8, false)
				config := *k.state.Config()
				urgent := config.Queues[0]
				urgent.Name, urgent.Prefix, urgent.Priority = "urgent", "/u/", -1
				config.Version, config.Queues = 2, append([]job.Queue{urgent}, config.Queues...)
				k.state.Apply(job.Op{Config: &config})
				k.run(2 * time.Second)
				for i := range 6 {
					step := newStep(1+k.rng.IntN(6), int64(500+k.rng.IntN(3000)), 20_000)
					step.Gang = k.rng.IntN(4) == 0
					k.propose([]job.Op{{Submit: &job.Submit{ID: job.ID(1 + i), Queue: []string{"urgent", "drafts"}[i%2], Spec: job.Spec{Steps: []job.Step{step}}, AcceptedMillis: k.wallMillis()}}})
				}
				k.run(k.now + time.Second)
				step := newStep(1+k.rng.IntN(20), int64(500+k.rng.IntN(3000)), 500)
				step.MaxPerWorker = k.rng.IntN(4)
				e := checkExplained(c, k, []string{"urgent", "drafts"}[seed%2], "", step)
				s, out := e.Steps[0], e.Steps[0].RuledOut
				c.Check(s.PoolWorkers, qt.Equals, 8)
				sum := out.NotAccepting + out.Label + out.TooSmall + out.TooLittleFree + out.Headroom + s.WithRoom
				c.Check(sum+s.UsedWorkers <= 8 && sum+s.UsedWorkers+out.TaskLimit >= 8, qt.IsTrue, qt.Commentf("%+v", s))
			})
		}
	}
}

// Guards against an explanation that changes what the leader knows or does.
func TestExplanationChangesNothing(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(true)
	for id := range job.ID(6) {
		k.submitFor("b", 10+id, newGang(2, 8000, 30_000))
	}
	k.submitFor("a", 3, newStep(9, 1000, 30_000))
	k.run(k.now + time.Second)
	snapshot := func() string {
		s, out := k.sched, ""
		for _, w := range s.sortedWorkers() {
			out += fmt.Sprintln(w.info.Number, w.allocated, w.bestEffortCPU, len(w.claims), w.reserved, w.isSchedulable)
		}
		advices, reservations := map[job.StepRef]string{}, map[job.StepRef]string{}
		for ref, a := range s.advice {
			advices[ref] = fmt.Sprint(*a)
		}
		for ref, r := range s.reservations {
			reservations[ref] = fmt.Sprint(len(r.workers), r.isWaiting)
		}
		out += fmt.Sprintln(advices, reservations)
		for _, a := range []string{"a", "b", "c", ""} {
			if s.accounts[a] != nil {
				u := *s.accounts[a]
				out += fmt.Sprintln(a, u.used, u.held, u.limit, u.weight, len(u.usage), u.rate, u.blockedSteps)
			}
		}
		for _, r := range s.ordered {
			out += fmt.Sprintln(r.ref, r.waiting, r.urgency, r.lateness, r.rank, r.retryAt, r.failures, r.blockedSince)
		}
		return out + fmt.Sprintln(len(s.claims), len(s.proposedClaims), len(s.claimsByJob), len(s.reservations), len(s.advice), len(s.queuedCalls), s.examined,
			s.idleCPU, s.cpuBeyondHeadroom, s.allocatedCPU, len(s.accounts), len(s.meanWork), len(s.loads), s.needsPass, len(s.ops), len(s.actions), len(s.ready),
			len(s.staleJobs), len(s.beyondRate), k.state.OpenCount(), len(k.trace))
	}
	before := snapshot()
	c.Assert(k.sched.advice, qt.Not(qt.HasLen), 0)
	c.Assert(k.sched.reservations, qt.Not(qt.HasLen), 0)
	c.Assert(snapshot(), qt.Equals, before) // maps print in the order of their keys
	for _, account := range []string{"a", "b", "c", ""} {
		for _, step := range []job.Step{newStep(3, 1000, 500), newGang(3, 1000, 500), newGang(9, 8000, 500), newStep(1, 9000, 500)} {
			e := k.explain("drafts", account, step, newStep(1, 1, 1))
			c.Assert(e.Steps, qt.HasLen, 2)
			c.Assert(e.Steps[0].NeedsAdvisor, qt.IsTrue)
			c.Assert(snapshot(), qt.Equals, before)
		}
	}
}

// Guards against a worker that is counted by another cause than the one that rules it out.
func TestCausesThatRuleWorkersOut(t *testing.T) {
	gpu := newStep(1, 1000, 500)
	gpu.TaskResources.GPU = 1
	labeled, spread := newStep(1, 1000, 500), newGang(9, 1000, 500)
	labeled.RequiredLabel, spread.MaxPerWorker = "ssd", 2
	memory := newStep(1, 1000, 500)
	memory.TaskResources.MemoryMB = 15_950
	for name, test := range map[string]struct {
		step     job.Step
		want     RuledOutWorkers
		withRoom int
		used     int
	}{
		"none":                {newStep(1, 1000, 500), RuledOutWorkers{NotAccepting: 1}, 2, 1},
		"label":               {labeled, RuledOutWorkers{NotAccepting: 1, Label: 3}, 0, 0},
		"processors":          {newStep(1, 9000, 500), RuledOutWorkers{NotAccepting: 1, TooSmall: 3}, 0, 0},
		"accelerators":        {gpu, RuledOutWorkers{NotAccepting: 1, TooSmall: 3}, 0, 0},
		"free processors":     {newStep(9, 6000, 500), RuledOutWorkers{NotAccepting: 1, TooLittleFree: 1, LackCPU: 1}, 0, 2},
		"free memory":         {memory, RuledOutWorkers{NotAccepting: 1, TooLittleFree: 1, LackMemory: 1}, 1, 1},
		"tasks per worker":    {spread, RuledOutWorkers{NotAccepting: 1, TaskLimit: 3}, 0, 0},
		"gang does not fit":   {newGang(30, 1000, 500), RuledOutWorkers{NotAccepting: 1}, 3, 0},
		"free of all workers": {newStep(1, 8000, 500), RuledOutWorkers{NotAccepting: 1, TooLittleFree: 1, LackCPU: 1}, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k := newCluster(1, faults{})
			k.setUp(4, false)
			k.run(2 * time.Second)
			k.submit(1, newStep(1, 3000, 60_000))
			k.run(k.now + 200*time.Millisecond)
			for _, w := range k.sched.sortedWorkers() {
				if len(w.claims) == 0 {
					w.isLeaving = true
					break
				}
			}
			e := k.explain("drafts", "", test.step)
			c.Assert(e.Steps, qt.HasLen, 1)
			c.Check(e.Steps[0].RuledOut, qt.Equals, test.want)
			c.Check(e.Steps[0].WithRoom, qt.Equals, test.withRoom)
			c.Check(e.Steps[0].UsedWorkers, qt.Equals, test.used)
			c.Check(e.Steps[0].PoolWorkers, qt.Equals, 4)
		})
	}
}

// Guards against headroom that an explanation does not show, or shows for the most urgent work.
func TestExplanationOfHeadroom(t *testing.T) {
	c := qt.New(t)
	k := newFullPool(0)
	k.propose([]job.Op{{Cancel: &job.Cancel{ID: 1}}})
	k.run(k.now + 2*time.Second)
	k.propose([]job.Op{{Submit: &job.Submit{ID: 2, Queue: "urgent", Spec: job.Spec{Steps: []job.Step{newStep(8, 8000, 60_000)}}, AcceptedMillis: k.wallMillis()}}})
	k.run(k.now + 300*time.Millisecond)
	// 16 cores are idle and 0.3 of the 64 that urgent work uses are kept free.
	e := checkExplained(c, k, "drafts", "", newStep(4, 4000, 500))
	c.Check(e.Steps[0].AllowedByHeadroom, qt.Equals, 0)
	c.Check(e.Steps[0].RuledOut, qt.Equals, RuledOutWorkers{TooLittleFree: 8, LackCPU: 8, Headroom: 2})
	c.Check(k.explain("urgent", "", newStep(4, 4000, 500)).Steps[0].Starts, qt.Equals, 4)
}

// Guards against the limit of an account that an explanation does not show, and a job that is shown to
// start although its account can never run it.
func TestExplanationOfLimit(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.submitFor("a", 1, newStep(1, 3000, 60_000))
	k.run(k.now + 200*time.Millisecond)
	e := k.explain("drafts", "a", newStep(3, 1000, 500))
	c.Check(e.IsRejected(), qt.IsFalse)
	c.Check(e.Steps[0].Starts, qt.Equals, 1)
	c.Check(e.Steps[0].AllowedByLimit, qt.Equals, 1)
	c.Check(e.Steps[0].LimitReason, qt.Contains, "3000 of 4000 milli_cpu in use")
	c.Check(e.Account.Used, qt.Equals, job.Resources{MilliCPU: 3000, MemoryMB: 100})
	c.Check(e.Account.Limit, qt.Equals, job.Resources{MilliCPU: 4000})
	c.Check(e.Account.Share > 0 && e.Account.Entitlement > 0, qt.IsTrue)
	e = k.explain("drafts", "a", newGang(5, 1000, 500))
	reason, _ := k.sched.ExceedsLimit(&job.Spec{Steps: []job.Step{newGang(5, 1000, 500)}}, "a")
	c.Check(e.LimitExceeded, qt.Equals, reason)
	c.Check(e.LimitExceeded, qt.Not(qt.Equals), "")
	c.Check(e.Steps[0].Starts, qt.Equals, 0)
	c.Check(k.explain("drafts", "b", newGang(5, 1000, 500)).Steps[0].Starts, qt.Equals, 5)
}

// Guards against a job that is explained to start although it would be rejected or is not due.
func TestExplanationOfRejectionAndLaterStart(t *testing.T) {
	c := qt.New(t)
	k := newFullPool(12)
	e := k.explain("drafts", "", newStep(1, 1000, 1000))
	c.Check(e.Admission, qt.Equals, k.admit("drafts", newStep(1, 1000, 1000)))
	c.Check(e.IsRejected(), qt.IsTrue)
	c.Check(e.Admission.RetryAfter, qt.Equals, 4*time.Second)
	k = newLimitedCluster(false)
	spec := job.Spec{Steps: []job.Step{newStep(1, 1000, 1000)}, Repetitions: 2, StartMillis: k.wallMillis() + 1000, IntervalMillis: 1000}
	e = k.sched.Explain(&k.state.Config().Queues[0], &spec, "b")
	c.Check(e.NotBeforeMillis, qt.Equals, spec.StartMillis)
	c.Check(e.Steps[0].Starts, qt.Equals, 0)
	c.Check(e.Steps[0].WithRoom, qt.Equals, 4)
}

// Guards against an explanation that changes a later decision: a cell that explains jobs all the time decides as
// one that never does.
func TestExplainingChangesNoLaterDecision(t *testing.T) {
	c := qt.New(t)
	decisions := func(explains bool) []string {
		k := newCluster(3, faults{})
		k.orderByCost = true
		k.sched.settings = k.settings()
		k.setUp(6, true)
		k.setLimits(map[string]job.Resources{"a": {MilliCPU: 9000}, "b": {}})
		k.run(2 * time.Second)
		for i := range 400 {
			id := job.ID(1 + i)
			if i%8 == 0 {
				step := newStep(1+i%5, int64(700+i*13%2500), int64(200+i*7%900))
				step.Gang = i%3 == 0
				k.submitFor([]string{"a", "b", "c"}[i%3], id, step)
			}
			if explains {
				k.explain("drafts", []string{"a", "b", "c", "d"}[i%4], newGang(1+i%9, 1500, 500), newStep(1+i%9, 1500, 500))
			}
			k.run(k.now + 20*time.Millisecond)
		}
		return k.trace
	}
	without := decisions(false)
	c.Assert(len(without) > 100, qt.IsTrue)
	c.Assert(decisions(false), qt.DeepEquals, without) // the simulation is deterministic
	c.Assert(decisions(true), qt.DeepEquals, without)
}
