package placement

import (
	"fmt"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Explain says why the request waits. A worker counts under every limit that rules it
// out. It visits each worker of the pool, so it is for operators, not for each request.
func (s *Scheduler) Explain(now time.Duration, key api.RequestKey) Explanation {
	if j := s.jobs[key]; j != nil && j.parked != nil {
		return Explanation{Found: true, WaitsFor: "the end of an earlier attempt"}
	}
	e := s.entries[key]
	if e == nil {
		return Explanation{}
	}
	x := Explanation{Found: true, Position: e.position(), RuledOut: map[string]int{}}
	p := e.lane.class.team.pool
	fits := 0
	for _, w := range p.workers {
		limits := w.ruledOut(now, e)
		for _, limit := range limits {
			x.RuledOut[limit]++
		}
		if len(limits) == 0 {
			fits++
		}
	}
	x.WaitsFor = p.waitsFor(now, e, fits, x.RuledOut)
	return x
}

// position is the place of e in the order of arrival of its class, from 1.
func (e *entry) position() int {
	n := 1
	for _, l := range e.lane.class.lanes {
		for o := l.head; o != nil && o.sequence < e.sequence; o = o.next {
			n++
		}
	}
	return n
}

// ruledOut lists the limits that keep a task of e off w now.
func (w *worker) ruledOut(now time.Duration, e *entry) []string {
	var limits []string
	if !w.placeable {
		limits = append(limits, "not_placeable")
	}
	if w.health.onProbation {
		limits = append(limits, "probation")
	}
	if w.hold != nil && w.hold.entry != e {
		limits = append(limits, "held")
	}
	if w.kept && !w.pool.mayUseKept(now, e) {
		limits = append(limits, "kept_for_large")
	}
	if w.headroom && !e.lane.class.isPrivileged() {
		limits = append(limits, "headroom")
	}
	free := w.freeAmount()
	for d, name := range dimNames {
		if e.demand[d] > free[d] {
			limits = append(limits, name)
		}
	}
	return limits
}

// waitsFor names what must change for e to start. fits is the number of workers with
// room for one task.
func (p *pool) waitsFor(now time.Duration, e *entry, fits int, ruledOut map[string]int) string {
	if d := e.lane.class.team.exceedsQuota(e.total()); d >= 0 {
		return fmt.Sprintf("the team's quota of %s", dimNames[d])
	}
	if len(p.workers) == 0 {
		return "a worker of the pool"
	}
	if e.lane.head != e || !e.lane.blocked {
		return "its turn"
	}
	if p.lendingPaused && e.lane.class.team.isBorrowing() {
		return "the team to be within its share"
	}
	if fits > 0 && e.item.Tasks > 1 {
		return "room for all tasks at once"
	}
	if fits > 0 && p.crossingAt(now, e) > now {
		return "room in the caller's region"
	}
	if fits > 0 {
		return "its turn"
	}
	most := ""
	for limit, n := range ruledOut {
		if most == "" || n > ruledOut[most] || n == ruledOut[most] && limit < most {
			most = limit
		}
	}
	return most
}
