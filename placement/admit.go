package placement

import (
	"fmt"
	"math"
	"time"
)

const (
	// maxQueuedClass bounds the queued items of one class of a team in a pool, and
	// maxQueued those of the scheduler; they bound memory, not waits.
	maxQueuedClass = 100_000
	maxQueued      = 1_000_000
	// completionDecay halves the weight of past completions in a class's rate.
	completionDecay = 10 * time.Second
	// rateBound is how far the observed completion rate may be from the rate that the
	// class's share and the known run times imply.
	rateBound = 10
	// RetryAfter of a refusal is within these bounds.
	retryMin = 100 * time.Millisecond
	retryMax = time.Minute
	// maxShapes bounds the distinct capacities that a pool remembers.
	maxShapes = 1024
)

// maxWait bounds the wait that a class's queue may imply for items without a deadline.
var maxWait = [classCount]time.Duration{time.Minute, time.Hour, 8 * time.Hour}

// shape is a capacity that workers of the pool have or had.
type shape struct {
	capacity vector
	present  int
	most     int // largest number present at once
}

func (p *pool) noteShape(capacity vector) {
	for i := range p.shapes {
		if sh := &p.shapes[i]; sh.capacity == capacity {
			sh.present++
			sh.most = max(sh.most, sh.present)
			return
		}
	}
	if len(p.shapes) >= maxShapes {
		p.dropShape()
	}
	p.shapes = append(p.shapes, shape{capacity, 1, 1})
}

// dropShape forgets the oldest shape without a present worker.
func (p *pool) dropShape() {
	for i, sh := range p.shapes {
		if sh.present <= 0 {
			p.shapes = append(p.shapes[:i], p.shapes[i+1:]...)
			return
		}
	}
}

func (p *pool) forgetShape(capacity vector) {
	for i := range p.shapes {
		if p.shapes[i].capacity == capacity {
			p.shapes[i].present--
			return
		}
	}
}

// Admit checks whether the item may be queued. It changes nothing that is visible.
func (s *Scheduler) Admit(now time.Duration, item Item) Admission {
	item.normalize()
	p := s.poolOf(item.Pool)
	demand := item.demand()
	if reason := p.neverFits(demand, item.Tasks); reason != "" {
		return Admission{Verdict: NeverFits, Reason: reason}
	}
	t := p.teamOf(item.Team)
	defer p.forgetIdleTeams()
	if reason := t.neverWithinQuota(demand.times(int64(item.Tasks))); reason != "" {
		return Admission{Verdict: QuotaExceeded, Reason: reason}
	}
	return t.classOf(item.Class).admit(now, &item, demand)
}

// neverFits names the dimension in which no worker of the pool, present or announced
// before, could hold the tasks at once. It is empty if they fit or if the pool never
// had a worker.
func (p *pool) neverFits(demand vector, tasks int) string {
	if len(p.shapes) == 0 {
		return ""
	}
	var largest vector
	room := 0
	for _, sh := range p.shapes {
		largest.raise(sh.capacity)
		room += demand.copies(&sh.capacity, tasks) * sh.most
	}
	if room >= tasks {
		return ""
	}
	if d := demand.shortDimension(&largest); d >= 0 {
		return fmt.Sprintf("%s: a task needs %d, the largest worker of pool %q has %d", dimNames[d], demand[d], p.name, largest[d])
	}
	if room == 0 {
		return fmt.Sprintf("%s: no worker of pool %q holds it together with the other dimensions", dimNames[p.scarceTogether(demand)], p.name)
	}
	return fmt.Sprintf("tasks: %d are needed at once, pool %q holds at most %d", tasks, p.name, room)
}

// scarceTogether returns the dimension in which demand is short on the shape that
// holds it in most other dimensions.
func (p *pool) scarceTogether(demand vector) int {
	fewest, scarce := dimCount+1, 0
	for _, sh := range p.shapes {
		short := 0
		for d := range demand {
			if demand[d] > sh.capacity[d] {
				short++
			}
		}
		if short > 0 && short < fewest {
			fewest, scarce = short, demand.shortDimension(&sh.capacity)
		}
	}
	return scarce
}

func (t *team) neverWithinQuota(total vector) string {
	for d, bound := range t.quota {
		if bound >= 0 && total[d] > bound {
			return fmt.Sprintf("%s: the request needs %d, the quota of team %q is %d", dimNames[d], total[d], t.name, bound)
		}
	}
	return ""
}

// admit compares the wait that the queue implies with the deadline.
func (q *classQueue) admit(now time.Duration, item *Item, demand vector) Admission {
	if q.queued >= maxQueuedClass || q.team.pool.s.queued >= maxQueued {
		return Admission{Overloaded, "the queue is full", retryMax}
	}
	bound := maxWait[q.index]
	if item.Deadline > 0 {
		bound = item.Deadline - now
	}
	wait := q.expectedWait(now, item, demand)
	if wait <= bound {
		return Admission{Verdict: Admitted}
	}
	reason := fmt.Sprintf("the queue implies a wait of %v, at most %v is allowed", wait.Round(time.Millisecond), bound.Round(time.Millisecond))
	return Admission{Overloaded, reason, min(max(wait-bound, retryMin), retryMax)}
}

// expectedWait is how long an item that joins the queue now is expected to wait: the
// items ahead divided by the rate at which the class completes items.
func (q *classQueue) expectedWait(now time.Duration, item *Item, demand vector) time.Duration {
	if q.queued == 0 || q.team.pool.hasRoomForAll(demand.times(int64(item.Tasks))) {
		return 0
	}
	rate := q.completionRate(now, item, demand)
	if rate <= 0 {
		return 0 // the pool has no worker now, so there is nothing to estimate from
	}
	seconds := float64(q.queued) / rate
	if seconds > math.MaxInt32 {
		seconds = math.MaxInt32
	}
	return time.Duration(seconds * float64(time.Second))
}

// hasRoomForAll reports whether the free room of the pool takes everything that is
// queued and more, so that a queue only shows that decisions have yet to be made.
func (p *pool) hasRoomForAll(more vector) bool {
	more.add(p.waiting)
	free := p.capacity.minus(p.reserved)
	return more.fits(&free)
}

// completionRate is the items a second that the class completes. The observed rate
// counts only after the queue has had work for completionDecay, since before that it
// shows how few items came, and only within rateBound of the rate that its share
// implies. 0 if the pool has no capacity.
func (q *classQueue) completionRate(now time.Duration, item *Item, demand vector) float64 {
	work := (q.queuedWork + q.team.pool.work(item, demand)) / float64(q.queued+1)
	if work <= 0 {
		return 0
	}
	implied := q.owed() / work
	if now-q.backlogSince < completionDecay {
		return implied
	}
	observed := decay(q.completed, now-q.completedAt, completionDecay) * math.Ln2 / completionDecay.Seconds()
	return min(max(observed, implied/rateBound), implied*rateBound)
}

// work is what the item takes of the pool: its dominant fraction times its expected
// run time in seconds. It is 0 if the pool has none of a dimension that the item needs.
func (p *pool) work(item *Item, demand vector) float64 {
	total := demand.times(int64(item.Tasks))
	fraction := total.dominant(&p.capacity)
	if math.IsInf(fraction, 1) {
		return 0
	}
	return fraction * p.kinds.runTime(item).Seconds()
}

// noteCompleted counts a completed request.
func (q *classQueue) noteCompleted(now time.Duration) {
	q.completed = decay(q.completed, now-q.completedAt, completionDecay) + 1
	q.completedAt = now
}
