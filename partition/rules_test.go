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
type harness struct {
	c          *qt.C
	p          *Partition
	scheduler  *firstFitScheduler
	now        time.Duration
	epoch      uint64
	log        [][]byte // proposed, not applied
	syncs      map[string]SendSync
	dispatches []SendDispatch
	stops      []SendStop
	revokes    []SendRevoke
	disputes   []OwnershipDisputed
	replies    map[WaiterID]Reply
	waiter     WaiterID
	token      int64
}

func newHarness(t testing.TB) *harness {
	b := &harness{c: qt.New(t), syncs: map[string]SendSync{}, replies: map[WaiterID]Reply{}, now: time.Second}
	b.p = New(Config{Name: "north", Seed: 1}, func() Scheduler {
		b.scheduler = newFirstFitScheduler().(*firstFitScheduler)
		return b.scheduler
	})
	b.becomeOwner()
	return b
}

// own starts a new epoch; what is proposed and not applied is lost.
func (b *harness) becomeOwner() {
	b.epoch++
	b.log, b.syncs, b.dispatches = nil, map[string]SendSync{}, nil
	b.step(BecameOwner{Epoch: b.epoch})
	b.commit()
}

func (b *harness) step(e Event)              { b.handleActions(b.p.Step(b.now, e)) }
func (b *harness) advance(d time.Duration)   { b.now += d; b.step(Tick{}) }
func (b *harness) status(k string) api.State { s, _ := b.p.Status(key(k)); return s.State }
func key(k string) api.RequestKey            { return api.RequestKey{Caller: "c", Key: k} }

func (b *harness) handleActions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Propose:
			b.log = append(b.log, a.Data)
		case SendSync:
			b.syncs[a.Worker] = a
		case SendDispatch:
			b.dispatches = append(b.dispatches, a)
		case SendStop:
			b.stops = append(b.stops, a)
		case SendRevoke:
			b.revokes = append(b.revokes, a)
		case OwnershipDisputed:
			b.disputes = append(b.disputes, a)
		case Reply:
			_, twice := b.replies[a.Waiter]
			b.c.Assert(twice, qt.IsFalse, qt.Commentf("waiter %d answered twice", a.Waiter))
			b.replies[a.Waiter] = a
		}
	}
}

// commit applies everything proposed, also what follows from it.
func (b *harness) commit() {
	for len(b.log) > 0 {
		data := b.log[0]
		b.log = b.log[1:]
		b.handleActions(b.p.Apply(b.now, data))
	}
}

func (b *harness) submit(k string, change func(*Submit)) WaiterID {
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

func (b *harness) cancel(k string) WaiterID {
	b.waiter++
	b.step(Cancel{Waiter: b.waiter, WaitUntil: b.now + time.Minute, Key: key(k)})
	return b.waiter
}

func nonIdempotent(s *Submit) { s.Request.NonIdempotent = true }

// worker announces a worker and answers its first sync. The record of the announcement is
// committed unless other commands wait for a commit.
func (b *harness) addWorker(name, incarnation string) {
	idle := len(b.log) == 0
	b.step(WorkerAnnounced{api.Announcement{
		Worker: name, Incarnation: incarnation, URL: "http://" + name, Pool: "blue", Slots: 8,
		Capacity: api.Resources{MilliCPU: 8000},
	}})
	b.answerSync(name, incarnation, nil)
	if idle {
		b.commit()
	}
}

func (b *harness) answerSync(name, incarnation string, change func(*api.SyncResponse)) {
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

func (b *harness) answerDispatch(i int, state, incarnation string) {
	d := b.dispatches[i]
	b.step(DispatchAnswered{Worker: d.Worker, Task: d.Dispatch.Task,
		Response: &api.DispatchResponse{State: state, Incarnation: incarnation}})
}

func taskEnd(id api.TaskID, kind api.EndKind, answer string) api.TaskEnd {
	sum := sha256.Sum256([]byte(answer))
	return api.TaskEnd{Task: id, Kind: kind, Answer: []byte(answer), AnswerLength: len(answer), AnswerDigest: hex.EncodeToString(sum[:])}
}

func withEnds(e ...api.TaskEnd) func(*api.SyncResponse) {
	return func(r *api.SyncResponse) { r.Ended = e }
}

func withRunning(ids ...api.TaskID) func(*api.SyncResponse) {
	return func(r *api.SyncResponse) { r.Running = ids }
}

// started submits a request and runs it up to the confirmed start.
func (b *harness) startTask(k string, change func(*Submit)) (WaiterID, api.TaskID) {
	w := b.submit(k, change)
	b.commit()
	i := len(b.dispatches) - 1
	b.answerDispatch(i, api.DispatchStarted, b.dispatches[i].Dispatch.Incarnation)
	return w, b.dispatches[i].Dispatch.Task
}

// Guards against a lost or partial path from submit to the caller's answer.
func TestRequestRunsToItsAnswer(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	w, id := b.startTask("k", nil)
	b.c.Assert(b.status("k"), qt.Equals, api.StateRunning)
	b.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "bond")))
	b.c.Assert(b.replies[w].Status, qt.IsNil, qt.Commentf("told before the outcome is durable"))
	b.commit()
	b.c.Assert(string(b.replies[w].Status.Answer), qt.Equals, "bond")
	b.c.Assert(b.syncs["w1"].Request.Acknowledged, qt.DeepEquals, []api.TaskID{id})
}

