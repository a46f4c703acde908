package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// waitingGang returns a cluster of 20 workers with a gang of four whole workers that waits, and
// what is known about it.
func waitingGang(t *testing.T) (*cluster, *readyStep, *advice) {
	k := newCluster(1, faults{})
	k.setUp(20, true)
	k.run(2 * time.Second)
	gang := step(4, 8000, 3000)
	gang.Gang = true
	submit := job.Op{Submit: &job.Submit{ID: 7, Queue: "drafts", Spec: job.Spec{Steps: []job.Step{gang}}, AcceptedMillis: k.wall()}}
	k.state.Apply(submit)
	k.sched.Applied(k.now, submit)
	ready := k.sched.readySteps()
	if len(ready) != 1 {
		t.Fatalf("%d steps are ready", len(ready))
	}
	ready[0].pool = "desk"
	k.sched.surveyPools()
	return k, ready[0], k.sched.adviceFor(ready[0].ref)
}

func (a *advice) grant(number uint32, until time.Duration) {
	a.tickets[number] = ticket{"t", until}
	a.granted = append(a.granted, number)
}

// Guards against a gang that asks about all workers although those that are granted suffice
// once their work has ended, which keeps the advisor from others.
func TestGangStopsAskingOnceEnoughWorkersAreGranted(t *testing.T) {
	c := qt.New(t)
	k, r, a := waitingGang(t)
	full := step(1, 8000, 60_000)
	for n := uint32(1); n <= 20; n++ {
		k.sched.addClaim(job.TaskRef{StepRef: job.StepRef{Job: 9}, Index: uint16(n)}, 1, k.sched.workers[n], &full, claimRunning)
	}
	for n := uint32(1); n < gangReach*4; n++ {
		a.grant(n, 0)
	}
	k.sched.requestAdvice(r)
	c.Assert(k.sched.asks, qt.Not(qt.HasLen), 0)

	k.sched.asks, a.asking, a.pending = nil, 0, map[uint32]bool{}
	a.grant(gangReach*4, 0)
	k.sched.requestAdvice(r)
	c.Assert(k.sched.asks, qt.HasLen, 0)
}

// Guards against tickets of a gang that are renewed one after the other, so that they are never
// valid together.
func TestGangRenewsTicketsTogether(t *testing.T) {
	c := qt.New(t)
	k, r, a := waitingGang(t)
	a.grant(1, k.now-time.Second)
	a.grant(2, k.now+10*time.Millisecond)
	a.grant(3, k.now-time.Second)
	a.grant(4, k.now+10*time.Second)
	k.sched.requestAdvice(r)
	named := map[uint32]bool{}
	for _, q := range k.sched.asks {
		for _, w := range q.workers {
			named[w.Number] = true
		}
	}
	c.Assert(named, qt.DeepEquals, map[uint32]bool{1: true, 2: true, 3: true})
}

// Guards against work that will be late and keeps work that can be in time from starting.
func TestLateJobsRankBehindJobsThatCanFinishInTime(t *testing.T) {
	c := qt.New(t)
	k, r, _ := waitingGang(t)
	s := k.sched
	r.submitted, r.due, r.remaining = s.wall, s.wall+10_000, 5_000
	c.Assert(s.lateRank(r), qt.Equals, 0)
	s.wall = r.due - 5_500
	c.Assert(s.lateRank(r), qt.Equals, 1)
	s.wall = r.due + 2*10_000 + 1
	c.Assert(s.lateRank(r), qt.Equals, 2)
}
