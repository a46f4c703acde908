package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/oleanderchute/oleanderchute/fairshare"
	"github.com/oleanderchute/oleanderchute/job"
)

// limitHoldDelay is how long the limit of an account may block a step, or half of the time in which
// the step has to start to be in time if that is shorter, before later steps of the account leave it
// the room that becomes free below the limit. Without this a stream of small tasks keeps a gang, or a
// task that needs more than they do, waiting for ever. Without the delay the account would be below its
// limit for gangs that start soon anyway, since most runs last for seconds.
const limitHoldDelay = time.Second

// dimensions are the resources in the order of amounts.
var dimensions = [...]string{"milli_cpu", "memory_mb", "gpu"}

// amounts holds an amount of each of the dimensions.
type amounts [len(dimensions)]int64

func amountsOf(r job.Resources) amounts { return amounts{r.MilliCPU, r.MemoryMB, r.GPU} }

func (a *amounts) add(o amounts) {
	for d := range a {
		a[d] += o[d]
	}
}

func (a *amounts) subtract(o amounts) {
	for d := range a {
		a[d] -= o[d]
	}
}

// accountUsage is the soft state of one client account: what its runs take on all workers, and what
// its limit blocks.
type accountUsage struct {
	name  string
	used  amounts // by all claims of its jobs
	limit amounts // fairshare.NoLimit in a dimension without one
	// held is kept below the limit in the current pass for steps that the limit has blocked for long.
	held amounts
	// longestBlocked is the step for which holdForLongestBlocked keeps longestBlockedNeed in the current
	// pass, nil if there is none.
	longestBlocked     *readyStep
	longestBlockedNeed amounts
	// weight is the account's part of a full pool, relative to the other accounts. usage is what its
	// runs take in each pool.
	weight float64
	usage  map[string]*poolUsage
	rate   jobRate
	// blockedInPass counts the steps that the limit has blocked in the current pass, blockedSteps
	// those of the newest complete pass.
	blockedInPass, blockedSteps int
	isBlocking                  bool // the decision that the limit is reached was recorded
}

// accountNamed returns the usage of an account, creating it if it is absent. All jobs without an
// account count as one account with the empty name.
func (s *Scheduler) accountNamed(name string) *accountUsage {
	a := s.accounts[name]
	if a == nil {
		a = &accountUsage{name: name, usage: map[string]*poolUsage{}}
		s.configureAccount(a)
		s.accounts[name] = a
	}
	return a
}

// configureAccount sets the limit and the weight of an account from the configuration. One that the
// configuration does not contain has no limit and the smallest weight of those that it contains.
func (s *Scheduler) configureAccount(a *accountUsage) {
	info := s.state.Account(a.name)
	a.limit = limitOf(info)
	if info != nil {
		a.weight = info.Weight
		return
	}
	a.weight = math.Inf(1)
	for _, other := range s.state.Config().Accounts {
		a.weight = min(a.weight, other.Weight)
	}
	if math.IsInf(a.weight, 1) {
		a.weight = 1
	}
}

// limitOf returns the limit of an account, or no limit if info is nil.
func limitOf(info *job.Account) amounts {
	limit := amounts{}
	if info != nil {
		limit = amountsOf(info.Limit)
	}
	for d := range limit {
		if limit[d] == 0 {
			limit[d] = fairshare.NoLimit
		}
	}
	return limit
}

// addUsage adds the allocation of a claim to the usage of its job's account.
func (s *Scheduler) addUsage(c *claim) {
	name := ""
	if j := s.state.Job(c.key.task.Job); j != nil {
		name = j.Account
	}
	c.account = s.accountNamed(name)
	c.account.used.add(amountsOf(c.allocation()))
	c.account.usageIn(c.poolPriority.pool).used.add(amountsOf(c.allocation()))
}

// removeUsage subtracts the allocation of a claim from the usage to which it was added.
func (s *Scheduler) removeUsage(c *claim) {
	c.account.used.subtract(amountsOf(c.allocation()))
	c.account.usageIn(c.poolPriority.pool).used.subtract(amountsOf(c.allocation()))
}

// beginAccountPass prepares the accounts for a scheduling pass. It takes limits from the newest
// configuration.
func (s *Scheduler) beginAccountPass() {
	config := s.state.Config()
	for _, a := range s.accounts {
		if config != s.accountsConfig {
			s.configureAccount(a)
		}
		a.held, a.longestBlocked, a.blockedInPass = amounts{}, nil, 0
	}
	s.accountsConfig = config
}

// endAccountPass ends a pass in which all ready steps took part.
func (s *Scheduler) endAccountPass() {
	for _, a := range s.accounts {
		a.blockedSteps = a.blockedInPass
		a.isBlocking = a.isBlocking && a.blockedSteps > 0
	}
}

// startsWithinLimit returns how many waiting tasks of a step may start within the limit of its
// account: all or none of a gang.
func (s *Scheduler) startsWithinLimit(r *readyStep) int {
	a, n := r.account, int64(len(r.waiting))
	used, each := a.used, amountsOf(r.step.Allocation())
	used.add(a.heldFrom(r))
	fitting := fairshare.Fitting(used[:], each[:], a.limit[:], n)
	if r.step.Gang && fitting < n {
		return 0
	}
	return int(fitting)
}

