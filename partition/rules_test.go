package partition

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

const ms = time.Millisecond

// bench drives one owner by hand: actions are collected, and commits happen on demand.
type bench struct {
	c       *qt.C
	p       *Partition
	fit     *firstFit
	now     time.Duration
	epoch   uint64
	log     [][]byte // proposed, not applied
	syncs   map[string]SendSync
	send    []SendDispatch
	stops   []SendStop
	revokes []SendRevoke
	dispute []OwnershipDisputed
	replies map[WaiterID]Reply
	waiter  WaiterID
	token   int64
}

func newBench(t testing.TB) *bench {
	b := &bench{c: qt.New(t), syncs: map[string]SendSync{}, replies: map[WaiterID]Reply{}, now: time.Second}
	b.p = New(Config{Name: "north", Seed: 1}, func() Scheduler {
		b.fit = newFirstFit().(*firstFit)
		return b.fit
	})
	b.own()
	return b
}

// own starts a new epoch; what is proposed and not applied is lost.
func (b *bench) own() {
	b.epoch++
	b.log, b.syncs, b.send = nil, map[string]SendSync{}, nil
	b.step(BecameOwner{Epoch: b.epoch})
	b.commit()
}

func (b *bench) step(e Event)              { b.take(b.p.Step(b.now, e)) }
func (b *bench) pass(d time.Duration)      { b.now += d; b.step(Tick{}) }
func (b *bench) status(k string) api.State { s, _ := b.p.Status(key(k)); return s.State }
func key(k string) api.RequestKey          { return api.RequestKey{Caller: "c", Key: k} }

func (b *bench) take(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Propose:
			b.log = append(b.log, a.Data)
		case SendSync:
			b.syncs[a.Worker] = a
		case SendDispatch:
			b.send = append(b.send, a)
		case SendStop:
			b.stops = append(b.stops, a)
		case SendRevoke:
			b.revokes = append(b.revokes, a)
		case OwnershipDisputed:
			b.dispute = append(b.dispute, a)
		case Reply:
			_, twice := b.replies[a.Waiter]
			b.c.Assert(twice, qt.IsFalse, qt.Commentf("waiter %d answered twice", a.Waiter))
			b.replies[a.Waiter] = a
		}
	}
}

// commit applies everything proposed, also what follows from it.
func (b *bench) commit() {
	for len(b.log) > 0 {
		data := b.log[0]
		b.log = b.log[1:]
		b.take(b.p.Apply(b.now, data))
	}
}

func (b *bench) submit(k string, change func(*Submit)) WaiterID {
	b.waiter++
	s := Submit{
		Waiter: b.waiter, WaitUntil: b.now + time.Minute, Route: api.Route{Name: "draft", Pool: "blue"},
		Request: api.SubmitRequest{Caller: "c", Key: k, Body: []byte("body"), Resources: api.Resources{MilliCPU: 1000}},
	}
	if change != nil {
		change(&s)
	}
	b.step(s)
	return b.waiter
}

func (b *bench) cancel(k string) WaiterID {
	b.waiter++
	b.step(Cancel{Waiter: b.waiter, WaitUntil: b.now + time.Minute, Key: key(k)})
	return b.waiter
}

func once(s *Submit) { s.Request.NonIdempotent = true }

// worker announces a worker and answers its first sync. The record of the announcement is
// committed unless other commands wait for a commit.
func (b *bench) worker(name, incarnation string) {
	idle := len(b.log) == 0
	b.step(WorkerAnnounced{api.Announcement{
		Worker: name, Incarnation: incarnation, URL: "http://" + name, Pool: "blue", Slots: 8,
		Capacity: api.Resources{MilliCPU: 8000},
	}})
	b.sync(name, incarnation, nil)
	if idle {
		b.commit()
	}
}

func (b *bench) sync(name, incarnation string, change func(*api.SyncResponse)) {
	s, ok := b.syncs[name]
	b.c.Assert(ok, qt.IsTrue, qt.Commentf("no sync is outstanding"))
	delete(b.syncs, name)
	b.token++
	r := api.SyncResponse{Worker: name, Incarnation: incarnation, Token: b.token}
	if change != nil {
		change(&r)
	}
	b.step(SyncAnswered{Worker: name, Sequence: s.Sequence, Response: r})
}

