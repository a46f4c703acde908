package placement

import (
	"slices"
	"strings"
	"time"
)

// gangSearchBudget is the number of index nodes per task that the search for a gang may
// visit, in addition to searchBudget.
const gangSearchBudget = 64

// gangRetryInterval bounds how often a waiting gang is tried while capacity is being
// freed, since each try visits many workers.
const gangRetryInterval = 50 * time.Millisecond

// findGang returns the worker of each task of e, or nil if they do not all fit now. It
// allocates nothing, so a gang that does not fit takes no capacity. The second result is
// the retry time, as for findWorker. A single region is preferred over several.
func (p *pool) findGang(now time.Duration, e *entry) ([]*worker, time.Duration) {
	free, total := p.capacity.minus(p.allocated), e.totalDemand()
	if !total.fitsIn(&free) {
		return nil, 0
	}
	e.notBefore = now + gangRetryInterval
	home := p.homeRegion(e.item)
	var candidates []*worker
	tryRegion := func(r *region) []*worker {
		found := p.gangCandidates(r, e)
		candidates = append(candidates, found...)
		return e.assignTasks(found)
	}
	if e.reservation != nil {
		candidates = append(candidates, e.reservation.availableWorkers()...)
		if workers := e.assignTasks(candidates); workers != nil {
			return workers, 0
		}
	}
	if n := min(len(p.largeOnlyWorkers), 2*e.item.Tasks); n > 0 && p.isLarge(e.item, e.demand) {
		for _, w := range p.largeOnlyWorkers[:n] {
			if w.reservation == nil && w.acceptsWork() && !w.health.onProbation {
				candidates = append(candidates, w)
			}
		}
		if workers := e.assignTasks(candidates); workers != nil {
			return workers, 0
		}
	}
	if home != nil {
		if workers := tryRegion(home); workers != nil {
			return workers, 0
		}
	}
	if crossAt := p.crossRegionAt(now, e); crossAt > now {
		return nil, min(crossAt, now+gangRetryInterval)
	}
	for _, r := range p.regions {
		if r == home {
			continue
		}
		if workers := tryRegion(r); workers != nil {
			return workers, 0
		}
	}
	if workers := e.assignTasks(candidates); workers != nil {
		return workers, 0
	}
	return nil, now + gangRetryInterval
}

// gangCandidates collects workers of the region that fit at least one task, starting at
// a random leaf of the index. It returns at most twice as many as there are tasks, or
// Config.Candidates if that is more.
func (p *pool) gangCandidates(r *region, e *entry) []*worker {
	x := r.index
	want := max(2*e.item.Tasks, p.scheduler.cfg.Candidates)
	q := search{x: x, demand: e.demand, want: want, budget: searchBudget + gangSearchBudget*e.item.Tasks}
	start := p.scheduler.random.IntN(x.size)
	q.collectWrapped(start, start+x.size)
	return q.found
}

// assignTasks assigns the tasks to as few of the workers as possible and returns the
// worker of each task, or nil if the tasks do not all fit.
func (e *entry) assignTasks(list []*worker) []*worker {
	tasks := e.item.Tasks
	type workerFit struct {
		w      *worker
		copies int
	}
	fits := make([]workerFit, 0, len(list))
	total := 0
	for _, w := range list {
		free := w.freeCapacity()
		n := e.demand.copies(&free, tasks)
		total += n
		fits = append(fits, workerFit{w, n})
	}
	if total < tasks {
		return nil
	}
	slices.SortFunc(fits, func(a, b workerFit) int {
		if a.copies != b.copies {
			return b.copies - a.copies
		}
		return strings.Compare(a.w.Name, b.w.Name)
	})
	workers := make([]*worker, 0, tasks)
	for _, fit := range fits {
		for range min(fit.copies, tasks-len(workers)) {
			workers = append(workers, fit.w)
		}
	}
	return workers
}
