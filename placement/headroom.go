package placement

import "time"

// headroomFraction is one worker in how many is kept for urgent work within its share,
// so that it starts at once while the rest of the pool is full. At 1/32 the reserve
// costs 3% of the pool, less than the 5% that packing and other work's share may lose.
const headroomFraction = 32

// balanceHeadroom keeps the number of headroom workers at its fraction. A worker that
// has just joined is preferred, as it is empty; nil if none has.
func (p *pool) balanceHeadroom(joined *worker) {
	want := len(p.workers) / headroomFraction
	if joined != nil && len(p.headroom) < want {
		p.setHeadroom(joined)
	}
	for _, w := range p.workers {
		if len(p.headroom) >= want {
			break
		}
		if !w.headroom && w.hold == nil {
			p.setHeadroom(w)
		}
	}
	for len(p.headroom) > want {
		w := p.headroom[len(p.headroom)-1]
		p.headroom = p.headroom[:len(p.headroom)-1]
		w.headroom = false
		w.refreshFreed()
	}
}

func (p *pool) setHeadroom(w *worker) {
	w.headroom = true
	p.headroom = append(p.headroom, w)
	w.refresh()
}

// headroomFor returns a headroom worker for e, or nil.
func (p *pool) headroomFor(now time.Duration, e *entry) *worker {
	if len(p.headroom) == 0 || !p.mayUseHeadroom(now, e) {
		return nil
	}
	return p.firstWithRoom(p.headroom, e)
}

// mayUseHeadroom reports whether e is privileged urgent work, or small work that has
// waited for keptAfter and whose team is kept from its share by other teams. Without
// the latter, the headroom would be missing from the share of a team whose peers hold
// all of theirs. A team that is alone never needs it.
func (p *pool) mayUseHeadroom(now time.Duration, e *entry) bool {
	borrowing := e.lane.class.team.isBorrowing()
	if e.lane.class.isPrivileged() {
		return !borrowing || p.mayUseCredit(e)
	}
	t := e.lane.class.team
	deprived := len(p.active) > 1 && t.share() < t.owed()*(1-1.0/headroomFraction)
	return deprived && now-e.queuedAt >= keptAfter && !p.isLarge(e.item, e.demand)
}

// firstWithRoom returns the first worker with room for one task of e among a bounded
// number of the list, from a random start; nil if none.
func (p *pool) firstWithRoom(list []*worker, e *entry) *worker {
	start := p.s.random.IntN(len(list))
	for i := range min(len(list), p.s.cfg.Candidates) {
		w := list[(start+i)%len(list)]
		if w.isOpen() && !w.health.onProbation && (w.hold == nil || list[0].hold == w.hold) && w.hasRoom(&e.demand) {
			return w
		}
	}
	return nil
}
