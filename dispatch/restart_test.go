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

// restart starts the next incarnation of a worker under its name and address.
func (w *fakeWorker) restart() *fakeWorker {
	return w.cluster.addWorker(w.info.Name, w.info.Address, w.info.Capacity)
}

// cutOff partitions a worker for a time. What starts at its address meanwhile is cut off as well.
func (c *cluster) cutOff(address string, d time.Duration) {
	c.workers[address].isPartitioned = true
	c.schedule(d, func() { c.workers[address].isPartitioned = false })
}

// submitWithholdingStart submits a job and runs the cluster until its first start is sent, which is withheld.
func (c *cluster) submitWithholdingStart(qc *qt.C, step job.Step) *Start {
	var withheld *Start
	c.onOrder = func(a Action) bool {
		if start, ok := a.(Start); ok && withheld == nil {
			withheld = &start
			return false
		}
		return true
	}
	c.submit(1, step)
	for end := c.now + time.Second; withheld == nil; c.run(c.now + time.Millisecond) {
		qc.Assert(c.now < end, qt.IsTrue)
	}
	return withheld
}

// newClusterWithUnknownIncarnation returns a cluster of which a worker has started again unannounced, has taken a
// start for its previous incarnation if that arrived in time, and has been cut off for 15 s. It also returns
// the next incarnation.
func newClusterWithUnknownIncarnation(c *qt.C, seed uint64) (*cluster, *fakeWorker) {
	k, _, next := newClusterRestartedAtPlacement(c, seed, 20*time.Second, newStep(1, 1000, 20_000))
	k.cutOff(next.info.Address, 2*time.Millisecond) // its first announcement is lost
	k.run(k.now + 2*time.Millisecond)
	for end := k.now + 50*time.Millisecond; len(next.runs) == 0 && k.now < end; {
		k.run(k.now + time.Millisecond)
	}
	k.cutOff(next.info.Address, 15*time.Second)
	return k, next
}

// newClusterWithKeptOrders returns a cluster of two workers with two runs of 20 s on one of them. It
// collects the orders that are sent to that worker from then on, which are carried out as well.
func newClusterWithKeptOrders(c *qt.C) (*cluster, *fakeWorker, *[]Action) {
	k, w := newClusterWithRuns(c)
	var kept []Action
	k.onOrder = func(a Action) bool {
		switch a := a.(type) {
		case RenewLease:
			if a.Worker.Name == w.info.Name {
				kept = append(kept, a)
			}
		case Start:
			if a.Worker.Name == w.info.Name {
				kept = append(kept, a)
			}
		}
		return true
	}
	return k, w, &kept
}

// Guards against a task that runs on two workers after a change of leader: an order for the previous
// incarnation of a worker, whose lease was computed from the clock of that incarnation, reached the
// next one, which granted it the longest lease. The new leader has to wait until that has ended.
func TestNewLeaderWaitsForLeasesFromOrdersForThePreviousIncarnation(t *testing.T) {
	c := qt.New(t)
	k, w, kept := newClusterWithKeptOrders(c)
	k.run(20 * time.Second) // the clock of the worker is far ahead of that of the next incarnation
	renewals := *kept
	c.Assert(renewals, qt.Not(qt.HasLen), 0)
	next := w.restart()
	next.renewLease(renewals[len(renewals)-1].(RenewLease), func(Reply, Report) {})
	k.submit(2, newStep(10, 1000, 20_000))
	for ; len(next.runs) == 0; k.run(k.now + time.Millisecond) {
		c.Assert(k.now < 30*time.Second, qt.IsTrue, qt.Commentf("no run has started on the next incarnation"))
	}
	k.addWorker("idle", "10.0.0.9:80", workerCapacity)
	k.failover(500 * time.Millisecond)
	k.cutOff(next.info.Address, 14*time.Second)
	k.run(k.now + 80*time.Second)
	c.Assert(k.violations, qt.HasLen, 0, qt.Commentf("%s", k.traceOf("worker")))
	c.Assert(k.openJobCount(), qt.Equals, 0)
}

// Guards against tasks of a silent worker that wait for the longest lease after a change of leader, though
// all leases that orders for earlier incarnations may have got have expired.
func TestNewLeaderWaitsForTheLeasesThatOrdersAskFor(t *testing.T) {
	c := qt.New(t)
	k, w := newClusterWithRuns(c)
	k.submit(2, newStep(10, 1000, 30_000))
	k.run(12 * time.Second)
	k.submit(3, newStep(1, 1000, 500)) // its operations take along that the workers are settled
	k.run(13 * time.Second)
	c.Assert(k.state.Worker(1).Settled, qt.IsTrue)
	k.electLeader()
	elected := k.now
	k.cutOff(w.info.Address, 20*time.Second)
	for ; k.traceOf("worker lost") == ""; k.run(k.now + 5*time.Millisecond) {
		c.Assert(k.now < elected+taskLease+taskLease/20, qt.IsTrue)
	}
	k.run(k.now + 60*time.Second)
	c.Assert(k.violations, qt.HasLen, 0)
}