// Guards against a second execution for a resend while the accept is being proposed.
func TestResendJoinsAcceptInFlight(t *testing.T) {
	b := newHarness(t)
	first, second := b.submit("k", nil), b.submit("k", nil)
	other := b.submit("k", func(s *Submit) { s.Request.Body = []byte("other") })
	b.c.Assert(b.replies[other].Err.Code, qt.Equals, api.CodeKeyReused)
	b.c.Assert(b.replies[other].Err.NotRun, qt.IsTrue)
	b.c.Assert(b.log, qt.HasLen, 1)
	b.commit()
	b.addWorker("w1", "i1")
	b.c.Assert(b.dispatches, qt.HasLen, 1)
	b.answerSync("w1", "i1", withEnds(taskEnd(b.dispatches[0].Dispatch.Task, api.EndDone, "x")))
	b.commit()
	b.c.Assert(b.replies[first].Status.State, qt.Equals, api.StateDone)
	b.c.Assert(b.replies[second].Status.State, qt.Equals, api.StateDone)
	late := b.submit("k", func(s *Submit) { s.Request.Body = []byte("other") })
	b.c.Assert(b.replies[late].Err.Code, qt.Equals, api.CodeKeyReused)
}

// Guards against telling "accepted" before the accept record is committed.
func TestAcceptedIsToldAfterCommit(t *testing.T) {
	b := newHarness(t)
	w := b.submit("k", func(s *Submit) { s.WaitUntil = 0 })
	b.advance(10 * ms)
	b.c.Assert(b.replies, qt.HasLen, 0)
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateQueued)
	late := b.submit("k2", func(s *Submit) { s.WaitUntil = 0 })
	b.advance(2 * minCommitWait)
	b.c.Assert(b.replies[late].Err.Code, qt.Equals, api.CodeUnknownResult)
}

// Guards against recording what admission refused and against malformed requests.
func TestRefusedAtAdmission(t *testing.T) {
	b := newHarness(t)
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
		b.scheduler.refusal = &placement.Admission{Verdict: verdict}
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
		b := newHarness(t)
		b.addWorker("w1", "i1")
		b.submit("k", func(s *Submit) { s.Request.NonIdempotent = nonIdempotent })
		accept := b.log[0]
		b.log = nil
		b.handleActions(b.p.Apply(b.now, accept))
		b.c.Assert(len(b.dispatches) == 0, qt.Equals, nonIdempotent)
		b.c.Assert(b.log, qt.HasLen, 1)
		b.commit()
		b.c.Assert(b.dispatches, qt.HasLen, 1)
	}
}

