package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// Workers are reserved for the head of a subqueue after it has been blocked for
	// reservationDelayWithinShare if its team is within its fair share, and for
	// reservationDelay in any case. One second is short compared with the time until a
	// worker's tasks end.
	reservationDelayWithinShare = time.Second
	reservationDelay            = 30 * time.Second
	// A reservation lasts twice as long as the item is expected to wait, within these
	// bounds. The next reservation for the same item lasts at least twice as long as the
	// last, up to the bound, so that the item eventually starts even if the running tasks
	// exceed their declared run times.
	minReservationDuration = 10 * time.Second
	maxReservationDuration = 10 * time.Minute
	// reservationInterval bounds how often a pool looks for an item to reserve workers for.
	reservationInterval = 100 * time.Millisecond
	// minReservationCandidates is the number of workers that are considered for a
	// reservation, or four per task of the item if that is more.
	minReservationCandidates = 128
	// reservationDivisor bounds the reservations: no new one starts while
	// 1/reservationDivisor or more of the pool's workers are reserved. A single
	// reservation may take more.
	reservationDivisor = 10
	// maxBackfillReservations bounds the reservations that are tried for one backfill.
	maxBackfillReservations = 16
)

// reservation sets workers aside until a blocked item, such as a gang, fits on them. Nothing is
// allocated for the item, and other work that is expected to end before the item can start
// may still run on the workers (backfill).
type reservation struct {
	entry     *entry
	workers   []*worker
	startAt   time.Duration // when the item is expected to fit
	expiresAt time.Duration // when the reservation ends even if the item has not started
}

// availableWorkers returns the reserved workers that accept work and are not on probation.
func (r *reservation) availableWorkers() []*worker {
	var available []*worker
	for _, w := range r.workers {
		if w.acceptsWork() && !w.health.onProbation {
			available = append(available, w)
		}
	}
	return available
}

// updateReservations releases the reservations that have expired or whose item has left the
// queue, and starts at most one new reservation, which bounds the cost of a decision.
func (p *pool) updateReservations(now time.Duration) {
	for i := len(p.reservations) - 1; i >= 0; i-- {
		r := p.reservations[i]
		if r.entry.subqueue != nil && now < r.expiresAt {
			continue
		}
		// Gives other items a chance before workers are reserved for this one again.
		r.entry.reservationRetryAt = now + minReservationDuration
		p.releaseReservation(r)
	}
	if now < p.nextReservationAt || p.reservedWorkers >= max(1, len(p.workers)/reservationDivisor) {
		return
	}
	p.nextReservationAt = now + reservationInterval
	if e := p.longestBlocked(now); e != nil {
		p.startReservation(now, e)
	}
}

// releaseReservation removes r and offers its workers to all work again.
func (p *pool) releaseReservation(r *reservation) {
	i := slices.Index(p.reservations, r)
	p.reservations = slices.Delete(p.reservations, i, i+1)
	p.reservedWorkers -= len(r.workers)
	r.entry.reservation = nil
	for _, w := range r.workers {
		w.reservation = nil
		w.capacityFreed()
	}
}

// longestBlocked returns the head of a subqueue that has been blocked for longest among
// those due for a reservation, or nil.
func (p *pool) longestBlocked(now time.Duration) *entry {
	var longest *entry
	for _, t := range p.active {
		for _, q := range t.classes {
			for _, sq := range q.subqueues {
				if sq.head.isDueForReservation(now) && (longest == nil || sq.head.isBlockedLonger(longest)) {
					longest = sq.head
				}
			}
		}
	}
	return longest
}

// isBlockedLonger reports whether e has been blocked for longer than o, or arrived earlier
// if both have been blocked for the same time.
func (e *entry) isBlockedLonger(o *entry) bool {
	if e.blockedSince != o.blockedSince {
		return e.blockedSince < o.blockedSince
	}
	return e.sequence < o.sequence
}

// isDueForReservation reports whether e has been blocked for long enough to reserve workers
// for it. Work of a team above its fair share waits longer, since other teams go first.
func (e *entry) isDueForReservation(now time.Duration) bool {
	if !e.subqueue.blocked || e.reservation != nil || e.blockedSince < 0 || now < e.reservationRetryAt {
		return false
	}
	t := e.subqueue.class.team
	if t.exceedsQuota(e.totalDemand()) >= 0 {
		return false
	}
	blockedFor := now - e.blockedSince
	return blockedFor >= reservationDelay || blockedFor >= reservationDelayWithinShare && t.dominantShare() <= t.fairShare()
}