func (b *bench) dispatchAnswer(i int, state, incarnation string) {
	d := b.send[i]
	b.step(DispatchAnswered{Worker: d.Worker, Task: d.Dispatch.Task,
		Response: &api.DispatchResponse{State: state, Incarnation: incarnation}})
}

func end(id api.TaskID, kind api.EndKind, answer string) api.TaskEnd {
	sum := sha256.Sum256([]byte(answer))
	return api.TaskEnd{Task: id, Kind: kind, Answer: []byte(answer), AnswerLength: len(answer), AnswerDigest: hex.EncodeToString(sum[:])}
}

func ends(e ...api.TaskEnd) func(*api.SyncResponse) {
	return func(r *api.SyncResponse) { r.Ended = e }
}

func running(ids ...api.TaskID) func(*api.SyncResponse) {
	return func(r *api.SyncResponse) { r.Running = ids }
}

// started submits a request and runs it up to the confirmed start.
func (b *bench) started(k string, change func(*Submit)) (WaiterID, api.TaskID) {
	w := b.submit(k, change)
	b.commit()
	i := len(b.send) - 1
	b.dispatchAnswer(i, api.DispatchStarted, b.send[i].Dispatch.Incarnation)
	return w, b.send[i].Dispatch.Task
}

// Guards against a lost or partial path from submit to the caller's answer.
func TestRequestRunsToCompletion(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	w, id := b.started("k", nil)
	b.c.Assert(b.status("k"), qt.Equals, api.StateRunning)
	b.sync("w1", "i1", ends(end(id, api.EndDone, "bond")))
	b.c.Assert(b.replies[w].Status, qt.IsNil, qt.Commentf("told before the outcome is durable"))
	b.commit()
	b.c.Assert(string(b.replies[w].Status.Answer), qt.Equals, "bond")
	b.c.Assert(b.syncs["w1"].Request.Acknowledged, qt.DeepEquals, []api.TaskID{id})
}

// Guards against a second execution for a resend while the accept is being proposed.
func TestResendJoinsAcceptInFlight(t *testing.T) {
	b := newBench(t)
	first, second := b.submit("k", nil), b.submit("k", nil)
	other := b.submit("k", func(s *Submit) { s.Request.Body = []byte("other") })
	b.c.Assert(b.replies[other].Err.Code, qt.Equals, api.CodeKeyReused)
	b.c.Assert(b.replies[other].Err.NotRun, qt.IsTrue)
	b.c.Assert(b.log, qt.HasLen, 1)
	b.commit()
	b.worker("w1", "i1")
	b.c.Assert(b.send, qt.HasLen, 1)
	b.sync("w1", "i1", ends(end(b.send[0].Dispatch.Task, api.EndDone, "x")))
	b.commit()
	b.c.Assert(b.replies[first].Status.State, qt.Equals, api.StateDone)
	b.c.Assert(b.replies[second].Status.State, qt.Equals, api.StateDone)
	late := b.submit("k", func(s *Submit) { s.Request.Body = []byte("other") })
	b.c.Assert(b.replies[late].Err.Code, qt.Equals, api.CodeKeyReused)
}

// Guards against telling "accepted" before the accept record is committed.
func TestAcceptIsReportedAfterCommit(t *testing.T) {
	b := newBench(t)
	w := b.submit("k", func(s *Submit) { s.WaitUntil = 0 })
	b.pass(10 * ms)
	b.c.Assert(b.replies, qt.HasLen, 0)
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateQueued)
	late := b.submit("k2", func(s *Submit) { s.WaitUntil = 0 })
	b.pass(2 * commitGrace)
	b.c.Assert(b.replies[late].Err.Code, qt.Equals, api.CodeUnknownResult)
}

