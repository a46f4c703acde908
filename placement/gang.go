package placement

import (
	"slices"
	"strings"
	"time"
)

// gangBudget is how many index nodes a gang's search may visit for each of its tasks.
const gangBudget = 64

// gangInterval bounds how often a waiting gang is tried while room is freed, as a try
// visits many workers.
const gangInterval = 50 * time.Millisecond

// findGang returns the workers for all tasks of e, or nil if they do not all fit now.
// It reserves nothing, so a gang that does not fit holds no part of its tasks. The
// retry time is that of find. One region is preferred over several.
func (p *pool) findGang(now time.Duration, e *entry) ([]*worker, time.Duration) {
	free, total := p.capacity.minus(p.reserved), e.total()
	if !total.fits(&free) {
		return nil, 0
	}
	e.notBefore = now + gangInterval
	home := p.homeRegion(e.item)
	var all []*worker
	gather := func(r *region) []*worker {
		found := p.gangCandidates(r, e)
		all = append(all, found...)
		return e.assign(found)
	}
	if e.hold != nil {
		all = append(all, e.hold.open()...)
		if workers := e.assign(all); workers != nil {
			return workers, 0
		}
	}
	if n := min(len(p.kept), 2*e.item.Tasks); n > 0 && p.isLarge(e.item, e.demand) {
		for _, w := range p.kept[:n] {
			if w.hold == nil && w.isOpen() && !w.health.onProbation {
				all = append(all, w)
			}
		}
		if workers := e.assign(all); workers != nil {
			return workers, 0
		}
	}
	if home != nil {
		if workers := gather(home); workers != nil {
			return workers, 0
		}
	}
	if crossing := p.crossingAt(now, e); crossing > now {
		return nil, min(crossing, now+gangInterval)
	}
	for _, r := range p.regions {
		if r == home {
			continue
		}
		if workers := gather(r); workers != nil {
			return workers, 0
		}
	}
	if workers := e.assign(all); workers != nil {
		return workers, 0
	}
	return nil, now + gangInterval
}

// gangCandidates collects the workers of the region with room for at least one task,
// from a random place of the index on, at most twice as many as there are tasks.
func (p *pool) gangCandidates(r *region, e *entry) []*worker {
	x := r.index
	want := max(2*e.item.Tasks, p.s.cfg.Candidates)
	q := search{x: x, demand: e.demand, want: want, budget: searchBudget + gangBudget*e.item.Tasks}
	start := p.s.random.IntN(x.size)
	q.wrapped(start, start+x.size)
	return q.found
}

// assign spreads the tasks over as few of the workers as possible, or returns nil if
// they have no room for all. The list is reordered.
func (e *entry) assign(list []*worker) []*worker {
	tasks := e.item.Tasks
	type room struct {
		w      *worker
		copies int
	}
	rooms := make([]room, 0, len(list))
	total := 0
	for _, w := range list {
		free := w.freeAmount()
		n := e.demand.copies(&free, tasks)
		total += n
		rooms = append(rooms, room{w, n})
	}
	if total < tasks {
		return nil
	}
	slices.SortFunc(rooms, func(a, b room) int {
		if a.copies != b.copies {
			return b.copies - a.copies
		}
		return strings.Compare(a.w.Name, b.w.Name)
	})
	workers := make([]*worker, 0, tasks)
	for _, r := range rooms {
		for range min(r.copies, tasks-len(workers)) {
			workers = append(workers, r.w)
		}
	}
	return workers
}
