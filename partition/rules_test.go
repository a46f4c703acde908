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

// harness drives one owner step by step. It collects the actions and commits on demand.
type harness struct {
	c          *qt.C
	p          *Partition
	scheduler  *firstFitScheduler
	now        time.Duration
	epoch      uint64
	log        [][]byte // proposed and not applied
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
	h := &harness{c: qt.New(t), syncs: map[string]SendSync{}, replies: map[WaiterID]Reply{}, now: time.Second}
	h.p = New(Config{Name: "north", Seed: 1}, func() Scheduler {
		h.scheduler = newFirstFitScheduler().(*firstFitScheduler)
		return h.scheduler
	})
	h.becomeOwner()
	return h
}

// becomeOwner starts a new epoch. Batches that are proposed and not applied are lost.
func (h *harness) becomeOwner() {
	h.epoch++
	h.log, h.syncs, h.dispatches = nil, map[string]SendSync{}, nil
	h.step(BecameOwner{Epoch: h.epoch})
	h.commit()
}

func (h *harness) step(e Event)              { h.handleActions(h.p.Step(h.now, e)) }
func (h *harness) advance(d time.Duration)   { h.now += d; h.step(Tick{}) }
func (h *harness) status(k string) api.State { s, _ := h.p.Status(key(k)); return s.State }
func key(k string) api.RequestKey            { return api.RequestKey{Caller: "c", Key: k} }

func (h *harness) handleActions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Propose:
			h.log = append(h.log, a.Data)
		case SendSync:
			h.syncs[a.Worker] = a
		case SendDispatch:
			h.dispatches = append(h.dispatches, a)
		case SendStop:
			h.stops = append(h.stops, a)
		case SendRevoke:
			h.revokes = append(h.revokes, a)
		case OwnershipDisputed:
			h.disputes = append(h.disputes, a)
		case Reply:
			_, twice := h.replies[a.Waiter]
			h.c.Assert(twice, qt.IsFalse, qt.Commentf("waiter %d answered twice", a.Waiter))
			h.replies[a.Waiter] = a
		}
	}
}

// commit applies all proposed batches, including those that result from applying others.
func (h *harness) commit() {
	for len(h.log) > 0 {
		data := h.log[0]
		h.log = h.log[1:]
		h.handleActions(h.p.Apply(h.now, data))
	}
}

func (h *harness) submit(k string, change func(*Submit)) WaiterID {
	h.waiter++
	s := Submit{
		Waiter: h.waiter, WaitUntil: h.now + time.Minute, Route: api.Route{Name: "draft", Pool: "blue"},
		Request: api.SubmitRequest{Caller: "c", Key: k, Body: []byte("body"), Resources: api.Resources{MilliCPU: 1000}},
	}
	if change != nil {
		change(&s)
	}
	h.step(s)
	return h.waiter
}

func (h *harness) cancel(k string) WaiterID {
	h.waiter++
	h.step(Cancel{Waiter: h.waiter, WaitUntil: h.now + time.Minute, Key: key(k)})
	return h.waiter
}

// nonIdempotent makes a request non-idempotent.
func nonIdempotent(s *Submit) { s.Request.NonIdempotent = true }

// announce announces a worker.
func (h *harness) announce(name, incarnation string) {
	h.step(WorkerAnnounced{api.Announcement{
		Worker: name, Incarnation: incarnation, URL: "http://" + name, Pool: "blue", Slots: 8,
		Capacity: api.Resources{MilliCPU: 8000},
	}})
}

// addWorker announces a worker and answers its first sync. It commits the record of the
// announcement unless other commands wait for a commit.
func (h *harness) addWorker(name, incarnation string) {
	idle := len(h.log) == 0
	h.announce(name, incarnation)
	h.answerSync(name, incarnation, nil)
	if idle {
		h.commit()
	}
}

func (h *harness) answerSync(name, incarnation string, change func(*api.SyncResponse)) {
	s, ok := h.syncs[name]
	h.c.Assert(ok, qt.IsTrue, qt.Commentf("no sync is outstanding"))
	delete(h.syncs, name)
	h.token++
	r := api.SyncResponse{Worker: name, Incarnation: incarnation, Token: h.token}
	if change != nil {
		change(&r)
	}
	h.step(SyncAnswered{Worker: name, Sequence: s.Sequence, Response: r})
}

