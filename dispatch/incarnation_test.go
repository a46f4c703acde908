package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against an announcement that ends the runs of a worker that runs and answers. Whatever name,
// address and start time it has, it may be delayed or come from something that is no worker.
func TestAnnouncementEndsNoRuns(t *testing.T) {
	for _, test := range []struct {
		name, address string // of the announcement; empty for those of the worker
		later         int64  // how much later it says that it started, in milliseconds
	}{
		{name: "other"}, {name: "other", later: 1000}, {name: "other", later: -1000},
		{later: 1000}, {later: -1000}, {address: "10.9.9.9:80"}, {address: "10.9.9.9:80", later: 1000},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			c := qt.New(t)
			k, w := newClusterWithRuns(c)
			info := w.info
			info.StartedMillis += test.later
			if test.name != "" {
				info.Name = test.name
			}
			if test.address != "" {
				info.Address = test.address
			}
			k.sched.Announced(k.now, Announcement{Worker: info, Sequence: 9})
			k.run(k.now + 30*time.Second)
			c.Assert(k.violations, qt.HasLen, 0, qt.Commentf("%s", k.traceOf("")))
			c.Assert(k.openJobCount(), qt.Equals, 0, qt.Commentf("%s", k.openTrace()))
			c.Assert(k.traceOf("placed"), qt.Contains, "run 1")
			c.Assert(k.traceOf("placed"), qt.Not(qt.Contains), "run 2")
			c.Assert(k.sched.workers, qt.HasLen, 2, qt.Commentf("the announced incarnation is still registered"))
		})
	}
}

// Guards against the notice of a worker that it leaves, and against its sign-off, being taken for
// those of an incarnation that only has its name.
func TestWorkerLeavesBesideAnAnnouncementOfItsName(t *testing.T) {
	c := qt.New(t)
	k, w := newClusterWithRuns(c)
	info := w.info
	info.StartedMillis, info.Address = info.StartedMillis+1000, "10.9.9.9:80"
	k.sched.Announced(k.now, Announcement{Worker: info, Sequence: 9})
	k.run(k.now + 200*time.Millisecond)
	w.leave()
	k.run(k.now + 900*time.Millisecond)
	k.sched.Announced(k.now, Announcement{Worker: w.info, Sequence: 10})
	k.run(k.now + 50*time.Millisecond)
	c.Assert(k.sched.newest(w.info.Name).info.Address, qt.Equals, w.info.Address)
	c.Assert(k.sched.newest(w.info.Name).isLeaving, qt.IsTrue)
	k.run(k.now + 20*time.Second)
	c.Assert(k.violations, qt.HasLen, 0)
	c.Assert(k.traceOf("worker signed off"), qt.Not(qt.Equals), "")
}

// Guards against tasks of a crashed worker that wait for the end of its lease although another
// incarnation at its address has reported.
func TestNextIncarnationEndsTheRunsOfTheCrashedOne(t *testing.T) {
	for _, name := range []string{"the same name", "another name"} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k, w := newClusterWithRuns(c)
			next := w.info.Name
			if name == "another name" {
				next += "x"
			}
			k.addWorker(next, w.info.Address, workerCapacity)
			k.run(k.now + time.Second)
			c.Assert(k.violations, qt.HasLen, 0)
			c.Assert(k.traceOf("placed"), qt.Contains, "run 2")
		})
	}
}

// Guards against registering an announcement for a pool that the configuration does not have. Before
// there is a configuration, workers may announce themselves already.
func TestAnnouncementForUnknownPoolIsRefused(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.run(time.Second)
	announced := func(name string) AnnounceResult {
		info := job.Worker{Name: name, Address: name + ":80", Pool: "monitor", Capacity: workerCapacity}
		return k.sched.Announced(k.now, Announcement{Worker: info})
	}
	c.Assert(announced("early"), qt.Equals, AnnouncementProposed)
	k.setUp(1, false)
	c.Assert(announced("late"), qt.Equals, AnnouncementRefused)
}

