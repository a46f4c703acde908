package placement

import (
	"container/heap"
	"time"
)

// searchRetryInterval is the delay before a search that was cut off by its budget is
// repeated from other random starting points.
const searchRetryInterval = 200 * time.Millisecond

// Decide starts at most max items, allocates capacity for their tasks, and removes the
// items whose deadline is before now. The caller owns the result.
func (s *Scheduler) Decide(now time.Duration, max int) Decision {
	var d Decision
	for e := s.deadlines.pop(now); e != nil; e = s.deadlines.pop(now) {
		s.dequeue(e)
		e.subqueue.class.team.deactivateIfIdle()
		e.subqueue = nil
		d.Expired = append(d.Expired, Expired{Key: e.item.Key})
	}
	if len(s.poolList) == 0 {
		return d
	}
	// Rotating the first pool prevents a small max from starving a pool.
	s.poolRotation++
	for i := range s.poolList {
		p := s.poolList[(s.poolRotation+i)%len(s.poolList)]
		p.decide(now, max, &d)
	}
	s.lastDecision = now
	return d
}

// decide starts items of the pool until d has max placements or nothing more fits.
func (p *pool) decide(now time.Duration, max int, d *Decision) {
	p.wakeForDueTrials(now)
	p.updateReservations(now)
	p.expireLargeOnly(now)
	p.updateLending()
	if len(d.Placements) >= max || !p.needsDecision && p.retryAt > now {
		return
	}
	generation := p.freed.generation
	teams := p.readyTeams(now)
	for len(teams) > 0 {
		if len(d.Placements) >= max {
			return
		}
		t := &teams[0]
		if workers := p.tryStart(now, t.entry); workers != nil {
			d.Placements = append(d.Placements, Placement{Key: t.entry.item.Key, Workers: workers})
		}
		if t.advance(now) {
			heap.Fix(&teams, 0)
		} else {
			heap.Pop(&teams)
		}
	}
	if p.freed.generation != generation {
		return // the end of a reservation has freed capacity since
	}
	p.needsDecision = false
	p.freed.clear()
}

// readyTeam is a team with an entry that may be tried.
type readyTeam struct {
	team  *team
	entry *entry
	rank  rank
}

// advance selects the team's next entry and updates its rank. It returns false if the
// team has no ready entry.
func (t *readyTeam) advance(now time.Duration) bool {
	t.entry, t.rank = t.team.nextEntry(now)
	return t.entry != nil
}

type readyTeamHeap []readyTeam

func (h readyTeamHeap) Len() int           { return len(h) }
func (h readyTeamHeap) Less(i, j int) bool { return h[i].rank.before(h[j].rank) }
func (h readyTeamHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *readyTeamHeap) Push(x any)        { *h = append(*h, x.(readyTeam)) }
func (h *readyTeamHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}

// readyTeams returns the teams with a ready entry as a heap ordered by rank.
func (p *pool) readyTeams(now time.Duration) readyTeamHeap {
	p.retryAt = never
	teams := p.scheduler.teamBuffer[:0]
	for _, t := range p.active {
		next := readyTeam{team: t}
		if next.advance(now) {
			teams = append(teams, next)
		}
	}
	p.scheduler.teamBuffer = teams
	heap.Init(&teams)
	return teams
}

// tryStart starts e and returns the worker name of each task, or blocks the subqueue of
// e and returns nil.
func (p *pool) tryStart(now time.Duration, e *entry) []string {
	t := e.subqueue.class.team
	if t.exceedsQuota(e.totalDemand()) >= 0 {
		// Only a release by the team or new quotas can change this, and both unblock
		// the subqueue.
		e.subqueue.blocked, e.subqueue.retryAt, e.subqueue.triedGeneration = true, 0, p.freed.generation
		return nil
	}
	if p.lendingPaused && t.isBorrowing() && !e.subqueue.class.hasPriority() {
		if w := p.findReservedWorker(now, e); w != nil && e.item.Tasks == 1 {
			return p.start(now, e, append(p.scheduler.singleWorker[:0], w))
		}
		p.block(now, e, now+searchRetryInterval)
		return nil
	}
	var workers []*worker
	var retryAt time.Duration
	if e.item.Tasks > 1 {
		workers, retryAt = p.findGang(now, e)
	} else if w, at := p.findWorker(now, e); w != nil {
		workers = append(p.scheduler.singleWorker[:0], w)
	} else {
		retryAt = at
	}
	if workers == nil {
		p.block(now, e, retryAt)
		return nil
	}
	return p.start(now, e, workers)
}