func (h *harness) answerDispatch(i int, state, incarnation string) {
	d := h.dispatches[i]
	h.step(DispatchAnswered{Worker: d.Worker, Task: d.Dispatch.Task,
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

// startTask submits a request and confirms the start of its task. It returns the waiter and the
// task.
func (h *harness) startTask(k string, change func(*Submit)) (WaiterID, api.TaskID) {
	w := h.submit(k, change)
	h.commit()
	i := len(h.dispatches) - 1
	h.answerDispatch(i, api.DispatchStarted, h.dispatches[i].Dispatch.Incarnation)
	return w, h.dispatches[i].Dispatch.Task
}

// Guards against a request that does not run from submit to the caller's answer.
func TestRequestRunsToCompletion(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	w, id := h.startTask("k", nil)
	h.c.Assert(h.status("k"), qt.Equals, api.StateRunning)
	h.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "bond")))
	h.c.Assert(h.replies[w].Status, qt.IsNil, qt.Commentf("answered before the outcome is durable"))
	h.commit()
	h.c.Assert(string(h.replies[w].Status.Answer), qt.Equals, "bond")
	h.c.Assert(h.syncs["w1"].Request.Acknowledged, qt.DeepEquals, []api.TaskID{id})
}

// Guards against a second execution when a request is resent while its accept is in flight.
func TestResendJoinsAcceptInFlight(t *testing.T) {
	h := newHarness(t)
	first, second := h.submit("k", nil), h.submit("k", nil)
	other := h.submit("k", func(s *Submit) { s.Request.Body = []byte("other") })
	h.c.Assert(h.replies[other].Err.Code, qt.Equals, api.CodeKeyReused)
	h.c.Assert(h.replies[other].Err.NotRun, qt.IsTrue)
	h.c.Assert(h.log, qt.HasLen, 1)
	h.commit()
	h.addWorker("w1", "i1")
	h.c.Assert(h.dispatches, qt.HasLen, 1)
	h.answerSync("w1", "i1", withEnds(taskEnd(h.dispatches[0].Dispatch.Task, api.EndDone, "x")))
	h.commit()
	h.c.Assert(h.replies[first].Status.State, qt.Equals, api.StateDone)
	h.c.Assert(h.replies[second].Status.State, qt.Equals, api.StateDone)
	late := h.submit("k", func(s *Submit) { s.Request.Body = []byte("other") })
	h.c.Assert(h.replies[late].Err.Code, qt.Equals, api.CodeKeyReused)
}

// Guards against reporting a request as accepted before its record is committed.
func TestAcceptIsReportedAfterCommit(t *testing.T) {
	h := newHarness(t)
	w := h.submit("k", func(s *Submit) { s.WaitUntil = 0 })
	h.advance(10 * ms)
	h.c.Assert(h.replies, qt.HasLen, 0)
	h.commit()
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateQueued)
	late := h.submit("k2", func(s *Submit) { s.WaitUntil = 0 })
	h.advance(2 * minCommitWait)
	h.c.Assert(h.replies[late].Err.Code, qt.Equals, api.CodeUnknownResult)
}

// Guards against recording requests that are malformed or that admission refuses.
func TestRefusedAtAdmission(t *testing.T) {
	h := newHarness(t)
	for field, change := range map[string]func(*Submit){
		"tasks":       func(s *Submit) { s.Request.Tasks = 2 },
		"key":         func(s *Submit) { s.Request.Key = "" },
		"class":       func(s *Submit) { s.Request.Class = "asap" },
		"resources":   func(s *Submit) { s.Request.Resources.MemoryMB = -1 },
		"deadline_ms": func(s *Submit) { s.Request.DeadlineMillis = -1 },
		"body":        func(s *Submit) { s.Request.Body = make([]byte, api.MaxBodyBytes+1) },
	} {
		w := h.submit("k", change)
		h.c.Assert(h.replies[w].Err.Field, qt.Equals, field)
	}
	above := h.submit("k", func(s *Submit) { s.Route.Class, s.Request.Class = api.ClassNormal, api.ClassUrgent })
	h.c.Assert(h.replies[above].Err.Field, qt.Equals, "class")
	for verdict, code := range map[placement.Verdict]api.ErrorCode{
		placement.NeverFits: api.CodeNeverFits, placement.Overloaded: api.CodeOverloaded, placement.QuotaExceeded: api.CodeNeverFits,
	} {
		h.scheduler.refusal = &placement.Admission{Verdict: verdict}
		w := h.submit("k", nil)
		h.c.Assert(h.replies[w].Err.Code, qt.Equals, code)
		h.c.Assert(h.replies[w].Err.NotRun, qt.IsTrue)
	}
	h.c.Assert(h.log, qt.HasLen, 0)
}

