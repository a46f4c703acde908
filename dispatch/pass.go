package dispatch

import (
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// placementRetryMin is how long a step that found too little capacity waits before it is tried
	// again. Every run that ends frees capacity and triggers a pass, and most of these attempts
	// would fail if the step took part in each. It doubles with each further failure up to
	// placementRetryMax, or lateRetryMax if the job cannot be in time, so that the time spent on a
	// long backlog stays small.
	placementRetryMin = 25 * time.Millisecond
	placementRetryMax = 100 * time.Millisecond
	lateRetryMax      = 400 * time.Millisecond
	// maxExaminedPerPass limits the workers that a pass examines for all steps together, to about
	// a millisecond of processor time. Replication waits meanwhile. The steps that were not tried
	// take part in the next pass, in which those that were tried wait.
	maxExaminedPerPass = 20_000
)

// runPass runs a scheduling pass: it tries to place the waiting tasks of the ready steps, the most
// urgent steps first, until it has examined maxExaminedPerPass workers.
func (s *Scheduler) runPass() {
	s.updateTopPriority()
	s.beginAccountPass()
	ready := s.readySteps()
	if len(ready) == 0 {
		s.endAccountPass()
		return
	}
	s.releaseStaleReservations()
	s.collectWorkers()
	s.computeHeadroom()
	s.holdForLongestBlocked(ready)
	limit := s.examined + maxExaminedPerPass
	for _, r := range ready {
		if s.examined >= limit {
			s.needsPass = true
			return
		}
		s.placeStep(r)
	}
	s.endAccountPass()
}

// collectWorkers collects the workers that accept new tasks in this pass, by pool and number, and
// sums their processors and those that are not allocated.
func (s *Scheduler) collectWorkers() {
	s.schedulable, s.idleCPU, s.cpuCapacity = map[string][]*worker{}, map[string]int64{}, map[string]int64{}
	for _, w := range s.sortedWorkers() {
		if w.isSchedulable = s.canSchedule(w); w.isSchedulable {
			pool := w.info.Pool
			s.schedulable[pool] = append(s.schedulable[pool], w)
			s.idleCPU[pool] += max(w.free().MilliCPU, 0)
			s.cpuCapacity[pool] += w.info.Capacity.MilliCPU
		}
	}
}

// delayRetry sets when a step that found too little capacity is tried again. A step that waits for
// the advisor's first grants is tried again when it answers.
func (s *Scheduler) delayRetry(r *readyStep, isEligible bool) {
	s.needsPass = true
	most := placementRetryMax
	switch {
	case s.isPreempting(r.ref):
		most = placementRetryMin // its tickets expire soon
	case r.lateness != inTime:
		most = lateRetryMax
	}
	delay := min(placementRetryMin<<min(r.failures, 4), most)
	if a := s.advice[r.ref]; a != nil && a.openCalls > 0 && !isEligible {
		delay = lateRetryMax
	}
	r.failures++
	r.retryAt = s.now + delay
}

// retryNow lets the steps of a job take part in the next pass, since something has changed for
// them.
func (s *Scheduler) retryNow(id job.ID) {
	s.needsPass = true
	for _, r := range s.ready[id] {
		r.retryAt, r.failures = 0, 0
	}
}
