package dispatch

import (
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// startRetry is the pause after a first start or stop without an answer; the same order is
	// sent again. It doubles up to startRetryMax: a worker that is gone refuses connections at once.
	startRetry    = 50 * time.Millisecond
	startRetryMax = 800 * time.Millisecond
	// stopRetry is how long a stop may go without the end being listed before it is sent
	// again, besides the worker's own time to stop.
	stopRetry = 300 * time.Millisecond
	// gangBreakAfter is how long the other members of a gang may run on after one ended.
	gangBreakAfter = time.Second
)

// claimKey names one run of a task.
type claimKey struct {
	task job.TaskRef
	run  uint32
}

// claimPhase is how far a claim has come.
type claimPhase uint8

const (
	claimProposed claimPhase = iota // not committed
	claimSent                       // the start was sent and not answered
	claimAdopted                    // made by an earlier leader; its worker has not said
	claimRunning                    // the worker confirmed the start
	claimStopping                   // a stop was sent
	claimStopped                    // the stop was answered; the end is to be listed
)

// String returns the phase as it stands in logs.
func (p claimPhase) String() string {
	return [...]string{"proposed", "sent", "adopted", "running", "stopping", "stopped"}[p]
}

// claim is a run of a task that takes room on a worker.
type claim struct {
	key    claimKey
	worker *worker
	step   *job.Step // nil if the job is not known
	phase  claimPhase
	saved  string
	ticket string
	// confirmedAt is when the worker last confirmed the start or the stop.
	confirmedAt time.Duration
	// retryAt is when an unanswered start or stop is sent again; 0 while one is under way.
	retryAt time.Duration
	retries int // orders without an answer
	// uncertain is set once a start had no answer, or was sent by an earlier leader: a copy
	// of it may still be on its way.
	uncertain bool
	// listed is set once the worker's list, which names its life, showed the run. The
	// answer to a start does not tell which life gave it.
	listed    bool
	startedAt time.Duration
	share     share // in whose use its processors count
}

// knownBefore reports whether the worker confirmed the run or its stop before the time at
// which a list was asked for, so that the list must show it or its end.
func (c *claim) knownBefore(sent time.Duration) bool {
	switch c.phase {
	case claimAdopted:
		return true // the fence of the list's order keeps older starts out
	case claimRunning, claimStopped:
		return c.confirmedAt <= sent
	}
	return false
}

// isEnding reports whether the run was told to stop.
func (c *claim) isEnding() bool { return c.phase == claimStopping || c.phase == claimStopped }

// reserved is the room that the claim takes.
func (c *claim) reserved() job.Resources {
	if c.step == nil {
		return job.Resources{}
	}
	return c.step.Allocation()
}

// mayStart reports whether a copy of the start may reach, or have reached, a later life of
// the worker.
func (c *claim) mayStart() bool { return c.uncertain || !c.listed }

func (s *Scheduler) addClaim(ref job.TaskRef, run uint32, w *worker, step *job.Step, phase claimPhase) *claim {
	c := &claim{key: claimKey{ref, run}, worker: w, step: step, phase: phase, startedAt: s.now, uncertain: phase == claimAdopted}
	s.claims[c.key] = c
	w.claims[c.key] = c
	if step != nil {
		c.share = s.shareOf(ref.Job, w.life.Pool)
		s.inUse[c.share] += step.Allocation().MilliCPU
		w.used = w.used.Plus(step.Allocation())
		if step.BestEffortCPU {
			w.fillCPU += step.TaskResources.MilliCPU
		}
	}
	return c
}

func (s *Scheduler) removeClaim(c *claim) {
	delete(s.claims, c.key)
	delete(c.worker.claims, c.key)
	if c.step != nil {
		s.inUse[c.share] -= c.reserved().MilliCPU
		c.worker.used = c.worker.used.Minus(c.step.Allocation())
		if c.step.BestEffortCPU {
			c.worker.fillCPU -= c.step.TaskResources.MilliCPU
		}
	}
	s.dirty = true
}

// addStray reserves room for a run that a worker lists and nobody claims any more, and
// stops it.
func (s *Scheduler) addStray(w *worker, key claimKey) *claim {
	var step *job.Step
	if j := s.state.Job(key.task.Job); j != nil && int(key.task.Step) < len(j.Spec.Steps) {
		step = &j.Spec.Steps[key.task.Step]
	}
	s.record(Decision{Event: "unclaimed run found", Job: key.task.Job, Task: key.task, Run: key.run, Worker: w.life.Name})
	c := s.addClaim(key.task, key.run, w, step, claimRunning)
	s.stop(c, "not claimed")
	return c
}

// claimApplied sends the start of a claim that is committed.
func (s *Scheduler) claimApplied(op *job.Claim) {
	delete(s.proposed, op.Task)
	s.touched[op.Task.Job] = true
	c := s.claims[claimKey{op.Task, op.Run}]
	if c == nil || c.phase != claimProposed {
		return
	}
	if !s.holdsClaim(c) {
		s.removeClaim(c) // the job ended meanwhile, and the state did not take the claim
		return
	}
	if c.worker.over || c.worker.leaving || s.workers[c.worker.life.Number] != c.worker {
		s.proposeEnd(op.Task, op.Run, job.EndNotStarted, op.Checkpoint)
		s.removeClaim(c)
		return
	}
	c.saved = op.Checkpoint
	s.start(c)
}

// holdsClaim reports whether the state has the claim.
func (s *Scheduler) holdsClaim(c *claim) bool {
	j := s.openJob(c.key.task.Job)
	if j == nil {
		return false
	}
	_, _, t := j.Task(c.key.task)
	return t != nil && t.Phase == job.Claimed && (t.Run == c.key.run || t.SpeculativeRun == c.key.run)
}

