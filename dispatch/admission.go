package dispatch

import (
	"fmt"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/shortage"
)

const (
	// settleTime is how long a leader admits jobs that no known worker can run. Workers announce
	// themselves every 1.5 s and may register a little later than the first of their pool.
	settleTime = 5 * time.Second
	// retryAfterMin and retryAfterMax limit the time after which a rejected caller should return: the
	// protocol counts in whole seconds, and a backlog may also shrink because its jobs become worthless.
	retryAfterMin = time.Second
	retryAfterMax = 30 * time.Second
	// maxCountedMillis limits the estimate with which a waiting task counts as work ahead. A task that
	// takes longer keeps its processors, but other tasks run beside it.
	maxCountedMillis = 30_000
)

// Admission is the decision about a job that a caller submits.
type Admission struct {
	Rejected   bool
	Reason     string        // for the log and the caller
	RetryAfter time.Duration // when capacity is expected, 0 if it is not known
	// ExpectedStart is when the job would start and Limit when its result would be worth nothing, both
	// from now. WorkAhead is the work that would go before it, in core-seconds.
	ExpectedStart, Limit time.Duration
	WorkAhead            float64
}

// poolLoad is the load of a pool at the start of the newest pass.
type poolLoad struct {
	backlog shortage.Backlog
	// largest holds the greatest amount of each resource that one worker has, total what all workers have.
	largest, total job.Resources
}

// updateLoads sums the waiting work and the workers of each pool. Worthless steps do not count, since all
// others go before them, nor do gangs, since other tasks run in the capacity that is too little for a gang
// (with gangs, 70 of the 407 jobs rejected in a flood would have been served),
// nor steps of which the duration or the workers are not comparable.
func (s *Scheduler) updateLoads(steps []*readyStep) {
	for _, l := range s.loads {
		l.backlog.Reset()
		l.largest, l.total = job.Resources{}, job.Resources{}
	}
	for _, w := range s.workers {
		l := s.loadOf(w.info.Pool)
		l.total = l.total.Plus(w.info.Capacity)
		l.largest.MilliCPU = max(l.largest.MilliCPU, w.info.Capacity.MilliCPU)
		l.largest.MemoryMB = max(l.largest.MemoryMB, w.info.Capacity.MemoryMB)
		l.largest.GPU = max(l.largest.GPU, w.info.Capacity.GPU)
	}
	for _, l := range s.loads {
		l.backlog.Capacity = float64(l.total.MilliCPU)
	}
	for _, r := range steps {
		if r.lateness == worthless || r.step.Gang || r.step.LongRunning || r.step.RequiredLabel != "" {
			continue
		}
		s.loadOf(r.pool).backlog.Add(shortage.Step{Priority: r.priority, IsLate: r.lateness != inTime,
			Work:     float64(len(r.waiting)) * float64(r.step.Allocation().MilliCPU) * float64(min(max(r.step.EstimateMillis, 0), maxCountedMillis)),
			Deadline: float64(r.deadlineMillis - s.wallMillis), Worthless: float64(r.worthlessMillis() - s.wallMillis),
			Account: r.job.Account, Weight: s.accountWeight(r.job.Account)})
	}
	s.knowsLoads = true
}

// loadOf returns the load of a pool, creating it if it is absent.
func (s *Scheduler) loadOf(pool string) *poolLoad {
	l := s.loads[pool]
	if l == nil {
		l = &poolLoad{}
		s.loads[pool] = l
	}
	return l
}

// accountWeight returns the weight of an account, 0 if the configuration does not have it.
func (s *Scheduler) accountWeight(name string) float64 {
	if a := s.state.Account(name); a != nil {
		return a.Weight
	}
	return 0
}

// Admit decides whether a job that is not accepted yet may be submitted to a queue. It rejects only a job
// that cannot end before its result is worth nothing, or that no worker of its pool can run. A new leader
// admits all jobs until it has counted the backlog. account is empty if the job belongs to none.
func (s *Scheduler) Admit(q *job.Queue, spec *job.Spec, account string) Admission {
	l := s.loads[q.Pool]
	if !s.leading || !s.ordersByCost() || !s.knowsLoads || l == nil || l.total == (job.Resources{}) {
		return Admission{}
	}
	if pool := s.state.Pool(q.Pool); pool == nil || pool.Standby {
		return Admission{} // its workers may be started for the job
	}
	if s.now-s.leadingSince >= settleTime {
		if reason := l.misfit(spec); reason != "" {
			return Admission{Rejected: true, Reason: reason}
		}
	}
	objective := objectiveMillis(q, spec)
	if objective <= 0 || spec.Repetitions > 0 || hasLongRunningStep(spec) {
		return Admission{}
	}
	limit := float64(worthlessFactor * objective)
	e := l.backlog.Expect(shortage.Request{Priority: q.Priority, CriticalPath: float64(criticalPathMillis(spec, 0)), Objective: float64(objective),
		Limit: limit, Account: account, Weight: s.accountWeight(account)})
	a := Admission{ExpectedStart: millis(e.Start), Limit: millis(limit), WorkAhead: e.WorkAhead / 1e6}
	// Estimates are off by half, so a job that can start at once is not rejected because of its own.
	if e.Excess > 0 && e.Start > 0 {
		a.Rejected, a.RetryAfter = true, min(max(millis(e.Excess), retryAfterMin), retryAfterMax)
		a.Reason = fmt.Sprintf("expected to start in %.1f s and to end after its result is worth nothing, in %.1f s", a.ExpectedStart.Seconds(), a.Limit.Seconds())
	}
	return a
}

// misfit says why no worker of a pool can run a job, or returns an empty text.
func (l *poolLoad) misfit(spec *job.Spec) string {
	for i := range spec.Steps {
		step := &spec.Steps[i]
		switch {
		case !l.largest.Fits(step.Allocation()):
			return fmt.Sprintf("a task of step %d needs more than any worker of the pool has", i)
		case !l.fits(step):
			return fmt.Sprintf("the %d tasks of step %d, which run together, need more than all workers of the pool have", step.Count, i)
		}
	}
	return ""
}

// fits reports whether the workers of a pool have enough for one task of a step, or for all of a gang.
func (l *poolLoad) fits(step *job.Step) bool {
	need, n := step.Allocation(), int64(step.Count)
	if !l.largest.Fits(need) {
		return false
	}
	return !step.Gang || l.total.Fits(job.Resources{MilliCPU: n * need.MilliCPU, MemoryMB: n * need.MemoryMB, GPU: n * need.GPU})
}

// hasLongRunningStep reports whether a job has a step that runs until the job is cancelled.
func hasLongRunningStep(spec *job.Spec) bool {
	for i := range spec.Steps {
		if spec.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// objectiveMillis returns the time in which a job of a queue should be done.
func objectiveMillis(q *job.Queue, spec *job.Spec) int64 {
	return q.TargetMillis + int64(q.SlackFactor*float64(criticalPathMillis(spec, 0)))
}
