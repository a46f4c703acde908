package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// judgedTenth is the number of jobs of a size or account tenth from which on the tests judge it; with
// fewer, one job more or less decides.
const judgedTenth = 10

// playShortage plays a load on 100 workers of deployment A under the order that follows costs. It asks for
// the admission of each job and submits it anyway. It checks what each load has to keep: each queue serves its
// largest tenth and the fifth below it at least 0.8 times as often as all its jobs, no task breaks a rule of the
// workers, and Admit rejects no job that is then served.
func playShortage(t *testing.T, name string, duration time.Duration) (*shortageLoad, loadResult) {
	for _, p := range loadPatterns() {
		if p.name != name {
			continue
		}
		k := newShortageLoad(1, 100, duration, deploymentA(), p, func(s *Scheduler) { s.settings.OrderByCost = true })
		r := k.play()
		t.Log(r.summary())
		for i, class := range k.deployment.classes {
			if last := r.tenths[i][9]; last.inTime+last.late+last.lost < judgedTenth {
				continue
			}
			tenth, fifth := r.largest(i)
			qt.Check(t, tenth >= 0.8 && fifth >= 0.8, qt.IsTrue, qt.Commentf("%s: %.2f %.2f", class.queue.Name, tenth, fifth))
		}
		qt.Check(t, k.violations, qt.HasLen, 0)
		qt.Check(t, r.wronglyRejected, qt.Equals, 0)
		return k, r
	}
	t.Fatalf("no load %q", name)
	return nil, loadResult{}
}

// Guards against large jobs that pay for small ones in a burst on a full pool, and against a burst that costs
// the most urgent queue its service.
func TestBurstIsNotPaidByLargeJobs(t *testing.T) {
	_, r := playShortage(t, "burst on a full pool", 40*time.Second)
	qt.Assert(t, r.queues[0].served() >= 0.8, qt.IsTrue)
}

// Guards against large jobs that are never served while more work arrives than fits.
func TestWaveDoesNotStarveLargeJobs(t *testing.T) {
	playShortage(t, "wave that never quite fits", 60*time.Second)
}

// Guards against accounts that are served less, or rejected, because of one that sends seven times its load.
func TestHotAccountCostsOthersNothing(t *testing.T) {
	k, r := playShortage(t, "hot account", 25*time.Second)
	all, rest := service{}, 0
	for _, a := range r.account {
		all.merge(a)
	}
	for n, a := range r.account {
		if n != 9/2 && a.inTime+a.late+a.lost >= judgedTenth {
			qt.Check(t, a.served() >= 0.8*all.served(), qt.IsTrue, qt.Commentf("account tenth %d: %.2f of %.2f", n+1, a.served(), all.served()))
		}
	}
	for _, o := range k.offered {
		if o.account != 9 && o.isRejected {
			rest++
		}
	}
	qt.Check(t, rest, qt.Equals, 0)
}

// Guards against small gangs that take the capacity for which wide ones wait: gangs of a queue go by their
// deadlines, whatever their width.
func TestWideGangsKeepTheirPlace(t *testing.T) {
	playShortage(t, "wide gangs under small jobs", 25*time.Second)
	k := newCluster(1, faults{})
	k.onLeader = func(s *Scheduler) { s.settings.OrderByCost = true }
	k.electLeader()
	k.setUp(0, false)
	k.run(time.Second)
	for i, width := range []int{100, 2, 30, 1} {
		gang := newStep(width, 1000, 1000)
		gang.Gang = true
		k.submit(job.ID(i+1), gang)
		k.run(k.now + 50*time.Millisecond)
	}
	ready := k.sched.readySteps()
	qt.Assert(t, ready, qt.HasLen, 4)
	for i, r := range ready {
		qt.Check(t, r.ref.Job, qt.Equals, job.ID(i+1))
	}
}

// Guards against a new leader that rejects jobs which callers held during an outage, and against an order
// that serves none of the jobs that were accepted before it.
func TestJobsAfterAnOutageAreAdmitted(t *testing.T) {
	k, r := playShortage(t, "after an outage", 25*time.Second)
	for _, o := range k.offered {
		qt.Assert(t, o.isRejected, qt.IsFalse)
	}
	for _, q := range r.queues {
		qt.Check(t, q.served() >= 0.8, qt.IsTrue)
	}
}

// Guards against a change of the order without the switch, and against a step of a job that can be in time
// behind one that cannot or behind a less urgent one, with it.
func TestRankComesAfterLatenessAndPriority(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(0, false)
	config := *k.state.Config()
	urgent := config.Queues[0]
	urgent.Name, urgent.Prefix = "urgent", "/u/"
	config.Queues[0].Priority = 1
	config.Version, config.Queues = 2, append(config.Queues, urgent)
	k.state.Apply(job.Op{Config: &config})
	submit := func(id job.ID, queue string, acceptedMillis int64, tasks int) {
		op := job.Op{Submit: &job.Submit{ID: id, Queue: queue, Spec: job.Spec{Steps: []job.Step{newStep(tasks, 1000, 1000)}}, AcceptedMillis: acceptedMillis}}
		k.state.Apply(op)
		k.sched.Applied(k.now, op)
	}
	now := k.wallMillis()
	k.sched.wallMillis = now
	submit(1, "drafts", now-20, 50)
	submit(2, "drafts", now-10, 1) // small, accepted later
	submit(3, "drafts", now-2500, 1)
	submit(4, "urgent", now, 50)
	order := func() (ids []job.ID) {
		for _, r := range k.sched.readySteps() {
			ids = append(ids, r.ref.Job)
		}
		return ids
	}
	c.Assert(order(), qt.DeepEquals, []job.ID{4, 1, 2, 3})
	k.sched.settings.OrderByCost = true
	c.Assert(order(), qt.DeepEquals, []job.ID{4, 2, 1, 3})
	k.sched.settings.OrderByCost = false
	c.Assert(order(), qt.DeepEquals, []job.ID{4, 1, 2, 3})
}
