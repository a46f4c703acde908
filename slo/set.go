package slo

import "time"

// Set holds the samples of a list of objectives. Its memory is bounded by the number of
// objectives: at most 0.6 MB each.
type Set struct {
	objectives   []Objective
	objectiveIDs []string           // texts of objectives, in their order
	series       map[string]*series // by the objective's text
}

// NewSet returns an empty Set for objectives from ParseAll.
func NewSet(objectives []Objective) *Set {
	s := &Set{objectives: objectives, series: map[string]*series{}}
	for _, o := range objectives {
		s.objectiveIDs = append(s.objectiveIDs, o.String())
		s.series[o.String()] = newSeries()
	}
	return s
}

// IDs returns the texts of the objectives. They never change, so no lock is needed; the
// caller must not change the slice.
func (s *Set) IDs() []string { return s.objectiveIDs }

// Record adds a sample to every objective that it counts for. A sample older than the
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

// Merge adds the samples of another Set; objectives that s does not have are ignored.
func (s *Set) Merge(o *Set) {
	for id, mine := range s.series {
		if other := o.series[id]; other != nil {
			mine.merge(other)
		}
	}
}

// DropAfter removes buckets that are newer than t. Without it, samples taken while a
// clock was ahead would push out those taken after its correction.
func (s *Set) DropAfter(t time.Time) {
	for _, v := range s.series {
		v.dropAfter(t)
	}
}