// Guards against recording what admission refused and against malformed requests.
func TestRefusedAtAdmission(t *testing.T) {
	b := newBench(t)
	for field, change := range map[string]func(*Submit){
		"tasks":       func(s *Submit) { s.Request.Tasks = 2 },
		"key":         func(s *Submit) { s.Request.Key = "" },
		"class":       func(s *Submit) { s.Request.Class = "asap" },
		"resources":   func(s *Submit) { s.Request.Resources.MemoryMB = -1 },
		"deadline_ms": func(s *Submit) { s.Request.DeadlineMillis = -1 },
		"body":        func(s *Submit) { s.Request.Body = make([]byte, api.MaxBodyBytes+1) },
	} {
		w := b.submit("k", change)
		b.c.Assert(b.replies[w].Err.Field, qt.Equals, field)
	}
	above := b.submit("k", func(s *Submit) { s.Route.Class, s.Request.Class = api.ClassNormal, api.ClassUrgent })
	b.c.Assert(b.replies[above].Err.Field, qt.Equals, "class")
	for verdict, code := range map[placement.Verdict]api.ErrorCode{
		placement.NeverFits: api.CodeNeverFits, placement.Overloaded: api.CodeOverloaded, placement.QuotaExceeded: api.CodeNeverFits,
	} {
		b.fit.refuse = &placement.Admission{Verdict: verdict}
		w := b.submit("k", nil)
		b.c.Assert(b.replies[w].Err.Code, qt.Equals, code)
		b.c.Assert(b.replies[w].Err.NotRun, qt.IsTrue)
	}
	b.c.Assert(b.log, qt.HasLen, 0)
}

// Guards against sending non-idempotent work before its claim is durable, and against
// delaying idempotent work for it.
func TestClaimBeforeDispatch(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		b := newBench(t)
		b.worker("w1", "i1")
		b.submit("k", func(s *Submit) { s.Request.NonIdempotent = nonIdempotent })
		accept := b.log[0]
		b.log = nil
		b.take(b.p.Apply(b.now, accept))
		b.c.Assert(len(b.send) == 0, qt.Equals, nonIdempotent)
		b.c.Assert(b.log, qt.HasLen, 1)
		b.commit()
		b.c.Assert(b.send, qt.HasLen, 1)
	}
}

// Guards against taking a truncated or altered answer as the whole one.
func TestCorruptAnswerIsNotAccepted(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	w, id := b.started("k", nil)
	for _, spoil := range []func(*api.TaskEnd){
		func(e *api.TaskEnd) { e.Answer = e.Answer[:2] },
		func(e *api.TaskEnd) { e.Answer = []byte("bund") },
		func(e *api.TaskEnd) { e.AnswerDigest = "" },
	} {
		e := end(id, api.EndDone, "bond")
		spoil(&e)
		b.sync("w1", "i1", ends(e))
		b.commit()
		b.c.Assert(b.replies, qt.HasLen, 0)
		_, again := b.syncs["w1"]
		b.c.Assert(again, qt.IsFalse, qt.Commentf("the worker would answer at once with the same end"))
		b.pass(ackHold)
		b.c.Assert(b.syncs["w1"].Request.Acknowledged, qt.HasLen, 0)
	}
	b.sync("w1", "i1", ends(end(id, api.EndDone, "bond")))
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateDone)
}

// Guards against acknowledging an end whose record may still be lost.
func TestEndIsAcknowledgedAfterCommit(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	_, id := b.started("k", nil)
	b.sync("w1", "i1", ends(end(id, api.EndDone, "x")))
	b.pass(ackHold)
	b.c.Assert(b.syncs["w1"].Request.Acknowledged, qt.HasLen, 0)
	b.commit()
	b.sync("w1", "i1", nil)
	b.c.Assert(b.syncs["w1"].Request.Acknowledged, qt.DeepEquals, []api.TaskID{id})
}

// Guards against a second start before the lease of the first has certainly ended.
func TestTaskOfLostWorkerIsRetriedAfterLeaseEnd(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.started("k", nil)
	once, _ := b.started("once", once)
	b.step(SyncFailed{Worker: "w1", Sequence: b.syncs["w1"].Sequence})
	b.worker("w2", "i1")
	granted := b.now
	lease := b.p.cfg.certainLease()
	for b.now < granted+lease-50*ms {
		b.pass(50 * ms)
		b.commit()
		b.sync("w2", "i1", nil)
		b.c.Assert(b.send, qt.HasLen, 2, qt.Commentf("after %v", b.now-granted))
	}
	for range 10 {
		b.pass(50 * ms)
		b.commit()
	}
	b.c.Assert(b.send, qt.HasLen, 3)
	b.c.Assert(b.send[2].Worker, qt.Equals, "w2")
	b.c.Assert(b.replies[once].Status.State, qt.Equals, api.StateUnknown)
}

