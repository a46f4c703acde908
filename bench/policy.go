// Package bench measures the placement policy. It feeds seeded arrivals, job ends and reports
// to a policy in simulated time, in one process, and compares the project's policy with
// baselines. It does not simulate a cluster: the run times come from the workload.
package bench

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// Policy is a placement policy under test. It is used by one goroutine. See
// placement.Scheduler for the methods.
type Policy interface {
	UpsertWorker(now time.Duration, w placement.Worker)
	Admit(now time.Duration, item placement.Item) placement.Admission
	Enqueue(now time.Duration, item placement.Item)
	Cancel(key api.RequestKey) bool
	Decide(now time.Duration, max int) placement.Decision
	Release(now time.Duration, key api.RequestKey, task int)
	ReportOutcome(now time.Duration, worker, kind string, o placement.Outcome, runTime time.Duration)
	ReportUsage(now time.Duration, key api.RequestKey, used api.Resources)
}

// withoutAdmission is the project's policy, but admits every item.
type withoutAdmission struct{ *placement.Scheduler }

func (withoutAdmission) Admit(time.Duration, placement.Item) placement.Admission {
	return placement.Admission{}
}

// Policies returns a new instance of each policy for one run.
func Policies(seed uint64) []NamedPolicy {
	return []NamedPolicy{
		{"oleanderchute", newScheduler(seed)},
		{"no admission", withoutAdmission{newScheduler(seed)}},
		{"arrival order", newBaseline(seed, strategyArrivalOrder)},
		{"random fit", newBaseline(seed, strategyRandomFit)},
		{"strict priority", newBaseline(seed, strategyPriority)},
	}
}

// NamedPolicy is a policy with its name in the printed table.
type NamedPolicy struct {
	Name   string
	Policy Policy
}

func newScheduler(seed uint64) *placement.Scheduler {
	return placement.New(placement.Config{Seed: seed, LocalRegion: region})
}
