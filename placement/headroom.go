package placement

import "time"

// headroomDivisor sets the part of a pool's workers that is set aside as headroom for
// urgent work within its team's fair share, so that such work starts immediately while
// the rest of the pool is full. At 1/32 the headroom costs 3% of the pool, less than the
// 5% that packing and the shares of other work may lose.
const headroomDivisor = 32

// balanceHeadroom adds or removes headroom workers to match headroomDivisor. It prefers
// joined, the worker that has just joined the pool, because that is usually empty; joined
// is nil if there is none.
func (p *pool) balanceHeadroom(joined *worker) {
	want := len(p.workers) / headroomDivisor
	if joined != nil && len(p.headroomWorkers) < want {
		p.addHeadroom(joined)
	}
	for _, w := range p.workers {
		if len(p.headroomWorkers) >= want {
			break
		}
		if !w.inHeadroom && w.reservation == nil {
			p.addHeadroom(w)
		}
	}
	for len(p.headroomWorkers) > want {
		w := p.headroomWorkers[len(p.headroomWorkers)-1]
		p.headroomWorkers = p.headroomWorkers[:len(p.headroomWorkers)-1]
		w.inHeadroom = false
		w.capacityFreed()
	}
}

// addHeadroom makes w a headroom worker.
func (p *pool) addHeadroom(w *worker) {
	w.inHeadroom = true
	p.headroomWorkers = append(p.headroomWorkers, w)
	w.updateIndex()
}

// findHeadroom returns a headroom worker for e, or nil.
func (p *pool) findHeadroom(now time.Duration, e *entry) *worker {
	if len(p.headroomWorkers) == 0 || !p.canUseHeadroom(now, e) {
		return nil
	}
	return p.findFitting(p.headroomWorkers, e)
}

// canUseHeadroom reports whether e may run on headroom workers: urgent work with
// priority that is within its fair share or may burst, and small work that has waited
// for restrictedWorkerDelay while its team is below its fair share and other teams are
// active. Without the second case, the headroom would be missing from the share of a
// team while the other teams use all of theirs. A team that is alone in the pool never
// needs it.
func (p *pool) canUseHeadroom(now time.Duration, e *entry) bool {
	borrowing := e.subqueue.class.team.isBorrowing()
	if e.subqueue.class.hasPriority() {
		return !borrowing || p.canBurst(e)
	}
	t := e.subqueue.class.team
	isBelowFairShare := len(p.active) > 1 && t.dominantShare() < t.fairShare()*(1-1.0/headroomDivisor)
	return isBelowFairShare && now-e.queuedAt >= restrictedWorkerDelay && !p.isLarge(e.item, e.demand)
}

// findFitting returns the first worker on which a task of e fits, or nil. It checks at
// most Config.Candidates workers of the list, from a random start, and skips workers
// reserved for an item, unless the list is that of a reservation.
func (p *pool) findFitting(list []*worker, e *entry) *worker {
	start := p.scheduler.random.IntN(len(list))
	for i := range min(len(list), p.scheduler.cfg.Candidates) {
		w := list[(start+i)%len(list)]
		if w.acceptsWork() && !w.health.onProbation && (w.reservation == nil || list[0].reservation == w.reservation) && w.canFit(&e.demand) {
			return w
		}
	}
	return nil
}
