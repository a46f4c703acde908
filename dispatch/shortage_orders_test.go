package dispatch

import (
	"container/heap"
	"slices"
)

// orderCase is an order of the waiting steps to compare. rank is nil for the order without costs.
type orderCase struct {
	name   string
	rank   func(*Scheduler, []*readyStep)
	admits bool // with admission
}

// rankKey returns the rank of a step. mean is the mean work of the jobs of its queue.
type rankKey func(s *Scheduler, r *readyStep, mean float64) float64

// byKey returns a function that ranks each step by a key.
func byKey(key rankKey) func(*Scheduler, []*readyStep) {
	means := map[string]float64{}
	return func(s *Scheduler, steps []*readyStep) {
		for _, r := range steps {
			q := r.job.Queue.Name
			if means[q] == 0 {
				means[q] = r.demand.Total
			}
			means[q] += 0.001 * (r.demand.Total - means[q])
			r.rank = key(s, r, means[q])
		}
	}
}

// value returns what a job is worth, relative to the mean of its queue.
func value(r *readyStep, mean float64) float64 { return min(0.3+0.7*r.demand.Total/mean, 4) }

// age returns the part of a job's objective that has passed.
func age(s *Scheduler, r *readyStep) float64 {
	return float64(s.wallMillis-r.releasedMillis) / float64(max(r.deadlineMillis-r.releasedMillis, 1))
}

// exceptGangs returns a key that is constant for gangs.
func exceptGangs(key rankKey, constant float64) rankKey {
	return func(s *Scheduler, r *readyStep, mean float64) float64 {
		if r.step.Gang {
			return constant
		}
		return key(s, r, mean)
	}
}

// orders returns the compared orders.
func orders() []orderCase {
	leastWork := func(_ *Scheduler, r *readyStep, _ float64) float64 { return r.demand.Left }
	density := func(_ *Scheduler, r *readyStep, mean float64) float64 {
		return -value(r, mean) / max(r.demand.Left/mean, 0.05)
	}
	aged := func(key rankKey) rankKey {
		return func(s *Scheduler, r *readyStep, mean float64) float64 { return key(s, r, mean) * (1 + 3*age(s, r)) }
	}
	begun := func(_ *Scheduler, r *readyStep, _ float64) float64 { return r.demand.Rank(0) }
	return []orderCase{
		{"today", nil, false},
		{"product", func(s *Scheduler, steps []*readyStep) { s.rankByCost(steps) }, false},
		{"product, admission", func(s *Scheduler, steps []*readyStep) { s.rankByCost(steps) }, true},
		{"Moore-Hodgson", mooreHodgson(true), false},
		{"infeasible behind", mooreHodgson(false), false},
		{"least work", byKey(leastWork), false},
		{"begun first", byKey(begun), false},
		{"value density", byKey(density), false},
		{"value density aged", byKey(aged(density)), false},
		{"value density aged, gangs by deadline", byKey(aged(exceptGangs(density, -1))), false},
	}
}

// workHeap is a heap of steps, the one with the most work left first.
type workHeap []*readyStep

func (h workHeap) Len() int           { return len(h) }
func (h workHeap) Less(i, j int) bool { return h[i].demand.Left > h[j].demand.Left }
func (h workHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *workHeap) Push(x any)        { *h = append(*h, x.(*readyStep)) }
func (h *workHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// mooreHodgson returns a function that puts behind the others of its lateness and priority each step
// that cannot meet its deadline given the work ahead of it or, if removeLargest is set, the step with
// the most work among it and those ahead of it.
func mooreHodgson(removeLargest bool) func(*Scheduler, []*readyStep) {
	return func(s *Scheduler, all []*readyStep) {
		capacity, ahead := 0.0, 0.0
		for _, w := range s.workers {
			if s.canSchedule(w) {
				capacity += 0.9 * float64(w.info.Capacity.MilliCPU) // a tenth does not fit or is between runs
			}
			for _, c := range w.claims {
				left := max(c.step.EstimateMillis-(s.now-c.startedAt).Milliseconds(), c.step.EstimateMillis/10)
				ahead += float64(c.step.Allocation().MilliCPU) * float64(left)
			}
		}
		steps := slices.Clone(all)
		slices.SortFunc(steps, func(a, b *readyStep) int { return a.compareInTime(b.urgency) })
		const behind = 1e15
		var kept workHeap
		for i, r := range steps {
			r.rank = 0
			if r.lateness != inTime {
				continue
			}
			if i == 0 || steps[i-1].priority != r.priority {
				kept = kept[:0]
			}
			isMet := ahead/capacity <= float64(r.deadlineMillis-s.wallMillis-r.remainingMillis)
			ahead += r.demand.Left
			heap.Push(&kept, r)
			if isMet {
				continue
			}
			removed := r
			if removeLargest {
				removed = heap.Pop(&kept).(*readyStep)
			}
			removed.rank += behind
			ahead -= removed.demand.Left
		}
	}
}
