package placement

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

const (
	// holdAfter is how long the head of a lane within its team's share, and
	// holdAfterAny how long any head, is passed by before workers are held for it. One
	// second is short against the time that a worker takes to empty.
	holdAfter    = time.Second
	holdAfterAny = 30 * time.Second
	// A hold lasts as long again as it is expected to take, within these bounds. The
	// next hold of the same item lasts twice as long, up to the bound, so that work
	// whose peers outlast their declared run time starts in the end.
	holdMin = 10 * time.Second
	holdMax = 10 * time.Minute
	// holdInterval bounds how often a pool looks for an item to hold workers for.
	holdInterval = 100 * time.Millisecond
	// holdWorkers bounds the workers that are considered for a hold, unless the item
	// has more tasks.
	holdWorkers = 128
	// holdFraction bounds the workers held at once to one in this many, unless a single
	// item needs more.
	holdFraction = 10
	// backfillHolds bounds the holds that are tried for one backfill.
	backfillHolds = 16
)

// hold keeps workers from other work until a large item, such as a gang, fits on them.
// The account of the workers is untouched: nothing is reserved for the item, and other
// work that is expected to end before the item can start still runs there (backfill).
type hold struct {
	entry   *entry
	workers []*worker
	startAt time.Duration // when the item is expected to fit
	until   time.Duration // when the hold ends without success
}

// open returns the held workers that take new work.
func (h *hold) open() []*worker {
	var list []*worker
	for _, w := range h.workers {
		if w.isOpen() && !w.health.onProbation {
			list = append(list, w)
		}
	}
	return list
}

// renewHolds ends the holds that have lasted too long or whose item has left the queue,
// and starts at most one new hold, which bounds the cost of a decision.
func (p *pool) renewHolds(now time.Duration) {
	for i := len(p.holds) - 1; i >= 0; i-- {
		h := p.holds[i]
		if h.entry.lane != nil && now < h.until {
			continue
		}
		// Other items get their turn before this one is held for again.
		h.entry.holdRetryAt = now + holdMin
		p.clearHold(h)
	}
	if now < p.holdNext || p.held >= max(1, len(p.workers)/holdFraction) {
		return
	}
	p.holdNext = now + holdInterval
	if e := p.longestPassedBy(now); e != nil {
		p.startHold(now, e)
	}
}

// clearHold offers the workers of h to all work again.
func (p *pool) clearHold(h *hold) {
	i := slices.Index(p.holds, h)
	p.holds = slices.Delete(p.holds, i, i+1)
	p.held -= len(h.workers)
	h.entry.hold = nil
	for _, w := range h.workers {
		w.hold = nil
		w.refreshFreed()
	}
}

// longestPassedBy returns the blocked head to hold workers for, or nil.
func (p *pool) longestPassedBy(now time.Duration) *entry {
	var longest *entry
	for _, t := range p.active {
		for _, q := range t.classes {
			for _, l := range q.lanes {
				if l.head.mayHold(now) && (longest == nil || l.head.olderThan(longest)) {
					longest = l.head
				}
			}
		}
	}
	return longest
}

func (e *entry) olderThan(o *entry) bool {
	if e.blockedSince != o.blockedSince {
		return e.blockedSince < o.blockedSince
	}
	return e.sequence < o.sequence
}

// mayHold reports whether e has been passed by for long enough. Work of a team above
// its share waits longer, as it is not its turn.
func (e *entry) mayHold(now time.Duration) bool {
	if !e.lane.blocked || e.hold != nil || e.blockedSince < 0 || now < e.holdRetryAt {
		return false
	}
	t := e.lane.class.team
	if t.exceedsQuota(e.total()) >= 0 {
		return false
	}
	passedBy := now - e.blockedSince
	return passedBy >= holdAfterAny || passedBy >= holdAfter && t.share() <= t.owed()
}

// startHold holds the workers on which e is expected to fit first.
func (p *pool) startHold(now time.Duration, e *entry) {
	startAt, workers := p.earliestFit(now, e)
	if workers == nil {
		e.holdRetryAt = now + holdMin
		return
	}
	length := max(2*(startAt-now), 2*e.holdLength, holdMin)
	e.holdLength = min(length, holdMax)
	e.hold = &hold{entry: e, workers: workers, startAt: startAt, until: now + e.holdLength}
	p.holds = append(p.holds, e.hold)
	p.held += len(workers)
	for _, w := range workers {
		w.hold = e.hold
		w.refresh()
	}
	e.lane.unblock()
}

// gain is room for more tasks on a worker from a time on.
type gain struct {
	at     time.Duration
	worker *worker
	order  int // of the worker
	copies int // that fit from then on
}

// earliestFit returns when e is expected to fit as running tasks end, and where. The
// workers are nil if the tasks that run until stopped leave no room for it.
func (p *pool) earliestFit(now time.Duration, e *entry) (time.Duration, []*worker) {
	tasks := e.item.Tasks
	var gains []gain
	limit := min(len(p.workers), max(holdWorkers, 4*tasks))
	offset := p.s.random.IntN(len(p.workers) + 1)
	for i := range limit {
		w := p.workers[(offset+i)%len(p.workers)]
		if w.isOpen() && !w.headroom && w.hold == nil && !w.health.onProbation {
			gains = appendGains(gains, now, w, i, e)
		}
	}
	slices.SortFunc(gains, func(a, b gain) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order), cmp.Compare(a.copies, b.copies))
	})
	room, total := map[*worker]int{}, 0
	for _, g := range gains {
		total += g.copies - room[g.worker]
		room[g.worker] = g.copies
		if total >= tasks {
			return g.at, fewest(room, tasks)
		}
	}
	return 0, nil
}

// appendGains appends the times at which w has room for more tasks of e.
func appendGains(gains []gain, now time.Duration, w *worker, order int, e *entry) []gain {
	ends := slices.Clone(w.tasks)
	slices.SortFunc(ends, func(a, b *reservation) int {
		return cmp.Or(cmp.Compare(a.end, b.end), cmp.Compare(a.position, b.position))
	})
	free := w.freeAmount()
	copies := e.demand.copies(&free, e.item.Tasks)
	if copies > 0 {
		gains = append(gains, gain{now, w, order, copies})
	}
	for _, r := range ends {
		if r.end == never {
			break
		}
		free.add(r.amount)
		if n := e.demand.copies(&free, e.item.Tasks); n > copies {
			copies = n
			gains = append(gains, gain{max(now, r.end), w, order, n})
		}
	}
	return gains
}

// fewest returns as few workers as hold the tasks, those with the most room first.
func fewest(room map[*worker]int, tasks int) []*worker {
	list := make([]*worker, 0, len(room))
	for w := range room {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(room[b], room[a]), strings.Compare(a.Name, b.Name))
	})
	for i, w := range list {
		if tasks -= room[w]; tasks <= 0 {
			return list[:i+1]
		}
	}
	return list
}

// backfill returns a held worker for e if e is the held item or is expected to end
// before it can start; nil if there is none.
func (p *pool) backfill(now time.Duration, e *entry) *worker {
	if e.hold != nil {
		return p.firstWithRoom(e.hold.workers, e)
	}
	if len(p.holds) == 0 {
		return nil
	}
	end := p.kinds.expectedEnd(now, e.item)
	start := p.s.random.IntN(len(p.holds))
	for i := range min(len(p.holds), backfillHolds) {
		if h := p.holds[(start+i)%len(p.holds)]; end <= h.startAt {
			if w := p.firstWithRoom(h.workers, e); w != nil {
				return w
			}
		}
	}
	return nil
}