// Guards against a run that starts again in the next incarnation of its worker, from a late copy of its
// start, after it was done in the previous one.
func TestLateStartIsRefusedByTheNextIncarnation(t *testing.T) {
	for _, leader := range []string{"same leader", "new leader"} {
		t.Run(leader, func(t *testing.T) {
			c := qt.New(t)
			k, w, kept := newClusterWithKeptOrders(c)
			k.submit(2, newStep(8, 1000, 500))
			k.run(k.now + 2*time.Second)
			k.run(k.now + 2*time.Second) // all runs of the job have ended and are acknowledged
			c.Assert(k.state.Job(2).Outcome, qt.Equals, job.Completed)
			next := w.restart()
			if leader == "new leader" {
				k.electLeader()
			}
			k.run(k.now + time.Second)
			c.Assert(next.fencingToken, qt.Not(qt.Equals), uint64(0), qt.Commentf("the leader has not sent the next incarnation an order"))
			starts := 0
			for _, a := range *kept {
				if start, ok := a.(Start); ok && start.Worker.StartedMillis == w.info.StartedMillis {
					starts++
					reply := next.start(start)
					c.Assert(reply, qt.Equals, RefusedStaleLeader)
				}
			}
			c.Assert(starts > 0, qt.IsTrue)
			c.Assert(k.violations, qt.HasLen, 0)
			k.run(k.now + 60*time.Second)
			c.Assert(k.openJobCount(), qt.Equals, 0)
		})
	}
}

// Guards against ends that are forgotten unread: a late renewal for the previous incarnation
// acknowledges ends of the next one by their numbers, which begin anew.
func TestLateRenewalAcknowledgesNoEndsOfTheNextIncarnation(t *testing.T) {
	c := qt.New(t)
	k, w, kept := newClusterWithKeptOrders(c)
	k.submit(2, newStep(8, 1000, 500))
	k.run(k.now + 3*time.Second)
	renewals := *kept
	next := w.restart()
	k.run(k.now + time.Second)
	k.submit(3, newStep(8, 1000, 500))
	for ; len(next.ended) == 0; k.run(k.now + time.Millisecond) {
		c.Assert(k.now < 30*time.Second, qt.IsTrue, qt.Commentf("no run has ended on the next incarnation"))
	}
	acked := 0
	for _, a := range renewals {
		if renewal, ok := a.(RenewLease); ok && renewal.AckedEnd > 0 {
			acked++
			next.renewLease(renewal, func(reply Reply, _ Report) { c.Assert(reply, qt.Equals, RefusedStaleLeader) })
		}
	}
	c.Assert(acked > 0, qt.IsTrue)
	c.Assert(next.ended, qt.Not(qt.HasLen), 0)
	c.Assert(k.violations, qt.HasLen, 0)
}

// Guards against tasks of a restarted worker that wait for stops of runs which its next incarnation does not
// have and refuses from its first report on.
func TestStartsThatHaveNotReachedTheNextIncarnationAreLostWithItsFirstReport(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(2, false)
	k.run(2 * time.Second)
	withheld := k.submitWithholdingStart(c, newStep(1, 1000, 1000))
	next := k.workers[withheld.Worker.Address].restart()
	stops := 0
	k.onOrder = func(a Action) bool {
		if _, ok := a.(Stop); ok {
			stops++
		}
		return true
	}
	k.run(k.now + time.Second)
	c.Assert(stops, qt.Equals, 0)
	c.Assert(k.traceOf("placed"), qt.Contains, "run 2")
	c.Assert(next.start(*withheld), qt.Equals, RefusedStaleLeader)
	k.run(k.now + 5*time.Second)
	c.Assert(k.violations, qt.HasLen, 0)
	c.Assert(k.openJobCount(), qt.Equals, 0)
}

// Guards against a next incarnation that takes orders for the previous one for seconds, since the first order of
// its own was lost and is sent again only after its timeout.
func TestFirstRenewalOfTheNextIncarnationIsRepeated(t *testing.T) {
	c := qt.New(t)
	k, w, _ := newClusterWithKeptOrders(c)
	next := w.restart()
	lost := 0
	k.onOrder = func(a Action) bool {
		if renewal, ok := a.(RenewLease); ok && renewal.Worker.StartedMillis == next.info.StartedMillis && lost == 0 {
			lost++
			return false
		}
		return true
	}
	k.run(k.now + 400*time.Millisecond)
	c.Assert(lost, qt.Equals, 1)
	c.Assert(next.fencingToken, qt.Not(qt.Equals), uint64(0))
	c.Assert(k.sched.newest(w.info.Name).hasReported, qt.IsTrue)
	k.run(k.now + 3*time.Second) // another reply to the first renewal changes nothing
	c.Assert(k.traceOf("worker silent"), qt.Equals, "")
}

