package dispatch

import (
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// recordSavedWork estimates how much work the newest checkpoint of a task holds, when its run has
// ended with a checkpoint. A run that resumed from one first spends RestoreTime.
func (s *Scheduler) recordSavedWork(c *claim) {
	if c.step == nil || c.step.Gang || !c.step.Checkpointing || !s.ordersByCost() {
		return
	}
	if c.isStartUnknown {
		delete(s.savedWork, c.key.task)
		return
	}
	ran := s.now - c.startedAt
	if !c.hasResumed {
		s.savedWork[c.key.task] = ran
	} else if before, known := s.savedWork[c.key.task]; known {
		s.savedWork[c.key.task] = before + max(ran-s.settings.RestoreTime, 0)
	}
}

// checkpointToResume returns the checkpoint with which the next run of a task starts. A run that
// starts anew is done sooner if the checkpoint holds less work than it takes to restore it, which
// is common for tasks that are preempted soon after their start. What earlier leaders' runs have
// saved is not known, so their checkpoints are used.
func (s *Scheduler) checkpointToResume(ref job.TaskRef, checkpoint string) string {
	if saved, known := s.savedWork[ref]; known && saved < s.settings.RestoreTime && s.ordersByCost() {
		return ""
	}
	return checkpoint
}

// preemptionCost estimates how much work of a run is lost if it is preempted, in units of time: a
// run without checkpoints loses all, and one with checkpoints at most what a restore takes.
func (s *Scheduler) preemptionCost(c *claim) time.Duration {
	ran := s.now - c.startedAt
	if c.step.Checkpointing {
		return min(ran, s.settings.RestoreTime)
	}
	return ran
}