// Guards against dispatching a non-idempotent request before its claim is durable, and against
// delaying the dispatch of an idempotent one until then.
func TestClaimBeforeDispatch(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		h := newHarness(t)
		h.addWorker("w1", "i1")
		h.submit("k", func(s *Submit) { s.Request.NonIdempotent = nonIdempotent })
		accept := h.log[0]
		h.log = nil
		h.handleActions(h.p.Apply(h.now, accept))
		h.c.Assert(len(h.dispatches) == 0, qt.Equals, nonIdempotent)
		h.c.Assert(h.log, qt.HasLen, 1)
		h.commit()
		h.c.Assert(h.dispatches, qt.HasLen, 1)
	}
}

// Guards against accepting a truncated or altered answer.
func TestCorruptAnswerIsNotAccepted(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	w, id := h.startTask("k", nil)
	for _, corrupt := range []func(*api.TaskEnd){
		func(e *api.TaskEnd) { e.Answer = e.Answer[:2] },
		func(e *api.TaskEnd) { e.Answer = []byte("bund") },
		func(e *api.TaskEnd) { e.AnswerDigest = "" },
	} {
		e := taskEnd(id, api.EndDone, "bond")
		corrupt(&e)
		h.answerSync("w1", "i1", withEnds(e))
		h.commit()
		h.c.Assert(h.replies, qt.HasLen, 0)
		_, again := h.syncs["w1"]
		h.c.Assert(again, qt.IsFalse, qt.Commentf("the worker would immediately answer with the same end"))
		h.advance(maxAckDelay)
		h.c.Assert(h.syncs["w1"].Request.Acknowledged, qt.HasLen, 0)
	}
	h.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "bond")))
	h.commit()
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateDone)
}

// Guards against acknowledging an end before its record is committed.
func TestEndIsAcknowledgedAfterCommit(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	_, id := h.startTask("k", nil)
	h.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "x")))
	h.advance(maxAckDelay)
	h.c.Assert(h.syncs["w1"].Request.Acknowledged, qt.HasLen, 0)
	h.commit()
	h.answerSync("w1", "i1", nil)
	h.c.Assert(h.syncs["w1"].Request.Acknowledged, qt.DeepEquals, []api.TaskID{id})
}

// Guards against starting a request again before the lease of its first attempt has certainly
// ended.
func TestTaskOfLostWorkerIsRetriedAfterLeaseEnd(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.startTask("k", nil)
	once, _ := h.startTask("once", nonIdempotent)
	h.step(SyncFailed{Worker: "w1", Sequence: h.syncs["w1"].Sequence})
	h.addWorker("w2", "i1")
	granted := h.now
	lease := h.p.cfg.leaseBound()
	for h.now < granted+lease-50*ms {
		h.advance(50 * ms)
		h.commit()
		h.answerSync("w2", "i1", nil)
		h.c.Assert(h.dispatches, qt.HasLen, 2, qt.Commentf("after %v", h.now-granted))
	}
	for range 10 {
		h.advance(50 * ms)
		h.commit()
	}
	h.c.Assert(h.dispatches, qt.HasLen, 3)
	h.c.Assert(h.dispatches[2].Worker, qt.Equals, "w2")
	h.c.Assert(h.replies[once].Status.State, qt.Equals, api.StateUnknown)
}

// Guards against giving new work to a leaving or unresponsive worker.
func TestUnusableWorkerGetsNoNewWork(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.answerSync("w1", "i1", func(r *api.SyncResponse) { r.Leaving = true })
	h.submit("k", nil)
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 0)
	h.c.Assert(h.p.Workers(h.now)[0].State, qt.Equals, "leaving")
	h.addWorker("w2", "i1")
	h.c.Assert(h.dispatches, qt.HasLen, 1)
	h.step(SyncFailed{Worker: "w2", Sequence: h.syncs["w2"].Sequence})
	h.submit("k2", nil)
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 1)
	h.c.Assert(h.p.Explain(h.now, key("k2")).WaitsFor, qt.Not(qt.Equals), "")
	h.advance(syncRetryInterval)
	h.answerSync("w2", "i1", nil)
	h.c.Assert(h.dispatches, qt.HasLen, 2)
	h.advance(2*maxSyncWait + ms) // the sync is not answered
	h.submit("k3", nil)
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 2)
}

