package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// restart starts a worker again under its name and address, and returns the leader's states of both
// incarnations once the new one has reported.
func (k *cluster) restart(c *qt.C, w *fakeWorker) (previous, next *worker) {
	previous = k.sched.newest(w.info.Name)
	c.Assert(previous, qt.IsNotNil)
	info := k.addWorker(w.info.Name, w.info.Address, workerCapacity).info
	for end := k.now + time.Second; k.now < end; {
		k.run(k.now + 5*time.Millisecond)
		if next = k.sched.newest(info.Name); next != nil && next.info.SameIncarnation(&info) && next.hasReported {
			return previous, next
		}
	}
	c.Fatal("the new incarnation has not reported")
	return nil, nil
}

// Guards against a ticket or a denial of the advisor for one incarnation of a worker that is taken for the
// next one's: a ticket is valid during one incarnation. The worker restarts after the answer, or between the
// question and the answer.
func TestAdviceHoldsForOneIncarnation(t *testing.T) {
	for _, isGranted := range []bool{true, false} {
		for _, isAnsweredBefore := range []bool{true, false} {
			t.Run(fmt.Sprintf("granted %v, answered before the restart %v", isGranted, isAnsweredBefore), func(t *testing.T) {
				c := qt.New(t)
				k, r := newWaitingStep(1, 7, newStep(1, 1000, 20_000))
				k.adviceLatency = time.Hour // the test answers
				k.sched.requestAdvice(r)
				k.sched.sendQueuedCalls()
				k.sched.Actions()                                    // the call is in flight
				k.sched.newest("w0").health.blockedUntil = time.Hour // nothing is placed there meanwhile
				c.Assert(k.sched.proxies["a"].call, qt.IsNotNil)
				answer := func() {
					call := k.sched.proxies["a"].call
					var granted []Ticket
					if isGranted {
						granted = []Ticket{{Worker: call.workers[0].Number, Value: "of the previous incarnation"}}
					}
					k.sched.Advised(k.now, "a", r.ref, call.workers, granted, 10*time.Second, true)
				}
				if isAnsweredBefore {
					answer()
				}
				previous, next := k.restart(c, k.workers["10.0.0.0:80"])
				if !isAnsweredBefore {
					answer()
				}
				a := k.sched.adviceFor(r.ref)
				_, hasTicket := a.ticketFor(previous.info.Number, k.now)
				c.Assert(hasTicket, qt.Equals, isGranted)
				_, hasTicket = a.ticketFor(next.info.Number, k.now)
				c.Assert(hasTicket, qt.IsFalse)
				k.sched.collectWorkers()
				c.Assert(k.sched.eligibleWorkers(r), qt.HasLen, 0)
				asked := k.workersAsked(r)
				for _, call := range k.sched.proxies {
					if call.call != nil {
						asked[call.call.workers[0].Number] = true // asked in the meantime
					}
				}
				c.Assert(asked, qt.DeepEquals, map[uint32]bool{next.info.Number: true})
			})
		}
	}
}

// Guards against a start with a ticket for the previous incarnation when the worker has restarted
// between the placement and the commit of the claim, and against a claim that then stays.
func TestTicketIsNotSentAfterARestart(t *testing.T) {
	c := qt.New(t)
	k, r := newWaitingStep(1, 7, newStep(1, 1000, 20_000))
	s, w := k.sched, k.workers["10.0.0.0:80"]
	previous := s.newest(w.info.Name)
	s.adviceFor(r.ref).openCalls++
	s.Advised(k.now, "a", r.ref, []job.Worker{*previous.info}, []Ticket{{Worker: previous.info.Number, Value: "t"}}, 10*time.Second, true)
	s.runPass()
	proposed := s.Actions()
	c.Assert(proposed, qt.HasLen, 1)
	c.Assert(previous.claims, qt.HasLen, 1)
	next := w.info
	next.StartedMillis++
	for _, op := range append([]job.Op{{RegisterWorker: &next}}, proposed[0].(Propose).Ops...) {
		k.state.Apply(op)
		s.Applied(k.now, op)
	}
	for _, a := range s.Actions() {
		_, isStart := a.(Start)
		c.Assert(isStart, qt.IsFalse, qt.Commentf("%+v", a))
		if p, ok := a.(Propose); ok {
			c.Assert(p.Ops[0].End.Kind, qt.Equals, job.EndNotStarted)
		}
	}
	c.Assert(previous.claims, qt.HasLen, 0)
}

