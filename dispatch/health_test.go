package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against placing several runs on a quarantined worker in one pass, each of which may cost
// a job one of its attempts.
func TestQuarantinedWorkerGetsOneRunAtATime(t *testing.T) {
	for name, steps := range map[string][]job.Step{
		"one step": {newStep(3, 500, 1000)},
		"jobs":     {newStep(1, 500, 1000), newStep(1, 500, 1000), newStep(1, 500, 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k := newCluster(1, faults{})
			k.setUp(1, false)
			k.run(2 * time.Second)
			w := k.sched.workers[1]
			w.health.quarantine = quarantineMin
			for i, s := range steps {
				k.submit(job.ID(i+1), s)
			}
			k.run(k.now + 300*time.Millisecond)
			c.Assert(w.claims, qt.HasLen, 1)
		})
	}
}

// Guards against a gang that waits forever because each worker that may run it is quarantined and
// would get one of its members at a time, which is no run of the gang.
func TestGangIsPlacedOnQuarantinedWorker(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(1, false)
	k.run(2 * time.Second)
	k.sched.workers[1].health.quarantine = quarantineMin
	gang := newStep(3, 500, 1000)
	gang.Gang = true
	k.submit(1, gang)
	k.submit(2, gang)
	k.run(k.now + 300*time.Millisecond)
	c.Assert(k.sched.workers[1].claims, qt.HasLen, gang.Count) // of one gang
	k.run(k.now + 20*time.Second)
	c.Assert(k.openJobCount(), qt.Equals, 0)
}
