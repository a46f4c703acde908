package standin

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/api"
)

// writeJournal writes a journal with a boot event, the events and a torn last line, and
// returns its path.
func writeJournal(c *qt.C, worker string, events ...Event) string {
	path := filepath.Join(c.TempDir(), worker)
	var data []byte
	for _, e := range append([]Event{{Kind: EventBoot, Capacity: &api.Resources{MilliCPU: 10}, Slots: 1}}, events...) {
		e.Worker, e.Caller = worker, "c"
		line, err := json.Marshal(e)
		c.Assert(err, qt.IsNil)
		data = append(append(data, line...), '\n')
	}
	c.Assert(os.WriteFile(path, append(data, `{"t":1,"torn`...), 0o600), qt.IsNil)
	return path
}

// event returns an event of the first attempt of a task with one task running. t is its
// time in nanoseconds.
func event(t int64, kind EventKind, key string) Event {
	return Event{UnixNanos: t, Kind: kind, Key: key, Attempt: 1, Running: 1}
}

// Guards against a violation that CheckJournals does not report, and against a false one
// for runs that only follow each other.
func TestCheckJournals(t *testing.T) {
	overCapacity, overSlots := event(1, EventStart, "k"), event(1, EventStart, "k")
	overCapacity.InUse = api.Resources{MilliCPU: 11}
	overSlots.Running = 2
	paused := event(90, EventStop, "k")
	paused.LeaseEndNanos = 20
	once := map[api.RequestKey]bool{{Caller: "c", Key: "once"}: true}
	for _, tc := range []struct {
		name string
		a, b []Event
		want []ViolationKind
	}{
		{"one after the other", []Event{event(1, EventStart, "k"), event(5, EventEnd, "k")}, []Event{event(5, EventStart, "k")}, nil},
		{"overlapping", []Event{event(1, EventStart, "k"), event(5, EventEnd, "k")}, []Event{event(4, EventStart, "k")}, []ViolationKind{ViolationOverlap}},
		{"within a longer run", []Event{event(1, EventStart, "k"), event(50, EventEnd, "k")}, []Event{event(3, EventStart, "k"), event(4, EventEnd, "k"), event(6, EventStart, "k"), event(7, EventEnd, "k")}, []ViolationKind{ViolationOverlap, ViolationOverlap}},
		{"same attempt twice", []Event{event(1, EventStart, "k"), event(2, EventStart, "k")}, nil, []ViolationKind{ViolationOverlap}},
		{"killed before", []Event{event(1, EventStart, "k"), event(3, EventHeartbeat, "")}, []Event{event(4, EventStart, "k")}, nil},
		{"killed after", []Event{event(1, EventStart, "k"), event(5, EventHeartbeat, "")}, []Event{event(4, EventStart, "k")}, []ViolationKind{ViolationOverlap}},
		{"paused past its lease", []Event{event(1, EventStart, "k"), paused}, []Event{event(21, EventStart, "k")}, nil},
		{"paused within its lease", []Event{event(1, EventStart, "k"), paused}, []Event{event(19, EventStart, "k")}, []ViolationKind{ViolationOverlap}},
		{"started twice", []Event{event(1, EventStart, "once"), event(2, EventStop, "once")}, []Event{event(9, EventStart, "once")}, []ViolationKind{ViolationRepeatedStart}},
		{"capacity exceeded", []Event{overCapacity}, nil, []ViolationKind{ViolationCapacity}},
		{"slots exceeded", []Event{overSlots}, nil, []ViolationKind{ViolationSlots}},
		{"connections exceeded", []Event{event(1, EventConnections, "")}, nil, []ViolationKind{ViolationConnections}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			got, err := CheckJournals(once, writeJournal(c, "a", tc.a...), writeJournal(c, "b", tc.b...))
			c.Assert(err, qt.IsNil)
			var kinds []ViolationKind
			for _, v := range got {
				kinds = append(kinds, v.Kind)
			}
			c.Assert(kinds, qt.DeepEquals, tc.want)
		})
	}
}
