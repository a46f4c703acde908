// Package bench measures the placement core. It feeds seeded lists of arrivals, ends
// and reports to a policy in given time, in one process, and compares the project's
// policy with baselines. It simulates no cluster: durations come from the list.
package bench

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// Policy is what the driver feeds. One goroutine owns it.
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

// withoutAdmission is the project's policy with every item admitted.
type withoutAdmission struct{ *placement.Scheduler }

func (withoutAdmission) Admit(time.Duration, placement.Item) placement.Admission {
	return placement.Admission{}
}

// Policies returns a new instance of each policy, by name, for one run.
func Policies(seed uint64) []NamedPolicy {
	return []NamedPolicy{
		{"oleanderchute", newScheduler(seed)},
		{"no admission", withoutAdmission{newScheduler(seed)}},
		{"arrival order", newBaseline(seed, strategyArrivalOrder)},
		{"random fit", newBaseline(seed, strategyRandomFit)},
		{"strict priority", newBaseline(seed, strategyPriority)},
	}
}

// NamedPolicy is a policy with its name in the table.
type NamedPolicy struct {
	Name   string
	Policy Policy
}

func newScheduler(seed uint64) *placement.Scheduler {
	return placement.New(placement.Config{Seed: seed, LocalRegion: region})
}