// Guards against an order that gets the next incarnation of a worker a lease, or acknowledges its ends, before
// anything of it is known: a worker that has not answered may have started again.
func TestRenewalOfASilentWorkerAsksForAReportOnly(t *testing.T) {
	c := qt.New(t)
	k, w, kept := newClusterWithKeptOrders(c)
	k.submit(2, newStep(8, 1000, 300))
	k.run(k.now + 2*time.Second)
	newest := (*kept)[len(*kept)-1].(RenewLease)
	c.Assert(newest.AckedEnd > 0 && newest.LeaseUntilMillis > 0, qt.IsTrue)
	k.cutOff(w.info.Address, 4*time.Second)
	for ; k.traceOf("worker silent") == ""; k.run(k.now + 5*time.Millisecond) {
		c.Assert(k.now < 10*time.Second, qt.IsTrue)
	}
	*kept = nil
	k.run(k.now + 1500*time.Millisecond)
	c.Assert(*kept, qt.Not(qt.HasLen), 0)
	for _, a := range *kept {
		renewal := a.(RenewLease)
		c.Assert(renewal.LeaseUntilMillis, qt.Equals, int64(0))
		c.Assert(renewal.AckedEnd, qt.Equals, uint64(0))
		c.Assert(renewal.FencingToken > newest.FencingToken, qt.IsTrue)
	}
	k.run(k.now + 30*time.Second)
	c.Assert(k.violations, qt.HasLen, 0)
	c.Assert(k.openJobCount(), qt.Equals, 0)
}

// Guards against a task that is placed again while it runs on an incarnation that nobody knows of: its
// worker has started again, taken a start for the previous incarnation and been cut off.
func TestStartThatAnUnknownIncarnationTookIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	reached := 0
	for seed := range uint64(20) {
		k, next := newClusterWithUnknownIncarnation(c, seed)
		if len(next.runs) > 0 {
			reached++
		}
		k.run(k.now + 60*time.Second)
		c.Check(k.violations, qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, k.traceOf("")))
		c.Check(k.openJobCount(), qt.Equals, 0)
	}
	c.Assert(reached > 0, qt.IsTrue)
}

// Guards against a claim on the next incarnation of a worker that is taken for stopped, or for running,
// because of a reply to an order for the previous one.
func TestReplyForThePreviousIncarnationLeavesTheClaimsOfTheNextAlone(t *testing.T) {
	c := qt.New(t)
	k, w, _ := newClusterWithKeptOrders(c)
	old := k.sched.newest(w.info.Name)
	start := Start{Order: k.sched.newLeaseOrder(old), Task: job.TaskRef{StepRef: job.StepRef{Job: 1}}, Run: 1}
	stop := Stop{Order: k.sched.newOrder(old), Task: start.Task, Run: start.Run}
	next := w.restart()
	next.start(start)
	var moved *claim
	for moved == nil || moved.worker == old {
		moved = k.sched.claims[claimKey{start.Task, start.Run}]
		c.Assert(moved, qt.IsNotNil, qt.Commentf("%s", k.traceOf("")))
		k.run(k.now + time.Millisecond)
	}
	c.Assert(moved.phase, qt.Equals, claimStopping)
	k.sched.Stopped(k.now, stop, Accepted)
	c.Assert(moved.phase, qt.Equals, claimStopping)
	moved.phase = claimSent
	k.sched.Started(k.now, start, Accepted)
	c.Assert(moved.phase, qt.Equals, claimSent)
}

// Guards against the loss of the leadership when the next incarnation of a worker refuses an order for
// the previous one: no other leader is the cause.
func TestRefusalOfAnOrderForThePreviousIncarnationKeepsTheLeadership(t *testing.T) {
	c := qt.New(t)
	k, w, _ := newClusterWithKeptOrders(c)
	old, term := k.sched.newest(w.info.Name), k.term
	w.restart()
	for ; !old.hasSuccessor; k.run(k.now + time.Millisecond) {
		c.Assert(k.now < 6*time.Second, qt.IsTrue, qt.Commentf("the next incarnation is not registered"))
	}
	k.sched.Reported(k.now, RenewLease{Order: Order{Worker: *old.info, FencingToken: k.sched.fencingToken(old)}}, k.now, RefusedStaleLeader, Report{})
	k.run(k.now + 3*time.Second)
	c.Assert(k.term, qt.Equals, term)
}

