package dispatch

import (
	"maps"
	"slices"

	"github.com/oleanderchute/oleanderchute/fairshare"
	"github.com/oleanderchute/oleanderchute/job"
)

// maxExplainedWorkers limits the names of workers in the explanation of a step.
const maxExplainedWorkers = 10

// Explanation says what would happen to a job if it were submitted now.
type Explanation struct {
	Queue, Pool string
	// LimitExceeded says why the job can never run within the limit of its account, empty if it can.
	LimitExceeded string
	// Admission is the decision about the job, unless LimitExceeded rejects it before.
	Admission Admission
	// NotBeforeMillis is the Unix time at which the first occurrence is due, 0 if it is due now.
	NotBeforeMillis int64
	// Account is nil if no accounts are configured.
	Account *AccountExplanation
	Steps   []StepExplanation // those without dependencies, by index
}

// IsRejected reports whether the job would not be accepted.
func (e *Explanation) IsRejected() bool { return e.LimitExceeded != "" || e.Admission.Rejected }

// AccountExplanation is what the account of an explained job uses, by the newest pass.
type AccountExplanation struct {
	Name string // empty if the job belongs to none
	// Used is what the runs of the account take, and Held what its limit keeps free for its waiting
	// gangs. Limit is 0 in a dimension without a limit.
	Used, Held, Limit job.Resources
	// Share is the account's dominant share of the pool and Entitlement its part by weight, 0 if it has no
	// work there. OverShare says that the job would wait behind those of other accounts.
	Share, Entitlement float64
	OverShare          bool
}

// StepExplanation says where the tasks of a step would go.
type StepExplanation struct {
	Step, Tasks int
	// Starts is how many tasks would start now, on UsedWorkers workers, of which Workers names the
	// first. If the queue has an advisor, it would have to grant these workers first. Starts is 0
	// if the job would be rejected or is not due.
	Starts, UsedWorkers int
	Workers             []string
	NeedsAdvisor        bool
	Gang                bool
	// AllowedByHeadroom and AllowedByLimit are how many tasks may start now without the capacity that is
	// kept free for more urgent work, and within the limit of the account. LimitReason says what uses the
	// limit if it allows fewer than all tasks.
	AllowedByHeadroom, AllowedByLimit int
	LimitReason                       string
	PoolWorkers                       int
	RuledOut                          RuledOutWorkers
	// WithRoom is the number of workers that have room and get no task: they are not needed, a gang does not fit
	// as a whole, the limit of the account does not allow it, or the job would be rejected or is not due.
	WithRoom int
}

// RuledOutWorkers counts the workers of a pool that cannot take a task of a step, each by the first cause
// that applies.
type RuledOutWorkers struct {
	NotAccepting  int // drain, do not answer, are not healthy or have not reported to this leader
	Label         int // do not have the label that the step requires
	TooSmall      int // have too little capacity even without other tasks
	TooLittleFree int
	// LackCPU, LackMemory and LackGPU are how many of the TooLittleFree workers lack each resource. A worker
	// may lack several.
	LackCPU, LackMemory, LackGPU int
	Headroom                     int // have room that is kept free for more urgent work
	// TaskLimit is how many workers have room for a further task of the step and are at its limit of tasks
	// per worker. Some of them get tasks.
	TaskLimit int
}

// Explain says what would happen to a valid job of an account if it were submitted to a queue now. It uses the
// functions of the decision itself, on a copy of the state that they change. The copy does not contain the
// reservation that a gang makes, so steps of the same job after a gang that does not fit may find less.
func (s *Scheduler) Explain(q *job.Queue, spec *job.Spec, account string) Explanation {
	j := &job.Job{Queue: *q, Spec: *spec, Account: account, AcceptedMillis: s.wallMillis}
	for s.state.Job(j.ID) != nil {
		j.ID++ // claims and reservations of a stored job would count as those of this one
	}
	j.Queue.Advisor = nil // its grants are not known, so all workers count as granted
	c := s.copyForExplanation(j)
	e := Explanation{Queue: q.Name, Pool: c.poolOf(j)}
	if reason, exceeds := c.ExceedsLimit(spec, account); exceeds {
		e.LimitExceeded = reason
	} else {
		e.Admission = c.Admit(q, spec, account)
	}
	if due := j.DueMillis(0); due > s.wallMillis {
		e.NotBeforeMillis = due
	}
	overShare := false
	if s.state.Config().HasAccounts {
		e.Account = c.explainAccount(account, e.Pool)
		overShare = e.Account.OverShare
	}
	steps := c.appendReadySteps(j, 0, nil)
	for _, r := range steps {
		r.lateness, r.overShare = r.latenessAt(c.wallMillis), overShare
	}
	if c.ordersByCost() {
		c.rankByCost(steps)
	}
	slices.SortFunc(steps, comparePlacement)
	canStart := !e.IsRejected() && e.NotBeforeMillis == 0
	for _, r := range steps {
		x := c.explainStep(r, canStart)
		x.NeedsAdvisor = q.Advisor != nil
		e.Steps = append(e.Steps, x)
	}
	slices.SortFunc(e.Steps, func(a, b StepExplanation) int { return a.Step - b.Step })
	return e
}

