package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against urgent jobs that wait because runs of less urgent jobs fill every worker, and
// against headroom that stays idle although no queue is more urgent than another.
func TestHeadroomIsKeptForTopPriorityWork(t *testing.T) {
	for name, priorities := range map[string][2]int{"urgent": {0, 2}, "equal": {1, 1}} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			k := newCluster(1, faults{})
			k.setUp(10, false)
			k.state.Apply(job.Op{Config: &job.Config{Version: 2, Pools: []job.Pool{{Name: "desk"}}, Queues: []job.Queue{
				{Name: "drafts", Host: "h", Prefix: "/d/", Pool: "desk", MaxAttempts: 4, Priority: priorities[0], TargetMillis: 1000},
				{Name: "batches", Host: "h", Prefix: "/b/", Pool: "desk", MaxAttempts: 4, Priority: priorities[1], TargetMillis: 1000},
			}}})
			k.run(2 * time.Second)
			k.submit(1, newStep(40, 1000, 60_000)) // half of the pool
			k.run(3 * time.Second)
			batches := job.Submit{ID: 2, Queue: "batches", Spec: job.Spec{Steps: []job.Step{newStep(200, 1000, 60_000)}}, AcceptedMillis: k.wallMillis()}
			k.propose([]job.Op{{Submit: &batches}})
			k.run(5 * time.Second)
			free := int64(0)
			for _, w := range k.sched.workers {
				free += w.free().MilliCPU
			}
			want := int64(0)
			if name == "urgent" {
				want = 12_000
			}
			c.Assert(free, qt.Equals, want)
		})
	}
}