// Guards against a worker that gets no work, or loses its runs, because a notice that its previous incarnation
// leaves arrives late, and against a notice of its own that is ignored because the previous incarnation
// had sent more announcements.
func TestNoticeOfLeavingHoldsForOneIncarnation(t *testing.T) {
	for name, prepare := range map[string]func(k *cluster){
		"same leader":                func(*cluster) {},
		"new leader without reports": (*cluster).electLeader,
		"new leader with reports": func(k *cluster) {
			k.electLeader()
			k.run(k.now + 200*time.Millisecond)
		},
	} {
		for _, isElsewhere := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, previous address %v", name, isElsewhere), func(t *testing.T) {
				c := qt.New(t)
				k, previous, w := newClusterRestartedWithRuns(c)
				prepare(k)
				previous.Leaving = true
				if isElsewhere {
					previous.Address = "10.9.9.9:80"
				}
				for i := range 3 {
					k.sched.Announced(k.now, Announcement{Worker: previous, Sequence: 500 + uint64(i)})
					k.run(k.now + 50*time.Millisecond)
				}
				k.submit(2, newStep(1, 1000, 20_000))
				k.run(k.now + time.Second)
				c.Assert(w.runs, qt.HasLen, 3, qt.Commentf("%s", k.traceOf("")))
				c.Assert(k.traceOf("stop"), qt.Equals, "")

				w.info.Leaving = true // in its next announcement
				k.run(k.now + 2*time.Second)
				c.Assert(k.sched.newest(w.info.Name).info.Leaving, qt.IsTrue)
				k.submit(3, newStep(1, 1000, 20_000))
				k.run(k.now + time.Second)
				c.Assert(w.runs, qt.HasLen, 3)
				c.Assert(k.violations, qt.HasLen, 0)
			})
		}
	}
}

// Guards against a worker that has restarted and counts as leaving, unhealthy, slow or reserved because its
// previous incarnation did, or is avoided by a task that failed there.
func TestNextIncarnationStartsWithoutTheSoftStateOfThePreviousOne(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.orderByCost = true
	k.electLeader()
	k.setUp(2, false)
	k.run(2 * time.Second)
	w := k.workers["10.0.0.0:80"]
	gang := newStep(2, 8000, 20_000)
	gang.Gang = true
	r := k.addWaitingStep(7, gang)
	k.sched.collectWorkers()
	c.Assert(k.sched.reserveCapacity(r, k.sched.sortedWorkers(), k.sched.capacityAfterCompletion, true), qt.IsTrue)
	old := k.sched.newest(w.info.Name)
	c.Assert(old.reserved, qt.HasLen, 1)
	old.health = health{failures: 5, quarantine: quarantineMax, blockedUntil: k.now + time.Hour}
	for range knownSpeedRuns {
		old.speed.add(-1)
	}
	old.announcementSequence, old.ackedEnd, old.isLeaving = 900, 900, true
	ref := job.TaskRef{StepRef: r.ref}
	k.sched.lastFailedOn[ref] = old.info.Number

	previous, next := k.restart(c, w)
	c.Assert(previous, qt.Equals, old)
	c.Assert(next.health, qt.Equals, health{})
	c.Assert(next.speed, qt.Equals, workerSpeed{})
	c.Assert(next.announcementSequence <= 1, qt.IsTrue)
	c.Assert(next.ackedEnd, qt.Equals, uint64(0))
	c.Assert(next.info.Number, qt.Not(qt.Equals), k.sched.lastFailedOn[ref])
	c.Assert(k.sched.canSchedule(next), qt.IsTrue)
	c.Assert(next.reserved, qt.HasLen, 0)
}
