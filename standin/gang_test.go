package standin

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a worker that mistakes tasks of one gang for copies of each other, also
// after a restart with journal replay.
func TestGangTasksAreIndependent(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(c.TempDir(), "journal")
	w, err := Start(Config{Worker: "w", Journal: path})
	c.Assert(err, qt.IsNil)
	defer w.Close()
	inc := w.current()
	var ids []api.TaskID
	for i := range 3 {
		d := newDispatch(inc, "k", `{"run_ms":3600000}`)
		if i == 1 {
			d.Body = []byte(`{"run_ms":0,"answer_index":true}`)
		}
		d.Task.Index = i
		ids = append(ids, d.Task)
		if i == 2 {
			r, err := inc.revoke(api.TaskCommand{Task: d.Task, Epoch: 1})
			c.Assert(err, qt.IsNil)
			c.Assert(r.State, qt.Equals, api.DispatchRefused)
			continue
		}
		r, err := inc.dispatch(d)
		c.Assert(err, qt.IsNil)
		c.Assert(r.State, qt.Equals, api.DispatchStarted)
	}
	c.Assert(string(awaitEnd(c, inc, 1, ids[1]).Answer), qt.Equals, "1")
	r, err := inc.sync(newSyncRequest(inc, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Running, qt.DeepEquals, ids[:1])

	c.Assert(w.Restart(true), qt.IsNil)
	inc = w.current()
	for i, want := range []string{api.DispatchStarted, api.DispatchStarted, api.DispatchRefused} {
		r, err := inc.revoke(api.TaskCommand{Task: ids[i], Epoch: 1})
		c.Assert(err, qt.IsNil)
		c.Assert(r.State, qt.Equals, want)
	}
}

// Guards against CheckJournals reporting the tasks of one gang as an overlap, or missing
// an overlap between two runs of the same task.
func TestCheckJournalsOfGangs(t *testing.T) {
	withIndex := func(e Event, index, attempt int) Event {
		e.Index, e.Attempt = index, attempt
		return e
	}
	once := map[api.RequestKey]bool{{Caller: "c", Key: "once"}: true}
	for _, tc := range []struct {
		name string
		a, b []Event
		want []ViolationKind
	}{
		{"different tasks concurrently", []Event{withIndex(event(1, EventStart, "once"), 0, 1), event(5, EventEnd, "once")}, []Event{withIndex(event(2, EventStart, "once"), 1, 1)}, nil},
		{"same task concurrently", []Event{withIndex(event(1, EventStart, "k"), 1, 1), withIndex(event(5, EventEnd, "k"), 1, 1)}, []Event{withIndex(event(2, EventStart, "k"), 1, 2)}, []ViolationKind{ViolationOverlap}},
		{"same task started twice", []Event{withIndex(event(1, EventStart, "once"), 1, 1), withIndex(event(2, EventEnd, "once"), 1, 1)}, []Event{withIndex(event(3, EventStart, "once"), 1, 2)}, []ViolationKind{ViolationRepeatedStart}},
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
