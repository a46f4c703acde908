package placement

import "time"

const (
	// keepFor is how long room that a large item leaves is kept for the next one. Many
	// small items would otherwise take it at once, and the next large item would wait
	// until another worker is emptied for it.
	keepFor = 2 * time.Second
	// keepAfterPassedBy is how long after a large item was last passed by room is kept.
	keepAfterPassedBy = time.Minute
	// keptAfter is how long small work within its team's share waits before it may take
	// kept room or headroom.
	keptAfter = time.Second
	// largePart is the part of a worker, one in this many, from which on an item is
	// large. Two such items fill a worker.
	largePart = 2
)

// isLarge reports whether the item takes at least one largePart of the pool's largest
// worker in some dimension, with all its tasks.
func (p *pool) isLarge(item *Item, demand vector) bool {
	for d, amount := range demand {
		if p.largest[d] > 0 && amount*int64(item.Tasks)*largePart >= p.largest[d] {
			return true
		}
	}
	return false
}

// keep closes w to small work for keepFor if large work has been passed by lately.
func (p *pool) keep(now time.Duration, w *worker) {
	if p.passedByAt == 0 || now-p.passedByAt > keepAfterPassedBy {
		return
	}
	w.keptUntil = now + keepFor
	if !w.kept {
		w.kept = true
		p.kept = append(p.kept, w)
	}
}

// renewKept opens the workers that have been kept long enough.
func (p *pool) renewKept(now time.Duration) {
	for range len(p.kept) {
		w := p.kept[0]
		p.kept = p.kept[1:]
		if w.keptUntil > now {
			p.kept = append(p.kept, w)
			return
		}
		w.kept = false
		w.refreshFreed()
	}
}

// keptFor returns a kept worker for e, or nil: for large work always, for small work
// of a team within its share after keptAfter.
func (p *pool) keptFor(now time.Duration, e *entry) *worker {
	if len(p.kept) == 0 || !p.mayUseKept(now, e) {
		return nil
	}
	return p.firstWithRoom(p.kept, e)
}

func (p *pool) mayUseKept(now time.Duration, e *entry) bool {
	if p.isLarge(e.item, e.demand) {
		return true
	}
	return e.blockedSince >= 0 && now-e.blockedSince >= keptAfter && !e.lane.class.team.isBorrowing()
}

// keptRetry is when e, which found no room, may take kept room or headroom; 0 if it may
// already or there is none.
func (p *pool) keptRetry(now time.Duration, e *entry) time.Duration {
	if at := max(e.blockedSince, 0) + keptAfter; len(p.kept)+len(p.headroom) > 0 && e.blockedSince >= 0 && at > now {
		return at
	}
	return 0
}