// Guards against taking work of a leaving or failing worker, or giving it new work.
func TestUnusableWorkerGetsNoNewWork(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.sync("w1", "i1", func(r *api.SyncResponse) { r.Leaving = true })
	b.submit("k", nil)
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 0)
	b.c.Assert(b.p.Workers(b.now)[0].State, qt.Equals, "leaving")
	b.worker("w2", "i1")
	b.c.Assert(b.send, qt.HasLen, 1)
	b.step(SyncFailed{Worker: "w2", Sequence: b.syncs["w2"].Sequence})
	b.submit("k2", nil)
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 1)
	b.c.Assert(b.p.Explain(b.now, key("k2")).WaitsFor, qt.Not(qt.Equals), "")
	b.pass(syncRetry)
	b.sync("w2", "i1", nil)
	b.c.Assert(b.send, qt.HasLen, 2)
	b.pass(2*syncWait + ms) // the sync hangs
	b.submit("k3", nil)
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 2)
}

// Guards against a late announcement or answer of a former process replacing the live one.
func TestStaleIncarnationIsIgnored(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	_, id := b.started("k", once)
	old := b.syncs["w1"]
	b.step(SyncFailed{Worker: "w1", Sequence: old.Sequence})
	b.worker("w1", "i2")
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateUnknown)
	current := b.syncs["w1"]
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "http://old"}})
	b.step(SyncAnswered{Worker: "w1", Sequence: old.Sequence, Response: api.SyncResponse{
		Worker: "w1", Incarnation: "i1", Token: 99, Running: []api.TaskID{id}}})
	b.c.Assert(b.syncs["w1"], qt.DeepEquals, current)
	b.dispatchAnswer(0, api.DispatchRefused, "i2")
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateUnknown)
	// The journal of the new process tells what happened.
	b.sync("w1", "i2", ends(end(id, api.EndDone, "x")))
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateDone)
}

// Guards against a refusal by a later process being taken as evidence about the one that
// was addressed.
func TestRefusalByAnotherIncarnationIsIgnored(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.submit("k", once)
	b.commit()
	b.step(SyncFailed{Worker: "w1", Sequence: b.syncs["w1"].Sequence})
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "u", Pool: "blue"}})
	b.sync("w1", "i2", ends(end(b.send[0].Dispatch.Task, api.EndRefused, "")))
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateUnknown)
}

// Guards against placing work on a worker that has not reported to the new owner, and
// against beginning with another account than the worker's own.
func TestNoPlacementBeforeFirstReport(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.own()
	b.submit("k", nil)
	b.commit()
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue", Slots: 1}})
	b.c.Assert(b.send, qt.HasLen, 0)
	b.c.Assert(b.syncs["w1"].Request.EchoToken, qt.Equals, int64(0))
	foreign := api.TaskID{RequestKey: key("other"), Attempt: 1}
	b.sync("w1", "i1", func(r *api.SyncResponse) {
		r.Running, r.Capacity = []api.TaskID{foreign}, &api.Resources{MilliCPU: 1000}
	})
	b.c.Assert(b.send, qt.HasLen, 0)
	b.c.Assert(b.stops, qt.HasLen, 1)
	b.sync("w1", "i1", nil)
	b.c.Assert(b.send, qt.HasLen, 1)
	b.c.Assert(b.syncs["w1"].Request.EchoToken, qt.Equals, b.token)
}

// Guards against a dispatch outside the account: the worker is lost, which drops its
// reservations, and returns while the claim is being committed.
func TestClaimWithoutReservationIsWithdrawn(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.submit("k", once)
	b.take(b.p.Apply(b.now, b.log[0]))
	b.log = b.log[1:] // the claim is left
	b.step(SyncFailed{Worker: "w1", Sequence: b.syncs["w1"].Sequence})
	b.pass(3 * time.Second)
	b.worker("w1", "i1")
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 0)
	b.pass(retryBase)
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 1)
	b.c.Assert(b.p.Stats().Scheduler.Running, qt.Equals, 1)
}

