package dispatch

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against one job whose repetitions are all due at once: the leader built a step for each of
// them after each event of the job, and served nobody else.
func TestRepetitionsDueAtOnceDoNotStopTheLeader(t *testing.T) {
	for name, interval := range map[string]int64{"at once": 0, "backwards": -1000} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k := newCluster(1, faults{})
			k.setUp(4, false)
			k.run(2 * time.Second)
			spec := job.Spec{Steps: []job.Step{newStep(1, 1000, 200)}, Repetitions: math.MaxInt32, StartMillis: k.wallMillis(), IntervalMillis: interval}
			k.propose([]job.Op{{Submit: &job.Submit{ID: 7, Queue: "drafts", Spec: spec, AcceptedMillis: k.wallMillis()}}})
			k.run(3 * time.Second)
			c.Assert(len(k.sched.ready[7]) <= 1000, qt.IsTrue, qt.Commentf("%d steps", len(k.sched.ready[7])))
			k.submit(8, newStep(2, 1000, 200))
			k.run(6 * time.Second)
			c.Assert(k.state.Job(8).Outcome, qt.Equals, job.Completed)
			c.Assert(len(k.state.Job(7).FinishedOccurrences) > 100, qt.IsTrue)
		})
	}
}
