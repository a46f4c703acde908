package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a task that outlives its lease, and against a lease that is extended by a
// token of another incarnation, a future token or an older one.
func TestTasksStopAtLeaseEnd(t *testing.T) {
	c := qt.New(t)
	inc := startWorker(c, nil).current()
	d := newDispatch(inc, "k", longRunBody)
	d.LeaseMillis = 300
	r, err := inc.dispatch(d)
	c.Assert(err, qt.IsNil)
	c.Assert(r.State, qt.Equals, api.DispatchStarted)
	foreign, future := newSyncRequest(inc, 1), newSyncRequest(inc, 1)
	foreign.EchoIncarnation = "other"
	future.EchoToken += 1_000_000
	for _, request := range []api.SyncRequest{foreign, future} {
		_, err := inc.sync(request)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(inc.leaseEnd, qt.Equals, d.Token+300)
	end := awaitEnd(c, inc, 1, d.Task)
	c.Assert(end.Kind, qt.Equals, api.EndStopped)
	c.Assert(end.Reason, qt.Equals, reasonLeaseEnd)
	c.Assert(inc.token() >= d.Token+300, qt.IsTrue)
	copied, err := inc.dispatch(d)
	c.Assert(err, qt.IsNil)
	c.Assert(copied.State, qt.Equals, api.DispatchStarted) // because it has run
}

// Guards against starting a dispatch that must be refused, and against a refused attempt
// that a later copy of the dispatch starts.
func TestRefusedDispatchNeverStarts(t *testing.T) {
	for name, alter := range map[string]func(*incarnation, *api.DispatchRequest){
		"expired":      func(_ *incarnation, d *api.DispatchRequest) { d.LeaseMillis = 0 },
		"future token": func(_ *incarnation, d *api.DispatchRequest) { d.Token += 1_000_000 },
		"no token":     func(_ *incarnation, d *api.DispatchRequest) { d.Token = 0 },
		"stale epoch":  func(_ *incarnation, d *api.DispatchRequest) { d.Epoch = 0 },
		"leaving":      func(inc *incarnation, _ *api.DispatchRequest) { inc.setLeaving(true) },
		"refuse fault": func(inc *incarnation, _ *api.DispatchRequest) { inc.faults.set(Faults{Refuse: true}) },
		"revoked":      func(inc *incarnation, d *api.DispatchRequest) { inc.revoke(api.TaskCommand{Task: d.Task, Epoch: 1}) },
		"other owner":  func(_ *incarnation, d *api.DispatchRequest) { d.Partition = "s" },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			inc := startWorker(c, nil).current()
			_, err := inc.sync(newSyncRequest(inc, 1))
			c.Assert(err, qt.IsNil)
			good := newDispatch(inc, "k", longRunBody)
			bad := good
			alter(inc, &bad)
			r, err := inc.dispatch(bad)
			c.Assert(err, qt.IsNil)
			c.Assert(r.State, qt.Equals, api.DispatchRefused)
			c.Assert(r.StaleEpoch == 1, qt.Equals, name == "stale epoch")
			inc.setLeaving(false)
			inc.faults.set(Faults{})
			r, err = inc.dispatch(good)
			c.Assert(err, qt.IsNil)
			c.Assert(r.State, qt.Equals, api.DispatchRefused)
			c.Assert(inc.running, qt.Equals, 0)
		})
	}
}

