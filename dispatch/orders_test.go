package dispatch

import (
	"container/heap"
	"math"
	"slices"
)

// orderCase is an order of the waiting steps to compare. rank is nil for the order without costs.
type orderCase struct {
	name string
	rank func(*Scheduler, []*readyStep)
}

// byKey returns a function that ranks each step by a key.
func byKey(key func(s *Scheduler, r *readyStep, mean float64) float64) func(*Scheduler, []*readyStep) {
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

// orders returns the compared orders.
func orders() []orderCase {
	least := func(_ *Scheduler, r *readyStep, _ float64) float64 { return r.demand.Left }
	density := func(_ *Scheduler, r *readyStep, mean float64) float64 {
		return -value(r, mean) / max(r.demand.Left/mean, 0.05)
	}
	fraction := func(_ *Scheduler, r *readyStep, _ float64) float64 { return r.demand.Rank() }
	blend := func(theta float64) func(_ *Scheduler, r *readyStep, mean float64) float64 {
		return func(_ *Scheduler, r *readyStep, mean float64) float64 {
			return r.demand.Rank() * min(1, r.demand.Total/(mean*theta))
		}
	}
	return []orderCase{
		{"today", nil},
		{"product", func(_ *Scheduler, steps []*readyStep) { rankByCost(steps) }},
		{"Moore-Hodgson", mooreHodgson(true, nil)},
		{"infeasible behind", mooreHodgson(false, nil)},
		{"least work", byKey(least)},
		{"least work aged", byKey(func(s *Scheduler, r *readyStep, mean float64) float64 { return r.demand.Left * (1 - min(age(s, r), 1)) })},
		{"value density", byKey(density)},
		{"value density aged", byKey(func(s *Scheduler, r *readyStep, mean float64) float64 { return density(s, r, mean) * (1 + 3*age(s, r)) })},
		{"Moore-Hodgson, fraction", mooreHodgson(true, fraction)},
		{"infeasible behind, fraction", mooreHodgson(false, fraction)},
		{"blend 0.25", byKey(blend(0.25))},
		{"blend 0.5", byKey(blend(0.5))},
		{"blend 1", byKey(blend(1))},
		{"fraction aged", byKey(func(s *Scheduler, r *readyStep, mean float64) float64 {
			return r.demand.Rank() * math.Max(0, 1-age(s, r)/3)
		})},
		{"fraction late", byKey(func(s *Scheduler, r *readyStep, mean float64) float64 {
			if r.lateness == inTime {
				return 0
			}
			return r.demand.Rank()
		})},
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
// the most work among it and those ahead of it. key orders the steps on each side, by deadline if it is nil.
func mooreHodgson(removeLargest bool, key func(s *Scheduler, r *readyStep, mean float64) float64) func(*Scheduler, []*readyStep) {
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
			if r.rank = 0; key != nil {
				r.rank = key(s, r, 0)
			}
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
