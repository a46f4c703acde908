package placement

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxQueuedPerClass bounds the queued items of one class of a team in a pool, and
	// maxQueued those of the whole scheduler. They bound memory; waiting times are
	// bounded by maxWait and the deadlines.
	maxQueuedPerClass = 100_000
	maxQueued         = 1_000_000
	// completionHalfLife is the half-life of past completions in a class's rate.
	completionHalfLife = 10 * time.Second
	// maxRateRatio is the largest factor by which the observed completion rate may
	// differ from the rate implied by the class's fair share and the known run times.
	maxRateRatio = 10
	// minRetryAfter and maxRetryAfter bound Admission.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
	// maxShapes bounds the worker shapes that a pool remembers.
	maxShapes = 1024
)

// maxWait bounds the expected wait of an item without a deadline, by class: urgent,
// normal and low.
var maxWait = [classCount]time.Duration{time.Minute, time.Hour, 8 * time.Hour}

// shape is a distinct worker capacity that the pool has or had.
type shape struct {
	capacity   vector
	present    int // number present now
	maxPresent int // largest number present at the same time
}

// addShape counts a worker of the given capacity that joins the pool.
func (p *pool) addShape(capacity vector) {
	for i := range p.shapes {
		if sh := &p.shapes[i]; sh.capacity == capacity {
			sh.present++
			sh.maxPresent = max(sh.maxPresent, sh.present)
			return
		}
	}
	if len(p.shapes) >= maxShapes {
		p.evictShape()
	}
	p.shapes = append(p.shapes, shape{capacity, 1, 1})
}

// evictShape removes the oldest shape that no present worker has, if there is one.
func (p *pool) evictShape() {
	for i, sh := range p.shapes {
		if sh.present <= 0 {
			p.shapes = append(p.shapes[:i], p.shapes[i+1:]...)
			return
		}
	}
}

// removeShape counts a worker of the given capacity that leaves the pool.
func (p *pool) removeShape(capacity vector) {
	for i := range p.shapes {
		if p.shapes[i].capacity == capacity {
			p.shapes[i].present--
			return
		}
	}
}

// Admit checks whether the item may be queued. It has no visible effect.
func (s *Scheduler) Admit(now time.Duration, item Item) Admission {
	item.normalize()
	p := s.poolOf(item.Pool)
	demand := item.demand()
	if reason := p.neverFitsReason(demand, item.Tasks); reason != "" {
		return Admission{Verdict: NeverFits, Reason: reason}
	}
	t := p.teamOf(item.Team)
	defer p.pruneIdleTeams()
	if reason := t.neverWithinQuotaReason(demand.times(int64(item.Tasks))); reason != "" {
		return Admission{Verdict: QuotaExceeded, Reason: reason}
	}
	return t.classOf(item.Class).admit(now, &item, demand)
}

// neverFitsReason names the dimension in which the workers of the pool, present or
// announced before, could not run all tasks at the same time. It is empty if they could
// or if the pool never had a worker.
func (p *pool) neverFitsReason(demand vector, tasks int) string {
	if len(p.shapes) == 0 {
		return ""
	}
	var largest vector
	copies := 0
	for _, sh := range p.shapes {
		largest.setMax(sh.capacity)
		copies += demand.copies(&sh.capacity, tasks) * sh.maxPresent
	}
	if copies >= tasks {
		return ""
	}
	if d := demand.exceededDimension(&largest); d >= 0 {
		return fmt.Sprintf("%s: a task needs %d, the largest worker of pool %q has %d", dimNames[d], demand[d], p.name, largest[d])
	}
	if copies == 0 {
		return fmt.Sprintf("%s: no worker of pool %q has enough of it and of the other resources", dimNames[p.limitingDimension(demand)], p.name)
	}
	return fmt.Sprintf("tasks: the request needs %d at the same time, pool %q fits at most %d", tasks, p.name, copies)
}

