package dispatch

import (
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// orderRetryMin is the delay before an unanswered start or stop is first sent again. It
	// doubles with each retry up to orderRetryMax, since a worker that is gone refuses
	// connections immediately and would otherwise be retried every few milliseconds.
	orderRetryMin = 50 * time.Millisecond
	orderRetryMax = 800 * time.Millisecond
	// stopRetryMargin is added to the worker's stop timeout: if the end of a stopped run is not
	// reported by then, the stop is sent again.
	stopRetryMargin = 300 * time.Millisecond
	// gangEndGrace is the least age of a gang member's run at which it is stopped because
	// another member has ended.
	gangEndGrace = time.Second
)

// claimKey identifies one run of a task.
type claimKey struct {
	task job.TaskRef
	run  uint32
}

// claimPhase is the state of a claim.
type claimPhase uint8

const (
	claimProposed claimPhase = iota // the claim is not committed
	claimSent                       // the start was sent and is not confirmed
	claimAdopted                    // made by an earlier leader, and the worker has not reported since
	claimRunning                    // the worker confirmed the start
	claimStopping                   // a stop was sent
	claimStopped                    // the stop was confirmed, and the end is not reported yet
)

// String returns the phase as it appears in logs.
func (p claimPhase) String() string {
	return [...]string{"proposed", "sent", "adopted", "running", "stopping", "stopped"}[p]
}

// claim is a run of a task that takes capacity of a worker.
type claim struct {
	key        claimKey
	worker     *worker
	origin     *worker   // the incarnation that the log names, if the claim was moved to its successor
	step       *job.Step // nil if the job is not known
	phase      claimPhase
	checkpoint string // newest known checkpoint, empty if there is none
	ticket     string // of the advisor, empty if the queue has none
	// confirmedAt is when the worker last confirmed the start or the stop.
	confirmedAt time.Duration
	// retryAt is when an unanswered start or stop is sent again; 0 while one is in flight.
	retryAt time.Duration
	retries int // number of orders without a reply
	// startMayArrive is set once a start got no reply, or if an earlier leader sent one: a
	// copy of the order may still be in flight.
	startMayArrive bool
	hasResumed     bool // the newest start carried a checkpoint
	// isStartUnknown is set if the run may have started before the claim was added, so that startedAt and
	// hasResumed say nothing about it.
	isStartUnknown bool
	// isListed is set once a report of the worker, which names its incarnation, has listed the
	// run. The reply to a start does not name the incarnation that sent it.
	isListed bool
	// isAdopted is set if an earlier leader made the claim. learnedAt is then when this replica learned of it.
	isAdopted bool
	learnedAt time.Duration
	// isUnclaimed is set if the log does not have the claim: a worker reported the run.
	isUnclaimed bool
	startedAt   time.Duration // when the claim was added
	// latenessWhenPlaced is the lateness of its step when the claim was made; inTime if an earlier
	// leader made it.
	latenessWhenPlaced lateness
	poolPriority       poolPriority  // pool and priority under which its processors count in allocatedCPU
	account            *accountUsage // under which its allocation counts, nil if step is nil
}

// mustBeInReport reports whether a report that was requested at a time must list the run or its
// end, because the worker had confirmed the run or its stop by then.
func (c *claim) mustBeInReport(requestedAt time.Duration) bool {
	switch c.phase {
	case claimAdopted:
		return true // the fencing token of the renewal makes the worker refuse older starts
	case claimRunning, claimStopped:
		return c.confirmedAt <= requestedAt
	}
	return false
}

// isEnding reports whether the run was told to stop.
func (c *claim) isEnding() bool { return c.phase == claimStopping || c.phase == claimStopped }

// allocation returns the capacity that the claim takes.
func (c *claim) allocation() job.Resources {
	if c.step == nil {
		return job.Resources{}
	}
	return c.step.Allocation()
}

// mayStartInSuccessor reports whether a copy of the start may reach, or may have reached, a
// later incarnation of the worker.
func (c *claim) mayStartInSuccessor() bool { return c.startMayArrive || !c.isListed }

