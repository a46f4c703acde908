package standin

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/api"
)

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

func event(t int64, kind EventKind, key string) Event {
	return Event{UnixNanos: t, Kind: kind, Key: key, Attempt: 1, Running: 1}
}

// Guards against a broken guarantee that the judge does not see, and against a false
// alarm where runs only follow each other.
func TestCheckJournals(t *testing.T) {
	over, slots := event(1, EventStart, "k"), event(1, EventStart, "k")
	over.InUse = api.Resources{MilliCPU: 11}
	slots.Running = 2
	paused := event(90, EventStop, "k")
	paused.LeaseEndNanos = 20
	once := map[api.RequestKey]bool{{Caller: "c", Key: "once"}: true}
	for _, tc := range []struct {
		name string
		a, b []Event
		want []ViolationKind
	}{
		{"one after the other", []Event{event(1, EventStart, "k"), event(5, EventEnd, "k")}, []Event{event(5, EventStart, "k")}, nil},
		{"both at once", []Event{event(1, EventStart, "k"), event(5, EventEnd, "k")}, []Event{event(4, EventStart, "k")}, []ViolationKind{ViolationOverlap}},
		{"within a longer run", []Event{event(1, EventStart, "k"), event(50, EventEnd, "k")}, []Event{event(3, EventStart, "k"), event(4, EventEnd, "k"), event(6, EventStart, "k"), event(7, EventEnd, "k")}, []ViolationKind{ViolationOverlap, ViolationOverlap}},
		{"same attempt twice", []Event{event(1, EventStart, "k"), event(2, EventStart, "k")}, nil, []ViolationKind{ViolationOverlap}},
		{"killed before", []Event{event(1, EventStart, "k"), event(3, EventHeartbeat, "")}, []Event{event(4, EventStart, "k")}, nil},
		{"killed after", []Event{event(1, EventStart, "k"), event(5, EventHeartbeat, "")}, []Event{event(4, EventStart, "k")}, []ViolationKind{ViolationOverlap}},
		{"paused past its lease", []Event{event(1, EventStart, "k"), paused}, []Event{event(21, EventStart, "k")}, nil},
		{"paused within its lease", []Event{event(1, EventStart, "k"), paused}, []Event{event(19, EventStart, "k")}, []ViolationKind{ViolationOverlap}},
		{"started twice", []Event{event(1, EventStart, "once"), event(2, EventStop, "once")}, []Event{event(9, EventStart, "once")}, []ViolationKind{ViolationRepeatedStart}},
		{"too much", []Event{over}, nil, []ViolationKind{ViolationCapacity}},
		{"too many", []Event{slots}, nil, []ViolationKind{ViolationSlots}},
		{"too many connections", []Event{event(1, EventConnections, "")}, nil, []ViolationKind{ViolationConnections}},
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
