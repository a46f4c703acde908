package slo

import (
	"math"
	"reflect"
	"regexp"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/oleanderchute/oleanderchute/api"
)

var base = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func objectives(t interface{ Fatal(...any) }, texts ...string) []Objective {
	out, err := ParseAll(texts)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

func encode(t interface{ Fatal(...any) }, s *Set) string {
	data, err := s.Snapshot().Encode()
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

type timed struct {
	at     time.Time
	sample Sample
}

// samples draws samples over 40 days, longer than any ring holds, in any order.
var samples = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) timed {
	// Half of the samples share a few minutes, so that buckets are merged.
	span := rapid.SampledFrom([]int64{120, 40 * 24 * 3600}).Draw(t, "span")
	return timed{
		at: base.Add(time.Duration(rapid.Int64Range(0, span).Draw(t, "s")) * time.Second),
		sample: Sample{
			Indicator: rapid.SampledFrom([]Indicator{Wait, Answer, Share, Spread}).Draw(t, "indicator"),
			Class:     rapid.SampledFrom([]api.Class{api.ClassUrgent, api.ClassLow}).Draw(t, "class"),
			Value:     time.Duration(rapid.Int64Range(-5, 5_000_000).Draw(t, "ms")) * time.Millisecond,
			Bad:       rapid.Bool().Draw(t, "bad"),
		},
	}
}), 0, 60)

func recorded(t *rapid.T, list ...[]timed) *Set {
	s := NewSet(objectives(t))
	for _, part := range list {
		for _, x := range part {
			s.Record(x.at, x.sample)
		}
	}
	return s
}

// Guards against a cluster report that depends on which VM recorded a sample or on the
// order in which the VMs' data arrive.
func TestMergeEqualsRecordingInOnePlace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := samples.Draw(t, "a"), samples.Draw(t, "b"), samples.Draw(t, "c")
		want := encode(t, recorded(t, a, b, c))
		left := recorded(t, a)
		left.Merge(recorded(t, b))
		left.Merge(recorded(t, c))
		tail := recorded(t, c)
		tail.Merge(recorded(t, b))
		right := recorded(t, a)
		right.Merge(tail)
		if encode(t, left) != want || encode(t, right) != want {
			t.Fatal("merged data differ from data recorded in one place")
		}
	})
}

// Guards against samples that are lost or changed by a restart.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := recorded(t, samples.Draw(t, "samples"))
		data := encode(t, s)
		again, err := Decode(s.objectives, []byte(data))
		if err != nil {
			t.Fatal(err)
		}
		now := base.Add(40 * 24 * time.Hour)
		if encode(t, again) != data {
			t.Fatal("data differ after decoding")
		}
		if !reflect.DeepEqual(again.Report(now), s.Report(now)) {
			t.Fatal("reports differ after decoding")
		}
	})
}

// Guards against memory and files that grow with time or traffic.
func TestMemoryIsBounded(t *testing.T) {
	const perObjective = 600 << 10
	s := NewSet(objectives(t, "wait:*:*:2s:99"))
	for i := range 200_000 {
		s.Record(base.Add(time.Duration(i)*time.Minute), Sample{Indicator: Wait, Value: time.Duration(i*7919%3_600_000) * time.Millisecond})
	}
	size := 0
	for _, r := range s.series["wait:*:*:2s:99"].rings() {
		size += cap(r.cells) * int(unsafe.Sizeof(cell{}))
		for _, c := range r.cells {
			if c.hist != nil {
				size += c.hist.ByteSize()
			}
		}
	}
	qt.Check(t, size <= perObjective, qt.IsTrue, qt.Commentf("%d B", size))
	qt.Check(t, len(encode(t, s))*MaxObjectives < MaxEncodedBytes, qt.IsTrue)
	t.Logf("memory %d B, encoded %d B", size, len(encode(t, s)))
}

// Guards against a burn rate in a unit other than multiples of the budget.
func TestConstantErrorRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bad := rapid.IntRange(0, 20).Draw(t, "bad of 20")
		target := rapid.SampledFrom([]string{"50", "90", "99.9"}).Draw(t, "target")
		o := objectives(t, "answer:*:*:"+target)[0]
		s := NewSet([]Objective{o})
		now := base
		for range 3 * 24 * 4 {
			now = now.Add(15 * time.Minute)
			for i := range 20 {
				s.Record(now, Sample{Indicator: Answer, Bad: i < bad})
			}
		}
		want := float64(bad) / 20 / (1 - o.Target/100)
		got := s.Report(now).Objectives[0]
		for _, b := range got.BurnRates {
			if math.Abs(b.Rate-want) > 1e-9 {
				t.Fatalf("burn over %s is %v, want %v", b.Window, b.Rate, want)
			}
		}
		if math.Abs(got.BudgetLeft-(1-want)) > 1e-9 {
			t.Fatalf("budget left %v, want %v", got.BudgetLeft, 1-want)
		}
	})
}

