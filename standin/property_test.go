package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/oleanderchute/oleanderchute/api"
	"pgregory.net/rapid"
)

// Guards against a response that reports an attempt as refused although it starts at some
// time, or as started although it never does, over random calls and restarts. The guarantees
// G4 and G5 depend on these responses. If a restart may omit the journal replay, each attempt is
// dispatched to one incarnation only, which its revokes and stops name.
func TestResponsesAgreeWithJournal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		must := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		dir, err := os.MkdirTemp("", "standin")
		must(err)
		defer os.RemoveAll(dir)
		path := filepath.Join(dir, "journal")
		w, err := Start(Config{Worker: "w", Journal: path})
		must(err)
		reported := map[api.TaskID]string{}
		mayForget := rapid.Bool().Draw(t, "restarts without replay")
		addressed := map[api.TaskID]string{}
		var sent []api.DispatchRequest
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			inc := w.current()
			id := taskID(fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "key")), rapid.IntRange(1, 2).Draw(t, "attempt"))
			epoch := uint64(rapid.IntRange(1, 3).Draw(t, "epoch"))
			command := api.TaskCommand{Task: id, Partition: "n", Epoch: epoch}
			if mayForget {
				if addressed[id] == "" {
					addressed[id] = inc.id
				}
				command.Incarnation = addressed[id]
			}
			var r api.DispatchResponse
			switch rapid.IntRange(0, 5).Draw(t, "call") {
			case 0:
				d := newDispatch(inc, "", longRunBody)
				d.Task, d.Epoch = id, epoch
				if mayForget {
					d.Incarnation = addressed[id]
				}
				d.LeaseMillis = rapid.SampledFrom([]int64{0, longLeaseMillis}).Draw(t, "lease")
				sent = append(sent, d)
				r, err = inc.dispatch(d)
			case 1:
				if len(sent) == 0 {
					continue
				}
				d := sent[rapid.IntRange(0, len(sent)-1).Draw(t, "copy")]
				id = d.Task
				r, err = inc.dispatch(d)
			case 2:
				r, err = inc.revoke(command)
			case 3:
				r, err = inc.stop(command)
			case 4:
				_, err = inc.sync(newSyncRequest(inc, epoch, id))
			case 5:
				err = w.Restart(!mayForget || rapid.Bool().Draw(t, "replay"))
			}
			must(err)
			if r.State == "" || r.State == dispatchUnknown {
				continue
			}
			if before := reported[id]; before != "" && before != r.State {
				t.Fatalf("%v: first %s, then %s", id, before, r.State)
			}
			reported[id] = r.State
		}
		w.Close()
		events, err := ReadJournal(path)
		must(err)
		starts := map[api.TaskID]int{}
		for _, e := range events {
			if e.Kind == EventStart {
				starts[e.Task()]++
			}
		}
		for id, state := range reported {
			if want := map[string]int{api.DispatchStarted: 1}[state]; starts[id] != want {
				t.Fatalf("%v: reported as %s, started %d times", id, state, starts[id])
			}
		}
	})
}