// Guards against taking a truncated or altered answer as the whole one.
func TestPartialAnswerIsNotReceived(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	w, id := b.startTask("k", nil)
	for _, spoil := range []func(*api.TaskEnd){
		func(e *api.TaskEnd) { e.Answer = e.Answer[:2] },
		func(e *api.TaskEnd) { e.Answer = []byte("bund") },
		func(e *api.TaskEnd) { e.AnswerDigest = "" },
	} {
		e := taskEnd(id, api.EndDone, "bond")
		spoil(&e)
		b.answerSync("w1", "i1", withEnds(e))
		b.commit()
		b.c.Assert(b.replies, qt.HasLen, 0)
		_, again := b.syncs["w1"]
		b.c.Assert(again, qt.IsFalse, qt.Commentf("the worker would answer at once with the same end"))
		b.advance(maxAckDelay)
		b.c.Assert(b.syncs["w1"].Request.Acknowledged, qt.HasLen, 0)
	}
	b.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "bond")))
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateDone)
}

// Guards against acknowledging an end whose record may still be lost.
func TestEndIsAcknowledgedAfterCommit(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	_, id := b.startTask("k", nil)
	b.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "x")))
	b.advance(maxAckDelay)
	b.c.Assert(b.syncs["w1"].Request.Acknowledged, qt.HasLen, 0)
	b.commit()
	b.answerSync("w1", "i1", nil)
	b.c.Assert(b.syncs["w1"].Request.Acknowledged, qt.DeepEquals, []api.TaskID{id})
}

// Guards against a second start before the lease of the first has certainly ended.
func TestLostWorkerWaitsOutTheLease(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.startTask("k", nil)
	once, _ := b.startTask("once", nonIdempotent)
	b.step(SyncFailed{Worker: "w1", Sequence: b.syncs["w1"].Sequence})
	b.addWorker("w2", "i1")
	granted := b.now
	lease := b.p.cfg.leaseBound()
	for b.now < granted+lease-50*ms {
		b.advance(50 * ms)
		b.commit()
		b.answerSync("w2", "i1", nil)
		b.c.Assert(b.dispatches, qt.HasLen, 2, qt.Commentf("after %v", b.now-granted))
	}
	for range 10 {
		b.advance(50 * ms)
		b.commit()
	}
	b.c.Assert(b.dispatches, qt.HasLen, 3)
	b.c.Assert(b.dispatches[2].Worker, qt.Equals, "w2")
	b.c.Assert(b.replies[once].Status.State, qt.Equals, api.StateUnknown)
}

// Guards against taking work of a leaving or failing worker, or giving it new work.
func TestUnusableWorkerGetsNoNewWork(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.answerSync("w1", "i1", func(r *api.SyncResponse) { r.Leaving = true })
	b.submit("k", nil)
	b.commit()
	b.c.Assert(b.dispatches, qt.HasLen, 0)
	b.c.Assert(b.p.Workers(b.now)[0].State, qt.Equals, "leaving")
	b.addWorker("w2", "i1")
	b.c.Assert(b.dispatches, qt.HasLen, 1)
	b.step(SyncFailed{Worker: "w2", Sequence: b.syncs["w2"].Sequence})
	b.submit("k2", nil)
	b.commit()
	b.c.Assert(b.dispatches, qt.HasLen, 1)
	b.c.Assert(b.p.Explain(b.now, key("k2")).WaitsFor, qt.Not(qt.Equals), "")
	b.advance(syncRetryInterval)
	b.answerSync("w2", "i1", nil)
	b.c.Assert(b.dispatches, qt.HasLen, 2)
	b.advance(2*maxSyncWait + ms) // the sync hangs
	b.submit("k3", nil)
	b.commit()
	b.c.Assert(b.dispatches, qt.HasLen, 2)
}

