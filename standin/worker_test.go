package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a task that outlives its lease, and against a lease that a foreign,
// future or older token extends.
func TestTasksStopAtLeaseEnd(t *testing.T) {
	c := qt.New(t)
	l := startWorker(c, nil).current()
	d := dispatchOf(l, "k", runLong)
	d.LeaseMillis = 300
	r, err := l.dispatch(d)
	c.Assert(err, qt.IsNil)
	c.Assert(r.State, qt.Equals, api.DispatchStarted)
	foreign, future := syncOf(l, 1), syncOf(l, 1)
	foreign.EchoIncarnation = "other"
	future.EchoToken += 1_000_000
	for _, q := range []api.SyncRequest{foreign, future} {
		_, err := l.sync(q)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(l.leaseEnd, qt.Equals, d.Token+300)
	end := awaitEnd(c, l, 1, d.Task)
	c.Assert(end.Kind, qt.Equals, api.EndStopped)
	c.Assert(end.Reason, qt.Equals, reasonLeaseEnd)
	c.Assert(l.token() >= d.Token+300, qt.IsTrue)
	copied, err := l.dispatch(d)
	c.Assert(err, qt.IsNil)
	c.Assert(copied.State, qt.Equals, api.DispatchStarted) // it has run
}

// Guards against each dispatch that must be refused being started, and against a
// refused attempt that a later copy starts.
func TestDispatchIsRefusedForGood(t *testing.T) {
	for name, spoil := range map[string]func(*life, *api.Dispatch){
		"expired":      func(_ *life, d *api.Dispatch) { d.LeaseMillis = 0 },
		"future token": func(_ *life, d *api.Dispatch) { d.Token += 1_000_000 },
		"no token":     func(_ *life, d *api.Dispatch) { d.Token = 0 },
		"stale epoch":  func(_ *life, d *api.Dispatch) { d.Epoch = 0 },
		"leaving":      func(l *life, _ *api.Dispatch) { l.setLeaving(true) },
		"refuse fault": func(l *life, _ *api.Dispatch) { l.faults.set(Faults{Refuse: true}) },
		"revoked":      func(l *life, d *api.Dispatch) { l.revoke(api.TaskCommand{Task: d.Task, Epoch: 1}) },
		"other owner":  func(_ *life, d *api.Dispatch) { d.Partition = "s" },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := startWorker(c, nil).current()
			_, err := l.sync(syncOf(l, 1))
			c.Assert(err, qt.IsNil)
			good := dispatchOf(l, "k", runLong)
			bad := good
			spoil(l, &bad)
			r, err := l.dispatch(bad)
			c.Assert(err, qt.IsNil)
			c.Assert(r.State, qt.Equals, api.DispatchRefused)
			c.Assert(r.StaleEpoch == 1, qt.Equals, name == "stale epoch")
			l.setLeaving(false)
			l.faults.set(Faults{})
			r, err = l.dispatch(good)
			c.Assert(err, qt.IsNil)
			c.Assert(r.State, qt.Equals, api.DispatchRefused)
			c.Assert(l.running, qt.Equals, 0)
		})
	}
}

// Guards against an end that is reported once only or with a wrong digest, and
// against a sync that waits although there is news.
func TestEndsAreRepeatedUntilAcknowledged(t *testing.T) {
	c := qt.New(t)
	w := startWorker(c, func(cfg *Config) { cfg.syncWait = time.Hour })
	l := w.current()
	q := syncOf(l, 1)
	_, err := l.sync(q)
	c.Assert(err, qt.IsNil)
	answers := make(chan api.SyncResponse, 1)
	q.WaitMillis = longLease
	go func() {
		r, _ := post[api.SyncResponse](w, "/v1/sync", q)
		answers <- r
	}()
	_, err = post[api.DispatchResponse](w, "/v1/tasks", dispatchOf(l, "k", `{"run_ms":1,"answer":"plan"}`))
	c.Assert(err, qt.IsNil)
	r := <-answers
	for r.Ended == nil {
		r, err = post[api.SyncResponse](w, "/v1/sync", q)
		c.Assert(err, qt.IsNil)
	}
	sum := sha256.Sum256([]byte("plan"))
	for range 2 {
		c.Assert(r.Ended, qt.HasLen, 1)
		c.Assert(string(r.Ended[0].Answer), qt.Equals, "plan")
		c.Assert(r.Ended[0].AnswerLength, qt.Equals, 4)
		c.Assert(r.Ended[0].AnswerDigest, qt.Equals, hex.EncodeToString(sum[:]))
		r, err = post[api.SyncResponse](w, "/v1/sync", syncOf(l, 1))
		c.Assert(err, qt.IsNil)
	}
	r, err = post[api.SyncResponse](w, "/v1/sync", syncOf(l, 1, taskID("k", 1)))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Ended, qt.HasLen, 0)
	copied, err := post[api.DispatchResponse](w, "/v1/tasks", dispatchOf(l, "k", ""))
	c.Assert(err, qt.IsNil)
	c.Assert(copied.State, qt.Equals, api.DispatchStarted)
}

