package standin

import (
	"bytes"
	"encoding/json"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/api"
	"go.uber.org/goleak"
)

// Guards against goroutines and timers that outlive a worker.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const longLeaseMillis = 3_600_000 // one hour

// startWorker starts a worker that is closed at the end of the test. configure may be nil.
func startWorker(c *qt.C, configure func(*Config)) *Worker {
	cfg := Config{
		Worker: "w1", Pool: "p", Slots: 2, Connections: 64,
		Capacity: api.Resources{MilliCPU: 1000, MemoryMB: 100},
		Journal:  filepath.Join(c.TempDir(), "journal"),
	}
	if configure != nil {
		configure(&cfg)
	}
	w, err := Start(cfg)
	c.Assert(err, qt.IsNil)
	c.Cleanup(w.Close)
	return w
}

// post makes one call on its own connection.
func post[R any](w *Worker, path string, body any) (R, error) {
	var r R
	raw, err := json.Marshal(body)
	if err != nil {
		return r, err
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 30 * time.Second}
	resp, err := client.Post(w.URL()+path, "application/json", bytes.NewReader(raw))
	if err != nil {
		return r, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		var e api.Error
		if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
			return r, err
		}
		return r, &e
	}
	return r, json.NewDecoder(resp.Body).Decode(&r)
}

func taskID(key string, attempt int) api.TaskID {
	return api.TaskID{RequestKey: api.RequestKey{Caller: "c", Key: key}, Attempt: attempt}
}

// newSyncRequest returns a sync that renews the lease and does not wait.
func newSyncRequest(inc *incarnation, epoch uint64, acknowledged ...api.TaskID) api.SyncRequest {
	return api.SyncRequest{Partition: "n", Epoch: epoch, EchoToken: inc.token(), EchoIncarnation: inc.id,
		LeaseMillis: longLeaseMillis, Acknowledged: acknowledged}
}

// newDispatch returns a valid dispatch of the first attempt of a task.
func newDispatch(inc *incarnation, key string, body string) api.DispatchRequest {
	return api.DispatchRequest{Task: taskID(key, 1), Partition: "n", Epoch: 1, Token: inc.token(), Incarnation: inc.id,
		LeaseMillis: longLeaseMillis, Resources: api.Resources{MilliCPU: 100}, Body: []byte(body)}
}

// longRunBody is the body of a task that runs for one hour.
const longRunBody = `{"run_ms":3600000}`

// awaitEnd syncs until the task has ended and returns its end. It does not renew the lease.
func awaitEnd(c *qt.C, inc *incarnation, epoch uint64, id api.TaskID) api.TaskEnd {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		request := newSyncRequest(inc, epoch)
		request.WaitMillis, request.LeaseMillis = 100, 0
		r, err := inc.sync(request)
		c.Assert(err, qt.IsNil)
		for _, e := range r.Ended {
			if e.Task == id {
				return e
			}
		}
	}
	c.Fatalf("%v has not ended", id)
	return api.TaskEnd{}
}