// addClaim adds a claim and allocates its capacity on the worker. step is nil if the job is not
// known.
func (s *Scheduler) addClaim(ref job.TaskRef, run uint32, w *worker, step *job.Step, phase claimPhase) *claim {
	c := &claim{key: claimKey{ref, run}, worker: w, step: step, phase: phase, startedAt: s.now, startMayArrive: phase == claimAdopted}
	s.claims[c.key] = c
	w.claims[c.key] = c
	if s.claimsByJob[ref.Job] == nil {
		s.claimsByJob[ref.Job] = map[claimKey]*claim{}
	}
	s.claimsByJob[ref.Job][c.key] = c
	if step != nil {
		c.poolPriority = s.poolPriorityOf(ref.Job, w.info.Pool)
		s.allocatedCPU[c.poolPriority] += step.Allocation().MilliCPU
		s.addUsage(c)
		w.allocated = w.allocated.Plus(step.Allocation())
		if step.BestEffortCPU {
			w.bestEffortCPU += step.TaskResources.MilliCPU
		}
	}
	return c
}

// removeClaim removes a claim and releases its capacity.
func (s *Scheduler) removeClaim(c *claim) {
	delete(s.claims, c.key)
	delete(c.worker.claims, c.key)
	ofJob := s.claimsByJob[c.key.task.Job]
	if delete(ofJob, c.key); len(ofJob) == 0 {
		delete(s.claimsByJob, c.key.task.Job)
	}
	if c.origin != nil {
		c.origin.movedClaims--
	}
	if c.isUnclaimed {
		s.unclaimedRuns--
		s.staleJobs[c.key.task.Job] = true // the task may be placed again
	}
	if c.step != nil {
		s.allocatedCPU[c.poolPriority] -= c.allocation().MilliCPU
		s.removeUsage(c)
		c.worker.allocated = c.worker.allocated.Minus(c.step.Allocation())
		if c.step.BestEffortCPU {
			c.worker.bestEffortCPU -= c.step.TaskResources.MilliCPU
		}
	}
	s.needsPass = true
}

// addUnclaimedRun allocates capacity for a run that a worker reports without a claim for it,
// and stops the run.
func (s *Scheduler) addUnclaimedRun(w *worker, key claimKey) *claim {
	var step *job.Step
	if j := s.state.Job(key.task.Job); j != nil && int(key.task.Step) < len(j.Spec.Steps) {
		step = &j.Spec.Steps[key.task.Step]
	}
	s.record(Decision{Event: "unclaimed run found", Job: key.task.Job, Task: key.task, Run: key.run, Worker: w.info.Name})
	c := s.addClaim(key.task, key.run, w, step, claimRunning)
	c.isStartUnknown, c.isUnclaimed = true, true
	s.unclaimedRuns++
	s.staleJobs[key.task.Job] = true
	s.sendStop(c, "not claimed")
	return c
}

// claimApplied sends the start of a claim that has been committed.
func (s *Scheduler) claimApplied(op *job.Claim) {
	delete(s.proposedClaims, op.Task)
	s.staleJobs[op.Task.Job] = true
	c := s.claims[claimKey{op.Task, op.Run}]
	if c == nil || c.phase != claimProposed {
		return
	}
	if !s.isInState(c) {
		s.removeClaim(c) // the job ended before the claim was applied, so the state ignored it
		return
	}
	if c.worker.isOver || c.worker.isLeaving || s.workers[c.worker.info.Number] != c.worker || c.worker.hasSuccessor || s.hasUnclaimedRun(op.Task) {
		s.proposeEnd(op.Task, op.Run, job.EndNotStarted, op.Checkpoint)
		s.removeClaim(c)
		return
	}
	c.checkpoint = op.Checkpoint
	s.sendStart(c)
}

// isInState reports whether the replicated state contains the claim.
func (s *Scheduler) isInState(c *claim) bool {
	j := s.openJob(c.key.task.Job)
	if j == nil {
		return false
	}
	_, _, t := j.Task(c.key.task)
	return t != nil && t.Phase == job.Claimed && (t.Run == c.key.run || t.SpeculativeRun == c.key.run)
}

