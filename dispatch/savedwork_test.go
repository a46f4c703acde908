package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against a new leader that ignores the checkpoint of a run that an earlier leader started, because it
// counts the run's work from the change of leader.
func TestCheckpointOfAdoptedRunIsUsed(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	step := newStep(1, 1000, 30_000)
	step.Checkpointing = true
	k.submitFor("a", 1, step)
	k.run(k.now + 5*time.Second)
	k.electLeader()
	k.sched.settings.RestoreTime = 600 * time.Millisecond
	k.run(k.now + 200*time.Millisecond)
	task := job.TaskRef{StepRef: job.StepRef{Job: 1}}
	claim := k.sched.claims[claimKey{task, 1}]
	c.Assert(claim.phase, qt.Equals, claimRunning)
	k.sched.recordSavedWork(claim)
	c.Assert(k.sched.checkpointToResume(task, "checkpoint"), qt.Equals, "checkpoint")
}

// Guards against the loss of the work of a run whose worker is lost, because its checkpoint is taken for that
// of an earlier run that had saved little.
func TestCheckpointOfLostRunIsUsed(t *testing.T) {
	c := qt.New(t)
	k := newLimitedCluster(false)
	step := newStep(1, 1000, 30_000)
	step.Checkpointing = true
	k.submitFor("a", 1, step)
	k.run(k.now + 5*time.Second)
	k.sched.settings.RestoreTime = 600 * time.Millisecond
	task := job.TaskRef{StepRef: job.StepRef{Job: 1}}
	k.sched.savedWork[task] = 100 * time.Millisecond
	claim := k.sched.claims[claimKey{task, 1}]
	claim.checkpoint = "newer"
	k.sched.loseClaim(claim)
	c.Assert(k.sched.checkpointToResume(task, "newer"), qt.Equals, "newer")
}