// Guards against an end that is reported only once or with a wrong digest, and against a
// sync that waits although there is something to report.
func TestEndsAreResentUntilAcknowledged(t *testing.T) {
	c := qt.New(t)
	w := startWorker(c, func(cfg *Config) { cfg.maxSyncWait = time.Hour })
	inc := w.current()
	request := newSyncRequest(inc, 1)
	_, err := inc.sync(request)
	c.Assert(err, qt.IsNil)
	responses := make(chan api.SyncResponse, 1)
	request.WaitMillis = longLeaseMillis
	go func() {
		r, _ := post[api.SyncResponse](w, "/v1/sync", request)
		responses <- r
	}()
	_, err = post[api.DispatchResponse](w, "/v1/tasks", newDispatch(inc, "k", `{"run_ms":1,"answer":"plan"}`))
	c.Assert(err, qt.IsNil)
	r := <-responses
	for r.Ended == nil {
		r, err = post[api.SyncResponse](w, "/v1/sync", request)
		c.Assert(err, qt.IsNil)
	}
	sum := sha256.Sum256([]byte("plan"))
	for range 2 {
		c.Assert(r.Ended, qt.HasLen, 1)
		c.Assert(string(r.Ended[0].Answer), qt.Equals, "plan")
		c.Assert(r.Ended[0].AnswerLength, qt.Equals, 4)
		c.Assert(r.Ended[0].AnswerDigest, qt.Equals, hex.EncodeToString(sum[:]))
		r, err = post[api.SyncResponse](w, "/v1/sync", newSyncRequest(inc, 1))
		c.Assert(err, qt.IsNil)
	}
	r, err = post[api.SyncResponse](w, "/v1/sync", newSyncRequest(inc, 1, taskID("k", 1)))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Ended, qt.HasLen, 0)
	copied, err := post[api.DispatchResponse](w, "/v1/tasks", newDispatch(inc, "k", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(copied.State, qt.Equals, api.DispatchStarted)
}

// Guards against a previous owner whose waiting sync is answered as if it still owned the
// worker, and against executing its commands.
func TestHigherEpochFencesPreviousOwner(t *testing.T) {
	c := qt.New(t)
	inc := startWorker(c, func(cfg *Config) { cfg.maxSyncWait = time.Hour }).current()
	_, err := inc.dispatch(newDispatch(inc, "k", longRunBody))
	c.Assert(err, qt.IsNil)
	request := newSyncRequest(inc, 1)
	request.WaitMillis = longLeaseMillis
	responses := make(chan api.SyncResponse, 1)
	go func() {
		r, _ := inc.sync(request)
		responses <- r
	}()
	for !inc.syncedWithin(time.Hour) { // until the sync of epoch 1 waits
		time.Sleep(time.Millisecond)
	}
	_, err = inc.sync(newSyncRequest(inc, 2))
	c.Assert(err, qt.IsNil)
	c.Assert((<-responses).StaleEpoch, qt.Equals, uint64(2))
	r, err := inc.stop(api.TaskCommand{Task: taskID("k", 1), Epoch: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(r.StaleEpoch, qt.Equals, uint64(2))
	c.Assert(inc.running, qt.Equals, 1)
	r, err = inc.stop(api.TaskCommand{Task: taskID("k", 1), Epoch: 2})
	c.Assert(err, qt.IsNil)
	c.Assert(r.State, qt.Equals, api.DispatchStarted)
	c.Assert(inc.running, qt.Equals, 0)
}

// Guards against a restart that keeps tasks running, loses what the journal holds, or
// reports an attempt as refused that an earlier incarnation may have started.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	w := startWorker(c, nil)
	old := w.current()
	for _, key := range []string{"ran", "acked"} {
		_, err := old.dispatch(newDispatch(old, key, `{"run_ms":0}`))
		c.Assert(err, qt.IsNil)
		awaitEnd(c, old, 1, taskID(key, 1))
	}
	_, err := old.sync(newSyncRequest(old, 1, taskID("acked", 1)))
	c.Assert(err, qt.IsNil)
	_, err = old.revoke(api.TaskCommand{Task: taskID("revoked", 1), Epoch: 1})
	c.Assert(err, qt.IsNil)
	running := newDispatch(old, "running", longRunBody)
	_, err = old.dispatch(running)
	c.Assert(err, qt.IsNil)

	c.Assert(w.Restart(true), qt.IsNil)
	_, err = old.sync(newSyncRequest(old, 1))
	c.Assert(err, qt.ErrorIs, errEnded)
	inc := w.current()
	r, err := inc.sync(newSyncRequest(inc, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Incarnation, qt.Not(qt.Equals), old.id)
	c.Assert(r.Running, qt.HasLen, 0)
	c.Assert(r.Ended, qt.HasLen, 2) // ran and running
	for _, e := range r.Ended {
		c.Assert(e.Kind, qt.Equals, api.EndStopped)
	}
	for key, state := range map[string]string{"running": api.DispatchStarted, "acked": api.DispatchStarted, "revoked": api.DispatchRefused, "new": api.DispatchRefused} {
		response, err := inc.revoke(api.TaskCommand{Task: taskID(key, 1), Epoch: 1})
		c.Assert(err, qt.IsNil)
		c.Assert(response.State, qt.Equals, state, qt.Commentf(key))
	}

	c.Assert(w.Restart(false), qt.IsNil)
	response, err := w.current().dispatch(running)
	c.Assert(err, qt.IsNil)
	c.Assert(response.State, qt.Equals, dispatchUnknown)
}

// Guards against faults that do less or more than documented.
func TestFaultSwitches(t *testing.T) {
	c := qt.New(t)
	w := startWorker(c, nil)
	inc := w.current()
	_, err := post[Faults](w, "/debug/faults", Faults{DropAnswers: true, FailAll: true})
	c.Assert(err, qt.IsNil)
	_, err = post[api.DispatchResponse](w, "/v1/tasks", newDispatch(inc, "dropped", ""))
	c.Assert(err, qt.IsNotNil)
	c.Assert(awaitEnd(c, inc, 1, taskID("dropped", 1)).Kind, qt.Equals, api.EndFailed)

	w.SetFaults(Faults{Freeze: true})
	late := newDispatch(inc, "late", "")
	late.LeaseMillis = 20
	response := make(chan api.DispatchResponse, 1)
	go func() {
		r, _ := post[api.DispatchResponse](w, "/v1/tasks", late)
		response <- r
	}()
	for inc.token() < late.Token+late.LeaseMillis {
		time.Sleep(time.Millisecond)
	}
	w.SetFaults(Faults{})
	c.Assert((<-response).State, qt.Equals, api.DispatchRefused)

	before := w.Incarnation()
	_, err = post[Faults](w, "/debug/faults", faultsRequest{Restart: "amnesia"})
	c.Assert(err, qt.IsNil)
	c.Assert(w.Incarnation(), qt.Not(qt.Equals), before)
}