// Guards against a late announcement or answer of a former process replacing the live one.
func TestStaleIncarnationIsIgnored(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	_, id := b.startTask("k", nonIdempotent)
	old := b.syncs["w1"]
	b.step(SyncFailed{Worker: "w1", Sequence: old.Sequence})
	b.addWorker("w1", "i2")
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateUnknown)
	current := b.syncs["w1"]
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "http://old"}})
	b.step(SyncAnswered{Worker: "w1", Sequence: old.Sequence, Response: api.SyncResponse{
		Worker: "w1", Incarnation: "i1", Token: 99, Running: []api.TaskID{id}}})
	b.c.Assert(b.syncs["w1"], qt.DeepEquals, current)
	b.answerDispatch(0, api.DispatchRefused, "i2")
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateUnknown)
	// The journal of the new process tells what happened.
	b.answerSync("w1", "i2", withEnds(taskEnd(id, api.EndDone, "x")))
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateDone)
}

// Guards against a refusal by a later process being taken as evidence about the one that
// was addressed.
func TestRefusalOfAnotherIncarnationIsNoEvidence(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.submit("k", nonIdempotent)
	b.commit()
	b.step(SyncFailed{Worker: "w1", Sequence: b.syncs["w1"].Sequence})
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "u", Pool: "blue"}})
	b.answerSync("w1", "i2", withEnds(taskEnd(b.dispatches[0].Dispatch.Task, api.EndRefused, "")))
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateUnknown)
}

// Guards against placing work on a worker that has not reported to the new owner, and
// against beginning with another account than the worker's own.
func TestNoPlacementBeforeFirstReport(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.becomeOwner()
	b.submit("k", nil)
	b.commit()
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue", Slots: 1}})
	b.c.Assert(b.dispatches, qt.HasLen, 0)
	b.c.Assert(b.syncs["w1"].Request.EchoToken, qt.Equals, int64(0))
	foreign := api.TaskID{RequestKey: key("other"), Attempt: 1}
	b.answerSync("w1", "i1", func(r *api.SyncResponse) {
		r.Running, r.Capacity = []api.TaskID{foreign}, &api.Resources{MilliCPU: 1000}
	})
	b.c.Assert(b.dispatches, qt.HasLen, 0)
	b.c.Assert(b.stops, qt.HasLen, 1)
	b.answerSync("w1", "i1", nil)
	b.c.Assert(b.dispatches, qt.HasLen, 1)
	b.c.Assert(b.syncs["w1"].Request.EchoToken, qt.Equals, b.token)
}

// Guards against a dispatch outside the account: the worker is lost, which drops its
// reservations, and returns while the claim is being committed.
func TestClaimOutlivesReservation(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.submit("k", nonIdempotent)
	b.handleActions(b.p.Apply(b.now, b.log[0]))
	b.log = b.log[1:] // the claim is left
	b.step(SyncFailed{Worker: "w1", Sequence: b.syncs["w1"].Sequence})
	b.advance(3 * time.Second)
	b.addWorker("w1", "i1")
	b.commit()
	b.c.Assert(b.dispatches, qt.HasLen, 0)
	b.advance(minBackoff)
	b.commit()
	b.c.Assert(b.dispatches, qt.HasLen, 1)
	b.c.Assert(b.p.Stats().Scheduler.Running, qt.Equals, 1)
}

// Guards against a late announcement of an unknown process cutting off a live worker, and
// against missing one that moved.
func TestAnnouncedProcessIsTriedWhenSyncsFail(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	fail := func() { b.step(SyncFailed{Worker: "w1", Sequence: b.syncs["w1"].Sequence}) }
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "http://moved", Pool: "blue", Slots: 1}})
	b.c.Assert(b.syncs["w1"].URL, qt.Equals, "http://w1")
	fail()
	b.advance(syncRetryInterval)
	b.c.Assert(b.syncs["w1"].URL, qt.Equals, "http://moved")
	fail()
	b.advance(syncRetryInterval)
	b.c.Assert(b.syncs["w1"].URL, qt.Equals, "http://w1")
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "http://moved", Pool: "blue", Slots: 1}})
	fail()
	b.advance(syncRetryInterval)
	b.answerSync("w1", "i2", nil)
	b.c.Assert(b.syncs["w1"].URL, qt.Equals, "http://moved")
	b.c.Assert(b.p.Workers(b.now)[0].State, qt.Equals, "ready")
}