// blockByLimit handles a step with tasks that the limit of its account keeps waiting. Such a step
// needs no capacity now, so it gives up its reservation and its calls to the advisor. It takes part
// in the next pass, which the end of any run triggers.
func (s *Scheduler) blockByLimit(r *readyStep) {
	a := r.account
	s.releaseReservation(r.ref)
	if advice := s.advice[r.ref]; advice != nil && advice.openCalls > 0 {
		s.dropQueuedCalls(r.ref)
	}
	r.retryAt, r.failures = 0, 0
	if r.blockedSince == 0 {
		r.blockedSince = s.now
	}
	a.blockedInPass++
	if a.isBlocking {
		return
	}
	a.isBlocking = true
	s.record(Decision{Event: "limit reached", Job: r.ref.Job, Task: job.TaskRef{StepRef: r.ref},
		Reason: a.limitReason(amountsOf(r.step.Allocation()), a.heldFrom(r), r.tasksStartedTogether()), ConfigVersion: s.state.Config().Version})
}

// holdForLongestBlocked selects for each account the step that can be in time and that the limit has blocked
// for the longest time, if that is long; see limitHoldDelay. All other steps of the account that are not more
// urgent by their queue leave it its room in this pass. Jobs with shorter objectives come before it in the
// order, so that a stream of them would keep it waiting until it is late.
func (s *Scheduler) holdForLongestBlocked(ready []*readyStep) {
	for _, r := range ready {
		if r.blockedSince == 0 || r.lateness != inTime {
			continue
		}
		a := r.account
		if need, isDue := s.roomToHold(r); isDue && (a.longestBlocked == nil || r.blockedSince < a.longestBlocked.blockedSince) {
			a.longestBlocked, a.longestBlockedNeed = r, need
		}
	}
}

// heldFrom returns what is kept below the limit of an account from a step.
func (a *accountUsage) heldFrom(r *readyStep) amounts {
	held := a.held
	if a.longestBlocked != nil && a.longestBlocked != r && r.priority >= a.longestBlocked.priority {
		held.add(a.longestBlockedNeed)
	}
	return held
}

// holdLimit keeps the room that a waiting gang, or one task of another step, needs below the limit of its
// account free of later steps of the account, if the limit has blocked the step for long; see
// limitHoldDelay. Room is held for any number of gangs, but for a single task only if none is held yet: later
// steps should be able to use what is left.
func (s *Scheduler) holdLimit(r *readyStep) {
	a := r.account
	if r == a.longestBlocked || !r.step.Gang && (a.longestBlocked != nil || a.held != (amounts{})) {
		return
	}
	if need, isDue := s.roomToHold(r); isDue {
		a.held.add(need)
	}
}

// roomToHold returns the room below the limit that a step needs, and whether the limit has blocked the step
// for so long that it is held. It is not for a step that the limit does not allow at all, since it was
// lowered, that is larger than its pool, or whose result is worth nothing.
func (s *Scheduler) roomToHold(r *readyStep) (need amounts, isDue bool) {
	if r.blockedSince == 0 || r.lateness == worthless {
		return need, false
	}
	if load := s.loads[r.pool]; load != nil && !load.fits(r.step) {
		return need, false
	}
	startWithin := r.deadlineMillis - r.releasedMillis - int64(estimateFactor*float64(r.remainingMillis))
	if s.now-r.blockedSince < min(limitHoldDelay, time.Duration(max(startWithin, 0))*time.Millisecond/2) {
		return need, false
	}
	each, none, n := amountsOf(r.step.Allocation()), amounts{}, r.tasksStartedTogether()
	if fairshare.FirstExceeded(none[:], each[:], r.account.limit[:], n) >= 0 {
		return need, false
	}
	for d, limit := range r.account.limit {
		if limit != fairshare.NoLimit {
			need[d] = each[d] * n
		}
	}
	return need, true
}

// tasksStartedTogether returns how many waiting tasks of a step have to start at once.
func (r *readyStep) tasksStartedTogether() int64 {
	if r.step.Gang {
		return int64(len(r.waiting))
	}
	return 1
}

// limitReason says in which dimension n tasks would bring the account above its limit.
func (a *accountUsage) limitReason(each, held amounts, n int64) string {
	used := a.used
	used.add(held)
	d := fairshare.FirstExceeded(used[:], each[:], a.limit[:], n)
	if d < 0 {
		return "account " + a.name
	}
	return fmt.Sprintf("account %s: %d of %d %s in use, %d held for waiting tasks; %d tasks of %d each wait",
		a.name, a.used[d], a.limit[d], dimensions[d], held[d], n, each[d])
}

// ExceedsLimit reports whether a job can never run because one of its tasks or gangs alone needs more
// than the limit of an account, and in which dimension.
func (s *Scheduler) ExceedsLimit(spec *job.Spec, account string) (reason string, exceeds bool) {
	info := s.state.Account(account)
	if info == nil {
		return "", false
	}
	limit, none := limitOf(info), amounts{}
	for i := range spec.Steps {
		step := &spec.Steps[i]
		n, what := int64(1), "a task"
		if step.Gang {
			n, what = int64(step.Count), fmt.Sprintf("a gang of %d tasks", step.Count)
		}
		each := amountsOf(step.Allocation())
		if d := fairshare.FirstExceeded(none[:], each[:], limit[:], n); d >= 0 {
			return fmt.Sprintf("step %d: %s of %s %d each exceeds the limit of account %s, %d", i, what, dimensions[d], each[d], account, limit[d]), true
		}
	}
	return "", false
}