// start allocates capacity for the tasks of e and removes it from the queue.
func (p *pool) start(now time.Duration, e *entry, workers []*worker) []string {
	s := p.scheduler
	if e.reservation != nil {
		p.releaseReservation(e.reservation)
	}
	j := s.jobOf(e.item)
	j.isBurst = e.isBurst()
	names := make([]string, len(workers))
	for task, w := range workers {
		s.allocate(now, j, task, w)
		w.health.scheduleNextTrial(now)
		names[task] = w.Name
	}
	s.dequeue(e)
	s.deadlines.markStale(e)
	e.subqueue = nil
	return names
}

// block prevents the subqueue of e from being tried until capacity is freed or, unless
// it is 0, until retryAt.
func (p *pool) block(now time.Duration, e *entry, retryAt time.Duration) {
	if e.blockedSince < 0 {
		e.blockedSince = now
	}
	if retryAt <= now {
		retryAt = 0
	}
	if at := p.restrictedWorkersAt(now, e); at > 0 && (retryAt == 0 || at < retryAt) {
		retryAt = at
	}
	e.subqueue.blocked, e.subqueue.retryAt, e.subqueue.triedGeneration = true, retryAt, p.freed.generation
	if retryAt > 0 {
		p.retryAt = min(p.retryAt, retryAt)
	}
	if p.isLarge(e.item, e.demand) {
		p.largeBlockedAt = now
	}
}

// findWorker returns a worker for an item of one task. If there is none, it returns the
// time at which to try again even if no capacity is freed; 0 means that only freed
// capacity can help.
func (p *pool) findWorker(now time.Duration, e *entry) (*worker, time.Duration) {
	if w := p.findTrialWorker(now, e); w != nil {
		return w, 0
	}
	if e.subqueue.blocked && !e.subqueue.isRetryDue(now) && !p.freed.overflow {
		return p.findFreed(now, e), e.subqueue.retryAt
	}
	if p.isLarge(e.item, e.demand) {
		if w := p.findLargeOnly(now, e); w != nil {
			return w, 0
		}
	}
	home := p.homeRegion(e.item)
	w, retryAt := p.findInRegion(now, home, e)
	if w != nil {
		return w, 0
	}
	if crossAt := p.crossRegionAt(now, e); crossAt > now {
		retryAt = crossAt
	} else {
		for _, r := range p.regions {
			if r == home {
				continue
			}
			w, at := p.findInRegion(now, r, e)
			if w != nil {
				return w, 0
			}
			retryAt = max(retryAt, at)
		}
	}
	if w := p.findReservedWorker(now, e); w != nil {
		return w, 0
	}
	if w := p.findHeadroom(now, e); w != nil {
		return w, 0
	}
	if retryAt == 0 && e.subqueue.class.index == classUrgent && len(p.headroomWorkers) > 0 {
		retryAt = now + searchRetryInterval // the class may have priority by then
	}
	return p.findLargeOnly(now, e), retryAt
}

// findInRegion returns the best candidate of the region, or nil and the time at which to
// repeat a search that was cut off (0 if it was not).
func (p *pool) findInRegion(now time.Duration, r *region, e *entry) (*worker, time.Duration) {
	if r == nil {
		return nil, 0
	}
	candidates, cutOff := p.scheduler.candidates(r.index, e.demand)
	if w := p.bestWorker(candidates, e); w != nil {
		return w, 0
	}
	if cutOff {
		return nil, now + searchRetryInterval
	}
	return nil, 0
}