// Guards against running tasks missing in the account when the worker reports them before
// the announcement of its process arrives.
func TestReportBeforeAnnouncementIsInTheAccount(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i2")
	_, id := b.startTask("k", nil)
	b.becomeOwner()
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue", Slots: 8}})
	b.answerSync("w1", "i2", withRunning(id))
	b.c.Assert(b.p.Stats().Scheduler.Workers, qt.Equals, 0)
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "u", Pool: "blue", Slots: 8}})
	b.c.Assert(b.p.Stats().Scheduler, qt.Equals, SchedulerStats{Running: 1, Workers: 1})
}

// Guards against a batch of a former owner that reaches the log after its successor's.
func TestBatchOfOlderEpochHasNoEffect(t *testing.T) {
	b := newHarness(t)
	b.submit("k", nil)
	stale := b.log[0]
	b.becomeOwner()
	b.handleActions(b.p.Apply(b.now, stale))
	b.c.Assert(b.p.Stats().Records, qt.Equals, 0)
}

// Guards against a snapshot that loses state or is taken over from another format.
func TestSnapshotRestores(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.startTask("k", nonIdempotent)
	b.submit("k2", nil)
	b.cancel("k2")
	b.commit()
	copied := New(Config{}, newFirstFitScheduler)
	b.c.Assert(copied.Restore(b.p.Snapshot()), qt.IsNil)
	b.c.Assert(copied.Snapshot(), qt.DeepEquals, b.p.Snapshot())
	b.c.Assert(copied.Restore([]byte("x")), qt.IsNotNil)
	b.c.Assert(copied.Restore(encode(snapshot{Version: 2})), qt.IsNotNil)
	b.c.Assert(b.p.Restore(b.p.Snapshot()), qt.IsNotNil, qt.Commentf("restored while owner"))
}

// Guards against calls that are left without an answer when the ownership ends, or that
// reach a replica that is not the owner.
func TestLostOwnershipAnswersCalls(t *testing.T) {
	b := newHarness(t)
	w := b.submit("k", nil)
	b.step(LostOwnership{})
	b.c.Assert(b.replies[w].Err.Code, qt.Equals, api.CodeUnknownResult)
	late := b.submit("k", nil)
	b.c.Assert(b.replies[late].Err.Code, qt.Equals, api.CodeUnavailable)
	b.c.Assert(b.replies[late].Err.NotRun, qt.IsFalse)
}

// Guards against acting beside a newer owner.
func TestHigherEpochEndsOwnership(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	w := b.submit("k", nil)
	b.answerSync("w1", "i1", func(r *api.SyncResponse) { r.StaleEpoch = 9 })
	b.c.Assert(b.disputes, qt.DeepEquals, []OwnershipDisputed{{Worker: "w1", Epoch: 9}})
	b.c.Assert(b.replies[w].Err.Code, qt.Equals, api.CodeUnknownResult)
	b.commit()
	b.advance(time.Second)
	b.c.Assert(b.dispatches, qt.HasLen, 0)
}

// Guards against a wrong result for each way in which a start can end.
func TestEndsAndTheirResults(t *testing.T) {
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
		b := newHarness(t)
		b.addWorker("w1", "i1")
		_, id := b.startTask("k", func(s *Submit) { s.Request.NonIdempotent = tc.once })
		b.answerSync("w1", "i1", withEnds(taskEnd(id, tc.kind, "")))
		b.commit()
		b.c.Assert(b.status("k"), qt.Equals, tc.state, qt.Commentf(tc.name))
	}
}

