package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxIdleTeams bounds the accounts kept for teams without work. They hold the
// completion rate that wait estimates use.
const maxIdleTeams = 4096

// pool holds the workers, teams and learned figures of one pool. The Scheduler owns it.
type pool struct {
	name    string
	s       *Scheduler
	workers []*worker
	regions []*region // by name
	shapes  []shape

	capacity vector // of all workers present
	reserved vector
	waiting  vector // demand of all queued items

	teams        map[string]*team
	active       []*team // with queued or running work
	activeWeight float64
	sequence     uint64
	shares       map[string]int64
	quotas       map[string]api.Resources

	kinds         kindTable
	holds         []*hold
	held          int // workers of all holds
	lendingPaused bool
	kept          []*worker     // closed to small work, by time
	passedByAt    time.Duration // when large work was last blocked; 0 if never
	largest       vector        // elementwise largest worker announced
	holdNext      time.Duration // no new hold before
	headroom      []*worker
	trials        []*worker // on probation

	freed   freedRoom
	isAwake bool          // some lane may be ready
	retryAt time.Duration // earliest retryAt of a lane; never if none
}

// region is the part of a pool's workers in one region.
type region struct {
	name  string
	index *index
	// releases counts releases with the weight halved every regionDecay.
	releases   float64
	releasedAt time.Duration
}

func (s *Scheduler) poolOf(name string) *pool {
	if p := s.pools[name]; p != nil {
		return p
	}
	p := &pool{name: name, s: s, teams: map[string]*team{}, retryAt: never}
	p.freed.largest = nothing
	p.kinds.kinds = map[string]*kindStats{}
	p.applyTables(s.tables[name])
	s.pools[name] = p
	at, _ := slices.BinarySearchFunc(s.poolList, name, func(p *pool, name string) int { return strings.Compare(p.name, name) })
	s.poolList = slices.Insert(s.poolList, at, p)
	return p
}

// applyTables takes the shares and quotas of the tables.
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

func (p *pool) regionOf(name string) *region {
	at, found := slices.BinarySearchFunc(p.regions, name, func(r *region, name string) int { return strings.Compare(r.name, name) })
	if !found {
		p.regions = slices.Insert(p.regions, at, &region{name: name, index: newIndex()})
	}
	return p.regions[at]
}

// join adds w, whose description is set, to the pool.
func (p *pool) join(w *worker) {
	w.pool = p
	w.index = p.regionOf(w.Region).index
	w.leaf = w.index.insert(w)
	w.position = len(p.workers)
	p.workers = append(p.workers, w)
	p.capacity.add(w.capacity)
	for _, r := range w.tasks {
		p.countService(w, r.job.item, 1)
	}
	if w.health.onProbation {
		p.trials = append(p.trials, w)
	}
	p.noteShape(w.capacity)
	p.largest.raise(w.capacity)
	p.balanceHeadroom(w)
	w.refreshFreed()
}

// leave takes w out of the pool. Its reservations stay in its account.
func (p *pool) leave(w *worker) {
	if w.hold != nil {
		p.clearHold(w.hold)
	}
	w.headroom = false
	p.headroom = without(p.headroom, w)
	p.trials = without(p.trials, w)
	p.kept, w.kept = without(p.kept, w), false
	p.freed.forget(w)
	for _, r := range w.tasks {
		p.countService(w, r.job.item, -1)
	}
	p.forgetReports(w)
	w.index.remove(w.leaf)
	last := len(p.workers) - 1
	p.workers[w.position] = p.workers[last]
	p.workers[w.position].position = w.position
	p.workers = p.workers[:last]
	p.capacity.sub(w.capacity)
	p.forgetShape(w.capacity)
	w.pool, w.index = nil, nil
	p.balanceHeadroom(nil)
}

func without(list []*worker, w *worker) []*worker {
	if i := slices.Index(list, w); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func (p *pool) wake() { p.isAwake = true }

// forgetIdleTeams drops the accounts of all idle teams when there are too many.
func (p *pool) forgetIdleTeams() {
	if len(p.teams)-len(p.active) <= maxIdleTeams {
		return
	}
	for name, t := range p.teams {
		if !t.active {
			delete(p.teams, name)
		}
	}
}
