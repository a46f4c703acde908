package placement

import (
	"math"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

const (
	// never is later than any time.
	never = time.Duration(math.MaxInt64)
	// defaultRunTime is assumed for a kind without a declared or learned run time.
	defaultRunTime = 10 * time.Second
	// maxLearnedRatio is the largest factor by which a learned run time may differ from
	// the declared one. Declared run times may be wrong by a factor of ten; reports
	// beyond that are treated as faulty.
	maxLearnedRatio = 10
	// minReportWeight is the weight of a new report in the learned average once there
	// are many reports; see reportWeight.
	minReportWeight = 0.1
	// minReports is how many reports an average needs before it is used.
	minReports = 3
	// maxKinds bounds the kinds for which a pool keeps statistics. Further kinds use
	// their declared run times.
	maxKinds = 4096
)

// kindTable holds the statistics of each kind of work in a pool.
type kindTable struct {
	kinds map[string]*kindStats
}

// kindStats holds what has been learned about one kind of work from the workers' reports.
// Learned run times serve to estimate waits and the ends of tasks. Allocations do not
// depend on them: if they are wrong, waits are misestimated and backfill delays an item
// with a reservation by at most the bounded duration of that reservation, but no worker gets
// more work than its capacity. Sizes are not learned: in measurements with declared sizes
// wrong by up to ten times, preferring workers that fit the learned size did not reduce
// overuse.
type kindStats struct {
	runTime           float64 // average of successful runs, in nanoseconds
	runs              int
	tasksByDomain     map[domain]int // running service tasks, by topology domain
	workersSucceeding int            // workers whose last outcome of the kind is a success
	workersFailing    int            // workers whose last outcome of the kind is a failure
}

// statsOf returns the statistics of the kind and creates them if there are none. Beyond
// maxKinds it returns statistics that are not kept.
func (t *kindTable) statsOf(kind string) *kindStats {
	if k := t.kinds[kind]; k != nil {
		return k
	}
	if len(t.kinds) >= maxKinds {
		return &kindStats{tasksByDomain: map[domain]int{}}
	}
	k := &kindStats{tasksByDomain: map[domain]int{}}
	t.kinds[kind] = k
	return k
}

// runTime returns the expected run time of the item: the learned one, limited to within a
// factor of maxLearnedRatio of the declared one. Before minReports reports it is the
// declared one or defaultRunTime.
func (t *kindTable) runTime(item *Item) time.Duration {
	declared := item.RunTime
	k := t.kinds[item.Kind]
	if k == nil || k.runs < minReports {
		if declared > 0 {
			return declared
		}
		return defaultRunTime
	}
	learned := time.Duration(k.runTime)
	if declared <= 0 || declared > never/maxLearnedRatio {
		return learned
	}
	return min(max(learned, declared/maxLearnedRatio), declared*maxLearnedRatio)
}

// expectedEnd returns when the item is expected to end if it starts now. It is never for
// a service without a declared or learned run time, which runs until it is stopped.
func (t *kindTable) expectedEnd(now time.Duration, item *Item) time.Duration {
	if item.Workload == api.WorkloadService && item.RunTime <= 0 {
		if k := t.kinds[item.Kind]; k == nil || k.runs < minReports {
			return never
		}
	}
	run := t.runTime(item)
	if run > never-now {
		return never
	}
	return now + run
}

// learnRunTime adds the run time of a successful run to the average.
func (k *kindStats) learnRunTime(run time.Duration) {
	if run <= 0 {
		return
	}
	k.runs++
	k.runTime += (float64(run) - k.runTime) * reportWeight(k.runs)
}

// reportWeight returns the weight of the newest of the given number of reports. The first
// reports are averaged evenly; after that older reports decay.
func reportWeight(reports int) float64 { return max(minReportWeight, 1/float64(reports)) }
