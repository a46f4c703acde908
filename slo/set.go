package slo

import "time"

// Set holds the samples of a list of objectives. It takes at most 0.6 MB of memory for
// each objective.
type Set struct {
	objectives   []Objective
	objectiveIDs []string           // texts of the objectives, in the same order
	series       map[string]*series // by the text of the objective
}

// NewSet returns an empty Set for objectives that ParseAll has returned.
func NewSet(objectives []Objective) *Set {
	s := &Set{objectives: objectives, series: map[string]*series{}}
	for _, o := range objectives {
		s.objectiveIDs = append(s.objectiveIDs, o.String())
		s.series[o.String()] = newSeries()
	}
	return s
}

// IDs returns the texts of the objectives. They never change, so callers need no lock;
// they must not modify the slice.
func (s *Set) IDs() []string { return s.objectiveIDs }

// Record adds a sample to every objective that it matches. A sample older than the
// buckets is dropped.
func (s *Set) Record(now time.Time, sample Sample) {
	for i, o := range s.objectives {
		if !o.matches(sample) {
			continue
		}
		millis := int64(-1)
		if o.hasValue() && !sample.Bad {
			millis = max(0, sample.Value.Milliseconds())
		}
		s.series[s.objectiveIDs[i]].record(now, o.isBad(sample), millis)
	}
}

// Merge adds the samples of another Set and ignores objectives that s does not have.
func (s *Set) Merge(o *Set) {
	for id, mine := range s.series {
		if other := o.series[id]; other != nil {
			mine.merge(other)
		}
	}
}

// DropAfter removes buckets that are newer than t. Otherwise, after samples were taken
// while a clock was ahead, samples taken after its correction would be dropped as too old.
func (s *Set) DropAfter(t time.Time) {
	for _, v := range s.series {
		v.dropAfter(t)
	}
}