// Guards against a late announcement of an unknown process cutting off a live worker, and
// against missing one that moved.
func TestCandidateURLIsTriedWhenSyncsFail(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	fail := func() { b.step(SyncFailed{Worker: "w1", Sequence: b.syncs["w1"].Sequence}) }
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "http://moved", Pool: "blue", Slots: 1}})
	b.c.Assert(b.syncs["w1"].URL, qt.Equals, "http://w1")
	fail()
	b.pass(syncRetry)
	b.c.Assert(b.syncs["w1"].URL, qt.Equals, "http://moved")
	fail()
	b.pass(syncRetry)
	b.c.Assert(b.syncs["w1"].URL, qt.Equals, "http://w1")
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "http://moved", Pool: "blue", Slots: 1}})
	fail()
	b.pass(syncRetry)
	b.sync("w1", "i2", nil)
	b.c.Assert(b.syncs["w1"].URL, qt.Equals, "http://moved")
	b.c.Assert(b.p.Workers(b.now)[0].State, qt.Equals, "ready")
}

// Guards against running tasks missing in the account when the worker reports them before
// the announcement of its process arrives.
func TestTaskReportedBeforeAnnouncementIsReserved(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i2")
	_, id := b.started("k", nil)
	b.own()
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue", Slots: 8}})
	b.sync("w1", "i2", running(id))
	b.c.Assert(b.p.Stats().Scheduler.Workers, qt.Equals, 0)
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "u", Pool: "blue", Slots: 8}})
	b.c.Assert(b.p.Stats().Scheduler, qt.Equals, SchedulerStats{Running: 1, Workers: 1})
}

// Guards against a batch of a former owner that reaches the log after its successor's.
func TestBatchOfOlderEpochHasNoEffect(t *testing.T) {
	b := newBench(t)
	b.submit("k", nil)
	stale := b.log[0]
	b.own()
	b.take(b.p.Apply(b.now, stale))
	b.c.Assert(b.p.Stats().Records, qt.Equals, 0)
}

// Guards against a snapshot that loses state or is taken over from another format.
func TestSnapshotRestores(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.started("k", once)
	b.submit("k2", nil)
	b.cancel("k2")
	b.commit()
	copied := New(Config{}, newFirstFit)
	b.c.Assert(copied.Restore(b.p.Snapshot()), qt.IsNil)
	b.c.Assert(copied.Snapshot(), qt.DeepEquals, b.p.Snapshot())
	b.c.Assert(copied.Restore([]byte("x")), qt.IsNotNil)
	b.c.Assert(copied.Restore(encode(snapshot{Version: 2})), qt.IsNotNil)
	b.c.Assert(b.p.Restore(b.p.Snapshot()), qt.IsNotNil, qt.Commentf("restored while owner"))
}

// Guards against calls that are left without an answer when the ownership ends, or that
// reach a replica that is not the owner.
func TestLostOwnershipAnswersCalls(t *testing.T) {
	b := newBench(t)
	w := b.submit("k", nil)
	b.step(LostOwnership{})
	b.c.Assert(b.replies[w].Err.Code, qt.Equals, api.CodeUnknownResult)
	late := b.submit("k", nil)
	b.c.Assert(b.replies[late].Err.Code, qt.Equals, api.CodeUnavailable)
	b.c.Assert(b.replies[late].Err.NotRun, qt.IsFalse)
}

// Guards against acting beside a newer owner.
func TestHigherEpochEndsOwnership(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	w := b.submit("k", nil)
	b.sync("w1", "i1", func(r *api.SyncResponse) { r.StaleEpoch = 9 })
	b.c.Assert(b.dispute, qt.DeepEquals, []OwnershipDisputed{{Worker: "w1", Epoch: 9}})
	b.c.Assert(b.replies[w].Err.Code, qt.Equals, api.CodeUnknownResult)
	b.commit()
	b.pass(time.Second)
	b.c.Assert(b.send, qt.HasLen, 0)
}