// startReservation reserves the workers on which e is expected to fit earliest.
func (p *pool) startReservation(now time.Duration, e *entry) {
	startAt, workers := p.earliestFit(now, e)
	if workers == nil {
		e.reservationRetryAt = now + minReservationDuration
		return
	}
	duration := max(2*(startAt-now), 2*e.reservationDuration, minReservationDuration)
	e.reservationDuration = min(duration, maxReservationDuration)
	e.reservation = &reservation{entry: e, workers: workers, startAt: startAt, expiresAt: now + e.reservationDuration}
	p.reservations = append(p.reservations, e.reservation)
	p.reservedWorkers += len(workers)
	for _, w := range workers {
		w.reservation = e.reservation
		w.updateIndex()
	}
	e.subqueue.unblock()
}

// capacityGain is a time from which on a worker is expected to fit more tasks of an item.
type capacityGain struct {
	availableAt time.Duration
	worker      *worker
	order       int // position of the worker in the search
	copies      int // tasks that fit from then on
}

// earliestFit returns when e is expected to fit as running tasks end, and on which
// workers. The workers are nil if e does not fit beside the tasks that run until stopped.
func (p *pool) earliestFit(now time.Duration, e *entry) (time.Duration, []*worker) {
	tasks := e.item.Tasks
	var gains []capacityGain
	limit := min(len(p.workers), max(minReservationCandidates, 4*tasks))
	offset := p.scheduler.random.IntN(len(p.workers) + 1)
	for i := range limit {
		w := p.workers[(offset+i)%len(p.workers)]
		if w.acceptsWork() && !w.inHeadroom && w.reservation == nil && !w.health.onProbation {
			gains = appendCapacityGains(gains, now, w, i, e)
		}
	}
	slices.SortFunc(gains, func(a, b capacityGain) int {
		return cmp.Or(cmp.Compare(a.availableAt, b.availableAt), cmp.Compare(a.order, b.order), cmp.Compare(a.copies, b.copies))
	})
	copies, total := map[*worker]int{}, 0
	for _, g := range gains {
		total += g.copies - copies[g.worker]
		copies[g.worker] = g.copies
		if total >= tasks {
			return g.availableAt, fewestWorkers(copies, tasks)
		}
	}
	return 0, nil
}

// appendCapacityGains appends the times from which on w is expected to fit more tasks of
// e.
func appendCapacityGains(gains []capacityGain, now time.Duration, w *worker, order int, e *entry) []capacityGain {
	ends := slices.Clone(w.allocations)
	slices.SortFunc(ends, func(a, b *allocation) int {
		return cmp.Or(cmp.Compare(a.expectedEnd, b.expectedEnd), cmp.Compare(a.position, b.position))
	})
	free := w.freeCapacity()
	copies := e.demand.copies(&free, e.item.Tasks)
	if copies > 0 {
		gains = append(gains, capacityGain{now, w, order, copies})
	}
	for _, a := range ends {
		if a.expectedEnd == never {
			break
		}
		free.add(a.amount)
		if n := e.demand.copies(&free, e.item.Tasks); n > copies {
			copies = n
			gains = append(gains, capacityGain{max(now, a.expectedEnd), w, order, n})
		}
	}
	return gains
}

// fewestWorkers returns the fewest workers that together fit the tasks. copies is the
// number of tasks that fit on each worker.
func fewestWorkers(copies map[*worker]int, tasks int) []*worker {
	list := make([]*worker, 0, len(copies))
	for w := range copies {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(copies[b], copies[a]), strings.Compare(a.Name, b.Name))
	})
	for i, w := range list {
		if tasks -= copies[w]; tasks <= 0 {
			return list[:i+1]
		}
	}
	return list
}

// findReservedWorker returns a reserved worker for e, or nil: a worker of its own
// reservation if it has one, else a worker of another item's reservation if e is expected to
// end before that item can start (backfill).
func (p *pool) findReservedWorker(now time.Duration, e *entry) *worker {
	if e.reservation != nil {
		return p.findFitting(e.reservation.workers, e)
	}
	if len(p.reservations) == 0 {
		return nil
	}
	end := p.kinds.expectedEnd(now, e.item)
	start := p.scheduler.random.IntN(len(p.reservations))
	for i := range min(len(p.reservations), maxBackfillReservations) {
		if r := p.reservations[(start+i)%len(p.reservations)]; end <= r.startAt {
			if w := p.findFitting(r.workers, e); w != nil {
				return w
			}
		}
	}
	return nil
}