// copyForExplanation returns a copy of the scheduler at the start of a pass, with the workers of a job's pool. The
// functions that select workers, and startOnCopy, change nothing that it shares with the original.
func (s *Scheduler) copyForExplanation(j *job.Job) *Scheduler {
	c := *s
	c.workers, c.workersByNumber = map[uint32]*worker{}, nil
	pool := s.poolOf(j)
	for number, w := range s.workers {
		if w.info.Pool == pool {
			copied := *w
			c.workers[number] = &copied
		}
	}
	c.accounts, c.meanWork = maps.Clone(s.accounts), maps.Clone(s.meanWork)
	if a := s.accounts[j.Account]; a != nil {
		copied := *a
		copied.usage = maps.Clone(a.usage)
		c.accounts[j.Account] = &copied
	}
	c.configureAccount(c.accountNamed(j.Account))
	c.updateTopPriority()
	c.collectWorkers()
	c.computeHeadroom()
	return &c
}

// explainAccount describes an account of which the scheduler has its own copy.
func (s *Scheduler) explainAccount(name, pool string) *AccountExplanation {
	a := s.accountNamed(name)
	u, rate := a.usageIn(pool), a.rate
	e := &AccountExplanation{Name: name, Used: a.used.resources(), Held: a.held.resources(), Share: u.share, Entitlement: u.entitlement,
		OverShare: rate.accept(a.weight, s.wallMillis) && u.isOver}
	limit := a.limit
	for d := range limit {
		if limit[d] == fairshare.NoLimit {
			limit[d] = 0
		}
	}
	e.Limit = limit.resources()
	return e
}

// resources is the inverse of amountsOf.
func (a amounts) resources() job.Resources {
	return job.Resources{MilliCPU: a[0], MemoryMB: a[1], GPU: a[2]}
}

// explainStep explains a step. If canStart is set, it allocates what the step would take, so that later
// steps of the job find the rest.
func (s *Scheduler) explainStep(r *readyStep, canStart bool) StepExplanation {
	x := StepExplanation{Step: int(r.ref.Step), Tasks: len(r.waiting), Gang: r.step.Gang, AllowedByHeadroom: s.startLimit(r), AllowedByLimit: s.startsWithinLimit(r)}
	if x.AllowedByLimit < x.Tasks {
		x.LimitReason = r.account.limitReason(amountsOf(r.step.Allocation()), r.account.heldFrom(r), int64(x.Tasks))
	}
	eligible := s.eligibleWorkers(r)
	selected := s.selectWorkers(r, eligible)
	fitting := map[*worker]int{} // tasks by worker, if only the workers limited them
	for _, w := range selected {
		fitting[w]++
	}
	isShort := len(selected) < x.Tasks
	used := map[*worker]int{}
	if canStart && x.AllowedByLimit > 0 {
		all, placed := r.waiting, selected
		if r.waiting = all[:x.AllowedByLimit]; x.AllowedByLimit < x.Tasks {
			placed = s.selectWorkers(r, eligible)
		}
		placed = s.startable(r, placed)
		r.waiting = all
		x.Starts = len(placed)
		for _, w := range placed {
			if used[w]++; used[w] == 1 && len(x.Workers) < maxExplainedWorkers {
				x.Workers = append(x.Workers, w.info.Name)
			}
		}
	}
	x.UsedWorkers = len(used)
	for _, w := range s.sortedWorkers() {
		if !w.isOver {
			x.PoolWorkers++
			s.explainWorker(r, w, fitting[w], isShort, used[w] > 0, &x)
		}
	}
	s.startOnCopy(r, used)
	return x
}

// explainWorker counts a worker by the first cause for which it cannot take a task of a step, if there is one.
// fitting is how many tasks it would get without other limits, isShort whether all workers together get too few then.
func (s *Scheduler) explainWorker(r *readyStep, w *worker, fitting int, isShort, isUsed bool, x *StepExplanation) {
	need, free := r.step.Allocation(), w.available(r.ref)
	left := free
	for range fitting {
		left = left.Minus(need)
	}
	out := &x.RuledOut
	switch {
	case !w.isSchedulable || w.maxNewRuns(r.step) == 0:
		out.NotAccepting++
	case !w.info.HasLabel(r.step.RequiredLabel):
		out.Label++
	case !w.info.Capacity.Fits(need):
		out.TooSmall++
	case !free.Fits(need):
		out.TooLittleFree++
		out.LackCPU += boolToInt(free.MilliCPU < need.MilliCPU)
		out.LackMemory += boolToInt(free.MemoryMB < need.MemoryMB)
		out.LackGPU += boolToInt(free.GPU < need.GPU)
	case isShort && r.step.MaxPerWorker > 0 && fitting == r.step.MaxPerWorker && left.Fits(need):
		out.TaskLimit++
	case isUsed:
	case x.AllowedByHeadroom < min(x.Tasks, x.AllowedByLimit):
		out.Headroom++
	default:
		x.WithRoom++
	}
}

// startOnCopy allocates the capacity that a step takes on a copy of the state.
func (s *Scheduler) startOnCopy(r *readyStep, tasks map[*worker]int) {
	next := uint16(0)
	for w, n := range tasks {
		w.claims = maps.Clone(w.claims)
		for range n {
			w.claims[claimKey{job.TaskRef{StepRef: r.ref, Index: next}, 1}] = nil
			next++
			w.allocated = w.allocated.Plus(r.step.Allocation())
			if r.step.BestEffortCPU {
				w.bestEffortCPU += r.step.TaskResources.MilliCPU
			}
			s.cpuBeyondHeadroom[r.pool] -= r.step.Allocation().MilliCPU
			r.account.used.add(amountsOf(r.step.Allocation()))
		}
	}
}