// limitingDimension returns the first dimension in which demand exceeds the shape that
// satisfies it in the most dimensions.
func (p *pool) limitingDimension(demand vector) int {
	fewestExceeded, limiting := dimCount+1, 0
	for _, sh := range p.shapes {
		exceeded := 0
		for d := range demand {
			if demand[d] > sh.capacity[d] {
				exceeded++
			}
		}
		if exceeded > 0 && exceeded < fewestExceeded {
			fewestExceeded, limiting = exceeded, demand.exceededDimension(&sh.capacity)
		}
	}
	return limiting
}

// neverWithinQuotaReason names the dimension in which total alone exceeds the quota of
// the team. It is empty if there is none.
func (t *team) neverWithinQuotaReason(total vector) string {
	for d, bound := range t.quota {
		if bound >= 0 && total[d] > bound {
			return fmt.Sprintf("%s: the request needs %d, the quota of team %q is %d", dimNames[d], total[d], t.name, bound)
		}
	}
	return ""
}

// admit compares the expected wait with the deadline, or with maxWait if there is none.
func (q *classQueue) admit(now time.Duration, item *Item, demand vector) Admission {
	if q.queued >= maxQueuedPerClass || q.team.pool.scheduler.queued >= maxQueued {
		return Admission{Overloaded, "the queue is full", maxRetryAfter}
	}
	bound := maxWait[q.index]
	if item.Deadline > 0 {
		bound = item.Deadline - now
	}
	wait := q.expectedWait(now, item, demand)
	if wait <= bound {
		return Admission{Verdict: Admitted}
	}
	reason := fmt.Sprintf("the expected wait is %v, at most %v is allowed", wait.Round(time.Millisecond), bound.Round(time.Millisecond))
	return Admission{Overloaded, reason, min(max(wait-bound, minRetryAfter), maxRetryAfter)}
}

// expectedWait estimates how long an item that joins the queue now waits: the number of
// items ahead divided by the rate at which the class completes items.
func (q *classQueue) expectedWait(now time.Duration, item *Item, demand vector) time.Duration {
	if q.queued == 0 || q.team.pool.fitsWholeQueue(demand.times(int64(item.Tasks))) {
		return 0
	}
	rate := q.completionRate(now, item, demand)
	if rate <= 0 {
		return 0 // without workers there is nothing to estimate from
	}
	seconds := float64(q.queued) / rate
	if seconds > math.MaxInt32 {
		seconds = math.MaxInt32
	}
	return time.Duration(seconds * float64(time.Second))
}

// fitsWholeQueue reports whether the total free capacity of the pool covers everything
// queued and the additional demand. The items then wait only for the next decision.
func (p *pool) fitsWholeQueue(additional vector) bool {
	additional.add(p.queuedDemand)
	free := p.capacity.minus(p.allocated)
	return additional.fitsIn(&free)
}

// completionRate estimates the items per second that the class completes. The observed
// rate is used only after the queue has had work for completionHalfLife, since before
// that it reflects how few items arrived, and it is limited to within a factor of
// maxRateRatio of the rate implied by the class's fair share. It returns 0 if the pool
// has no capacity.
func (q *classQueue) completionRate(now time.Duration, item *Item, demand vector) float64 {
	work := (q.queuedWork + q.team.pool.work(item, demand)) / float64(q.queued+1)
	if work <= 0 {
		return 0
	}
	fairRate := q.fairShare() / work
	if now-q.backlogSince < completionHalfLife {
		return fairRate
	}
	observed := decay(q.recentCompletions, now-q.completedAt, completionHalfLife) * math.Ln2 / completionHalfLife.Seconds()
	return min(max(observed, fairRate/maxRateRatio), fairRate*maxRateRatio)
}

// work estimates the item's use of the pool: its dominant share of the capacity times
// its expected run time in seconds. It is 0 if the pool has no capacity in a dimension
// that the item needs.
func (p *pool) work(item *Item, demand vector) float64 {
	total := demand.times(int64(item.Tasks))
	fraction := total.dominantShare(&p.capacity)
	if math.IsInf(fraction, 1) {
		return 0
	}
	return fraction * p.kinds.runTime(item).Seconds()
}

// recordCompletion counts a completed request.
func (q *classQueue) recordCompletion(now time.Duration) {
	q.recentCompletions = decay(q.recentCompletions, now-q.completedAt, completionHalfLife) + 1
	q.completedAt = now
}
