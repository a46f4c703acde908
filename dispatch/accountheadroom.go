package dispatch

import "math"

const (
	// maxAccountHeadroom limits the room below the limit of an account that is kept for its urgent work,
	// as a fraction of the limit.
	maxAccountHeadroom = 0.2
	// urgentPeakHalfLife is the time in seconds in which the remembered peak of an account's urgent work
	// halves. Urgent jobs of a small account are seconds apart.
	urgentPeakHalfLife = 8.0
)

// updateUrgentPeak follows the greatest use by the account's urgent runs. Without room for them below the
// limit, urgent jobs wait for runs of less urgent jobs of the same account, which last for seconds.
func (a *accountUsage) updateUrgentPeak(nowSeconds float64) {
	decay := math.Pow(0.5, (nowSeconds-a.peakAtSeconds)/urgentPeakHalfLife)
	a.peakAtSeconds = nowSeconds
	for d := range a.urgentPeak {
		a.urgentPeak[d] = max(a.urgentPeak[d]*decay, float64(a.urgentUsed[d]))
	}
}

// limitFor returns the limit of an account for a step: less urgent work leaves room for as much urgent work
// as there was lately. A gang that would not fit into what is left at all may use it.
func (s *Scheduler) limitFor(r *readyStep) amounts {
	a, limit := r.account, r.account.limit
	if s.isUrgent(r.job.Queue.Priority, r.pool) {
		return limit
	}
	each, n := amountsOf(r.step.Allocation()), r.tasksStartedTogether()
	for d, bound := range a.limit {
		if bound <= 0 || n*each[d] > bound-int64(maxAccountHeadroom*float64(bound)) {
			continue
		}
		headroom := int64(min(a.urgentPeak[d], maxAccountHeadroom*float64(bound))) - a.urgentUsed[d]
		limit[d] -= max(headroom, 0)
	}
	return limit
}

// isUrgent reports whether a priority is the most urgent one of a pool.
func (s *Scheduler) isUrgent(priority int, pool string) bool { return priority <= s.topPriority[pool] }
