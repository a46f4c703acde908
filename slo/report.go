package slo

import (
	"fmt"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Report computes the budgets, burn rates and alerts at the given time. The caller sets
// the fields about VMs.
func (s *Set) Report(now time.Time) api.SLOReport {
	out := api.SLOReport{UnixMillis: now.UnixMilli(), Objectives: []api.SLOObjective{}}
	for i, o := range s.objectives {
		out.Objectives = append(out.Objectives, s.series[s.objectiveIDs[i]].report(o, now))
	}
	return out
}

// report computes the part of the report for one objective.
func (s *series) report(o Objective, now time.Time) api.SLOObjective {
	out := api.SLOObjective{Objective: o.String(), Indicator: string(o.Indicator), TargetPercent: o.Target}
	last := s.hours.indexOf(now)
	out.Good, out.Bad = s.hours.sum(last-hourBuckets+1, last)
	out.BudgetLeft = o.budgetLeft(out.Good, out.Bad)
	for _, w := range windows {
		good, bad := s.windowCounts(now, w)
		out.BurnRates = append(out.BurnRates, api.SLOBurnRate{Window: w.name, Rate: o.burnRate(good, bad), Good: good, Bad: bad})
	}
	for _, rule := range alertRules {
		if rule.fires(s, o, now) {
			out.Alerts = append(out.Alerts, rule.alert(s, o, now))
		}
	}
	if o.hasValue() {
		out.Distribution = s.valueDistribution()
	}
	out.Recent = s.minutes.burnRatePoints(o, now, 5)
	out.Long = s.hours.burnRatePoints(o, now, 6)
	return out
}

// alert describes the alert that a firing rule raises.
func (r alertRule) alert(s *series, o Objective, now time.Time) api.SLOAlert {
	short, _ := s.windowBurnRate(o, now, r.short)
	long, _ := s.windowBurnRate(o, now, r.long)
	return api.SLOAlert{Pair: r.name, Threshold: r.threshold, Message: fmt.Sprintf(
		"burn rate %.1f over %s and %.1f over %s exceed %.1f; at the rate over %s the budget of 30 days lasts %.0f h",
		short, r.short.name, long, r.long.name, r.threshold, r.long.name, BudgetPeriod.Hours()/long)}
}

// burnRatePoints returns the burn rates of consecutive groups of bucketsPerPoint buckets
// that cover the whole ring.
func (r *ring) burnRatePoints(o Objective, now time.Time, bucketsPerPoint int64) []api.SLOPoint {
	var out []api.SLOPoint
	last := r.indexOf(now)
	for first := last - int64(len(r.buckets)) + 1; first <= last; first += bucketsPerPoint {
		good, bad := r.sum(first, first+bucketsPerPoint-1)
		out = append(out, api.SLOPoint{UnixMillis: first * r.bucketWidth.Milliseconds(), Rate: o.burnRate(good, bad), Samples: good + bad})
	}
	return out
}

// valueDistribution returns percentiles and the distribution of the values, in bars whose
// upper bounds in milliseconds are powers of two.
func (s *series) valueDistribution() *api.SLODistribution {
	h := s.histogram()
	out := &api.SLODistribution{P50: h.ValueAtPercentile(50), P99: h.ValueAtPercentile(99), P999: h.ValueAtPercentile(99.9), Max: h.Max(), Buckets: []api.SLOBucket{}}
	if h.TotalCount() == 0 {
		return out
	}
	upTo := int64(1)
	bar := api.SLOBucket{UpperBoundMillis: upTo}
	for _, b := range h.Distribution() {
		for b.From > upTo {
			out.Buckets = append(out.Buckets, bar)
			upTo *= 2
			bar = api.SLOBucket{UpperBoundMillis: upTo}
		}
		bar.Count += b.Count
	}
	out.Buckets = append(out.Buckets, bar)
	return out
}
