package placement

import (
	"math"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

const (
	// searchStarts is from how many random places of the index candidates are taken, so
	// that they are not all neighbors.
	searchStarts = 8
	// searchBudget bounds the index nodes that one placement visits. A search in a full
	// fleet with unlike free amounts could otherwise visit every leaf.
	searchBudget = 2048

	// acceleratorPenalty keeps work without accelerators off workers with free ones.
	acceleratorPenalty = 2.0
	// failingPenalty keeps work off a worker whose latest tasks failed while others have
	// room, before it is known whether the worker is to blame.
	failingPenalty = 4.0
	// strandPenalty weighs how uneven the fractions left in the dimensions are.
	strandPenalty = 0.5
	// minWeight makes work pack tightly also in a pool that is nearly empty.
	minWeight = 0.1
)

// candidates collects at most Config.Candidates workers of x with room for demand.
// It also reports whether the search was cut off by its budget.
func (s *Scheduler) candidates(x *index, demand vector) (found []*worker, cutOff bool) {
	if !demand.fits(&x.free[1]) {
		return nil, false
	}
	q := search{x: x, demand: demand, budget: searchBudget, found: s.scratch[:0]}
	if x.count <= s.cfg.Candidates {
		q.want = x.count
		q.from(0, x.size)
		s.scratch = q.found
		return q.found, false
	}
	part := x.size / searchStarts
	offset := s.random.IntN(x.size)
	for i := range searchStarts {
		start := (offset + i*part) % x.size
		q.want = s.cfg.Candidates*(i+1)/searchStarts - len(q.found)
		q.wrapped(start, start+part)
	}
	s.scratch = q.found
	return q.found, q.budget <= 0
}

// wrapped is from for a range that may pass the last leaf.
func (q *search) wrapped(start, end int) {
	q.from(start, min(end, q.x.size))
	if end > q.x.size {
		q.from(0, end-q.x.size)
	}
}

// best returns the candidate with the lowest score. Equal scores are decided by name.
func (p *pool) best(list []*worker, e *entry) *worker {
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

// scorer rates workers for one item; lower is better.
type scorer struct {
	demand   vector
	weights  [dimCount]float64
	places   map[place]int // not nil for a service
	needsAcc bool
}

func (p *pool) scorer(e *entry) scorer {
	sc := scorer{demand: e.demand}
	sc.needsAcc = e.demand[dimAccelerators] > 0
	for d := range sc.weights {
		if p.capacity[d] > 0 && e.demand[d] > 0 {
			used := float64(p.reserved[d]) / float64(p.capacity[d])
			sc.weights[d] = minWeight + used*used*used
		}
	}
	if e.item.Workload == api.WorkloadService {
		sc.places = p.kinds.of(e.item.Kind).places
	}
	return sc
}

func (sc *scorer) score(w *worker) float64 {
	free := w.freeAmount()
	score := sc.tightness(w, &free)
	if sc.places != nil {
		// A shared rack weighs more than any tightness, a shared failure domain more
		// than the racks and workers in it.
		score += 100*float64(sc.places[place{'d', w.FailureDomain}]) +
			10*float64(sc.places[place{'r', w.Rack}]) + float64(sc.places[place{'w', w.Name}])
	}
	if !sc.needsAcc && free[dimAccelerators] > 0 {
		score += acceleratorPenalty
	}
	return score + failingPenalty*w.health.failing
}

// tightness is the fraction left after the placement, weighted toward the scarcest
// dimension of the pool, with a penalty for room that is left in one dimension only.
func (sc *scorer) tightness(w *worker, free *vector) float64 {
	sum, lowest, highest := 0.0, 1.0, 0.0
	for d, weight := range sc.weights {
		if w.capacity[d] == 0 || sc.demand[d] == 0 {
			continue
		}
		left := float64(free[d]-sc.demand[d]) / float64(w.capacity[d])
		sum += weight * left
		if d != dimConnections {
			lowest, highest = min(lowest, left), max(highest, left)
		}
	}
	return sum + strandPenalty*(highest-lowest)
}

// place is a failure domain 'd', a rack 'r' or a worker 'w'.
type place struct {
	level byte
	name  string
}

// countService counts a task of a service on w, for the spread of its kind.
func (p *pool) countService(w *worker, item *Item, delta int) {
	if p == nil || item.Workload != api.WorkloadService {
		return
	}
	places := p.kinds.of(item.Kind).places
	for _, key := range [...]place{{'d', w.FailureDomain}, {'r', w.Rack}, {'w', w.Name}} {
		if places[key] += delta; places[key] <= 0 {
			delete(places, key)
		}
	}
}

const (
	// regionCrossing is what it costs to place work outside the caller's region: its
	// body and answer cross the link, at 12 ms one way each for request, body, answer
	// and acknowledgement.
	regionCrossing = 48 * time.Millisecond
	// regionDecay halves the weight of past releases in a region's release rate.
	regionDecay = 10 * time.Second
)

// noteRelease counts a release in the region.
func (r *region) noteRelease(now time.Duration) {
	r.releases = decay(r.releases, now-r.releasedAt, regionDecay) + 1
	r.releasedAt = now
}

// expectedGap is the mean time between releases in the region.
func (r *region) expectedGap(now time.Duration) time.Duration {
	n := decay(r.releases, now-r.releasedAt, regionDecay)
	if n < 0.01 {
		return never
	}
	return time.Duration(float64(regionDecay) / (n * math.Ln2))
}

// crossingAt returns when e may be placed outside its caller's region: at once if the
// wait for the next release there is longer than the crossing costs.
func (p *pool) crossingAt(now time.Duration, e *entry) time.Duration {
	home := p.homeRegion(e.item)
	if home == nil || home.index.count == 0 || home.expectedGap(now) > regionCrossing {
		return now
	}
	return e.item.Accepted + regionCrossing
}

// homeRegion is the region of the caller, or nil if the pool has no workers there.
func (p *pool) homeRegion(item *Item) *region {
	name := item.Region
	if name == "" {
		name = p.s.cfg.LocalRegion
	}
	for _, r := range p.regions {
		if r.name == name {
			return r
		}
	}
	return nil
}
