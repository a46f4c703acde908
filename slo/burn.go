package slo

import "time"

// window is a span of whole buckets that ends with the bucket of the current time. Since
// that bucket is incomplete, the window covers up to one bucket less than its name says.
type window struct {
	name      string
	usesHours bool // made of hour buckets instead of minute buckets
	buckets   int64
}

var (
	fiveMinutes = window{name: "5m", buckets: 5}
	oneHour     = window{name: "1h", buckets: 60}
	sixHours    = window{name: "6h", buckets: 360}
	threeDays   = window{name: "3d", usesHours: true, buckets: 72}
)

var windows = []window{fiveMinutes, oneHour, sixHours, threeDays}

// alertRule raises an alert when the burn rates of both windows exceed the threshold. The
// long window shows that a large part of the budget is used up, the short one that the
// cause is still present.
type alertRule struct {
	name        string
	short, long window
	threshold   float64
}

var alertRules = []alertRule{
	// A rate of 14.4 over 1 h uses 2% of the 30-day budget (14.4 h / 720 h) and would use
	// all of it in 50 h, so an operator has to act immediately.
	{name: "fast", short: fiveMinutes, long: oneHour, threshold: 14.4},
	// A rate of 1 over 3 d uses 10% of the budget (72 h / 720 h). At a higher rate the
	// budget is used up before the end of its period.
	{name: "slow", short: sixHours, long: threeDays, threshold: 1},
}

// minBadSamples is the number of bad samples in the long window below which no alert is
// raised. In an hour with few samples, a single bad one exceeds every threshold.
const minBadSamples = 3

// burnRate returns the share of bad samples as a multiple of the budget, or 0 without
// samples.
func (o Objective) burnRate(good, bad uint64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / o.budget()
}

// windowCounts returns the number of samples in the window that ends now.
func (s *series) windowCounts(now time.Time, w window) (good, bad uint64) {
	r := &s.minutes
	if w.usesHours {
		r = &s.hours
	}
	last := r.indexOf(now)
	return r.sum(last-w.buckets+1, last)
}

// windowBurnRate returns the burn rate over the window that ends now, and the number of
// its bad samples.
func (s *series) windowBurnRate(o Objective, now time.Time, w window) (rate float64, bad uint64) {
	good, bad := s.windowCounts(now, w)
	return o.burnRate(good, bad), bad
}

// fires reports whether the rule raises an alert now.
func (r alertRule) fires(s *series, o Objective, now time.Time) bool {
	short, _ := s.windowBurnRate(o, now, r.short)
	long, bad := s.windowBurnRate(o, now, r.long)
	return short > r.threshold && long > r.threshold && bad >= minBadSamples
}

// budgetLeft returns the share of the budget that the given samples leave unused. It is
// negative if the budget is exceeded.
func (o Objective) budgetLeft(good, bad uint64) float64 { return 1 - o.burnRate(good, bad) }
