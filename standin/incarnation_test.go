package standin

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a worker that takes a command of one partition as one of another, which owns it
// since its restart: the epochs of two partitions are unrelated, so the command would fence the
// owner, or make the sender give up its partition.
func TestCommandDoesNotFenceAnotherPartition(t *testing.T) {
	for name, call := range map[string]func(*incarnation, api.TaskCommand) (api.DispatchResponse, error){
		"revoke": (*incarnation).revoke, "stop": (*incarnation).stop,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := startWorker(c, nil)
			former := w.current()
			d := newDispatch(former, "k", longRunBody)
			d.Partition, d.Epoch = "north", 9
			_, err := former.dispatch(d)
			c.Assert(err, qt.IsNil)
			c.Assert(w.Restart(false), qt.IsNil)

			inc := w.current()
			owner := newSyncRequest(inc, 5)
			owner.Partition = "south"
			command := api.TaskCommand{Task: d.Task, Partition: "north", Epoch: 9}
			_, err = inc.sync(owner)
			c.Assert(err, qt.IsNil)
			response, err := call(inc, command)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StaleEpoch, qt.Equals, uint64(0))
			report, err := inc.sync(owner)
			c.Assert(err, qt.IsNil)
			c.Assert(report.StaleEpoch, qt.Equals, uint64(0))

			owner.Epoch = 20
			_, err = inc.sync(owner)
			c.Assert(err, qt.IsNil)
			response, err = call(inc, command)
			c.Assert(err, qt.IsNil)
			c.Assert(response.StaleEpoch, qt.Equals, uint64(0))
		})
	}
}

// Guards against an order for a former incarnation that has an effect in the next one, which has
// its name and address: a start, a longer lease, a forgotten end, a stop or a refusal.
func TestOrdersOfFormerIncarnationHaveNoEffect(t *testing.T) {
	for name, replay := range map[string]bool{"with journal replay": true, "without": false} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			w := startWorker(c, func(cfg *Config) { cfg.Slots = 9 })
			former := w.current()
			ran, late := newDispatch(former, "ran", longRunBody), newDispatch(former, "late", longRunBody)
			_, err := former.dispatch(ran)
			c.Assert(err, qt.IsNil)
			c.Assert(w.Restart(replay), qt.IsNil)

			inc := w.current()
			// The tasks of the next incarnation include one with the ID of a task of the former one, as
			// the epochs of two partitions may be equal.
			for _, key := range []string{"running", "ended", "same"} {
				d := newDispatch(inc, key, longRunBody)
				d.LeaseMillis = 60_000
				if key == "ended" {
					d.Body = []byte(`{"run_ms":0}`)
				}
				r, err := inc.dispatch(d)
				c.Assert(err, qt.IsNil)
				c.Assert(r.State, qt.Equals, api.DispatchStarted)
			}
			awaitEnd(c, inc, 1, taskID("ended", 1))
			leaseEnd, known := inc.leaseEnd, len(inc.tasks)

			for _, token := range []int64{1, inc.token() + 1_000_000} { // the former clock was behind or ahead
				request := newSyncRequest(former, 1, ran.Task)
				request.EchoToken = token
				report, err := post[api.SyncResponse](w, "/v1/sync", request)
				c.Assert(err, qt.IsNil)
				c.Assert(report.Incarnation, qt.Equals, inc.id)
				c.Assert(inc.leaseEnd, qt.Equals, leaseEnd)
				c.Assert(report.Running, qt.DeepEquals, []api.TaskID{taskID("running", 1), taskID("same", 1)})
				c.Assert(report.Ended, qt.HasLen, 1)
				c.Assert(report.Ended[0].Task, qt.Equals, taskID("ended", 1))
			}
			for path, key := range map[string]string{"/v1/stop": "same", "/v1/revoke": "new"} {
				for _, id := range []api.TaskID{ran.Task, taskID(key, 1)} {
					r, err := post[api.DispatchResponse](w, path, api.TaskCommand{Task: id, Partition: "n", Epoch: 1, Incarnation: former.id})
					c.Assert(err, qt.IsNil)
					c.Assert(r.Incarnation, qt.Equals, inc.id)
					if id == ran.Task {
						c.Assert(r.State, qt.Not(qt.Equals), api.DispatchRefused, qt.Commentf(path))
					}
					c.Assert(inc.running, qt.Equals, 2, qt.Commentf("%s of %v", path, id))
				}
			}
			if !replay {
				c.Assert(inc.tasks, qt.HasLen, known)
			}
			for _, token := range []int64{1, inc.token(), inc.token() + 1_000_000} {
				for _, d := range []api.DispatchRequest{ran, late} {
					d.Token = token
					r, err := post[api.DispatchResponse](w, "/v1/tasks", d)
					c.Assert(err, qt.IsNil)
					c.Assert(r.Incarnation, qt.Equals, inc.id)
					c.Assert(inc.running, qt.Equals, 2)
					c.Assert(inc.leaseEnd, qt.Equals, leaseEnd)
				}
			}
		})
	}
}
