package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// newSharedCluster returns a cluster of four workers in which accounts a and b, of weight 10, share 32
// cores, if there are accounts.
func newSharedCluster(hasAccounts bool) *cluster {
	k := newCluster(1, faults{})
	k.setUp(4, false)
	if hasAccounts {
		config := *k.state.Config()
		config.Version, config.HasAccounts = 2, true
		config.Accounts = []job.Account{{Name: "a", Weight: 10}, {Name: "b", Weight: 10}}
		k.state.Apply(job.Op{Config: &config})
	}
	k.run(2 * time.Second)
	return k
}

// sendEvery submits a job of one task, of one core and about a second, at each interval until a time.
func (c *cluster) sendEvery(account string, id job.ID, interval, until time.Duration) {
	if c.now >= until {
		return
	}
	c.submitFor(account, id, newStep(1, 1000, 1000))
	c.schedule(interval, func() { c.sendEvery(account, id+1, interval, until) })
}

// inTime returns how many jobs of an account were done within their objective, of how many.
func (c *cluster) inTime(account string) (inTime, total int) {
	c.state.Jobs(func(j *job.Job) {
		if j.Account != account {
			return
		}
		total++
		objective := j.Queue.TargetMillis + int64(j.Queue.SlackFactor*float64(j.Spec.Steps[0].EstimateMillis))
		inTime += boolToInt(j.Outcome == job.Completed && j.EndedMillis-j.AcceptedMillis <= objective)
	})
	return inTime, total
}

// Guards against an account that sends many times its usual load for 5 s and makes the jobs of another
// one late. Without accounts the same load does, which shows that the pool is short.
func TestHotAccountDoesNotDelayOthers(t *testing.T) {
	c := qt.New(t)
	for _, hasAccounts := range []bool{false, true} {
		k := newSharedCluster(hasAccounts)
		k.sendEvery("b", 1, 125*time.Millisecond, k.now+10*time.Second)
		k.sendEvery("a", 1000, 125*time.Millisecond, k.now+time.Second)
		k.schedule(time.Second, func() { k.sendEvery("a", 2000, 17*time.Millisecond, k.now+5*time.Second) })
		k.run(k.now + 20*time.Second)
		inTime, total := k.inTime("b")
		if hasAccounts {
			c.Check(float64(inTime) >= 0.95*float64(total), qt.IsTrue, qt.Commentf("%d of %d in time", inTime, total))
		} else {
			c.Check(float64(inTime) < 0.8*float64(total), qt.IsTrue, qt.Commentf("%d of %d in time", inTime, total))
		}
	}
}

// Guards against a share that an account does not use and that others cannot take.
func TestUnusedShareIsLent(t *testing.T) {
	c := qt.New(t)
	k := newSharedCluster(true)
	k.sendEvery("a", 1, 36*time.Millisecond, k.now+5*time.Second) // about 28 of 32 cores
	k.run(k.now + 10*time.Second)
	inTime, total := k.inTime("a")
	c.Assert(float64(inTime) >= 0.95*float64(total), qt.IsTrue, qt.Commentf("%d of %d in time", inTime, total))
}

// Guards against an order that puts the share before lateness or after priority.
func TestShareRanksBetweenLatenessAndPriority(t *testing.T) {
	c := qt.New(t)
	within := urgency{priority: 2, deadlineMillis: 10_000, remainingMillis: 1000}
	over := urgency{priority: 1, deadlineMillis: 10_000, remainingMillis: 1000, overShare: true}
	c.Assert(within.compareAt(over, 0) < 0, qt.IsTrue)
	c.Assert(within.compareAt(over, 9500) < 0, qt.IsTrue) // both late
	within.remainingMillis = 9000
	c.Assert(within.compareAt(over, 0) > 0, qt.IsTrue) // only one late
}

// Guards against an account that is charged for jobs within its rate, that sends above its rate
// unnoticed, or that stays charged for ever after it.
func TestJobRate(t *testing.T) {
	c := qt.New(t)
	var r jobRate
	const weight = 4.0
	beyond := func(from, jobs, intervalMillis int64) int {
		n := 0
		for i := range jobs {
			n += boolToInt(r.accept(weight, from+i*intervalMillis))
		}
		return n
	}
	c.Assert(beyond(0, 40, 250), qt.Equals, 0)           // its weight in jobs per second
	c.Assert(beyond(10_000, 250, 20) >= 220, qt.IsTrue)  // 50 jobs per second for 5 s
	c.Assert(beyond(120_000, 40, 250), qt.Equals, 0)     // after maxRateDebt
	c.Assert(beyond(200_000, 1000, 1) >= 990, qt.IsTrue) // all at once
	c.Assert(r.level <= weight*(rateBurst+maxRateDebt), qt.IsTrue)
}

// Guards against a new leader that does not know which jobs were accepted beyond the rate, and so
// gives an account a new burst with each change of leader.
func TestNewLeaderKnowsJobsBeyondTheRate(t *testing.T) {
	c := qt.New(t)
	k := newSharedCluster(true)
	k.sendEvery("a", 1, 10*time.Millisecond, k.now+time.Second)
	k.run(k.now + 1100*time.Millisecond)
	before := k.sched.beyondRate
	c.Assert(len(before) > 50, qt.IsTrue)
	k.electLeader()
	k.state.OpenJobs(func(j *job.Job) {
		c.Check(k.sched.beyondRate[j.ID], qt.Equals, before[j.ID], qt.Commentf("%v", j.ID))
	})
}