// Guards against endless or immediate retries, and against a wrong final state.
func TestRetriesAreBounded(t *testing.T) {
	for kind, want := range map[string]api.State{"refused": api.StateNotRun, "stopped": api.StateFailed} {
		b := newHarness(t)
		b.addWorker("w1", "i1")
		b.submit("k", nil)
		for i := range 3 {
			b.commit()
			b.c.Assert(b.dispatches, qt.HasLen, i+1)
			if kind == "refused" {
				b.answerDispatch(i, api.DispatchRefused, "i1")
			} else {
				b.answerSync("w1", "i1", withEnds(taskEnd(b.dispatches[i].Dispatch.Task, api.EndStopped, "")))
			}
			b.commit()
			b.c.Assert(b.dispatches, qt.HasLen, i+1, qt.Commentf("retried without a pause"))
			b.advance(minBackoff << i)
		}
		b.c.Assert(b.status("k"), qt.Equals, want)
	}
}

// Guards against a burst of retries beyond the budget.
func TestRetryBudget(t *testing.T) {
	budget := newRetryBudget(0)
	granted := func(now time.Duration) (n int) {
		for budget.tryTake(now) {
			n++
		}
		return n
	}
	b := qt.New(t)
	b.Assert(granted(0), qt.Equals, 10)
	for range 1001 {
		budget.recordStart()
	}
	b.Assert(granted(0), qt.Equals, 100)
	b.Assert(granted(time.Second), qt.Equals, 2)
}

// Guards against telling not_run before it is durable or starting what was cancelled.
func TestCancelOfQueuedWork(t *testing.T) {
	b := newHarness(t)
	w := b.submit("k", nil)
	b.commit()
	b.cancel("k")
	c := b.cancel("k")
	b.c.Assert(b.replies, qt.HasLen, 0)
	b.addWorker("w1", "i1")
	b.commit()
	b.c.Assert(b.replies[c].Status.State, qt.Equals, api.StateNotRun)
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateNotRun)
	b.c.Assert(b.dispatches, qt.HasLen, 0)
	early := b.submit("k2", nil)
	b.cancel("k2")
	b.commit()
	b.c.Assert(b.replies[early].Status.State, qt.Equals, api.StateNotRun)
	none := b.cancel("k3")
	b.c.Assert(b.replies[none].Err.Code, qt.Equals, api.CodeNotFound)
}

// Guards against two results when a cancel meets a claim that is being committed.
func TestCancelMeetsClaimInFlight(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.submit("k", nonIdempotent)
	b.handleActions(b.p.Apply(b.now, b.log[0]))
	b.log = b.log[1:] // the claim is left
	c := b.cancel("k")
	b.commit()
	b.c.Assert(b.dispatches, qt.HasLen, 0)
	b.c.Assert(b.replies[c].Status.State, qt.Equals, api.StateNotRun)
	b.c.Assert(b.p.Stats().Scheduler.Running, qt.Equals, 0)
}

// Guards against a false not_run for running work: the worker's report decides.
func TestCancelOfRunningWork(t *testing.T) {
	for kind, want := range map[api.EndKind]api.State{api.EndStopped: api.StateFailed, api.EndDone: api.StateDone} {
		b := newHarness(t)
		b.addWorker("w1", "i1")
		_, id := b.startTask("k", nil)
		c := b.cancel("k")
		b.c.Assert(b.stops, qt.HasLen, 0, qt.Commentf("stopped before the cancel is durable"))
		b.commit()
		b.c.Assert(b.stops, qt.HasLen, 1)
		b.answerSync("w1", "i1", withEnds(taskEnd(id, kind, "x")))
		b.commit()
		b.c.Assert(b.replies[c].Status.State, qt.Equals, want)
	}
}

