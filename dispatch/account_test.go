package dispatch

import (
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// newLimitedCluster returns a cluster of four workers in which account a may use 4 cores of the 32.
func newLimitedCluster(advised bool) *cluster {
	k := newCluster(1, faults{})
	k.setUp(4, advised)
	k.setLimits(map[string]job.Resources{"a": {MilliCPU: 4000}, "b": {}})
	k.run(2 * time.Second)
	return k
}

// runsOf returns the number of claims of a job.
func (c *cluster) runsOf(id job.ID) int { return len(c.sched.claimsByJob[id]) }

func newGang(count int, cpu, millis int64) job.Step {
	step := newStep(count, cpu, millis)
	step.Gang = true
	return step
}

// Guards against tasks of one pass that together exceed the limit, and against a blocked account that
// keeps others waiting.
func TestLimitBlocksOnlyItsAccount(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.submitFor("a", 1, newStep(6, 1000, 30_000))
	k.submitFor("a", 2, newStep(1, 1000, 30_000))
	k.submitFor("b", 3, newStep(6, 1000, 30_000))
	k.submitFor("", 4, newStep(2, 1000, 30_000))
	k.run(k.now + 200*time.Millisecond)
	c.Assert([]int{k.runsOf(1) + k.runsOf(2), k.runsOf(3), k.runsOf(4)}, qt.DeepEquals, []int{4, 6, 2})
	c.Assert(k.sched.accounts["a"].blockedSteps, qt.Equals, 2)
}

// Guards against a gang of which a part starts within the limit, and against a gang blocked by the
// limit that reserves capacity, preempts runs or asks the advisor.
func TestGangBlockedByLimitTakesNothing(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(true)
	k.submitFor("a", 1, newStep(1, 1000, 30_000))
	k.run(k.now + time.Second)
	c.Assert(k.runsOf(1), qt.Equals, 1)
	k.submitFor("a", 2, newGang(4, 1000, 500))
	k.run(k.now + time.Second)
	ref := job.StepRef{Job: 2}
	c.Assert(k.runsOf(2), qt.Equals, 0)
	c.Assert(k.sched.reservations[ref], qt.IsNil)
	c.Assert(k.sched.advice[ref], qt.IsNil)
	c.Assert(k.traceOf("preempted"), qt.Equals, "")
	for _, w := range k.workers {
		w.endRun(claimKey{job.TaskRef{StepRef: job.StepRef{Job: 1}}, 1}, job.EndDone)
	}
	k.run(k.now + 400*time.Millisecond)
	c.Assert(k.runsOf(2), qt.Equals, 4)
}

// Guards against a gang with a reservation that keeps it, and keeps its queued calls to the advisor,
// when the limit is lowered.
func TestLoweredLimitReleasesReservation(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.submitFor("b", 1, newStep(4, 8000, 30_000)) // all workers are full
	k.run(k.now + time.Second)
	k.submitFor("a", 2, newGang(4, 1000, 500))
	k.run(k.now + 500*time.Millisecond)
	ref := job.StepRef{Job: 2}
	c.Assert(k.sched.reservations[ref], qt.IsNotNil)
	k.setLimits(map[string]job.Resources{"a": {MilliCPU: 3999}, "b": {}})
	k.run(k.now + lateRetryMax + 100*time.Millisecond)
	c.Assert(k.sched.reservations[ref], qt.IsNil)
}

// Guards against a limit that, lowered below what is running, stops runs, and against one that still
// allows starts.
func TestLoweredLimitStopsOnlyNewStarts(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.submitFor("a", 1, newStep(4, 1000, 4000))
	k.run(k.now + time.Second)
	c.Assert(k.runsOf(1), qt.Equals, 4)
	k.setLimits(map[string]job.Resources{"a": {MilliCPU: 1000}})
	k.submitFor("a", 2, newStep(1, 1000, 500))
	k.run(k.now + 500*time.Millisecond)
	c.Assert(k.runsOf(1), qt.Equals, 4)
	c.Assert(k.runsOf(2), qt.Equals, 0)
	k.run(k.now + 10*time.Second)
	c.Assert(k.openJobCount(), qt.Equals, 0)
}

// Guards against jobs that wait for ever because their account was removed from the configuration, or
// that stop.
func TestRemovedAccountHasNoLimit(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.submitFor("a", 1, newStep(6, 1000, 30_000))
	k.run(k.now + 200*time.Millisecond)
	c.Assert(k.runsOf(1), qt.Equals, 4)
	k.setLimits(map[string]job.Resources{"b": {}})
	k.run(k.now + 200*time.Millisecond)
	c.Assert(k.runsOf(1), qt.Equals, 6)
}

// Guards against a new leader that starts tasks before it counts the runs of the earlier one, or does
// not count a speculative run.
func TestNewLeaderCountsClaimsBeforeItsFirstStart(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.submitFor("a", 1, newStep(3, 1000, 30_000))
	k.submitFor("a", 2, newStep(9, 1000, 30_000))
	k.run(k.now + 40*time.Millisecond)
	task := job.TaskRef{StepRef: job.StepRef{Job: 1}}
	k.sched = New(k.settings(), k.state, k.recordDecision)
	for _, op := range []job.Op{{Claim: &job.Claim{Task: task, Run: 1, Worker: 1}}, {Claim: &job.Claim{Task: task, Run: 2, Worker: 2, Speculative: true}}} {
		k.state.Apply(op)
	}
	claimed := int64(0)
	k.state.Jobs(func(j *job.Job) {
		for _, o := range j.Occurrences {
			for i := range o.Steps {
				for _, task := range o.Steps[i].Tasks {
					claimed += int64(boolToInt(task.Phase == job.Claimed) + boolToInt(task.SpeculativeWorker != 0))
				}
			}
		}
	})
	k.sched.BecomeLeader(k.now, k.wallMillis(), 2)
	c.Assert(claimed >= 2, qt.IsTrue)
	c.Assert(k.sched.accounts["a"].used[0], qt.Equals, claimed*1000)
}

// Guards against an unclaimed run that a worker reports and that does not count toward the limit.
func TestUnclaimedRunCountsTowardLimit(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.submitFor("a", 1, newStep(1, 3000, 30_000))
	k.run(k.now + 200*time.Millisecond)
	before := k.sched.accounts["a"].used
	claim := k.sched.addUnclaimedRun(k.sched.workers[1], claimKey{job.TaskRef{StepRef: job.StepRef{Job: 1}}, 7})
	c.Assert(k.sched.accounts["a"].used[0], qt.Equals, before[0]+3000)
	k.sched.removeClaim(claim)
	c.Assert(k.sched.accounts["a"].used, qt.Equals, before)
}

// streamSmallTasks submits a job of account a with one task of one core every 125 ms, which together take
// about four cores.
func (c *cluster) streamSmallTasks(id job.ID) {
	c.submitFor("a", id, newStep(1, 1000, 500))
	c.schedule(125*time.Millisecond, func() { c.streamSmallTasks(id + 1) })
}

// Guards against a gang that waits for ever while small tasks of its account take all that becomes
// free below the limit.
func TestGangBlockedByLimitStartsDespiteSmallTasks(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.streamSmallTasks(100)
	k.run(k.now + time.Second)
	k.submitFor("a", 2, newGang(4, 1000, 800)) // can be in time if it starts within 1.6 s
	k.run(k.now + 1700*time.Millisecond)       // half of that, until the runs at that time have ended
	c.Assert(strings.Count(k.traceOf("0000000000000002.0"), "placed"), qt.Equals, 4, qt.Commentf("%s", k.traceOf("limit")))
}

// Guards against a task that waits for ever while smaller tasks of its account take all that becomes
// free below the limit.
func TestTaskBlockedByLimitStartsDespiteSmallTasks(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.streamSmallTasks(100)
	k.run(k.now + time.Second)
	k.submitFor("a", 2, newStep(1, 4000, 800)) // can be in time if it starts within 1.6 s
	k.run(k.now + 1700*time.Millisecond)
	c.Assert(strings.Count(k.traceOf("0000000000000002.0"), "placed"), qt.Equals, 1, qt.Commentf("%s", k.traceOf("limit")))
}

// Guards against a gang that waits until it is late, and then for ever, while small tasks of its account with
// earlier deadlines take all that becomes free below the limit.
func TestGangBlockedByLimitStartsDespiteEarlierDeadlines(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.streamSmallTasks(100)
	k.run(k.now + time.Second)
	k.submitFor("a", 2, newGang(4, 1000, 8000)) // can be in time if it starts within 7.4 s
	k.run(k.now + 3*time.Second)
	c.Assert(strings.Count(k.traceOf("0000000000000002.0"), "placed"), qt.Equals, 4, qt.Commentf("%s", k.traceOf("limit")))
}

// Guards against an account that starts nothing because the room below its limit is held for a gang that
// is larger than its pool.
func TestNoRoomIsHeldForGangLargerThanPool(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	k.setLimits(map[string]job.Resources{"a": {MilliCPU: 40_000}, "b": {}})
	k.submitFor("a", 1, newStep(1, 1000, 2000))
	k.run(k.now + 300*time.Millisecond)
	k.submitFor("a", 2, newGang(5, 8000, 60_000)) // the limit blocks it while job 1 runs; the workers have 32 cores
	k.run(k.now + 4*time.Second)
	k.submitFor("a", 3, newGang(2, 1000, 61_000))
	k.run(k.now + 2*time.Second)
	c.Assert(k.runsOf(2), qt.Equals, 0)
	c.Assert(k.runsOf(3), qt.Equals, 2)
}

// Guards against a log line for each pass in which a limit blocks steps, and against none when it
// blocks steps again.
func TestReachedLimitIsRecordedOnce(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	count := func() int {
		return strings.Count(k.traceOf("limit reached"), "\n") + boolToInt(k.traceOf("limit reached") != "")
	}
	k.submitFor("a", 1, newStep(9, 2000, 800))
	k.submitFor("a", 2, newStep(9, 2000, 800))
	k.run(k.now + 12*time.Second)
	c.Assert(k.openJobCount(), qt.Equals, 0)
	c.Assert(count(), qt.Equals, 1)
	k.submitFor("a", 3, newStep(3, 2000, 800))
	k.run(k.now + time.Second)
	c.Assert(count(), qt.Equals, 2)
}

// Guards against a job that is accepted although one task or one gang of it can never run within the
// limit, and against the rejection of one whose tasks can run one after the other.
func TestExceedsLimit(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	bestEffort := newStep(1, 5000, 500)
	bestEffort.BestEffortCPU = true
	huge := newGang(16_000, math.MaxInt64/2, 500)
	for _, test := range []struct {
		name, account string
		step          job.Step
		exceeds       bool
	}{
		{"tasks that fit one by one", "a", newStep(9, 4000, 500), false},
		{"task", "a", newStep(1, 4001, 500), true},
		{"gang", "a", newGang(5, 1000, 500), true},
		{"gang that overflows", "a", huge, true},
		{"no processors allocated", "a", bestEffort, false},
		{"no limit", "b", newGang(5, 10_000, 500), false},
		{"no account", "", newGang(5, 10_000, 500), false},
		{"unknown account", "z", newGang(5, 10_000, 500), false},
	} {
		reason, exceeds := k.sched.ExceedsLimit(&job.Spec{Steps: []job.Step{newStep(1, 1, 1), test.step}}, test.account)
		c.Check(exceeds, qt.Equals, test.exceeds, qt.Commentf("%s: %s", test.name, reason))
		c.Check(strings.Contains(reason, "milli_cpu"), qt.Equals, test.exceeds, qt.Commentf("%s: %s", test.name, reason))
	}
}