// sendStart sends the start of a committed claim, or withdraws the claim if its job has ended.
func (s *Scheduler) sendStart(c *claim) {
	j := s.openJob(c.key.task.Job)
	if j == nil {
		s.withdrawClaim(c, "job ended before its start was sent")
		return
	}
	c.phase, c.retryAt, c.hasResumed = claimSent, 0, c.checkpoint != ""
	s.actions = append(s.actions, Start{Order: s.newLeaseOrder(c.worker), Task: c.key.task, Run: c.key.run,
		Payload: j.Spec.Payload, Checkpoint: c.checkpoint, Ticket: c.ticket})
}

// Started handles the reply to a Start. A claim that was moved to another incarnation since is left as it is.
func (s *Scheduler) Started(now time.Duration, o Start, reply Reply) {
	s.advanceClock(now)
	ref, run := o.Task, o.Run
	c := s.claims[claimKey{ref, run}]
	if c == nil || !s.leading || c.worker.info.Number != o.Worker.Number {
		return
	}
	w := c.worker
	if reply != Accepted {
		s.record(Decision{Event: "start refused", Job: ref.Job, Task: ref, Run: run, Worker: w.info.Name, Reason: reply.String(), InputAge: s.now - c.startedAt})
	}
	if c.phase != claimSent {
		return // a report was handled or a stop was sent before
	}
	switch reply {
	case Accepted:
		c.phase, c.confirmedAt = claimRunning, s.now
		s.startedJobs[ref.Job] = true
	case RefusedStaleLeader:
		c.retryAt = s.now + orderRetryMin
		s.fenced(o.Order, w)
	case OtherIncarnation:
		s.endIncarnation(w, "another life has its address")
	case RefusedRunEnded:
		c.phase, c.confirmedAt = claimStopped, s.now // its end is in this or an earlier report
	case RefusedLeaseExpired:
		c.retryAt = s.now + orderRetryMin
	case NoReply:
		c.startMayArrive = true
		c.retryAt = s.now + c.nextRetryDelay()
		w.health.recordNoReply(s.now)
	case Unhealthy:
		w.health.recordUnhealthy(s.now)
		s.withdrawClaim(c, reply.String())
	default:
		if reply == RefusedTicket {
			s.dropTicket(c)
		}
		s.withdrawClaim(c, reply.String())
	}
}

// withdrawClaim ends a claim whose start was refused, so that the task can be placed again. If
// a copy of the start may still arrive, the run is stopped first.
func (s *Scheduler) withdrawClaim(c *claim, reason string) {
	if c.startMayArrive {
		s.sendStop(c, reason)
		return
	}
	s.proposeEnd(c.key.task, c.key.run, job.EndNotStarted, c.checkpoint)
	s.removeClaim(c)
}

// loseClaims proposes to end all committed claims on a worker as lost, and releases them.
func (s *Scheduler) loseClaims(w *worker) {
	for _, c := range w.claims {
		if c.phase != claimProposed {
			s.loseClaim(c)
		}
	}
}

// loseClaim proposes to end a claim as lost, and releases it.
func (s *Scheduler) loseClaim(c *claim) {
	if c.checkpoint != "" {
		delete(s.savedWork, c.key.task) // when the run ended is not known
	}
	s.proposeEnd(c.key.task, c.key.run, job.EndLost, c.checkpoint)
	s.removeClaim(c)
}

// sendStop orders a worker to stop a run. It does nothing for a claim that is not committed:
// claimApplied removes the claim if its job has ended by the time it is applied.
func (s *Scheduler) sendStop(c *claim, reason string) {
	if c.phase == claimProposed || c.phase == claimStopped {
		return
	}
	if c.phase != claimStopping {
		s.record(Decision{Event: "stop", Job: c.key.task.Job, Task: c.key.task, Run: c.key.run, Worker: c.worker.info.Name, Reason: reason})
	}
	c.phase, c.retryAt = claimStopping, 0
	s.actions = append(s.actions, Stop{Order: s.newOrder(c.worker), Task: c.key.task, Run: c.key.run})
}