// Guards against a worker that refuses all orders of the leader: an announcement that no worker sent
// made the leader address the worker as another incarnation for a moment.
func TestWorkerTakesOrdersAfterAFalseAnnouncementOfItsName(t *testing.T) {
	c := qt.New(t)
	k, w, _ := newClusterWithKeptOrders(c)
	term := k.term
	k.announceForeign(w, "", 1000, false)
	k.run(k.now + 4*time.Second)
	k.submit(2, newStep(8, 1000, 500))
	k.run(k.now + 4*time.Second)
	c.Assert(k.state.Job(2).Outcome, qt.Equals, job.Completed, qt.Commentf("%s", k.openTrace()))
	c.Assert(k.term, qt.Equals, term)
	c.Assert(k.traceOf("worker silent"), qt.Equals, "")
	c.Assert(w.runs, qt.Not(qt.HasLen), 0)
	c.Assert(k.violations, qt.HasLen, 0)
}

// Guards against simultaneous runs of a task, starts after its end, ends that are acknowledged unread and
// starts beyond a worker's capacity when workers start again under their names and addresses, several
// times, while orders are lost, leaders change and the workers are cut off. Tasks outlast the longest lease.
func TestTasksRunOnceAcrossRestarts(t *testing.T) { checkTasksRunOnceAcrossRestarts(t, 0) }

// Guards against the same while orders are carried out 2 to 12 s late, by the incarnation that is there then.
func TestTasksRunOnceAcrossRestartsWithLateOrders(t *testing.T) {
	checkTasksRunOnceAcrossRestarts(t, 0.05)
}

func checkTasksRunOnceAcrossRestarts(t *testing.T, lateOrder float64) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(rt, "seed"), faults{
			lostOrder: rapid.SampledFrom([]float64{0, 0.02}).Draw(rt, "lost"),
			lateOrder: lateOrder,
			failedRun: 0.03,
		})
		workers := rapid.IntRange(3, 5).Draw(rt, "workers")
		c.setUp(workers, rapid.Bool().Draw(rt, "advised"))
		c.run(time.Duration(rapid.IntRange(2, 22).Draw(rt, "warm-up")) * time.Second) // then the workers may be settled
		for i := range rapid.IntRange(2, 12).Draw(rt, "jobs") {
			step := newStep(rapid.IntRange(1, 5).Draw(rt, "tasks"), int64(500+700*(i%4)), int64(rapid.IntRange(500, 14_000).Draw(rt, "estimate")))
			c.schedule(time.Duration(i)*400*time.Millisecond, func() { c.submit(job.ID(i+1), step) })
		}
		for range rapid.IntRange(1, 4).Draw(rt, "restarts") {
			c.drawRestart(rt, workers)
		}
		c.run(c.now + 23*time.Second)
		c.faults = faults{}
		c.run(c.now + 125*time.Second)
		if len(c.violations) > 0 {
			task, _, _ := strings.Cut(strings.SplitN(c.violations[0], ": ", 3)[1], " ")
			rt.Fatalf("broken rules: %v\n%s\n%s", c.violations, c.traceOf(task), c.traceOf("worker"))
		}
		if n := c.openJobCount(); n > 0 {
			rt.Fatalf("%d jobs are open after the faults\n%s", n, c.openTrace())
		}
	})
}

// drawRestart draws a restart of a worker, which a change of leader and a cut of the worker may follow
// within three seconds, in any order.
func (c *cluster) drawRestart(rt *rapid.T, workers int) {
	address := fmt.Sprintf("10.0.0.%d:80", rapid.IntRange(0, workers-1).Draw(rt, "worker"))
	at := time.Duration(rapid.IntRange(0, 12_000).Draw(rt, "restart at")) * time.Millisecond
	c.schedule(at, func() { c.workers[address].restart() })
	after := func(name string) time.Duration {
		return at + time.Duration(rapid.IntRange(0, 3000).Draw(rt, name))*time.Millisecond
	}
	if rapid.Bool().Draw(rt, "restarts again") {
		c.schedule(after("restart again after"), func() { c.workers[address].restart() })
	}
	if rapid.Bool().Draw(rt, "changes leader") {
		gap := time.Duration(rapid.IntRange(300, 2500).Draw(rt, "without a leader")) * time.Millisecond
		c.schedule(after("leader lost after"), func() {
			if !c.noLeader {
				c.failover(gap)
			}
		})
	}
	if rapid.Bool().Draw(rt, "is cut off") {
		d := time.Duration(rapid.IntRange(1000, 14_000).Draw(rt, "cut off for")) * time.Millisecond
		c.schedule(after("cut off after"), func() { c.cutOff(address, d) })
	}
}