// Guards against a wrong result for each way in which a start can end.
func TestRequestStateAfterTaskEnd(t *testing.T) {
	for _, tc := range []struct {
		name  string
		once  bool
		kind  api.EndKind
		state api.State
	}{
		{"failed", false, api.EndFailed, api.StateFailed},
		{"failed once", true, api.EndFailed, api.StateFailed},
		{"stopped is retried", false, api.EndStopped, api.StateQueued},
		{"stopped once", true, api.EndStopped, api.StateFailed},
		{"refused after the start is no evidence", true, api.EndRefused, api.StateUnknown},
	} {
		b := newBench(t)
		b.worker("w1", "i1")
		_, id := b.started("k", func(s *Submit) { s.Request.NonIdempotent = tc.once })
		b.sync("w1", "i1", ends(end(id, tc.kind, "")))
		b.commit()
		b.c.Assert(b.status("k"), qt.Equals, tc.state, qt.Commentf(tc.name))
	}
}

// Guards against endless or immediate retries, and against a wrong final state.
func TestRetriesAreBounded(t *testing.T) {
	for kind, want := range map[string]api.State{"refused": api.StateNotRun, "stopped": api.StateFailed} {
		b := newBench(t)
		b.worker("w1", "i1")
		b.submit("k", nil)
		for i := range 3 {
			b.commit()
			b.c.Assert(b.send, qt.HasLen, i+1)
			if kind == "refused" {
				b.dispatchAnswer(i, api.DispatchRefused, "i1")
			} else {
				b.sync("w1", "i1", ends(end(b.send[i].Dispatch.Task, api.EndStopped, "")))
			}
			b.commit()
			b.c.Assert(b.send, qt.HasLen, i+1, qt.Commentf("retried without a pause"))
			b.pass(retryBase << i)
		}
		b.c.Assert(b.status("k"), qt.Equals, want)
	}
}

// Guards against a burst of retries beyond the budget.
func TestRetryBudget(t *testing.T) {
	budget := newRetryBudget(0)
	granted := func(now time.Duration) (n int) {
		for budget.take(now) {
			n++
		}
		return n
	}
	b := qt.New(t)
	b.Assert(granted(0), qt.Equals, 10)
	for range 1001 {
		budget.started()
	}
	b.Assert(granted(0), qt.Equals, 100)
	b.Assert(granted(time.Second), qt.Equals, 2)
}

// Guards against telling not_run before it is durable or starting what was cancelled.
func TestCancelOfQueuedWork(t *testing.T) {
	b := newBench(t)
	w := b.submit("k", nil)
	b.commit()
	b.cancel("k")
	c := b.cancel("k")
	b.c.Assert(b.replies, qt.HasLen, 0)
	b.worker("w1", "i1")
	b.commit()
	b.c.Assert(b.replies[c].Status.State, qt.Equals, api.StateNotRun)
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateNotRun)
	b.c.Assert(b.send, qt.HasLen, 0)
	early := b.submit("k2", nil)
	b.cancel("k2")
	b.commit()
	b.c.Assert(b.replies[early].Status.State, qt.Equals, api.StateNotRun)
	none := b.cancel("k3")
	b.c.Assert(b.replies[none].Err.Code, qt.Equals, api.CodeNotFound)
}

// Guards against two results when a cancel meets a claim that is being committed.
func TestCancelWhileClaimInFlight(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.submit("k", once)
	b.take(b.p.Apply(b.now, b.log[0]))
	b.log = b.log[1:] // the claim is left
	c := b.cancel("k")
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 0)
	b.c.Assert(b.replies[c].Status.State, qt.Equals, api.StateNotRun)
	b.c.Assert(b.p.Stats().Scheduler.Running, qt.Equals, 0)
}

// Guards against a false not_run for running work: the worker's report decides.
func TestCancelOfRunningWork(t *testing.T) {
	for kind, want := range map[api.EndKind]api.State{api.EndStopped: api.StateFailed, api.EndDone: api.StateDone} {
		b := newBench(t)
		b.worker("w1", "i1")
		_, id := b.started("k", nil)
		c := b.cancel("k")
		b.c.Assert(b.stops, qt.HasLen, 0, qt.Commentf("stopped before the cancel is durable"))
		b.commit()
		b.c.Assert(b.stops, qt.HasLen, 1)
		b.sync("w1", "i1", ends(end(id, kind, "x")))
		b.commit()
		b.c.Assert(b.replies[c].Status.State, qt.Equals, want)
	}
}