// Stopped handles the reply to a Stop. A claim that was moved to another incarnation since is left as it is.
func (s *Scheduler) Stopped(now time.Duration, o Stop, reply Reply) {
	s.advanceClock(now)
	c := s.claims[claimKey{o.Task, o.Run}]
	if c == nil || !s.leading || c.worker.info.Number != o.Worker.Number {
		return
	}
	switch reply {
	case Accepted:
		c.phase, c.confirmedAt = claimStopped, s.now+s.settings.StopTimeout
		c.retryAt = s.now + s.settings.StopTimeout + stopRetryMargin
	case RefusedRunEnded:
		c.phase, c.confirmedAt = claimStopped, s.now
	case RefusedStaleLeader:
		c.retryAt = s.now + orderRetryMin
		s.fenced(o.Order, c.worker)
	case OtherIncarnation:
		s.endIncarnation(c.worker, "another life has its address")
	default:
		c.retryAt = s.now + c.nextRetryDelay()
	}
}

// nextRetryDelay counts an order without a reply and returns the delay before it is repeated.
func (c *claim) nextRetryDelay() time.Duration {
	delay := min(orderRetryMin<<min(c.retries, 4), orderRetryMax)
	c.retries++
	return delay
}

// stopJob stops all runs of a job.
func (s *Scheduler) stopJob(id job.ID, reason string) {
	for _, c := range s.claimsByJob[id] {
		if c.phase != claimStopping {
			s.sendStop(c, reason)
		}
	}
	s.dropAdvice(id)
}

// endApplied handles an end that has been committed. It stops all runs of a job that has failed
// and the other runs of a task that is done.
func (s *Scheduler) endApplied(op *job.End) {
	j := s.state.Job(op.Task.Job)
	if j == nil {
		return
	}
	if j.Outcome == job.Failed {
		s.stopJob(j.ID, "job failed")
		return
	}
	if op.Kind != job.EndDone {
		return
	}
	delete(s.lastFailedOn, op.Task)
	s.learnFromStep(j, op.Task.StepRef)
	for key, c := range s.claimsByJob[op.Task.Job] {
		if key.task == op.Task && key.run != op.Run && c.phase != claimStopping {
			s.sendStop(c, "task is done")
		}
	}
	if j.Outcome != job.Open {
		s.dropAdvice(j.ID)
	}
}

// scanClaims repeats unanswered orders and stops the members of gangs that have lost one.
func (s *Scheduler) scanClaims() {
	brokenGangs := map[gangRun]bool{} // the runs of gangs that were checked
	for _, c := range s.claims {
		if c.retryAt != 0 && s.now >= c.retryAt && !c.worker.isOver && !c.worker.hasSuccessor {
			switch c.phase {
			case claimSent:
				// A worker that answers no renewals may have restarted. It would run the task
				// longer than until the end of the lease that the leader waits for.
				if c.worker.failedRenewals == 0 {
					s.sendStart(c)
				}
			case claimStopping, claimStopped:
				s.sendStop(c, "repeated")
			}
		}
		if c.phase != claimRunning || c.step == nil || !c.step.Gang || s.now-c.startedAt < gangEndGrace {
			continue
		}
		gang := gangRun{c.key.task.StepRef, c.key.run}
		isBroken, checked := brokenGangs[gang]
		if !checked {
			isBroken = s.isGangBroken(c)
			brokenGangs[gang] = isBroken
		}
		if isBroken {
			s.sendStop(c, "another member of the gang ended")
		}
	}
}

// gangRun identifies one run of a gang.
type gangRun struct {
	step job.StepRef
	run  uint32
}

// isGangBroken reports whether a member of the same run of a claim's gang has ended.
func (s *Scheduler) isGangBroken(c *claim) bool {
	j := s.openJob(c.key.task.Job)
	if j == nil {
		return false
	}
	_, ss, _ := j.Task(c.key.task)
	if ss == nil {
		return false
	}
	for i := range ss.Tasks {
		if t := &ss.Tasks[i]; t.Run == c.key.run && t.Phase == job.Waiting {
			return true
		}
	}
	return false
}
