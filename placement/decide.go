package placement

import (
	"container/heap"
	"time"
)

// searchRetry is when a search that was cut off is repeated from other random places.
const searchRetry = 200 * time.Millisecond

// Decide starts at most max items, reserves their tasks in the account and removes the
// items whose deadline is before now. The caller owns the result.
func (s *Scheduler) Decide(now time.Duration, max int) Decision {
	var d Decision
	for e := s.deadlines.pop(now); e != nil; e = s.deadlines.pop(now) {
		s.dequeue(e)
		e.lane.class.team.retireIfIdle()
		e.lane = nil
		d.Expired = append(d.Expired, Expired{Key: e.item.Key})
	}
	if len(s.poolList) == 0 {
		return d
	}
	// The first pool rotates, so that a small max cannot keep one pool waiting.
	s.turn++
	for i := range s.poolList {
		p := s.poolList[(s.turn+i)%len(s.poolList)]
		p.decide(now, max, &d)
	}
	s.lastDecision = now
	return d
}

// decide starts items of the pool until d holds max placements or nothing more fits.
func (p *pool) decide(now time.Duration, max int, d *Decision) {
	p.renewTrials(now)
	p.renewHolds(now)
	p.renewKept(now)
	p.renewLending()
	if len(d.Placements) >= max || !p.isAwake && p.retryAt > now {
		return
	}
	generation := p.freed.generation
	queue := p.turns(now)
	for len(queue) > 0 {
		if len(d.Placements) >= max {
			return
		}
		t := &queue[0]
		if workers := p.try(now, t.entry); workers != nil {
			d.Placements = append(d.Placements, Placement{Key: t.entry.item.Key, Workers: workers})
		}
		if t.renew(now) {
			heap.Fix(&queue, 0)
		} else {
			heap.Pop(&queue)
		}
	}
	if p.freed.generation != generation {
		return // the end of a hold has freed room meanwhile
	}
	p.isAwake = false
	p.freed.clear()
}

// turn is a team with an entry that may be tried.
type turn struct {
	team  *team
	entry *entry
	rank  rank
}

// renew takes the next entry and the present rank of the team; false if none is ready.
func (t *turn) renew(now time.Duration) bool {
	t.entry, t.rank = t.team.nextHead(now)
	return t.entry != nil
}

type turnHeap []turn

func (h turnHeap) Len() int           { return len(h) }
func (h turnHeap) Less(i, j int) bool { return h[i].rank.before(h[j].rank) }
func (h turnHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *turnHeap) Push(x any)        { *h = append(*h, x.(turn)) }
func (h *turnHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// turns returns the teams with an entry to try, as a heap by rank.
func (p *pool) turns(now time.Duration) turnHeap {
	p.retryAt = never
	queue := p.s.turns[:0]
	for _, t := range p.active {
		next := turn{team: t}
		if next.renew(now) {
			queue = append(queue, next)
		}
	}
	p.s.turns = queue
	heap.Init(&queue)
	return queue
}

// try starts e and returns the worker of each task, or blocks its lane and returns nil.
func (p *pool) try(now time.Duration, e *entry) []string {
	t := e.lane.class.team
	if t.exceedsQuota(e.total()) >= 0 {
		// Only a release of the team changes this, and that unblocks the lane.
		e.lane.blocked, e.lane.retryAt, e.lane.generation = true, 0, p.freed.generation
		return nil
	}
	if p.lendingPaused && t.isBorrowing() && !e.lane.class.isPrivileged() {
		if w := p.backfill(now, e); w != nil && e.item.Tasks == 1 {
			return p.start(now, e, append(p.s.single[:0], w))
		}
		p.block(now, e, now+searchRetry)
		return nil
	}
	var workers []*worker
	var retryAt time.Duration
	if e.item.Tasks > 1 {
		workers, retryAt = p.findGang(now, e)
	} else if w, at := p.find(now, e); w != nil {
		workers = append(p.s.single[:0], w)
	} else {
		retryAt = at
	}
	if workers == nil {
		p.block(now, e, retryAt)
		return nil
	}
	return p.start(now, e, workers)
}

// start reserves the tasks of e and takes it out of the queue.
func (p *pool) start(now time.Duration, e *entry, workers []*worker) []string {
	s := p.s
	if e.hold != nil {
		p.clearHold(e.hold)
	}
	j := s.jobOf(e.item)
	names := make([]string, len(workers))
	for task, w := range workers {
		s.reserve(now, j, task, w)
		w.health.noteTrial(now)
		names[task] = w.Name
	}
	s.dequeue(e)
	s.deadlines.left(e)
	e.lane = nil
	return names
}

// block keeps the lane of e from being tried until room is freed or retryAt comes.
func (p *pool) block(now time.Duration, e *entry, retryAt time.Duration) {
	if e.blockedSince < 0 {
		e.blockedSince = now
	}
	if retryAt <= now {
		retryAt = 0
	}
	if at := p.keptRetry(now, e); at > 0 && (retryAt == 0 || at < retryAt) {
		retryAt = at
	}
	e.lane.blocked, e.lane.retryAt, e.lane.generation = true, retryAt, p.freed.generation
	if retryAt > 0 {
		p.retryAt = min(p.retryAt, retryAt)
	}
	if p.isLarge(e.item, e.demand) {
		p.passedByAt = now
	}
}

// find returns the worker for an item of one task. If there is none, it returns the
// time at which to try again even if no room is freed; 0 if that would be in vain.
func (p *pool) find(now time.Duration, e *entry) (*worker, time.Duration) {
	if w := p.trialFor(now, e); w != nil {
		return w, 0
	}
	if e.lane.blocked && !e.lane.isDue(now) && !p.freed.overflow {
		return p.findFreed(now, e), e.lane.retryAt
	}
	if p.isLarge(e.item, e.demand) {
		if w := p.keptFor(now, e); w != nil {
			return w, 0
		}
	}
	home := p.homeRegion(e.item)
	w, retryAt := p.findIn(now, home, e)
	if w != nil {
		return w, 0
	}
	if crossing := p.crossingAt(now, e); crossing > now {
		retryAt = crossing
	} else {
		for _, r := range p.regions {
			if r == home {
				continue
			}
			w, at := p.findIn(now, r, e)
			if w != nil {
				return w, 0
			}
			retryAt = max(retryAt, at)
		}
	}
	if w := p.backfill(now, e); w != nil {
		return w, 0
	}
	if w := p.headroomFor(e); w != nil {
		return w, 0
	}
	if retryAt == 0 && e.lane.class.index == classUrgent && len(p.headroom) > 0 {
		retryAt = now + searchRetry // the class may be privileged by then
	}
	return p.keptFor(now, e), retryAt
}

// findIn returns the best candidate of the region, or nil.
func (p *pool) findIn(now time.Duration, r *region, e *entry) (*worker, time.Duration) {
	if r == nil {
		return nil, 0
	}
	list, cutOff := p.s.candidates(r.index, e.demand)
	if w := p.best(list, e); w != nil {
		return w, 0
	}
	if cutOff {
		return nil, now + searchRetry
	}
	return nil, 0
}