// Guards against a late announcement or answer of an earlier process replacing the current one.
func TestStaleIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	_, id := h.startTask("k", nonIdempotent)
	old := h.syncs["w1"]
	h.step(SyncFailed{Worker: "w1", Sequence: old.Sequence})
	h.addWorker("w1", "i2")
	h.commit()
	h.c.Assert(h.status("k"), qt.Equals, api.StateUnknown)
	current := h.syncs["w1"]
	h.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "http://old"}})
	h.step(SyncAnswered{Worker: "w1", Sequence: old.Sequence, Response: api.SyncResponse{
		Worker: "w1", Incarnation: "i1", Token: 99, Running: []api.TaskID{id}}})
	h.c.Assert(h.syncs["w1"], qt.DeepEquals, current)
	h.answerDispatch(0, api.DispatchRefused, "i2")
	h.commit()
	h.c.Assert(h.status("k"), qt.Equals, api.StateUnknown)
	// The new process reports the end from its journal.
	h.answerSync("w1", "i2", withEnds(taskEnd(id, api.EndDone, "x")))
	h.commit()
	h.c.Assert(h.status("k"), qt.Equals, api.StateDone)
}

// Guards against a sync that hands what was computed for one process on to the next one: its
// token, and the ends that it reported.
func TestSyncOfNextIncarnationStartsAnew(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	_, id := h.startTask("k", nil)
	h.token = 1000
	h.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "x")))
	h.advance(maxAckDelay) // sends a sync
	h.commit()             // the sync after that one is to acknowledge the end
	h.token = 1
	h.answerSync("w1", "i2", withRunning(id)) // the worker was restarted in the meantime
	h.advance(unannouncedSyncInterval)
	next := h.syncs["w1"].Request
	h.c.Assert(next.EchoIncarnation, qt.Equals, "i2")
	h.c.Assert(next.EchoToken, qt.Equals, int64(2))
	h.c.Assert(next.Acknowledged, qt.HasLen, 0)
	h.c.Assert(h.stops, qt.HasLen, 1)
	h.c.Assert(h.stops[0].Command.Incarnation, qt.Equals, "i2")
}

// Guards against treating a refusal by a later process as proof that the addressed process did
// not run the task.
func TestRefusalByAnotherIncarnationIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.submit("k", nonIdempotent)
	h.commit()
	h.step(SyncFailed{Worker: "w1", Sequence: h.syncs["w1"].Sequence})
	h.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "u", Pool: "blue"}})
	h.answerSync("w1", "i2", withEnds(taskEnd(h.dispatches[0].Dispatch.Task, api.EndRefused, "")))
	h.commit()
	h.c.Assert(h.status("k"), qt.Equals, api.StateUnknown)
}

// Guards against placing requests on a worker that has not reported to the new owner, and
// against allocations that differ from the tasks and the capacity that the worker reports.
func TestNoPlacementBeforeFirstReport(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.becomeOwner()
	h.submit("k", nil)
	h.commit()
	h.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue", Slots: 1}})
	h.c.Assert(h.dispatches, qt.HasLen, 0)
	h.c.Assert(h.syncs["w1"].Request.EchoToken, qt.Equals, int64(0))
	foreign := api.TaskID{RequestKey: key("other"), Attempt: 1}
	h.answerSync("w1", "i1", func(r *api.SyncResponse) {
		r.Running, r.Capacity = []api.TaskID{foreign}, &api.Resources{MilliCPU: 1000}
	})
	h.c.Assert(h.dispatches, qt.HasLen, 0)
	h.c.Assert(h.stops, qt.HasLen, 1)
	h.answerSync("w1", "i1", nil)
	h.c.Assert(h.dispatches, qt.HasLen, 1)
	h.c.Assert(h.syncs["w1"].Request.EchoToken, qt.Equals, h.token)
}

// Guards against a dispatch without an allocation: while the claim is being committed, the
// worker is lost, which drops its allocations, and returns.
func TestClaimWithoutAllocationIsWithdrawn(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.submit("k", nonIdempotent)
	h.handleActions(h.p.Apply(h.now, h.log[0]))
	h.log = h.log[1:] // only the claim is still in flight
	h.step(SyncFailed{Worker: "w1", Sequence: h.syncs["w1"].Sequence})
	h.advance(3 * time.Second)
	h.addWorker("w1", "i1")
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 0)
	h.advance(minBackoff)
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 1)
	h.c.Assert(h.p.Stats().Scheduler.Running, qt.Equals, 1)
}

