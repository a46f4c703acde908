package slo

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Numbers of time buckets of one objective. The minutes are used for windows up to 6 h,
// the hours for longer windows and the budget. A histogram takes 16 KiB, so only the days
// have one. In total, an objective with values takes at most 0.6 MB and one without
// values 40 KB.
const (
	minuteBuckets = 360
	hourBuckets   = 720
	dayBuckets    = 30
)

// BudgetPeriod is the period of the error budget.
const BudgetPeriod = hourBuckets * time.Hour

// Histograms hold milliseconds up to maxValue with two significant figures; larger
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

// record adds one sample. The value millis, in milliseconds, is recorded unless it is
// negative.
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

// recordValue adds a value in milliseconds to the histogram.
func (b *bucket) recordValue(millis int64) {
	if b.hist == nil {
		b.hist = newHistogram()
	}
	// RecordValue returns no error for a value within the range of the histogram.
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

// histogram returns a histogram of the values of all days.
func (s *series) histogram() *hdrhistogram.Histogram {
	out := newHistogram()
	for _, b := range s.days.nonEmptyBuckets() {
		if b.hist != nil {
			out.Merge(b.hist)
		}
	}
	return out
}
