package shortage

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// expect returns when a job that takes a second, with an objective of 3 s, would start.
func expect(b *Backlog, priority int) Expectation {
	return b.Expect(Request{Priority: priority, CriticalPath: 1000, Objective: 3000, Limit: 9000})
}

// inTimeStep and lateStep return waiting steps with an objective of a minute.
func inTimeStep(priority int, work float64) Step {
	return Step{Priority: priority, Work: work, Deadline: 60_000, Worthless: 180_000}
}

func lateStep(priority int, work float64) Step {
	return Step{Priority: priority, IsLate: true, Work: work, Worthless: 120_000}
}

// Guards against a rejection because of work that the order puts behind the job.
func TestOnlyWorkAheadDelaysAJob(t *testing.T) {
	c := qt.New(t)
	b := Backlog{Capacity: 1000}
	b.Add(inTimeStep(2, 1e9))
	b.Add(lateStep(1, 1e9))
	b.Add(inTimeStep(1, 1e6))
	e := expect(&b, 1)
	c.Assert(e.Start, qt.Equals, 1000.0)
	c.Assert(e.WorkAhead, qt.Equals, 1e6)
	c.Assert(e.Excess <= 0, qt.IsTrue)
}

// Guards against the admission of a job that comes behind more urgent late work once it is late itself, and
// against a rejection because of less urgent work or of late work that becomes worthless before it.
func TestLateJobComesBehindMoreUrgentWork(t *testing.T) {
	c := qt.New(t)
	b := Backlog{Capacity: 1000}
	b.Add(inTimeStep(1, 4e6))
	b.Add(inTimeStep(2, 1e9))
	b.Add(lateStep(1, 1e9))
	c.Assert(expect(&b, 1).Start, qt.Equals, 4000.0)
	c.Assert(expect(&b, 1).Excess <= 0, qt.IsTrue)
	b.Add(lateStep(0, 5e6))
	e := expect(&b, 1)
	c.Assert(e.Start, qt.Equals, 9000.0)
	c.Assert(e.Excess, qt.Equals, 1000.0)
	c.Assert(expect(&b, 0).Start, qt.Equals, 0.0)
}

// Guards against a rejection because of a flood of urgent work that is worthless before the job is, and
// because of a flood of the job's own queue.
func TestWorkCountsOnlyUntilItIsWorthless(t *testing.T) {
	c := qt.New(t)
	b := Backlog{Capacity: 1000}
	b.Add(Step{Priority: 0, Work: 1e9, Deadline: 1000, Worthless: 4000})
	b.Add(Step{Priority: 1, Work: 1e9, Deadline: 3000, Worthless: 9000})
	e := expect(&b, 1)
	c.Assert(e.Start, qt.Equals, 4000.0)
	c.Assert(e.Excess <= 0, qt.IsTrue)
}

// Guards against rejections of an account's jobs because of another account that sends more than its
// share, and against its own backlog being left out.
func TestBacklogOfOneAccountDoesNotDelayOthers(t *testing.T) {
	c := qt.New(t)
	b := Backlog{Capacity: 1000}
	ofAccount := func(account string, work float64) Step {
		step := inTimeStep(1, work)
		step.Account, step.Weight = account, 1
		return step
	}
	b.Add(ofAccount("hot", 1e9))
	b.Add(ofAccount("calm", 1e6))
	request := Request{Priority: 1, CriticalPath: 1000, Objective: 3000, Limit: 9000, Weight: 1}
	for _, account := range []string{"calm", "idle"} {
		request.Account = account
		c.Assert(b.Expect(request).Excess <= 0, qt.IsTrue, qt.Commentf("%s", account))
	}
	request.Account = "hot"
	c.Assert(b.Expect(request).Excess > 0, qt.IsTrue)
	b.Reset()
	c.Assert(b.Expect(request).Start, qt.Equals, 0.0)
}

// Guards against a rejection where the workers of the pool are not known.
func TestUnknownCapacityRejectsNothing(t *testing.T) {
	b := Backlog{}
	b.Add(inTimeStep(0, 1e9))
	qt.Assert(t, expect(&b, 0).Excess <= 0, qt.IsTrue)
}

// Guards against an estimate that allocates memory for each pass or each job.
func TestEstimatesAllocateNothing(t *testing.T) {
	b := Backlog{Capacity: 1000}
	pass := func() {
		b.Reset()
		for i := range 100 {
			b.Add(Step{Priority: i % 3, IsLate: i%2 == 0, Work: 1e6, Account: "a", Weight: 1})
		}
		expect(&b, 1)
	}
	pass()
	qt.Assert(t, testing.AllocsPerRun(10, pass), qt.Equals, 0.0)
}

// Guards against an order in which small jobs displace large ones that have begun, or in which the rank of
// jobs of ordinary size depends on their size.
func TestRankDependsOnSizeOnlyForSmallJobs(t *testing.T) {
	c := qt.New(t)
	fresh := func(work float64) float64 { return Demand{work, work}.Rank(1000) }
	c.Assert(fresh(300), qt.Equals, 1.0)
	c.Assert(fresh(30_000), qt.Equals, 1.0)
	c.Assert(fresh(125), qt.Equals, 0.5)
	c.Assert(Demand{Left: 3000, Total: 30_000}.Rank(1000) < fresh(125), qt.IsTrue)
	c.Assert(Demand{}.Rank(1000), qt.Equals, 1.0) // no estimate is no advantage
	c.Assert(Demand{Left: 100, Total: 100}.Rank(0), qt.Equals, 1.0)
}

// Guards against a mean that no longer follows the load after many jobs.
func TestMeanWorkFollowsTheLoad(t *testing.T) {
	c := qt.New(t)
	var m MeanWork
	for range 100_000 {
		m.Add(100)
	}
	c.Assert(m.Mean, qt.Equals, 100.0)
	for range 4 * meanWindow {
		m.Add(1000)
	}
	c.Assert(m.Mean > 900, qt.IsTrue)
}

// Guards against one job with an absurd estimate after which all other jobs count as small.
func TestOneJobDoesNotMoveTheMean(t *testing.T) {
	var m MeanWork
	for range 100 {
		m.Add(100)
	}
	m.Add(1e18)
	qt.Assert(t, m.Mean < 200, qt.IsTrue)
}