// Guards against a late announcement of an unknown process that disconnects a working worker,
// and against not finding a worker that moved to another URL.
func TestCandidateURLIsTriedWhenSyncsFail(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	fail := func() { h.step(SyncFailed{Worker: "w1", Sequence: h.syncs["w1"].Sequence}) }
	h.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "http://moved", Pool: "blue", Slots: 1}})
	h.c.Assert(h.syncs["w1"].URL, qt.Equals, "http://w1")
	fail()
	h.advance(syncRetryInterval)
	h.c.Assert(h.syncs["w1"].URL, qt.Equals, "http://moved")
	fail()
	h.advance(syncRetryInterval)
	h.c.Assert(h.syncs["w1"].URL, qt.Equals, "http://w1")
	h.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "http://moved", Pool: "blue", Slots: 1}})
	fail()
	h.advance(syncRetryInterval)
	h.answerSync("w1", "i2", nil)
	h.c.Assert(h.syncs["w1"].URL, qt.Equals, "http://moved")
	h.c.Assert(h.p.Workers(h.now)[0].State, qt.Equals, "ready")
}

// Guards against running tasks without an allocation when the worker reports them before the
// announcement of its process arrives.
func TestTaskReportedBeforeAnnouncementIsAllocated(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i2")
	_, id := h.startTask("k", nil)
	h.becomeOwner()
	h.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue", Slots: 8}})
	h.answerSync("w1", "i2", withRunning(id))
	h.c.Assert(h.p.Stats().Scheduler.Workers, qt.Equals, 0)
	h.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i2", URL: "u", Pool: "blue", Slots: 8}})
	h.c.Assert(h.p.Stats().Scheduler, qt.Equals, SchedulerStats{Running: 1, Workers: 1})
}

// Guards against applying a batch of an earlier owner that reaches the log after a batch of its
// successor.
func TestBatchOfOlderEpochHasNoEffect(t *testing.T) {
	h := newHarness(t)
	h.submit("k", nil)
	stale := h.log[0]
	h.becomeOwner()
	h.handleActions(h.p.Apply(h.now, stale))
	h.c.Assert(h.p.Stats().Records, qt.Equals, 0)
}

// Guards against a snapshot that loses state, and against restoring one of another format.
func TestSnapshotRestores(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.startTask("k", nonIdempotent)
	h.submit("k2", nil)
	h.cancel("k2")
	h.commit()
	copied := New(Config{}, newFirstFitScheduler)
	h.c.Assert(copied.Restore(h.p.Snapshot()), qt.IsNil)
	h.c.Assert(copied.Snapshot(), qt.DeepEquals, h.p.Snapshot())
	h.c.Assert(copied.Restore([]byte("x")), qt.IsNotNil)
	h.c.Assert(copied.Restore(encode(snapshot{Version: 2})), qt.IsNotNil)
	h.c.Assert(h.p.Restore(h.p.Snapshot()), qt.IsNotNil, qt.Commentf("restored while owner"))
}

// Guards against calls without an answer when the ownership ends, or when they reach a replica
// that is not the owner.
func TestLostOwnershipAnswersCalls(t *testing.T) {
	h := newHarness(t)
	w := h.submit("k", nil)
	h.step(LostOwnership{})
	h.c.Assert(h.replies[w].Err.Code, qt.Equals, api.CodeUnknownResult)
	late := h.submit("k", nil)
	h.c.Assert(h.replies[late].Err.Code, qt.Equals, api.CodeUnavailable)
	h.c.Assert(h.replies[late].Err.NotRun, qt.IsFalse)
}

// Guards against an owner that continues to act after a newer owner has taken over.
func TestHigherEpochEndsOwnership(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	w := h.submit("k", nil)
	h.answerSync("w1", "i1", func(r *api.SyncResponse) { r.StaleEpoch = 9 })
	h.c.Assert(h.disputes, qt.DeepEquals, []OwnershipDisputed{{Worker: "w1", Epoch: 9}})
	h.c.Assert(h.replies[w].Err.Code, qt.Equals, api.CodeUnknownResult)
	h.commit()
	h.advance(time.Second)
	h.c.Assert(h.dispatches, qt.HasLen, 0)
}

// Guards against a wrong request state for each way in which a started task can end.
func TestRequestStateAfterTaskEnd(t *testing.T) {
	for _, tc := range []struct {
		name          string
		nonIdempotent bool
		kind          api.EndKind
		state         api.State
	}{
		{"failed", false, api.EndFailed, api.StateFailed},
		{"failed, non-idempotent", true, api.EndFailed, api.StateFailed},
		{"stopped is retried", false, api.EndStopped, api.StateQueued},
		{"stopped, non-idempotent", true, api.EndStopped, api.StateFailed},
		{"refused after the start is no evidence", true, api.EndRefused, api.StateUnknown},
	} {
		h := newHarness(t)
		h.addWorker("w1", "i1")
		_, id := h.startTask("k", func(s *Submit) { s.Request.NonIdempotent = tc.nonIdempotent })
		h.answerSync("w1", "i1", withEnds(taskEnd(id, tc.kind, "")))
		h.commit()
		h.c.Assert(h.status("k"), qt.Equals, tc.state, qt.Commentf(tc.name))
	}
}

