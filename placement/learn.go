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
	// learnBound is how far a learned figure may be from the declared one. Declared
	// figures may be wrong by ten times; beyond that a report is taken as a fault.
	learnBound = 10
	// learnWeight is the weight of a new report in the learned average.
	learnWeight = 0.1
	// minReports is how many reports an average needs before it is used.
	minReports = 3
	// maxKinds bounds the kinds that a pool learns. Kinds beyond it use their
	// declared figures.
	maxKinds = 4096
)

// kindTable holds what a pool has learned of each kind.
type kindTable struct {
	kinds map[string]*kindStats
}

// kindStats is what is learned of one kind of work from the workers' reports. Learned
// run times estimate waits and the ends of tasks. No account depends on them, so when
// they are wrong, waits are estimated wrongly and backfill delays a hold by at most its
// bounded length, but no worker is given more than it holds. Sizes are not learned:
// measured with sizes wrong by up to ten times, preferring workers with room for the
// learned size did not lower overuse.
type kindStats struct {
	runTime  float64 // average of successful runs in nanoseconds
	runs     int
	places   map[place]int // running tasks, for services
	succeeds int           // workers whose last report of the kind is a success
	fails    int           // workers whose last report of the kind is a failure
}

func (t *kindTable) of(kind string) *kindStats {
	if k := t.kinds[kind]; k != nil {
		return k
	}
	if len(t.kinds) >= maxKinds {
		return &kindStats{places: map[place]int{}}
	}
	k := &kindStats{places: map[place]int{}}
	t.kinds[kind] = k
	return k
}

// runTime is the expected run time of the item: learned, at most learnBound from the
// declared one.
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
	if declared <= 0 || declared > never/learnBound {
		return learned
	}
	return min(max(learned, declared/learnBound), declared*learnBound)
}

// expectedEnd is when the item ends if it starts now. A service runs until it is
// stopped.
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

func (k *kindStats) learnRunTime(run time.Duration) {
	if run <= 0 {
		return
	}
	k.runs++
	k.runTime += (float64(run) - k.runTime) * weightOf(k.runs)
}

// weightOf averages the first reports evenly and then decays older ones.
func weightOf(reports int) float64 { return max(learnWeight, 1/float64(reports)) }