// newClusterRestartedAtPlacement returns a cluster of two workers. A job of one step was submitted at a
// time, and the worker of its first claim has just restarted under its name. It also returns the
// leader's state of the previous life, and the next life.
func newClusterRestartedAtPlacement(c *qt.C, seed uint64, at time.Duration, step job.Step) (*cluster, *worker, *fakeWorker) {
	k := newCluster(seed, faults{})
	k.setUp(2, false)
	k.run(at)
	k.submit(1, step)
	for k.traceOf("placed") == "" {
		k.run(k.now + time.Millisecond)
	}
	for address, w := range k.workers {
		if old := k.sched.newest(w.info.Name); old.allocated != (job.Resources{}) {
			return k, old, k.addWorker(w.info.Name, address, workerCapacity)
		}
	}
	c.Fatal("no worker has the claim")
	return nil, nil, nil
}

// Guards against placing a task again while it runs on a worker's next incarnation, which a start for
// the previous one reached and which then was cut off. The lease there counts from another clock.
func TestStartThatReachesTheNextIncarnationIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	reached := 0
	for seed := range uint64(20) {
		k, _, next := newClusterRestartedAtPlacement(c, seed, 2*time.Second, newStep(1, 1000, 1000))
		for end := k.now + 50*time.Millisecond; len(next.runs) == 0 && k.now < end; {
			k.run(k.now + time.Millisecond)
		}
		if len(next.runs) > 0 {
			reached++
		}
		next.isPartitioned = true
		k.schedule(taskLease-700*time.Millisecond, func() { next.isPartitioned = false })
		k.run(k.now + 20*time.Second)
		c.Check(k.violations, qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, k.traceOf("")))
	}
	c.Assert(reached > 0, qt.IsTrue)
}

// Guards against orders for an incarnation that reach the next one under its name and address: a
// renewal would acknowledge ends there that were never reported, by their numbers.
func TestNothingIsSentToAnIncarnationWithASuccessor(t *testing.T) {
	c := qt.New(t)
	k, w := newClusterWithRuns(c)
	old := k.sched.newest(w.info.Name)
	next := k.addWorker(w.info.Name, w.info.Address, workerCapacity)
	next.isPartitioned = true
	k.sched.Announced(k.now, Announcement{Worker: next.info})
	k.run(k.now + 4*time.Second) // the renewal in flight times out
	c.Assert(old.hasSuccessor, qt.IsTrue)
	renewals := 0
	for end := k.now + 2*time.Second; k.now < end; k.now += 5 * time.Millisecond {
		k.sched.Tick(k.now, k.wallMillis())
		for _, a := range k.sched.Actions() {
			switch a := a.(type) {
			case RenewLease:
				c.Assert(a.Worker.Number == old.info.Number, qt.IsFalse)
				renewals++
				k.sched.Reported(k.now, a, k.now, NoReply, Report{})
			case Start:
				c.Assert(a.Worker.Number == old.info.Number, qt.IsFalse)
			}
		}
	}
	c.Assert(renewals > 0, qt.IsTrue)
}

// Guards against a start that is repeated to a worker while it answers no renewals. It may have
// restarted under its name without having announced itself, and would run the task for longer than
// the lease of its previous life, after which the task is placed again.
func TestStartIsNotRepeatedToASilentWorker(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(60) {
		at := 2*time.Second + time.Duration(seed)*20*time.Millisecond
		k, old, next := newClusterRestartedAtPlacement(c, seed, at, newStep(1, 1000, 5000))
		// The next life is cut off before it has announced itself. The link is back shortly before the
		// leader takes the worker for lost.
		next.isPartitioned = true
		k.schedule(old.leaseEnd-k.now-300*time.Millisecond, func() { next.isPartitioned = false })
		k.run(k.now + 20*time.Second)
		c.Check(k.violations, qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, k.traceOf("")))
		c.Check(k.openJobCount(), qt.Equals, 0)
	}
}