// Guards against unlimited or immediate retries, and against a wrong final state.
func TestRetriesAreBounded(t *testing.T) {
	for kind, want := range map[string]api.State{"refused": api.StateNotRun, "stopped": api.StateFailed} {
		h := newHarness(t)
		h.addWorker("w1", "i1")
		h.submit("k", nil)
		for i := range 3 {
			h.commit()
			h.c.Assert(h.dispatches, qt.HasLen, i+1)
			if kind == "refused" {
				h.answerDispatch(i, api.DispatchRefused, "i1")
			} else {
				h.answerSync("w1", "i1", withEnds(taskEnd(h.dispatches[i].Dispatch.Task, api.EndStopped, "")))
			}
			h.commit()
			h.c.Assert(h.dispatches, qt.HasLen, i+1, qt.Commentf("retried without a backoff"))
			h.advance(minBackoff << i)
		}
		h.c.Assert(h.status("k"), qt.Equals, want)
	}
}

// Guards against more retries than the budget allows.
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

// Guards against reporting not_run before it is durable, and against starting a cancelled
// request.
func TestCancelOfQueuedRequest(t *testing.T) {
	h := newHarness(t)
	w := h.submit("k", nil)
	h.commit()
	h.cancel("k")
	c := h.cancel("k")
	h.c.Assert(h.replies, qt.HasLen, 0)
	h.addWorker("w1", "i1")
	h.commit()
	h.c.Assert(h.replies[c].Status.State, qt.Equals, api.StateNotRun)
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateNotRun)
	h.c.Assert(h.dispatches, qt.HasLen, 0)
	early := h.submit("k2", nil)
	h.cancel("k2")
	h.commit()
	h.c.Assert(h.replies[early].Status.State, qt.Equals, api.StateNotRun)
	none := h.cancel("k3")
	h.c.Assert(h.replies[none].Err.Code, qt.Equals, api.CodeNotFound)
}

// Guards against two outcomes when a cancel arrives while a claim is being committed.
func TestCancelWhileClaimInFlight(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.submit("k", nonIdempotent)
	h.handleActions(h.p.Apply(h.now, h.log[0]))
	h.log = h.log[1:] // only the claim is still in flight
	c := h.cancel("k")
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 0)
	h.c.Assert(h.replies[c].Status.State, qt.Equals, api.StateNotRun)
	h.c.Assert(h.p.Stats().Scheduler.Running, qt.Equals, 0)
}

// Guards against reporting a running request as not_run: the worker's report decides.
func TestCancelOfRunningRequest(t *testing.T) {
	for kind, want := range map[api.EndKind]api.State{api.EndStopped: api.StateFailed, api.EndDone: api.StateDone} {
		h := newHarness(t)
		h.addWorker("w1", "i1")
		_, id := h.startTask("k", nil)
		c := h.cancel("k")
		h.c.Assert(h.stops, qt.HasLen, 0, qt.Commentf("stopped before the cancel is durable"))
		h.commit()
		h.c.Assert(h.stops, qt.HasLen, 1)
		h.answerSync("w1", "i1", withEnds(taskEnd(id, kind, "x")))
		h.commit()
		h.c.Assert(h.replies[c].Status.State, qt.Equals, want)
	}
}

// Guards against an uncertain dispatch that is never resolved, and against treating another
// incarnation's refusal as proof.
func TestRevokeResolvesUncertainDispatch(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.submit("k", nonIdempotent)
	h.commit()
	h.step(DispatchAnswered{Worker: "w1", Task: h.dispatches[0].Dispatch.Task})
	h.c.Assert(h.revokes, qt.HasLen, 1)
	h.c.Assert(h.revokes[0].Command, qt.Equals, api.TaskCommand{
		Task: h.dispatches[0].Dispatch.Task, Partition: "north", Epoch: h.epoch, Incarnation: "i1"})
	answer := func(incarnation string) {
		h.step(CommandAnswered{Worker: "w1", Task: h.dispatches[0].Dispatch.Task, Revoke: true,
			Response: &api.DispatchResponse{State: api.DispatchRefused, Incarnation: incarnation}})
		h.commit()
	}
	answer("i2")
	h.c.Assert(h.status("k"), qt.Equals, api.StateClaimed)
	answer("i1")
	h.c.Assert(h.status("k"), qt.Equals, api.StateQueued)
}

