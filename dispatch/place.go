package dispatch

import (
	"fmt"

	"github.com/oleanderchute/oleanderchute/job"
)

// placeStep claims workers for as many of the waiting tasks of a step as the limit of its account
// allows.
func (s *Scheduler) placeStep(r *readyStep) {
	if s.now < r.retryAt {
		s.holdLimit(r)
		s.needsPass = true
		return
	}
	r.pool = s.poolOf(r.job)
	waiting, allowed, placed := r.waiting, s.startsWithinLimit(r), 0
	if allowed > 0 {
		r.waiting = waiting[:allowed]
		placed = s.placeTasks(r)
		r.waiting = waiting[placed:]
	}
	if placed > 0 {
		r.blockedSince = 0
		if r.account.longestBlocked == r {
			r.account.longestBlocked = nil // what it needs counts as used now
		}
	}
	if len(r.waiting) == 0 {
		return
	}
	if placed == allowed {
		s.blockByLimit(r)
	}
	s.holdLimit(r)
}

// placeTasks claims workers for the waiting tasks of a step and returns the number of claims. A step
// that finds too little capacity reserves it if it is a gang, so that capacity that becomes free does
// not go to other steps, and asks the advisor about more workers if its queue has one.
func (s *Scheduler) placeTasks(r *readyStep) int {
	eligible := s.eligibleWorkers(r)
	var placed []*worker
	if s.startLimit(r) > 0 {
		placed = s.startable(r, s.selectWorkers(r, eligible))
	}
	if len(placed) > 0 {
		r.failures = 0
		s.releaseReservation(r.ref)
	}
	for i, w := range placed {
		s.claimTask(r, r.waiting[i], w)
	}
	s.cpuBeyondHeadroom[r.pool] -= int64(len(placed)) * r.step.Allocation().MilliCPU
	r.waiting = r.waiting[len(placed):]
	if len(r.waiting) == 0 {
		s.staleJobs[r.ref.Job] = true
		s.dropQueuedCalls(r.ref)
		return len(placed)
	}
	s.reserve(r, eligible)
	if r.job.Queue.Advisor != nil && s.expectsCapacity(r) {
		s.requestAdvice(r)
	}
	s.delayRetry(r, len(eligible) > 0)
	return len(placed)
}

// startable returns the workers of the waiting tasks of a step that may start now, of those that were selected: none
// for a gang that does not fit as a whole.
func (s *Scheduler) startable(r *readyStep, selected []*worker) []*worker {
	placed := selected[:min(len(selected), s.startLimit(r))]
	if r.step.Gang && len(placed) < len(r.waiting) {
		return nil
	}
	return placed
}

// expectsCapacity reports whether idle processors remain after the earlier steps of the pass, and
// subtracts what this step needs. It is true for every gang, since the grants of the advisor do
// not change and can be requested early; the needs of a gang are subtracted only while it has a
// reservation.
func (s *Scheduler) expectsCapacity(r *readyStep) bool {
	idle := s.idleCPU[r.pool]
	if !r.step.Gang || s.reservations[r.ref] != nil {
		s.idleCPU[r.pool] -= r.step.Allocation().MilliCPU * int64(len(r.waiting))
	}
	return r.step.Gang || idle >= r.step.Allocation().MilliCPU
}

// claimTask allocates capacity on a worker for a task and proposes the claim.
func (s *Scheduler) claimTask(r *readyStep, index uint16, w *worker) {
	ref := job.TaskRef{StepRef: r.ref, Index: index}
	run, checkpoint := s.nextRun(r, index)
	c := s.addClaim(ref, run, w, r.step, claimProposed)
	c.latenessWhenPlaced = r.latenessAt(s.wallMillis)
	if a := s.advice[r.ref]; a != nil {
		c.ticket, _ = a.ticketFor(w.info.Number, s.now)
	}
	s.proposedClaims[ref] = true
	s.propose(job.Op{Claim: &job.Claim{Task: ref, Run: run, Worker: w.info.Number, Checkpoint: checkpoint}})
	s.record(Decision{Event: "placed", Job: ref.Job, Task: ref, Run: run, Worker: w.info.Name, InputAge: s.now - w.reportedAt,
		Reason: fmt.Sprintf("%d m free", w.free().MilliCPU), ConfigVersion: s.state.Config().Version})
}

// nextRun returns the number and the checkpoint of a task's next run. The members of a gang share
// both.
func (s *Scheduler) nextRun(r *readyStep, index uint16) (uint32, string) {
	if r.state == nil {
		return 1, ""
	}
	if !r.step.Gang {
		t := &r.state.Tasks[index]
		return max(t.Run, t.SpeculativeRun) + 1, s.checkpointToResume(job.TaskRef{StepRef: r.ref, Index: index}, t.Checkpoint)
	}
	run, checkpoint, checkpointRun := uint32(0), "", uint32(0)
	for i := range r.state.Tasks {
		t := &r.state.Tasks[i]
		run = max(run, t.Run)
		if t.Checkpoint != "" && t.Run >= checkpointRun {
			checkpoint, checkpointRun = t.Checkpoint, t.Run
		}
	}
	return run + 1, checkpoint
}
