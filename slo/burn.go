package slo

import "time"

// window is a span of whole buckets that ends with the bucket of the present time. It
// therefore covers up to one bucket less than its name says.
type window struct {
	name      string
	usesHours bool // counted in hour buckets instead of minute buckets
	buckets   int64
}

var (
	fiveMinutes = window{name: "5m", buckets: 5}
	oneHour     = window{name: "1h", buckets: 60}
	sixHours    = window{name: "6h", buckets: 360}
	threeDays   = window{name: "3d", usesHours: true, buckets: 72}
)

var windows = []window{fiveMinutes, oneHour, sixHours, threeDays}

// pair alerts when the burn rates of both windows exceed the threshold. The long window
// shows that much budget is gone, the short one that the cause is still present.
type alertRule struct {
	name        string
	short, long window
	threshold   float64
}

var alertRules = []alertRule{
	// 14.4 over 1 h uses 2% of the budget of 30 days (14.4 h / 720 h) and all of it in
	// 50 h, so an operator has to act at once.
	{name: "fast", short: fiveMinutes, long: oneHour, threshold: 14.4},
	// 1 over 3 d uses 10% of the budget (72 h / 720 h): at a higher rate the budget does
	// not last for its period.
	{name: "slow", short: sixHours, long: threeDays, threshold: 1},
}

// minBad is the number of bad samples in the long window below which no alert is raised.
// In a quiet hour, one bad sample alone exceeds every threshold.
const minBadSamples = 3

// rate returns the share of bad samples as a multiple of the budget; 0 without samples.
func (o Objective) burnRate(good, bad uint64) float64 {
	if good+bad == 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / o.budget()
}

// counts returns the samples of the window that ends now.
func (s *series) windowCounts(now time.Time, w window) (good, bad uint64) {
	r := &s.minutes
	if w.usesHours {
		r = &s.hours
	}
	last := r.indexOf(now)
	return r.sum(last-w.buckets+1, last)
}

// burn returns the burn rate over the window that ends now, and its bad samples.
func (s *series) windowBurnRate(o Objective, now time.Time, w window) (rate float64, bad uint64) {
	good, bad := s.windowCounts(now, w)
	return o.burnRate(good, bad), bad
}

// fires reports whether the pair raises an alert now.
func (p alertRule) fires(s *series, o Objective, now time.Time) bool {
	short, _ := s.windowBurnRate(o, now, p.short)
	long, bad := s.windowBurnRate(o, now, p.long)
	return short > p.threshold && long > p.threshold && bad >= minBadSamples
}

// budgetLeft returns the unused share of the budget that the given samples allow.
func (o Objective) budgetLeft(good, bad uint64) float64 { return 1 - o.burnRate(good, bad) }