// Guards against alerts for a cause that has gone, for a single bad sample, or none for
// a loss that uses up the budget.
func TestAlertRules(t *testing.T) {
	const never = 100 * 24 * time.Hour
	for _, test := range []struct {
		about     string
		badSince  time.Duration // before now
		badUntil  time.Duration // before now
		badEvery  int           // one sample in so many is bad
		goodSince time.Duration
		step      time.Duration
		want      []string
	}{
		{"no failure", 0, never, 1, 72 * time.Hour, time.Minute, nil},
		{"outage now", time.Hour, -time.Hour, 1, 72 * time.Hour, time.Minute, []string{"fast", "slow"}},
		{"outage that ended 10 min ago", time.Hour, 10 * time.Minute, 1, 3 * time.Hour, time.Minute, []string{"slow"}},
		{"outage that ended 7 h ago", 9 * time.Hour, 7 * time.Hour, 1, 72 * time.Hour, time.Minute, nil},
		{"twice the budget for days", 72 * time.Hour, -time.Hour, 50, 72 * time.Hour, time.Minute, []string{"slow"}},
		{"half the budget for days", 72 * time.Hour, -time.Hour, 200, 72 * time.Hour, time.Minute, nil},
		{"two bad samples in a quiet hour", 10 * time.Minute, -time.Hour, 1, time.Hour, 5 * time.Minute, nil},
	} {
		t.Run(test.about, func(t *testing.T) {
			s := NewSet(objectives(t, "answer:*:*:99"))
			n := 0
			for ago := test.goodSince; ago > 0; ago -= test.step {
				n++
				bad := ago <= test.badSince && ago > test.badUntil && n%test.badEvery == 0
				s.Record(base.Add(-ago), Sample{Indicator: Answer, Bad: bad})
			}
			var got []string
			for _, a := range s.Report(base).Objectives[0].Alerts {
				got = append(got, a.Pair)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against objectives that count the wrong samples.
func TestObjectiveSelectsSamples(t *testing.T) {
	wait := Sample{Indicator: Wait, Kind: "drafting", Class: api.ClassUrgent, Value: 2 * time.Second}
	for _, test := range []struct {
		objective string
		sample    Sample
		good, bad uint64
	}{
		{"wait:drafting:urgent:2s:99", wait, 1, 0},
		{"wait:drafting:urgent:1999ms:99", wait, 0, 1},
		{"wait:*:*:2s:99", wait, 1, 0},
		{"wait:drafting:low:2s:99", wait, 0, 0},
		{"wait:timing:urgent:2s:99", wait, 0, 0},
		{"wait:*:*:2s:99", Sample{Indicator: Wait, Bad: true}, 0, 1},
		{"answer:drafting:*:99", Sample{Indicator: Answer, Kind: "drafting", Bad: true}, 0, 1},
		{"share:docs:99", Sample{Indicator: Share, Team: "docs"}, 1, 0},
		{"share:docs:99", Sample{Indicator: Share, Team: "maps"}, 0, 0},
		{"spread:13s:99", Sample{Indicator: Spread, Value: 14 * time.Second}, 0, 1},
		{"spread:13s:99", wait, 0, 0},
	} {
		s := NewSet(objectives(t, test.objective))
		s.Record(base, test.sample)
		got := s.Report(base).Objectives[0]
		qt.Check(t, [2]uint64{got.Good, got.Bad}, qt.Equals, [2]uint64{test.good, test.bad}, qt.Commentf("%+v", test))
	}
}

// Guards against a setting that is accepted with another meaning than was typed.
func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		"latency:a:b:99":              "use wait, answer, share or spread",
		"wait:drafting:urgent:99":     "use wait:KIND:CLASS:DURATION:PERCENT",
		"wait::urgent:2s:99":          `"" is no KIND`,
		"wait:drafting:urgnt:2s:99":   `"urgnt" is no CLASS`,
		"wait:drafting:urgent:2:99":   `"2" is no DURATION`,
		"wait:drafting:urgent:2h:99":  `"2h" is no DURATION`,
		"answer:*:*:100":              `"100" is no PERCENT`,
		"share:docs:0":                `"0" is no PERCENT`,
		"spread:13s:NaN":              `"NaN" is no PERCENT`,
		"wait:drafting:urgent:2s:99%": `"99%" is no PERCENT`,
	} {
		_, err := Parse(text)
		qt.Check(t, err, qt.ErrorMatches, ".*"+regexp.QuoteMeta(want)+".*", qt.Commentf("%s", text))
	}
	_, err := ParseAll([]string{"spread:13s:99", "spread:13000ms:99.0"})
	qt.Check(t, err, qt.ErrorMatches, ".*given twice.*")
	for _, text := range Defaults() {
		o, err := Parse(text)
		qt.Assert(t, err, qt.IsNil)
		again, err := Parse(o.String())
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, again, qt.Equals, o)
	}
}

// Guards against samples that are refused after a clock that was ahead is corrected.
func TestDropAfter(t *testing.T) {
	s := NewSet(objectives(t, "spread:13s:99"))
	s.Record(base, Sample{Indicator: Spread})
	s.Record(base.Add(3*time.Hour), Sample{Indicator: Spread})
	s.Record(base.AddDate(1, 0, 0), Sample{Indicator: Spread})
	s.DropAfter(base.Add(time.Minute))
	s.Record(base, Sample{Indicator: Spread})
	qt.Assert(t, s.Report(base).Objectives[0].Good, qt.Equals, uint64(2))
}
