package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxIdleTeams bounds the teams without work that are kept. They hold the completion
// rate that wait estimates use.
const maxIdleTeams = 4096

// pool holds the workers, teams and learned statistics of one pool. The Scheduler owns it.
type pool struct {
	name      string
	scheduler *Scheduler
	workers   []*worker
	regions   []*region // sorted by name
	shapes    []shape   // of present and earlier workers

	capacity     vector // of all present workers
	allocated    vector
	burst        vector // allocated by urgent jobs beyond their team's fair share
	queuedDemand vector // of all queued items

	teams        map[string]*team
	active       []*team                  // with queued or running work
	activeWeight float64                  // sum over the active teams
	activations  uint64                   // number of activations of teams so far
	shares       map[string]int64         // configured weights, by team
	quotas       map[string]api.Resources // by team

	kinds             kindTable
	reservations      []*reservation
	reservedWorkers   int           // number of workers in all reservations
	lendingPaused     bool          // see updateLending
	largeOnlyWorkers  []*worker     // set aside for large items; see worker.largeOnlyUntil
	largeBlockedAt    time.Duration // when a large item was last blocked; 0 if never
	largestCapacity   vector        // elementwise maximum of all workers ever announced
	nextReservationAt time.Duration // earliest start of a new reservation
	headroomWorkers   []*worker     // set aside for urgent work
	probationWorkers  []*worker     // on probation

	freed         freedCapacity
	needsDecision bool          // some subqueue may be ready
	retryAt       time.Duration // earliest retryAt of a subqueue; never if none
}

// region is the part of a pool's workers in one region.
type region struct {
	name  string
	index *index
	// releases counts releases; its value halves every releaseHalfLife.
	releases   float64
	releasedAt time.Duration
}

// poolOf returns the pool and creates it if there is none.
func (s *Scheduler) poolOf(name string) *pool {
	if p := s.pools[name]; p != nil {
		return p
	}
	p := &pool{name: name, scheduler: s, teams: map[string]*team{}, retryAt: never}
	p.freed.largestFree = allMinusOne
	p.kinds.kinds = map[string]*kindStats{}
	p.applyTables(s.poolTables[name])
	s.pools[name] = p
	i, _ := slices.BinarySearchFunc(s.poolList, name, func(p *pool, name string) int { return strings.Compare(p.name, name) })
	s.poolList = slices.Insert(s.poolList, i, p)
	return p
}

// applyTables sets the shares and quotas from the pool's configuration.
func (p *pool) applyTables(t api.Pool) {
	p.shares, p.quotas = t.Shares, t.Quotas
	for _, t := range p.teams {
		t.applyTables()
	}
	p.activeWeight = 0
	for _, t := range p.active {
		p.activeWeight += t.weight
		t.unblockAll()
	}
}

// regionOf returns the region of the pool and creates it if there is none.
func (p *pool) regionOf(name string) *region {
	i, found := slices.BinarySearchFunc(p.regions, name, func(r *region, name string) int { return strings.Compare(r.name, name) })
	if !found {
		p.regions = slices.Insert(p.regions, i, &region{name: name, index: newIndex()})
	}
	return p.regions[i]
}

// addWorker adds w to the pool. The description and capacity of w are already set.
func (p *pool) addWorker(w *worker) {
	w.pool = p
	w.index = p.regionOf(w.Region).index
	w.leaf = w.index.insert(w)
	w.position = len(p.workers)
	p.workers = append(p.workers, w)
	p.capacity.add(w.capacity)
	for _, a := range w.allocations {
		p.countServiceTask(w, a.job.item, 1)
	}
	if w.health.onProbation {
		p.probationWorkers = append(p.probationWorkers, w)
	}
	p.addShape(w.capacity)
	p.largestCapacity.setMax(w.capacity)
	p.balanceHeadroom(w)
	w.capacityFreed()
}

// removeWorker removes w from the pool. The allocations stay on w.
func (p *pool) removeWorker(w *worker) {
	if w.reservation != nil {
		p.releaseReservation(w.reservation)
	}
	w.inHeadroom = false
	p.headroomWorkers = without(p.headroomWorkers, w)
	p.probationWorkers = without(p.probationWorkers, w)
	p.largeOnlyWorkers, w.largeOnly = without(p.largeOnlyWorkers, w), false
	p.freed.remove(w)
	for _, a := range w.allocations {
		p.countServiceTask(w, a.job.item, -1)
	}
	p.removeOutcomes(w)
	w.index.remove(w.leaf)
	last := len(p.workers) - 1
	p.workers[w.position] = p.workers[last]
	p.workers[w.position].position = w.position
	p.workers = p.workers[:last]
	p.capacity.sub(w.capacity)
	p.removeShape(w.capacity)
	w.pool, w.index = nil, nil
	p.balanceHeadroom(nil)
}

// without removes w from the list, if it is there.
func without(list []*worker, w *worker) []*worker {
	if i := slices.Index(list, w); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// requestDecision makes the next call of decide try the pool's ready entries.
func (p *pool) requestDecision() { p.needsDecision = true }

// pruneIdleTeams removes all idle teams when there are more than maxIdleTeams.
func (p *pool) pruneIdleTeams() {
	if len(p.teams)-len(p.active) <= maxIdleTeams {
		return
	}
	for name, t := range p.teams {
		if !t.active {
			delete(p.teams, name)
		}
	}
}