func (s *Scheduler) start(c *claim) {
	j := s.openJob(c.key.task.Job)
	if j == nil {
		s.giveUp(c, "job ended before its start was sent")
		return
	}
	c.phase, c.retryAt = claimSent, 0
	s.actions = append(s.actions, Start{Order: s.order(c.worker), Task: c.key.task, Run: c.key.run,
		Payload: j.Spec.Payload, Checkpoint: c.saved, Ticket: c.ticket})
}

// Started takes the reply to a start. clock is the worker's, 0 if it did not say.
func (s *Scheduler) Started(now time.Duration, ref job.TaskRef, run uint32, reply Reply, clock int64) {
	s.observe(now)
	c := s.claims[claimKey{ref, run}]
	if c == nil || !s.leading {
		return
	}
	w := c.worker
	s.noteClock(w, clock)
	if reply != Accepted {
		s.record(Decision{Event: "start refused", Job: ref.Job, Task: ref, Run: run, Worker: w.life.Name, Reason: reply.String(), InputAge: s.now - c.startedAt})
	}
	if c.phase != claimSent {
		return // the lists or a stop went first
	}
	switch reply {
	case Accepted:
		c.phase, c.confirmedAt = claimRunning, s.now
		s.begun[ref.Job] = true
	case RefusedStaleLeader:
		s.deposed(w)
	case OtherIncarnation:
		s.lifeOver(w, "another life has its address")
	case RefusedRunEnded:
		c.phase, c.confirmedAt = claimStopped, s.now // its end is or was listed
	case RefusedLeaseExpired:
		c.retryAt = s.now + startRetry
	case NoReply:
		c.uncertain = true
		c.retryAt = s.now + c.nextPause()
		w.health.noteSilence(s.now)
	case Unhealthy:
		w.health.noteUnhealthy(s.now)
		s.giveUp(c, reply.String())
	default:
		if reply == RefusedTicket {
			s.dropTicket(c)
		}
		s.giveUp(c, reply.String())
	}
}

// giveUp returns a task whose start was refused. A start without an answer may still come
// into force, so the run is stopped first.
func (s *Scheduler) giveUp(c *claim, reason string) {
	if c.uncertain {
		s.stop(c, reason)
		return
	}
	s.proposeEnd(c.key.task, c.key.run, job.EndNotStarted, c.saved)
	s.removeClaim(c)
}

// stop orders a run to end. A claim that is not committed is dropped when it is.
func (s *Scheduler) stop(c *claim, reason string) {
	if c.phase == claimProposed || c.phase == claimStopped {
		return
	}
	if c.phase != claimStopping {
		s.record(Decision{Event: "stop", Job: c.key.task.Job, Task: c.key.task, Run: c.key.run, Worker: c.worker.life.Name, Reason: reason})
	}
	c.phase, c.retryAt = claimStopping, 0
	s.actions = append(s.actions, Stop{Order: s.order(c.worker), Task: c.key.task, Run: c.key.run})
}

// Stopped takes the reply to a stop.
func (s *Scheduler) Stopped(now time.Duration, ref job.TaskRef, run uint32, reply Reply, clock int64) {
	s.observe(now)
	c := s.claims[claimKey{ref, run}]
	if c == nil || !s.leading {
		return
	}
	s.noteClock(c.worker, clock)
	switch reply {
	case Accepted:
		c.phase, c.confirmedAt = claimStopped, s.now+s.settings.StopTimeout
		c.retryAt = s.now + s.settings.StopTimeout + stopRetry
	case RefusedRunEnded:
		c.phase, c.confirmedAt = claimStopped, s.now
	case RefusedStaleLeader:
		s.deposed(c.worker)
	case OtherIncarnation:
		s.lifeOver(c.worker, "another life has its address")
	default:
		c.retryAt = s.now + c.nextPause()
	}
}

// nextPause is the pause after one more order without an answer.
func (c *claim) nextPause() time.Duration {
	pause := min(startRetry<<min(c.retries, 4), startRetryMax)
	c.retries++
	return pause
}

// stopJob stops all runs of a job.
func (s *Scheduler) stopJob(id job.ID, reason string) {
	for key, c := range s.claims {
		if key.task.Job == id && c.phase != claimStopping {
			s.stop(c, reason)
		}
	}
	s.dropAdvice(id)
}

// endApplied follows an end that is committed: runs of a job that is over, or copies of a
// task that is done, are stopped.
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
	delete(s.avoid, op.Task)
	for key, c := range s.claims {
		if key.task == op.Task && key.run != op.Run && c.phase != claimStopping {
			s.stop(c, "task is done")
		}
	}
	if j.Outcome != job.Open {
		s.dropAdvice(j.ID)
	}
}

// tickClaims repeats orders without an answer.
func (s *Scheduler) tickClaims() {
	for _, c := range s.claims {
		if c.retryAt != 0 && s.now >= c.retryAt && !c.worker.over {
			switch c.phase {
			case claimSent:
				s.start(c)
			case claimStopping, claimStopped:
				s.stop(c, "repeated")
			}
		}
		if c.phase == claimRunning && s.gangBroken(c) {
			s.stop(c, "another member of the gang ended")
		}
	}
}

// gangBroken reports whether another member of a gang's run ended some time ago.
func (s *Scheduler) gangBroken(c *claim) bool {
	if c.step == nil || !c.step.Gang || s.now-c.startedAt < gangBreakAfter {
		return false
	}
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
