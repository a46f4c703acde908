package placement

import (
	"math"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

const (
	// searchStarts is the number of evenly spaced starting points in the index, from a
	// random offset, from which candidates are taken, so that they are not all
	// neighbors.
	searchStarts = 8
	// searchBudget bounds the index nodes that one search visits. In a full fleet whose
	// workers are short of different dimensions, a search could otherwise visit every
	// leaf.
	searchBudget = 2048

	// acceleratorPenalty steers work that needs no accelerators away from workers with
	// free ones.
	acceleratorPenalty = 2.0
	// recentFailurePenalty steers work away from a worker whose latest tasks failed while
	// it fits elsewhere, before it is known whether the worker is at fault.
	recentFailurePenalty = 4.0
	// imbalancePenalty is the weight of the difference between the largest and the
	// smallest fraction left free in the dimensions.
	imbalancePenalty = 0.5
	// minDimensionWeight makes work pack tightly even in a nearly empty pool.
	minDimensionWeight = 0.1
)

// candidates returns at most Config.Candidates workers of x on which demand fits. It also
// reports whether the search was cut off by its budget.
func (s *Scheduler) candidates(x *index, demand vector) (found []*worker, cutOff bool) {
	if !demand.fitsIn(&x.nodes[1]) {
		return nil, false
	}
	q := search{x: x, demand: demand, budget: searchBudget, found: s.workerBuffer[:0]}
	if x.count <= s.cfg.Candidates {
		q.want = x.count
		q.collect(0, x.size)
		s.workerBuffer = q.found
		return q.found, false
	}
	stride := x.size / searchStarts
	offset := s.random.IntN(x.size)
	for i := range searchStarts {
		start := (offset + i*stride) % x.size
		q.want = s.cfg.Candidates*(i+1)/searchStarts - len(q.found)
		q.collectWrapped(start, start+stride)
	}
	s.workerBuffer = q.found
	return q.found, q.budget <= 0
}

// collectWrapped is collect for a range that wraps around after the last leaf.
func (q *search) collectWrapped(start, end int) {
	q.collect(start, min(end, q.x.size))
	if end > q.x.size {
		q.collect(0, end-q.x.size)
	}
}

// bestWorker returns the worker of the list with the lowest score, or nil if the list is
// empty. Ties are broken by name.
func (p *pool) bestWorker(list []*worker, e *entry) *worker {
	var best *worker
	lowest := 0.0
	sc := p.scorer(e)
	for _, w := range list {
		score := sc.score(w)
		if best == nil || score < lowest || score == lowest && w.Name < best.Name {
			best, lowest = w, score
		}
	}
	return best
}

// scorer scores workers for one item; lower is better.
type scorer struct {
	demand            vector
	weights           [dimCount]float64
	tasksByDomain     map[domain]int // service tasks of the kind; nil if the item is not a service
	needsAccelerators bool
}

// scorer returns a scorer for e that weights the dimensions by how much of the pool's
// capacity in them is allocated.
func (p *pool) scorer(e *entry) scorer {
	sc := scorer{demand: e.demand}
	sc.needsAccelerators = e.demand[dimAccelerators] > 0
	for d := range sc.weights {
		if p.capacity[d] > 0 && e.demand[d] > 0 {
			used := float64(p.allocated[d]) / float64(p.capacity[d])
			sc.weights[d] = minDimensionWeight + used*used*used
		}
	}
	if e.item.Workload == api.WorkloadService {
		sc.tasksByDomain = p.kinds.statsOf(e.item.Kind).tasksByDomain
	}
	return sc
}

// score returns the score of w.
func (sc *scorer) score(w *worker) float64 {
	free := w.freeCapacity()
	score := sc.leftover(w, &free)
	if sc.tasksByDomain != nil {
		// A shared rack outweighs any leftover, and a shared failure domain outweighs
		// the racks and workers in it.
		score += 100*float64(sc.tasksByDomain[domain{'d', w.FailureDomain}]) +
			10*float64(sc.tasksByDomain[domain{'r', w.Rack}]) + float64(sc.tasksByDomain[domain{'w', w.Name}])
	}
	if !sc.needsAccelerators && free[dimAccelerators] > 0 {
		score += acceleratorPenalty
	}
	return score + recentFailurePenalty*w.health.recentFailureRate
}

// leftover returns the fraction of the worker that is left free after the placement,
// weighted toward the scarcest dimension of the pool, with a penalty for capacity that is
// left free in some dimensions only.
func (sc *scorer) leftover(w *worker, free *vector) float64 {
	sum, lowest, highest := 0.0, 1.0, 0.0
	for d, weight := range sc.weights {
		if w.capacity[d] == 0 || sc.demand[d] == 0 {
			continue
		}
		remaining := float64(free[d]-sc.demand[d]) / float64(w.capacity[d])
		sum += weight * remaining
		if d != dimConnections {
			lowest, highest = min(lowest, remaining), max(highest, remaining)
		}
	}
	return sum + imbalancePenalty*(highest-lowest)
}

// domain is a topology domain over which services are spread: a failure domain (level
// 'd'), a rack ('r') or a worker ('w').
type domain struct {
	level byte
	name  string
}

// countServiceTask adds delta to the number of service tasks of the item's kind in the
// topology domains of w. It ignores other workloads.
func (p *pool) countServiceTask(w *worker, item *Item, delta int) {
	if p == nil || item.Workload != api.WorkloadService {
		return
	}
	tasksByDomain := p.kinds.statsOf(item.Kind).tasksByDomain
	for _, key := range [...]domain{{'d', w.FailureDomain}, {'r', w.Rack}, {'w', w.Name}} {
		if tasksByDomain[key] += delta; tasksByDomain[key] <= 0 {
			delete(tasksByDomain, key)
		}
	}
}

const (
	// crossRegionCost is the latency added by placing work outside the caller's region:
	// request, body, answer and acknowledgement each cross the link between the regions
	// once, at 12 ms one way.
	crossRegionCost = 48 * time.Millisecond
	// releaseHalfLife is the half-life of past releases in a region's release rate.
	releaseHalfLife = 10 * time.Second
)

// recordRelease counts a release in the region.
func (r *region) recordRelease(now time.Duration) {
	r.releases = decay(r.releases, now-r.releasedAt, releaseHalfLife) + 1
	r.releasedAt = now
}

// expectedReleaseInterval returns the mean time between recent releases in the region.
func (r *region) expectedReleaseInterval(now time.Duration) time.Duration {
	n := decay(r.releases, now-r.releasedAt, releaseHalfLife)
	if n < 0.01 {
		return never
	}
	return time.Duration(float64(releaseHalfLife) / (n * math.Ln2))
}

// crossRegionAt returns when e may be placed outside its caller's region: now if the
// expected wait for the next release in that region is longer than crossRegionCost or the
// pool has no workers there, else crossRegionCost after its acceptance.
func (p *pool) crossRegionAt(now time.Duration, e *entry) time.Duration {
	home := p.homeRegion(e.item)
	if home == nil || home.index.count == 0 || home.expectedReleaseInterval(now) > crossRegionCost {
		return now
	}
	return e.item.Accepted + crossRegionCost
}

// homeRegion returns the caller's region, or Config.LocalRegion if that is unknown; nil if
// the pool never had workers there.
func (p *pool) homeRegion(item *Item) *region {
	name := item.Region
	if name == "" {
		name = p.scheduler.cfg.LocalRegion
	}
	for _, r := range p.regions {
		if r.name == name {
			return r
		}
	}
	return nil
}