// Guards against an uncertain dispatch staying open, and against taking another
// incarnation's refusal as evidence.
func TestRevokeResolvesUncertainDispatch(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.submit("k", once)
	b.commit()
	b.step(DispatchAnswered{Worker: "w1", Task: b.send[0].Dispatch.Task})
	b.c.Assert(b.revokes, qt.HasLen, 1)
	answer := func(incarnation string) {
		b.step(CommandAnswered{Worker: "w1", Task: b.send[0].Dispatch.Task, Revoke: true,
			Response: &api.DispatchResponse{State: api.DispatchRefused, Incarnation: incarnation}})
		b.commit()
	}
	answer("i2")
	b.c.Assert(b.status("k"), qt.Equals, api.StateClaimed)
	answer("i1")
	b.c.Assert(b.status("k"), qt.Equals, api.StateQueued)
}

// Guards against starting work after its deadline, and against an untold expiry.
func TestDeadlineWhileQueued(t *testing.T) {
	b := newBench(t)
	w := b.submit("k", func(s *Submit) { s.Request.DeadlineMillis = 100 })
	b.commit()
	b.pass(101 * ms)
	b.c.Assert(b.replies, qt.HasLen, 0)
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateNotRun)
}

// Guards against placing again what a former owner may have dispatched without a
// durable claim, and against holding back what it cannot have dispatched.
func TestNewOwnerWaitsForInheritedLeases(t *testing.T) {
	b := newBench(t)
	b.submit("k", nil)
	b.submit("once", once)
	b.commit()
	b.own()
	b.worker("w1", "i1")
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 1)
	b.c.Assert(b.send[0].Dispatch.Task.Key, qt.Equals, "once")
	c := b.cancel("k")
	for range 45 {
		b.pass(50 * ms)
		b.commit()
	}
	b.c.Assert(b.replies[c].Status.State, qt.Equals, api.StateUnknown)
}

// Guards against losing a task that runs on while the owner changes.
func TestNewOwnerAdoptsRunningTask(t *testing.T) {
	for _, durable := range []bool{true, false} {
		b := newBench(t)
		b.worker("w1", "i1")
		b.submit("k", nil)
		accept := b.log[0]
		b.log = nil
		b.take(b.p.Apply(b.now, accept))
		id := b.send[0].Dispatch.Task
		if durable {
			b.commit()
		}
		b.own()
		b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue", Slots: 8, Capacity: api.Resources{MilliCPU: 8000}}})
		b.sync("w1", "i1", running(id))
		b.commit()
		b.c.Assert(b.status("k"), qt.Equals, api.StateRunning)
		b.c.Assert(b.p.Stats().Scheduler.Running, qt.Equals, 1)
		b.sync("w1", "i1", ends(end(id, api.EndDone, "x")))
		b.commit()
		b.c.Assert(b.status("k"), qt.Equals, api.StateDone)
		b.c.Assert(b.send, qt.HasLen, 0)
	}
}

// Guards against dropping outcomes by local time, which would let replicas differ.
func TestOutcomeExpiresByCommand(t *testing.T) {
	b := newBench(t)
	b.submit("k", nil)
	b.cancel("k")
	b.commit()
	b.pass(b.p.cfg.OutcomeRetention - ms)
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateNotRun)
	b.pass(ms)
	b.c.Assert(b.status("k"), qt.Equals, api.StateNotRun)
	b.commit()
	b.c.Assert(b.p.Stats().Records, qt.Equals, 0)
}

// Guards against lost commands when a proposal is not taken into the log.
func TestFailedProposalIsRepeated(t *testing.T) {
	b := newBench(t)
	w := b.submit("k", func(s *Submit) { s.WaitUntil = 0 })
	b.log = nil
	b.step(ProposeFailed{Sequence: b.epoch<<sequenceBits + 2})
	b.c.Assert(b.log, qt.HasLen, 0)
	b.pass(proposeRetry)
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateQueued)
}

// Guards against calls that wait forever, and replies to callers that have gone.
func TestWaitersAreBounded(t *testing.T) {
	b := newBench(t)
	w := b.submit("k", func(s *Submit) { s.WaitUntil = b.now + 10*ms })
	b.commit()
	b.pass(10 * ms)
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateQueued)
	gone := b.submit("k", nil)
	b.step(ForgetWaiter{Waiter: gone})
	late := b.submit("k", func(s *Submit) { s.WaitUntil = b.now + 24*time.Hour })
	b.pass(maxWait)
	b.c.Assert(b.replies[late].Status, qt.IsNotNil)
	_, answered := b.replies[gone]
	b.c.Assert(answered, qt.IsFalse)
	b.c.Assert(b.p.Stats().Waiters, qt.Equals, 0)
}