// Guards against starting a request after its deadline, and against reporting the expiry before
// it is durable or not at all.
func TestDeadlineWhileQueued(t *testing.T) {
	h := newHarness(t)
	w := h.submit("k", func(s *Submit) { s.Request.DeadlineMillis = 100 })
	h.commit()
	h.advance(101 * ms)
	h.c.Assert(h.replies, qt.HasLen, 0)
	h.commit()
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateNotRun)
}

// Guards against placing a request again that an earlier owner may have dispatched without a
// durable claim, and against delaying a request that it cannot have dispatched.
func TestNewOwnerWaitsForInheritedLeases(t *testing.T) {
	h := newHarness(t)
	h.submit("k", nil)
	h.submit("once", nonIdempotent)
	h.commit()
	h.becomeOwner()
	h.addWorker("w1", "i1")
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 1)
	h.c.Assert(h.dispatches[0].Dispatch.Task.Key, qt.Equals, "once")
	c := h.cancel("k")
	for range 45 {
		h.advance(50 * ms)
		h.commit()
	}
	h.c.Assert(h.replies[c].Status.State, qt.Equals, api.StateUnknown)
}

// Guards against losing a task that keeps running while the owner changes.
func TestNewOwnerAdoptsRunningTask(t *testing.T) {
	for _, durable := range []bool{true, false} {
		h := newHarness(t)
		h.addWorker("w1", "i1")
		h.submit("k", nil)
		accept := h.log[0]
		h.log = nil
		h.handleActions(h.p.Apply(h.now, accept))
		id := h.dispatches[0].Dispatch.Task
		if durable {
			h.commit()
		}
		h.becomeOwner()
		h.announce("w1", "i1")
		h.answerSync("w1", "i1", withRunning(id))
		h.commit()
		h.c.Assert(h.status("k"), qt.Equals, api.StateRunning)
		h.c.Assert(h.p.Stats().Scheduler.Running, qt.Equals, 1)
		h.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "x")))
		h.commit()
		h.c.Assert(h.status("k"), qt.Equals, api.StateDone)
		h.c.Assert(h.dispatches, qt.HasLen, 0)
	}
}

// Guards against a cancelled request that runs on under a new owner, since the stop that the previous owner
// sent did not arrive.
func TestNewOwnerStopsCancelledRequest(t *testing.T) {
	for _, isNonIdempotent := range []bool{false, true} {
		h := newHarness(t)
		h.addWorker("w1", "i1")
		_, id := h.startTask("k", func(s *Submit) { s.Request.NonIdempotent = isNonIdempotent })
		h.cancel("k")
		h.commit()
		h.becomeOwner()
		h.stops = nil
		h.announce("w1", "i1")
		h.answerSync("w1", "i1", withRunning(id))
		h.commit()
		h.c.Assert(h.stops, qt.HasLen, 1)
		h.c.Assert(h.stops[0].Command.Task, qt.Equals, id)
		w := h.cancel("k")
		h.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndStopped, "")))
		h.commit()
		h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateFailed)
		h.c.Assert(h.dispatches, qt.HasLen, 0)
	}
}

// Guards against deleting outcomes by local time, which would make replicas diverge.
func TestOutcomeExpiresByCommand(t *testing.T) {
	h := newHarness(t)
	h.submit("k", nil)
	h.cancel("k")
	h.commit()
	h.advance(h.p.cfg.OutcomeRetention - ms)
	h.commit()
	h.c.Assert(h.status("k"), qt.Equals, api.StateNotRun)
	h.advance(ms)
	h.c.Assert(h.status("k"), qt.Equals, api.StateNotRun)
	h.commit()
	h.c.Assert(h.p.Stats().Records, qt.Equals, 0)
}

// Guards against losing commands when a batch is not added to the log.
func TestFailedProposalIsRepeated(t *testing.T) {
	h := newHarness(t)
	w := h.submit("k", func(s *Submit) { s.WaitUntil = 0 })
	h.log = nil
	h.step(ProposeFailed{Sequence: h.epoch<<sequenceBits + 2})
	h.c.Assert(h.log, qt.HasLen, 0)
	h.advance(proposeRetryInterval)
	h.commit()
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateQueued)
}

