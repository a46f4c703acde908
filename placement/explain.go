package placement

import (
	"fmt"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Explain reports why a request is waiting. A worker is counted under every limit that rules
// it out. Explain visits every worker of the pool, so it is meant for operators and too
// expensive to call for every request.
func (s *Scheduler) Explain(now time.Duration, key api.RequestKey) Explanation {
	if j := s.jobs[key]; j != nil && j.resubmitted != nil {
		return Explanation{Found: true, WaitsFor: "the end of an earlier attempt"}
	}
	e := s.entries[key]
	if e == nil {
		return Explanation{}
	}
	explanation := Explanation{Found: true, Position: e.position(), RuledOut: map[string]int{}}
	p := e.subqueue.class.team.pool
	fitting := 0
	for _, w := range p.workers {
		limits := w.limitsFor(now, e)
		for _, limit := range limits {
			explanation.RuledOut[limit]++
		}
		if len(limits) == 0 {
			fitting++
		}
	}
	explanation.WaitsFor = p.waitReason(now, e, fitting, explanation.RuledOut)
	return explanation
}

// position returns the 1-based position of e in the order of arrival of its class.
func (e *entry) position() int {
	n := 1
	for _, sq := range e.subqueue.class.subqueues {
		for o := sq.head; o != nil && o.sequence < e.sequence; o = o.next {
			n++
		}
	}
	return n
}

// limitsFor lists the limits that currently prevent a task of e from running on w. The
// names are part of the API: "held" denotes workers reserved for another item and
// "kept_for_large" large-only workers.
func (w *worker) limitsFor(now time.Duration, e *entry) []string {
	var limits []string
	if !w.placeable {
		limits = append(limits, "not_placeable")
	}
	if w.health.onProbation {
		limits = append(limits, "probation")
	}
	if w.reservation != nil && w.reservation.entry != e {
		limits = append(limits, "held")
	}
	if w.largeOnly && !w.pool.canUseLargeOnly(now, e) {
		limits = append(limits, "kept_for_large")
	}
	if w.inHeadroom && !w.pool.canUseHeadroom(now, e) {
		limits = append(limits, "headroom")
	}
	free := w.freeCapacity()
	for d, name := range dimNames {
		if e.demand[d] > free[d] {
			limits = append(limits, name)
		}
	}
	return limits
}

// waitReason describes what must change for e to start. fitting is the number of workers
// that could run one task.
func (p *pool) waitReason(now time.Duration, e *entry, fitting int, ruledOut map[string]int) string {
	if d := e.subqueue.class.team.exceedsQuota(e.totalDemand()); d >= 0 {
		return fmt.Sprintf("the team's quota of %s", dimNames[d])
	}
	if len(p.workers) == 0 {
		return fmt.Sprintf("a worker of pool %q, which has none", p.name)
	}
	if e.subqueue.head != e || !e.subqueue.blocked {
		return "its turn"
	}
	if p.lendingPaused && e.subqueue.class.team.isBorrowing() {
		return "the team to be within its share"
	}
	if fitting > 0 && e.item.Tasks > 1 {
		return "room for all tasks at once"
	}
	if fitting > 0 && p.crossRegionAt(now, e) > now {
		return "room in the caller's region"
	}
	if fitting > 0 {
		return "its turn"
	}
	commonest := ""
	for limit, n := range ruledOut {
		if commonest == "" || n > ruledOut[commonest] || n == ruledOut[commonest] && limit < commonest {
			commonest = limit
		}
	}
	return commonest
}
