package placement

import "time"

// maxFreedWorkers bounds the list of freed workers. When it overflows, blocked items
// search the index instead.
const maxFreedWorkers = 64

// freedCapacity lists the workers whose free capacity has grown since every ready item
// was last tried. An item that did not fit then can fit only on these workers, so in a
// full pool a decision does not search the whole fleet for each waiting item.
type freedCapacity struct {
	workers     []*worker
	overflow    bool   // more than maxFreedWorkers were freed
	largestFree vector // elementwise maximum of the workers' free capacity
	generation  uint64 // incremented whenever a worker gains free capacity
}

// recordFreed records that w has gained free capacity.
func (p *pool) recordFreed(w *worker) {
	f := &p.freed
	f.generation++
	f.largestFree.setMax(w.freeCapacity())
	if !w.inFreed {
		if len(f.workers) < maxFreedWorkers {
			w.inFreed = true
			f.workers = append(f.workers, w)
		} else {
			f.overflow = true
		}
	}
	p.requestDecision()
}

// recordTaken recomputes largestFree after w has lost free capacity.
func (f *freedCapacity) recordTaken(w *worker) {
	if !w.inFreed || f.overflow {
		return
	}
	f.largestFree = allMinusOne
	for _, w := range f.workers {
		if free := w.freeCapacity(); free[dimSlots] > 0 {
			f.largestFree.setMax(free)
		}
	}
}

// clear empties the list once every item that may use the workers has been tried.
func (f *freedCapacity) clear() {
	for _, w := range f.workers {
		w.inFreed = false
	}
	f.workers, f.overflow, f.largestFree = f.workers[:0], false, allMinusOne
}

// remove takes w off the list, for a worker that leaves the pool.
func (f *freedCapacity) remove(w *worker) {
	if w.inFreed {
		w.inFreed = false
		f.workers = without(f.workers, w)
	}
}

// isReady reports whether the head of sq may be tried: it has not been tried yet, its
// retry time has come, or capacity that may suffice was freed since the last try.
func (sq *subqueue) isReady(now time.Duration) bool {
	if !sq.blocked || sq.isRetryDue(now) {
		return true
	}
	p := sq.class.team.pool
	if sq.retryAt > 0 {
		p.retryAt = min(p.retryAt, sq.retryAt)
	}
	if sq.triedGeneration == p.freed.generation || now < sq.head.notBefore {
		return false
	}
	return p.freed.mayFit(now, sq.head)
}

// mayFit reports whether a task of e may fit on a freed worker that is not set aside as
// headroom for other work. Comparing with largestFree rules out most items cheaply.
func (f *freedCapacity) mayFit(now time.Duration, e *entry) bool {
	if !e.demand.fitsIn(&f.largestFree) {
		return false
	}
	if f.overflow {
		return true
	}
	for _, w := range f.workers {
		if w.inHeadroom && !w.pool.canUseHeadroom(now, e) {
			continue
		}
		if w.canFit(&e.demand) {
			return true
		}
	}
	return false
}

// isRetryDue reports whether the retry time has come.
func (sq *subqueue) isRetryDue(now time.Duration) bool { return sq.retryAt > 0 && sq.retryAt <= now }

// findFreed returns the best freed worker that e may use now, or nil.
func (p *pool) findFreed(now time.Duration, e *entry) *worker {
	list := p.scheduler.workerBuffer[:0]
	for _, w := range p.freed.workers {
		if w.canFit(&e.demand) && p.mayUse(now, w, e) {
			list = append(list, w)
		}
	}
	p.scheduler.workerBuffer = list
	return p.bestWorker(list, e)
}

// mayUse reports whether e may use w under the rules for probation, headroom, large-only
// workers, reservations and regions. It does not check the free capacity.
func (p *pool) mayUse(now time.Duration, w *worker, e *entry) bool {
	switch {
	case !w.acceptsWork() || w.health.onProbation:
		return false
	case w.inHeadroom && !p.canUseHeadroom(now, e):
		return false
	case w.largeOnly && !p.canUseLargeOnly(now, e):
		return false
	case w.reservation != nil && w.reservation != e.reservation && p.kinds.expectedEnd(now, e.item) > w.reservation.startAt:
		return false
	}
	home := p.homeRegion(e.item)
	return home == nil || w.index == home.index || p.crossRegionAt(now, e) <= now
}
