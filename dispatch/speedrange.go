package dispatch

import (
	"cmp"
	"math"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// speedClassWidth is the logarithm of the ratio of the speeds of neighboring classes. Workers
	// whose speeds differ by less count as equally fast and are filled by best fit.
	speedClassWidth = 0.1
	// maxSpeedClass is the class of maxSpeed; that of minSpeed is -maxSpeedClass.
	maxSpeedClass = 9
	// speedMargin times the expected duration of the remaining work is the time that a worker has
	// to finish it in to be considered fast enough. Estimates are off by half, so a run may take
	// twice as long as expected.
	speedMargin = 2
	// tooSlowPenalty is greater than the difference of any two classes.
	tooSlowPenalty = 1000
)

// class returns the class of a speed; 0 is that of the speed 1.
func (v *workerSpeed) class() int { return int(math.Round(v.log.value / speedClassWidth)) }

// slotsByClass is how many tasks of a step fit on the workers of each speed class, from
// -maxSpeedClass on.
type slotsByClass [2*maxSpeedClass + 1]int

func (v *slotsByClass) add(w *worker, slots int) { v[w.speed.class()+maxSpeedClass] += max(slots, 0) }

// speedRange is the speed that is wanted of the workers for a step.
type speedRange struct {
	isLimited bool // otherwise any speed is as good as another
	slowest   int  // class of the slowest workers that are fast enough
	// prefersSlow means that of the workers that are fast enough the slowest are wanted.
	prefersSlow bool
}

// penalty returns by how much a worker is worse than one of the wanted speed. Of the workers that
// are too slow, the fastest is the least bad.
func (v speedRange) penalty(w *worker) int64 {
	if !v.isLimited {
		return 0
	}
	switch class := w.speed.class(); {
	case class < v.slowest:
		return int64(tooSlowPenalty + min(v.slowest, maxSpeedClass+1) - class)
	case v.prefersSlow:
		return int64(class - v.slowest)
	}
	return 0
}

// compare orders workers by their penalty.
func (v speedRange) compare(a, b *worker) int { return cmp.Compare(v.penalty(a), v.penalty(b)) }

// neededClass returns the class of the slowest workers on which a step is expected to be in time;
// above maxSpeedClass if there are none.
func (s *Scheduler) neededClass(r *readyStep) int {
	timeLeft := r.deadlineMillis - s.wallMillis
	if timeLeft <= 0 {
		return maxSpeedClass + 1
	}
	expected := max(s.expectedMillis(r.job.Queue.Name, r.remainingMillis), 1)
	needed := math.Log(speedMargin * float64(expected) / float64(timeLeft))
	return int(math.Ceil(min(max(needed/speedClassWidth, -maxSpeedClass), maxSpeedClass+1)))
}

// speedFor returns the speed that is wanted of the workers for a number of tasks of a step. A gang
// lasts as long as its slowest member, so it wants workers of similar speed: those that span the
// fewest classes of those that are fast enough, and of several such sets the slowest, so that fast
// workers stay free. If the workers that are fast enough have too few slots, it wants the fastest
// set that has enough.
func (s *Scheduler) speedFor(r *readyStep, slots *slotsByClass, tasks int) speedRange {
	needed := s.neededClass(r)
	if !r.step.Gang {
		return speedRange{isLimited: true, slowest: needed}
	}
	best, bestSpan := 0, math.MaxInt
	for first := maxSpeedClass; first >= -maxSpeedClass && (first >= needed || bestSpan == math.MaxInt); first-- {
		total := 0
		for last := first; last <= maxSpeedClass; last++ {
			if total += slots[last+maxSpeedClass]; total >= tasks {
				if last-first <= bestSpan {
					best, bestSpan = first, last-first
				}
				break
			}
		}
	}
	return speedRange{isLimited: bestSpan < math.MaxInt, slowest: best, prefersSlow: true}
}

// speedToSelect returns the speed that is wanted of the workers that get a step's waiting tasks.
func (s *Scheduler) speedToSelect(r *readyStep, candidates []*placementCandidate) speedRange {
	if !s.ordersByCost() {
		return speedRange{}
	}
	var slots slotsByClass
	need := r.step.Allocation()
	for _, candidate := range candidates {
		n := min(tasksThatFit(candidate.free, need), len(r.waiting), candidate.runsLeft)
		if r.step.MaxPerWorker > 0 {
			n = min(n, r.step.MaxPerWorker-candidate.count)
		}
		slots.add(candidate.w, n)
	}
	return s.speedFor(r, &slots, len(r.waiting))
}

// speedToReserve returns the speed that is wanted of the workers on which a gang reserves capacity.
func (s *Scheduler) speedToReserve(r *readyStep, candidates []reservationCandidate) speedRange {
	if !s.ordersByCost() {
		return speedRange{}
	}
	var slots slotsByClass
	for _, candidate := range candidates {
		slots.add(candidate.w, candidate.slotsLater)
	}
	return s.speedFor(r, &slots, len(r.waiting))
}

// speedToAsk returns the speed that is wanted of the workers about which the advisor is asked, if
// the fraction rate of them is granted.
func (s *Scheduler) speedToAsk(r *readyStep, candidates []workerSlots, rate float64) speedRange {
	if !s.ordersByCost() {
		return speedRange{}
	}
	var slots slotsByClass
	for _, candidate := range candidates {
		slots.add(candidate.w, candidate.slots)
	}
	wanted := min(askedCapacityFactor*float64(len(r.waiting))/rate, math.MaxInt32) // the rate may be 0
	return s.speedFor(r, &slots, int(wanted))
}

// tasksThatFit returns how many tasks that need an amount of resources fit into a capacity.
func tasksThatFit(capacity, need job.Resources) int {
	n := int64(maxTasksThatFit)
	for _, d := range [...][2]int64{{capacity.MilliCPU, need.MilliCPU}, {capacity.MemoryMB, need.MemoryMB}, {capacity.GPU, need.GPU}} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return int(n)
}

// maxTasksThatFit is the result of tasksThatFit for tasks that need nothing.
const maxTasksThatFit = 1 << 20