// Guards against memory filling up while the log takes nothing.
func TestPendingLogIsBounded(t *testing.T) {
	b := newBench(t)
	big := func(s *Submit) { s.Request.Body = make([]byte, api.MaxBodyBytes) }
	var last WaiterID
	for i := range maxPending>>20 + maxInFlight + 2 {
		last = b.submit(string(rune('a'+i)), big)
	}
	b.c.Assert(b.replies[last].Err.Code, qt.Equals, api.CodeOverloaded)
	b.c.Assert(b.replies[last].Err.NotRun, qt.IsTrue)
	b.commit()
	b.c.Assert(b.p.owner.log.size, qt.Equals, 0)
}

// Guards against two partitions taking one worker into their accounts.
func TestWorkerOfAnotherPartitionIsIgnored(t *testing.T) {
	b := newBench(t)
	b.step(TablesChanged{Tables: api.Tables{Pools: []api.Pool{{Name: "blue", Home: "south"}}}})
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue"}})
	b.c.Assert(b.syncs, qt.HasLen, 0)
}

// Guards against requests left open when the worker of a former owner's claim never
// reports, and against placing them before its lease has certainly ended.
func TestNewOwnerMarksSilentWorkerLost(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.started("k", nil)
	b.started("once", once)
	b.own()
	start := b.now
	b.worker("w2", "i1")
	for b.now < start+b.p.cfg.certainLease() {
		b.c.Assert(b.send, qt.HasLen, 0)
		b.c.Assert(b.status("once"), qt.Equals, api.StateClaimed)
		b.pass(50 * ms)
		b.commit()
		b.sync("w2", "i1", nil)
	}
	b.pass(retryBase)
	b.c.Assert(b.send, qt.HasLen, 1)
	b.c.Assert(b.status("once"), qt.Equals, api.StateUnknown)
}

// Guards against dropping a late result of a task whose claim was not durable.
func TestLateResultResolvesUnknown(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.submit("k", nil)
	b.take(b.p.Apply(b.now, b.log[0])) // the claim is lost
	id := b.send[0].Dispatch.Task
	b.own()
	b.cancel("k")
	b.commit()
	b.pass(b.p.cfg.certainLease())
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateUnknown)
	b.worker("w1", "i1")
	b.sync("w1", "i1", ends(end(id, api.EndDone, "x")))
	b.c.Assert(b.status("k"), qt.Equals, api.StateUnknown)
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateDone)
}

// Guards against a stream of syncs to a worker that does not hold the call.
func TestQuickResponsesAreRateLimited(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	n := 1
	for ; b.syncs["w1"].Sequence != 0; n++ {
		b.sync("w1", "i1", nil)
	}
	b.c.Assert(n, qt.Equals, quickAnswers+1)
	b.pass(syncRetry)
	b.sync("w1", "i1", nil)
}

// Guards against work being rerouted when the tables change under it.
func TestAcceptedWorkKeepsItsRoute(t *testing.T) {
	b := newBench(t)
	b.submit("k", nil)
	b.commit()
	b.step(TablesChanged{Tables: api.Tables{Version: 2, Routes: []api.Route{{Name: "draft", Pool: "red"}}}})
	b.worker("w1", "i1")
	b.c.Assert(b.send, qt.HasLen, 1)
}

// Guards against batches that grow without bound and against too many at once.
func TestProposalsAreBatched(t *testing.T) {
	b := newBench(t)
	for i := range 20 {
		b.submit(string(rune('a'+i)), func(s *Submit) { s.Request.Body = make([]byte, 100<<10) })
	}
	b.c.Assert(b.log, qt.HasLen, maxInFlight)
	for len(b.log) > 0 {
		b.c.Assert(len(b.log[0]) < 1<<20, qt.IsTrue)
		b.take(b.p.Apply(b.now, b.log[0]))
		b.log = b.log[1:]
	}
	b.c.Assert(b.p.Stats().Records, qt.Equals, 20)
}
