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