// Guards against a former owner whose waiting sync is answered as if it still owned
// the worker, and against its commands being carried out.
func TestHigherEpochFencesTheFormerOwner(t *testing.T) {
	c := qt.New(t)
	l := startWorker(c, func(cfg *Config) { cfg.syncWait = time.Hour }).current()
	_, err := l.dispatch(dispatchOf(l, "k", runLong))
	c.Assert(err, qt.IsNil)
	q := syncOf(l, 1)
	q.WaitMillis = longLease
	answers := make(chan api.SyncResponse, 1)
	go func() {
		r, _ := l.sync(q)
		answers <- r
	}()
	for !l.syncedWithin(time.Hour) { // the sync of epoch 1 waits
		time.Sleep(time.Millisecond)
	}
	_, err = l.sync(syncOf(l, 2))
	c.Assert(err, qt.IsNil)
	c.Assert((<-answers).StaleEpoch, qt.Equals, uint64(2))
	r, err := l.stop(api.TaskCommand{Task: taskID("k", 1), Epoch: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(r.StaleEpoch, qt.Equals, uint64(2))
	c.Assert(l.running, qt.Equals, 1)
	r, err = l.stop(api.TaskCommand{Task: taskID("k", 1), Epoch: 2})
	c.Assert(err, qt.IsNil)
	c.Assert(r.State, qt.Equals, api.DispatchStarted)
	c.Assert(l.running, qt.Equals, 0)
}

// Guards against a restart that keeps tasks running, forgets what its journal holds,
// or calls an attempt refused that a former incarnation may have started.
func TestRestart(t *testing.T) {
	c := qt.New(t)
	w := startWorker(c, nil)
	old := w.current()
	for _, key := range []string{"ran", "acked"} {
		_, err := old.dispatch(dispatchOf(old, key, `{"run_ms":0}`))
		c.Assert(err, qt.IsNil)
		awaitEnd(c, old, 1, taskID(key, 1))
	}
	_, err := old.sync(syncOf(old, 1, taskID("acked", 1)))
	c.Assert(err, qt.IsNil)
	_, err = old.revoke(api.TaskCommand{Task: taskID("revoked", 1), Epoch: 1})
	c.Assert(err, qt.IsNil)
	running := dispatchOf(old, "running", runLong)
	_, err = old.dispatch(running)
	c.Assert(err, qt.IsNil)

	c.Assert(w.Restart(true), qt.IsNil)
	_, err = old.sync(syncOf(old, 1))
	c.Assert(err, qt.ErrorIs, errDead)
	l := w.current()
	r, err := l.sync(syncOf(l, 1))
	c.Assert(err, qt.IsNil)
	c.Assert(r.Incarnation, qt.Not(qt.Equals), old.incarnation)
	c.Assert(r.Running, qt.HasLen, 0)
	c.Assert(r.Ended, qt.HasLen, 2) // ran and running
	for _, e := range r.Ended {
		c.Assert(e.Kind, qt.Equals, api.EndStopped)
	}
	for key, state := range map[string]string{"running": api.DispatchStarted, "acked": api.DispatchStarted, "revoked": api.DispatchRefused, "new": api.DispatchRefused} {
		answer, err := l.revoke(api.TaskCommand{Task: taskID(key, 1), Epoch: 1})
		c.Assert(err, qt.IsNil)
		c.Assert(answer.State, qt.Equals, state, qt.Commentf(key))
	}

	c.Assert(w.Restart(false), qt.IsNil)
	answer, err := w.current().dispatch(running)
	c.Assert(err, qt.IsNil)
	c.Assert(answer.State, qt.Equals, dispatchUnknown)
}

// Guards against fault switches that do less or more than they say.
func TestFaultSwitches(t *testing.T) {
	c := qt.New(t)
	w := startWorker(c, nil)
	l := w.current()
	_, err := post[Faults](w, "/debug/faults", Faults{DropAnswers: true, FailAll: true})
	c.Assert(err, qt.IsNil)
	_, err = post[api.DispatchResponse](w, "/v1/tasks", dispatchOf(l, "dropped", ""))
	c.Assert(err, qt.IsNotNil)
	c.Assert(awaitEnd(c, l, 1, taskID("dropped", 1)).Kind, qt.Equals, api.EndFailed)

	w.SetFaults(Faults{Freeze: true})
	late := dispatchOf(l, "late", "")
	late.LeaseMillis = 20
	answer := make(chan api.DispatchResponse, 1)
	go func() {
		r, _ := post[api.DispatchResponse](w, "/v1/tasks", late)
		answer <- r
	}()
	for l.token() < late.Token+late.LeaseMillis {
		time.Sleep(time.Millisecond)
	}
	w.SetFaults(Faults{})
	c.Assert((<-answer).State, qt.Equals, api.DispatchRefused)

	before := w.Incarnation()
	_, err = post[Faults](w, "/debug/faults", faultsRequest{Restart: "amnesia"})
	c.Assert(err, qt.IsNil)
	c.Assert(w.Incarnation(), qt.Not(qt.Equals), before)
}
