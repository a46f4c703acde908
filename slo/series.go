package slo

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The time buckets of one objective. Minutes serve the windows up to 6 h, hours the
// longer windows and the budget. A histogram takes 16 KiB, so only the days have one:
// together at most 0.6 MB for an objective with values and 40 KB for one without.
const (
	minuteBuckets = 360
	hourBuckets   = 720
	dayBuckets    = 30
)

// BudgetPeriod is the time over which the error budget is counted.
const BudgetPeriod = hourBuckets * time.Hour

// Histograms hold milliseconds up to maxValue with two significant figures; longer
// values count as maxValue.
const (
	maxValue           = time.Hour
	significantFigures = 2
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxValue.Milliseconds(), significantFigures)
}

// series holds the samples of one objective.
type series struct {
	minutes, hours, days ring
}

func newSeries() *series {
	return &series{
		minutes: newRing(time.Minute, minuteBuckets),
		hours:   newRing(time.Hour, hourBuckets),
		days:    newRing(24*time.Hour, dayBuckets),
	}
}

func (s *series) rings() []*ring { return []*ring{&s.minutes, &s.hours, &s.days} }

// record adds one sample. millis is recorded unless it is negative.
func (s *series) record(now time.Time, bad bool, millis int64) {
	for _, r := range s.rings() {
		b := r.bucketForSample(r.indexOf(now))
		if b == nil {
			continue
		}
		if bad {
			b.bad = addSaturating(b.bad, 1)
		} else {
			b.good = addSaturating(b.good, 1)
		}
		if r == &s.days && millis >= 0 {
			b.recordValue(millis)
		}
	}
}

func (b *bucket) recordValue(millis int64) {
	if b.hist == nil {
		b.hist = newHistogram()
	}
	// A value within the histogram's range is never refused.
	_ = b.hist.RecordValue(min(millis, maxValue.Milliseconds()))
}

func (s *series) merge(o *series) {
	for i, r := range s.rings() {
		r.merge(o.rings()[i])
	}
}

func (s *series) dropAfter(t time.Time) {
	for _, r := range s.rings() {
		r.dropAfter(t)
	}
}

// histogram returns the values of all days.
func (s *series) histogram() *hdrhistogram.Histogram {
	out := newHistogram()
	for _, c := range s.days.nonEmptyBuckets() {
		if c.hist != nil {
			out.Merge(c.hist)
		}
	}
	return out
}