// Guards against an uncertain dispatch staying open, and against taking another
// incarnation's refusal as evidence.
func TestRevokeResolvesUncertainDispatch(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.submit("k", nonIdempotent)
	b.commit()
	b.step(DispatchAnswered{Worker: "w1", Task: b.dispatches[0].Dispatch.Task})
	b.c.Assert(b.revokes, qt.HasLen, 1)
	answer := func(incarnation string) {
		b.step(CommandAnswered{Worker: "w1", Task: b.dispatches[0].Dispatch.Task, Revoke: true,
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
	b := newHarness(t)
	w := b.submit("k", func(s *Submit) { s.Request.DeadlineMillis = 100 })
	b.commit()
	b.advance(101 * ms)
	b.c.Assert(b.replies, qt.HasLen, 0)
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateNotRun)
}

// Guards against placing again what a former owner may have dispatched without a
// durable claim, and against holding back what it cannot have dispatched.
func TestNewOwnerWaitsForTheDoubtful(t *testing.T) {
	b := newHarness(t)
	b.submit("k", nil)
	b.submit("once", nonIdempotent)
	b.commit()
	b.becomeOwner()
	b.addWorker("w1", "i1")
	b.commit()
	b.c.Assert(b.dispatches, qt.HasLen, 1)
	b.c.Assert(b.dispatches[0].Dispatch.Task.Key, qt.Equals, "once")
	c := b.cancel("k")
	for range 45 {
		b.advance(50 * ms)
		b.commit()
	}
	b.c.Assert(b.replies[c].Status.State, qt.Equals, api.StateUnknown)
}

// Guards against losing a task that runs on while the owner changes.
func TestNewOwnerAdoptsRunningTask(t *testing.T) {
	for _, durable := range []bool{true, false} {
		b := newHarness(t)
		b.addWorker("w1", "i1")
		b.submit("k", nil)
		accept := b.log[0]
		b.log = nil
		b.handleActions(b.p.Apply(b.now, accept))
		id := b.dispatches[0].Dispatch.Task
		if durable {
			b.commit()
		}
		b.becomeOwner()
		b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue", Slots: 8, Capacity: api.Resources{MilliCPU: 8000}}})
		b.answerSync("w1", "i1", withRunning(id))
		b.commit()
		b.c.Assert(b.status("k"), qt.Equals, api.StateRunning)
		b.c.Assert(b.p.Stats().Scheduler.Running, qt.Equals, 1)
		b.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "x")))
		b.commit()
		b.c.Assert(b.status("k"), qt.Equals, api.StateDone)
		b.c.Assert(b.dispatches, qt.HasLen, 0)
	}
}

// Guards against dropping outcomes by local time, which would let replicas differ.
func TestOutcomeExpiresByCommand(t *testing.T) {
	b := newHarness(t)
	b.submit("k", nil)
	b.cancel("k")
	b.commit()
	b.advance(b.p.cfg.OutcomeRetention - ms)
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateNotRun)
	b.advance(ms)
	b.c.Assert(b.status("k"), qt.Equals, api.StateNotRun)
	b.commit()
	b.c.Assert(b.p.Stats().Records, qt.Equals, 0)
}

// Guards against lost commands when a proposal is not taken into the log.
func TestFailedProposalIsRepeated(t *testing.T) {
	b := newHarness(t)
	w := b.submit("k", func(s *Submit) { s.WaitUntil = 0 })
	b.log = nil
	b.step(ProposeFailed{Sequence: b.epoch<<sequenceBits + 2})
	b.c.Assert(b.log, qt.HasLen, 0)
	b.advance(proposeRetryInterval)
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateQueued)
}

// Guards against calls that wait forever, and replies to callers that have gone.
func TestWaitersAreBounded(t *testing.T) {
	b := newHarness(t)
	w := b.submit("k", func(s *Submit) { s.WaitUntil = b.now + 10*ms })
	b.commit()
	b.advance(10 * ms)
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateQueued)
	gone := b.submit("k", nil)
	b.step(ForgetWaiter{Waiter: gone})
	late := b.submit("k", func(s *Submit) { s.WaitUntil = b.now + 24*time.Hour })
	b.advance(maxCallWait)
	b.c.Assert(b.replies[late].Status, qt.IsNotNil)
	_, answered := b.replies[gone]
	b.c.Assert(answered, qt.IsFalse)
	b.c.Assert(b.p.Stats().Waiters, qt.Equals, 0)
}

