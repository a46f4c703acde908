package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against a worker that is suspected to fail everything and gets several runs in one
// pass, each of which costs a job one of its attempts.
func TestQuarantinedWorkerGetsOneRunAtATime(t *testing.T) {
	for name, steps := range map[string][]job.Step{
		"one step": {step(3, 500, 1000)},
		"jobs":     {step(1, 500, 1000), step(1, 500, 1000), step(1, 500, 1000)},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k := newCluster(1, faults{})
			k.setUp(1, false)
			k.run(2 * time.Second)
			w := k.sched.workers[1]
			w.health.distrust = distrustFor
			for i, s := range steps {
				k.submit(job.ID(i+1), s)
			}
			k.run(k.now + 300*time.Millisecond)
			c.Assert(w.claims, qt.HasLen, 1)
		})
	}
}
