package placement

import "time"

const (
	// largeOnlyDuration is how long a worker that a large item has left is set aside for
	// other large items (large-only). Many small items would otherwise fill it immediately,
	// and the next large item would wait until another worker is empty.
	largeOnlyDuration = 2 * time.Second
	// largeBlockedWindow is how long after a large item was last blocked workers are
	// still made large-only.
	largeBlockedWindow = time.Minute
	// restrictedWorkerDelay is how long a small item waits before it may use large-only
	// or headroom workers, if its team is below its fair share.
	restrictedWorkerDelay = time.Second
	// largeDivisor defines large items: those that take at least 1/largeDivisor of a
	// worker, that is half. Two such items fill a worker.
	largeDivisor = 2
)

// isLarge reports whether all tasks of the item together take at least 1/largeDivisor of
// the pool's largest worker capacity in some dimension.
func (p *pool) isLarge(item *Item, demand vector) bool {
	for d, amount := range demand {
		if p.largestCapacity[d] > 0 && amount*int64(item.Tasks)*largeDivisor >= p.largestCapacity[d] {
			return true
		}
	}
	return false
}

// restrictToLarge makes w large-only for largeOnlyDuration if a large item was blocked
// within largeBlockedWindow.
func (p *pool) restrictToLarge(now time.Duration, w *worker) {
	if p.largeBlockedAt == 0 || now-p.largeBlockedAt > largeBlockedWindow {
		return
	}
	w.largeOnlyUntil = now + largeOnlyDuration
	if !w.largeOnly {
		w.largeOnly = true
		p.largeOnlyWorkers = append(p.largeOnlyWorkers, w)
	}
}

// expireLargeOnly offers the workers whose large-only time has passed to all work again.
func (p *pool) expireLargeOnly(now time.Duration) {
	for range len(p.largeOnlyWorkers) {
		w := p.largeOnlyWorkers[0]
		p.largeOnlyWorkers = p.largeOnlyWorkers[1:]
		if w.largeOnlyUntil > now {
			p.largeOnlyWorkers = append(p.largeOnlyWorkers, w)
			return
		}
		w.largeOnly = false
		w.capacityFreed()
	}
}

// findLargeOnly returns a large-only worker for e, or nil.
func (p *pool) findLargeOnly(now time.Duration, e *entry) *worker {
	if len(p.largeOnlyWorkers) == 0 || !p.canUseLargeOnly(now, e) {
		return nil
	}
	return p.findFitting(p.largeOnlyWorkers, e)
}

// canUseLargeOnly reports whether e may run on large-only workers: large items always,
// small items of a team below its fair share after restrictedWorkerDelay.
func (p *pool) canUseLargeOnly(now time.Duration, e *entry) bool {
	if p.isLarge(e.item, e.demand) {
		return true
	}
	return e.blockedSince >= 0 && now-e.blockedSince >= restrictedWorkerDelay && !e.subqueue.class.team.isBorrowing()
}

// restrictedWorkersAt returns when e, which is blocked, may use large-only or headroom
// workers; 0 if it has waited long enough or the pool has no such workers.
func (p *pool) restrictedWorkersAt(now time.Duration, e *entry) time.Duration {
	if at := max(e.blockedSince, 0) + restrictedWorkerDelay; len(p.largeOnlyWorkers)+len(p.headroomWorkers) > 0 && e.blockedSince >= 0 && at > now {
		return at
	}
	return 0
}