// Guards against memory filling up while the log takes nothing.
func TestPendingLogIsBounded(t *testing.T) {
	b := newHarness(t)
	big := func(s *Submit) { s.Request.Body = make([]byte, api.MaxBodyBytes) }
	var last WaiterID
	for i := range maxPendingBytes>>20 + maxInFlight + 2 {
		last = b.submit(string(rune('a'+i)), big)
	}
	b.c.Assert(b.replies[last].Err.Code, qt.Equals, api.CodeOverloaded)
	b.c.Assert(b.replies[last].Err.NotRun, qt.IsTrue)
	b.commit()
	b.c.Assert(b.p.owner.proposer.pendingBytes, qt.Equals, 0)
}

// Guards against two partitions taking one worker into their accounts.
func TestWorkerOfAnotherPartitionIsIgnored(t *testing.T) {
	b := newHarness(t)
	b.step(TablesChanged{Tables: api.Tables{Pools: []api.Pool{{Name: "blue", Home: "south"}}}})
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue"}})
	b.c.Assert(b.syncs, qt.HasLen, 0)
}

// Guards against requests left open when the worker of a former owner's claim never
// reports, and against placing them before its lease has certainly ended.
func TestNewOwnerGivesUpSilentWorker(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.startTask("k", nil)
	b.startTask("once", nonIdempotent)
	b.becomeOwner()
	start := b.now
	b.addWorker("w2", "i1")
	for b.now < start+b.p.cfg.leaseBound() {
		b.c.Assert(b.dispatches, qt.HasLen, 0)
		b.c.Assert(b.status("once"), qt.Equals, api.StateClaimed)
		b.advance(50 * ms)
		b.commit()
		b.answerSync("w2", "i1", nil)
	}
	b.advance(minBackoff)
	b.c.Assert(b.dispatches, qt.HasLen, 1)
	b.c.Assert(b.status("once"), qt.Equals, api.StateUnknown)
}

// Guards against dropping a late result of a task whose claim was not durable.
func TestLateResultResolvesUnknown(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	b.submit("k", nil)
	b.handleActions(b.p.Apply(b.now, b.log[0])) // the claim is lost
	id := b.dispatches[0].Dispatch.Task
	b.becomeOwner()
	b.cancel("k")
	b.commit()
	b.advance(b.p.cfg.leaseBound())
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateUnknown)
	b.addWorker("w1", "i1")
	b.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "x")))
	b.c.Assert(b.status("k"), qt.Equals, api.StateUnknown)
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateDone)
}

// Guards against a stream of syncs to a worker that does not hold the call.
func TestQuickAnswersArePaced(t *testing.T) {
	b := newHarness(t)
	b.addWorker("w1", "i1")
	n := 1
	for ; b.syncs["w1"].Sequence != 0; n++ {
		b.answerSync("w1", "i1", nil)
	}
	b.c.Assert(n, qt.Equals, maxQuickResponses+1)
	b.advance(syncRetryInterval)
	b.answerSync("w1", "i1", nil)
}

// Guards against work being rerouted when the tables change under it.
func TestAcceptedWorkKeepsItsRoute(t *testing.T) {
	b := newHarness(t)
	b.submit("k", nil)
	b.commit()
	b.step(TablesChanged{Tables: api.Tables{Version: 2, Routes: []api.Route{{Name: "draft", Pool: "red"}}}})
	b.addWorker("w1", "i1")
	b.c.Assert(b.dispatches, qt.HasLen, 1)
}

// Guards against batches that grow without bound and against too many at once.
func TestProposalsAreBatched(t *testing.T) {
	b := newHarness(t)
	for i := range 20 {
		b.submit(string(rune('a'+i)), func(s *Submit) { s.Request.Body = make([]byte, 100<<10) })
	}
	b.c.Assert(b.log, qt.HasLen, maxInFlight)
	for len(b.log) > 0 {
		b.c.Assert(len(b.log[0]) < 1<<20, qt.IsTrue)
		b.handleActions(b.p.Apply(b.now, b.log[0]))
		b.log = b.log[1:]
	}
	b.c.Assert(b.p.Stats().Records, qt.Equals, 20)
}
