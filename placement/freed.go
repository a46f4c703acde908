package placement

import "time"

// maxFreed bounds the list of freed workers. With more, blocked items search the index.
const maxFreed = 64

// freedRoom holds the workers that have gained room since every ready item was last
// tried. An item that found no room before can only find it there, so in a full pool a
// decision costs no search of the whole fleet for each waiting item.
type freedRoom struct {
	workers    []*worker
	overflow   bool   // more than maxFreed workers
	largest    vector // elementwise largest free amount of the workers
	generation uint64 // changes whenever a worker gains room
}

// noteFreed records that w has gained room.
func (p *pool) noteFreed(w *worker) {
	f := &p.freed
	f.generation++
	f.largest.raise(w.freeAmount())
	if !w.freed {
		if len(f.workers) < maxFreed {
			w.freed = true
			f.workers = append(f.workers, w)
		} else {
			f.overflow = true
		}
	}
	p.wake()
}

// noteTaken lowers the largest free amount after w has lost room.
func (f *freedRoom) noteTaken(w *worker) {
	if !w.freed || f.overflow {
		return
	}
	f.largest = nothing
	for _, w := range f.workers {
		if free := w.freeAmount(); free[dimSlots] > 0 {
			f.largest.raise(free)
		}
	}
}

// clear forgets the freed workers once every item that may use them has been tried.
func (f *freedRoom) clear() {
	for _, w := range f.workers {
		w.freed = false
	}
	f.workers, f.overflow, f.largest = f.workers[:0], false, nothing
}

func (f *freedRoom) forget(w *worker) {
	if w.freed {
		w.freed = false
		f.workers = without(f.workers, w)
	}
}

// isReady reports whether the head of l may be tried: it has not been tried yet, its
// time to try again has come, or room that may suffice was freed since the last try.
func (l *lane) isReady(now time.Duration) bool {
	if !l.blocked || l.isDue(now) {
		return true
	}
	p := l.class.team.pool
	if l.retryAt > 0 {
		p.retryAt = min(p.retryAt, l.retryAt)
	}
	if l.generation == p.freed.generation || now < l.head.notBefore {
		return false
	}
	return p.freed.mayHold(l.head)
}

// mayHold reports whether some freed worker has room for a task of e and is not kept
// for other work. The largest free amount rules most items out at little cost.
func (f *freedRoom) mayHold(e *entry) bool {
	if !e.demand.fits(&f.largest) {
		return false
	}
	if f.overflow {
		return true
	}
	for _, w := range f.workers {
		if w.headroom && e.lane.class.index != classUrgent {
			continue
		}
		if w.hasRoom(&e.demand) {
			return true
		}
	}
	return false
}

// isDue reports whether the time to try again has come.
func (l *lane) isDue(now time.Duration) bool { return l.retryAt > 0 && l.retryAt <= now }

// findFreed returns the best freed worker that e may use now, or nil.
func (p *pool) findFreed(now time.Duration, e *entry) *worker {
	list := p.s.scratch[:0]
	for _, w := range p.freed.workers {
		if w.hasRoom(&e.demand) && p.allows(now, w, e) {
			list = append(list, w)
		}
	}
	p.s.scratch = list
	return p.best(list, e)
}

// allows reports whether the rules for kept workers and regions let e use w.
func (p *pool) allows(now time.Duration, w *worker, e *entry) bool {
	switch {
	case !w.isOpen() || w.health.onProbation:
		return false
	case w.headroom && !e.lane.class.isPrivileged():
		return false
	case w.kept && !p.mayUseKept(now, e):
		return false
	case w.hold != nil && w.hold != e.hold && p.kinds.expectedEnd(now, e.item) > w.hold.startAt:
		return false
	}
	home := p.homeRegion(e.item)
	return home == nil || w.index == home.index || p.crossingAt(now, e) <= now
}