// Guards against calls that wait forever, and against replies to callers that no longer wait.
func TestWaitersAreBounded(t *testing.T) {
	h := newHarness(t)
	w := h.submit("k", func(s *Submit) { s.WaitUntil = h.now + 10*ms })
	h.commit()
	h.advance(10 * ms)
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateQueued)
	gone := h.submit("k", nil)
	h.step(ForgetWaiter{Waiter: gone})
	late := h.submit("k", func(s *Submit) { s.WaitUntil = h.now + 24*time.Hour })
	h.advance(maxCallWait)
	h.c.Assert(h.replies[late].Status, qt.IsNotNil)
	_, answered := h.replies[gone]
	h.c.Assert(answered, qt.IsFalse)
	h.c.Assert(h.p.Stats().Waiters, qt.Equals, 0)
}

// Guards against unbounded memory use while the log accepts no batches.
func TestPendingLogIsBounded(t *testing.T) {
	h := newHarness(t)
	big := func(s *Submit) { s.Request.Body = make([]byte, api.MaxBodyBytes) }
	var last WaiterID
	for i := range maxPendingBytes>>20 + maxInFlight + 2 {
		last = h.submit(string(rune('a'+i)), big)
	}
	h.c.Assert(h.replies[last].Err.Code, qt.Equals, api.CodeOverloaded)
	h.c.Assert(h.replies[last].Err.NotRun, qt.IsTrue)
	h.commit()
	h.c.Assert(h.p.owner.proposer.pendingBytes, qt.Equals, 0)
}

// Guards against two partitions that allocate resources of the same worker.
func TestWorkerOfAnotherPartitionIsIgnored(t *testing.T) {
	h := newHarness(t)
	h.step(TablesChanged{Tables: api.Tables{Pools: []api.Pool{{Name: "blue", Home: "south"}}}})
	h.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "u", Pool: "blue"}})
	h.c.Assert(h.syncs, qt.HasLen, 0)
}

// Guards against requests that stay open when the worker claimed by an earlier owner never
// reports, and against placing them again before its lease has certainly ended.
func TestNewOwnerMarksSilentWorkerLost(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.startTask("k", nil)
	h.startTask("once", nonIdempotent)
	h.becomeOwner()
	start := h.now
	h.addWorker("w2", "i1")
	for h.now < start+h.p.cfg.leaseBound() {
		h.c.Assert(h.dispatches, qt.HasLen, 0)
		h.c.Assert(h.status("once"), qt.Equals, api.StateClaimed)
		h.advance(50 * ms)
		h.commit()
		h.answerSync("w2", "i1", nil)
	}
	h.advance(minBackoff)
	h.c.Assert(h.dispatches, qt.HasLen, 1)
	h.c.Assert(h.status("once"), qt.Equals, api.StateUnknown)
}

// Guards against discarding a late result of a task whose claim did not become durable.
func TestLateResultResolvesUnknown(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.submit("k", nil)
	h.handleActions(h.p.Apply(h.now, h.log[0])) // the claim is lost
	id := h.dispatches[0].Dispatch.Task
	h.becomeOwner()
	h.cancel("k")
	h.commit()
	h.advance(h.p.cfg.leaseBound())
	h.commit()
	h.c.Assert(h.status("k"), qt.Equals, api.StateUnknown)
	h.addWorker("w1", "i1")
	h.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "x")))
	h.c.Assert(h.status("k"), qt.Equals, api.StateUnknown)
	h.commit()
	h.c.Assert(h.status("k"), qt.Equals, api.StateDone)
}

// Guards against a rapid sequence of syncs to a worker that does not hold the calls.
func TestQuickResponsesAreRateLimited(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	n := 1
	for ; h.syncs["w1"].Sequence != 0; n++ {
		h.answerSync("w1", "i1", nil)
	}
	h.c.Assert(n, qt.Equals, maxQuickResponses+1)
	h.advance(syncRetryInterval)
	h.answerSync("w1", "i1", nil)
}

// Guards against unbounded batches and against too many batches in flight.
func TestProposalsAreBatched(t *testing.T) {
	h := newHarness(t)
	for i := range 20 {
		h.submit(string(rune('a'+i)), func(s *Submit) { s.Request.Body = make([]byte, 100<<10) })
	}
	h.c.Assert(h.log, qt.HasLen, maxInFlight)
	for len(h.log) > 0 {
		h.c.Assert(len(h.log[0]) < 1<<20, qt.IsTrue)
		h.handleActions(h.p.Apply(h.now, h.log[0]))
		h.log = h.log[1:]
	}
	h.c.Assert(h.p.Stats().Records, qt.Equals, 20)
}
