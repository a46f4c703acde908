package slo

import (
	"fmt"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Report computes budgets, burn rates and alerts at the given time. The caller fills in
// the VMs.
func (s *Set) Report(now time.Time) api.SLOReport {
	out := api.SLOReport{UnixMillis: now.UnixMilli(), Objectives: []api.SLOObjective{}}
	for i, o := range s.objectives {
		out.Objectives = append(out.Objectives, s.series[s.ids[i]].report(o, now))
	}
	return out
}

func (s *series) report(o Objective, now time.Time) api.SLOObjective {
	out := api.SLOObjective{Objective: o.String(), Indicator: string(o.Indicator), TargetPercent: o.Target}
	last := s.hours.indexOf(now)
	out.Good, out.Bad = s.hours.sum(last-hourBuckets+1, last)
	out.BudgetLeft = o.budgetLeft(out.Good, out.Bad)
	for _, w := range windows {
		good, bad := s.counts(now, w)
		out.BurnRates = append(out.BurnRates, api.SLOBurnRate{Window: w.name, Rate: o.rate(good, bad), Good: good, Bad: bad})
	}
	for _, p := range pairs {
		if p.fires(s, o, now) {
			out.Alerts = append(out.Alerts, p.alert(s, o, now))
		}
	}
	if o.hasValue() {
		out.Distribution = s.waits()
	}
	out.Recent = s.minutes.points(o, now, 5)
	out.Long = s.hours.points(o, now, 6)
	return out
}

func (p pair) alert(s *series, o Objective, now time.Time) api.SLOAlert {
	short, _ := s.burn(o, now, p.short)
	long, _ := s.burn(o, now, p.long)
	return api.SLOAlert{Pair: p.name, Threshold: p.threshold, Message: fmt.Sprintf(
		"burn rate %.1f over %s and %.1f over %s exceed %.1f; at the rate over %s the budget of 30 days lasts %.0f h",
		short, p.short.name, long, p.long.name, p.threshold, p.long.name, BudgetPeriod.Hours()/long)}
}

// points returns the burn rate of each step of so many buckets, over the whole ring.
func (r *ring) points(o Objective, now time.Time, step int64) []api.SLOPoint {
	var out []api.SLOPoint
	last := r.indexOf(now)
	for first := last - int64(len(r.cells)) + 1; first <= last; first += step {
		good, bad := r.sum(first, first+step-1)
		out = append(out, api.SLOPoint{UnixMillis: first * r.step.Milliseconds(), Rate: o.rate(good, bad), Samples: good + bad})
	}
	return out
}

// waits returns the distribution of the values, in bars that double in width.
func (s *series) waits() *api.SLODistribution {
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
