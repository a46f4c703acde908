package partition

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// asGang returns a function that changes a Submit to a gang of n tasks.
func asGang(n int) func(*Submit) {
	return func(s *Submit) {
		s.Route.Workload, s.Request.Tasks = api.WorkloadGang, n
		s.Request.Resources = api.Resources{MilliCPU: 5000} // one task per worker
	}
}

func asNonIdempotentGang(n int) func(*Submit) {
	return func(s *Submit) { asGang(n)(s); nonIdempotent(s) }
}

// newGangHarness returns a harness with a gang of two tasks, dispatched to w1 and w2, and the
// waiter and the tasks of the gang.
func newGangHarness(t *testing.T, change func(*Submit)) (*harness, WaiterID, []api.TaskID) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.addWorker("w2", "i2")
	w := h.submit("k", change)
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 2)
	return h, w, []api.TaskID{h.dispatches[0].Dispatch.Task, h.dispatches[1].Dispatch.Task}
}

// newStartedGangHarness is like newGangHarness, with the starts of both tasks confirmed.
func newStartedGangHarness(t *testing.T, change func(*Submit)) (*harness, WaiterID, []api.TaskID) {
	h, w, ids := newGangHarness(t, change)
	h.answerDispatch(0, api.DispatchStarted, "i1")
	h.answerDispatch(1, api.DispatchStarted, "i2")
	return h, w, ids
}

// advanceWithSyncs advances the time while w1 reports the given running tasks and w2 none.
func (h *harness) advanceWithSyncs(d time.Duration, ids ...api.TaskID) {
	for until := h.now + d; h.now < until; {
		h.advance(50 * ms)
		h.commit()
		for _, name := range []string{"w1", "w2"} {
			if _, ok := h.syncs[name]; !ok {
				continue
			}
			incarnation := h.p.owner.workers[name].incarnation
			if name == "w1" {
				h.answerSync(name, incarnation, withRunning(ids...))
			} else {
				h.answerSync(name, incarnation, nil)
			}
		}
		h.commit()
	}
}

// proposedClaims returns the claims in the proposed batches.
func (h *harness) proposedClaims() (list []*claimCommand) {
	for _, data := range h.log {
		_, commands, err := decodeBatch(data)
		h.c.Assert(err, qt.IsNil)
		for _, c := range commands {
			if c.Claim != nil {
				list = append(list, c.Claim)
			}
		}
	}
	return list
}

// Guards against a gang that does not run from submit to its answer, and against allocations
// that are released before or kept after the end of their task.
func TestGangRunsToCompletion(t *testing.T) {
	h, w, ids := newGangHarness(t, asGang(2))
	h.c.Assert([]int{ids[0].Index, ids[1].Index}, qt.DeepEquals, []int{0, 1})
	h.c.Assert([]string{h.dispatches[0].Worker, h.dispatches[1].Worker}, qt.DeepEquals, []string{"w1", "w2"})
	h.answerDispatch(1, api.DispatchStarted, "i2")
	h.c.Assert(h.status("k"), qt.Equals, api.StateClaimed)
	h.answerDispatch(0, api.DispatchStarted, "i1")
	h.c.Assert(h.status("k"), qt.Equals, api.StateRunning)
	h.answerSync("w2", "i2", withEnds(taskEnd(ids[1], api.EndDone, "second")))
	h.commit()
	h.c.Assert(h.status("k"), qt.Equals, api.StateRunning)
	h.c.Assert(h.scheduler.allocated, qt.HasLen, 1)
	h.c.Assert(h.scheduler.allocated[taskKey{key("k"), 0}], qt.IsNotNil)
	h.answerSync("w1", "i1", withEnds(taskEnd(ids[0], api.EndDone, "")))
	h.c.Assert(h.replies[w].Status, qt.IsNil)
	h.commit()
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateDone)
	var answers [][]byte
	h.c.Assert(json.Unmarshal(h.replies[w].Status.Answer, &answers), qt.IsNil)
	h.c.Assert(fmt.Sprintf("%q", answers), qt.Equals, `["" "second"]`)
	h.c.Assert(h.scheduler.allocated, qt.HasLen, 0)
	h.c.Assert(h.p.owner.requests, qt.HasLen, 0)
}

// Guards against a gang whose claim is split over several log entries, and against the dispatch
// of a non-idempotent gang before its claim is durable.
func TestGangHasOneClaim(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		h := newHarness(t)
		h.addWorker("w1", "i1")
		h.addWorker("w2", "i2")
		h.submit("k", func(s *Submit) { asGang(2)(s); s.Request.NonIdempotent = nonIdempotent })
		accept := h.log[0]
		h.log = nil
		h.handleActions(h.p.Apply(h.now, accept))
		h.c.Assert(len(h.dispatches) == 0, qt.Equals, nonIdempotent)
		claims := h.proposedClaims()
		h.c.Assert(claims, qt.HasLen, 1)
		h.c.Assert(claims[0].Assignments, qt.DeepEquals, []taskAssignment{{"w1", "i1"}, {"w2", "i2"}})
		h.commit()
		h.c.Assert(h.dispatches, qt.HasLen, 2)
	}
}

// Guards against starting only some tasks of a gang.
func TestGangIsPlacedAtomically(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.submit("k", asGang(2))
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 0)
	h.c.Assert(h.scheduler.allocated, qt.HasLen, 0)
	h.addWorker("w2", "i2")
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 2)
}

// Guards against a gang that continues after one of its tasks has failed, and against an
// outcome that does not say which task failed.
func TestFailedTaskFailsGang(t *testing.T) {
	h, w, ids := newStartedGangHarness(t, asGang(2))
	e := taskEnd(ids[1], api.EndFailed, "")
	e.Reason = "no licence"
	h.answerSync("w2", "i2", withEnds(e))
	h.commit()
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateFailed)
	h.c.Assert(h.replies[w].Status.Reason, qt.Equals, "task 1 failed: no licence")
	h.c.Assert(h.stops, qt.HasLen, 1)
	h.c.Assert(h.stops[0].Command.Task, qt.Equals, ids[0])
	h.c.Assert(h.scheduler.allocated, qt.HasLen, 1, qt.Commentf("task 0 is still running"))
	h.answerSync("w1", "i1", withEnds(taskEnd(ids[0], api.EndStopped, "")))
	h.c.Assert(h.scheduler.allocated, qt.HasLen, 0)
	h.c.Assert(h.p.owner.requests, qt.HasLen, 0)
}

// Guards against a second attempt of a gang while a task of the first may be running, and
// against a second attempt that starts only the task that was refused.
func TestRefusedTaskEndsTheAttempt(t *testing.T) {
	h, _, ids := newGangHarness(t, asGang(2))
	h.answerDispatch(0, api.DispatchStarted, "i1")
	h.answerDispatch(1, api.DispatchRefused, "i2")
	h.commit()
	h.c.Assert(h.stops, qt.HasLen, 1)
	h.c.Assert(h.stops[0].Command.Task, qt.Equals, ids[0])
	h.advanceWithSyncs(time.Second, ids[0])
	h.c.Assert(h.dispatches, qt.HasLen, 2)
	h.answerSync("w1", "i1", withEnds(taskEnd(ids[0], api.EndStopped, "")))
	h.commit()
	h.c.Assert(h.status("k"), qt.Equals, api.StateQueued)
	h.c.Assert(h.scheduler.allocated, qt.HasLen, 0)
	h.advanceWithSyncs(300 * ms)
	h.c.Assert(h.dispatches, qt.HasLen, 4)
	for i, d := range h.dispatches[2:] {
		h.c.Assert(d.Dispatch.Task, qt.Equals, api.TaskID{RequestKey: key("k"), Attempt: ids[0].Attempt + 1, Index: i})
	}
}

// Guards against a gang that continues after the worker of a task was lost, and against its
// next attempt before the other tasks have ended.
func TestLostTaskEndsTheAttempt(t *testing.T) {
	h, _, ids := newStartedGangHarness(t, asGang(2))
	for range 30 { // w2 is silent
		h.advance(100 * ms)
		h.commit()
		if _, ok := h.syncs["w1"]; ok {
			h.answerSync("w1", "i1", withRunning(ids[0]))
		}
	}
	h.c.Assert(h.stops, qt.Not(qt.HasLen), 0)
	h.c.Assert(h.stops[0].Command.Task, qt.Equals, ids[0])
	h.addWorker("w2", "i2b")
	h.advanceWithSyncs(time.Second, ids[0])
	h.c.Assert(h.dispatches, qt.HasLen, 2, qt.Commentf("task 0 has not ended"))
	h.answerSync("w1", "i1", withEnds(taskEnd(ids[0], api.EndStopped, "")))
	h.commit()
	h.advanceWithSyncs(300 * ms)
	h.c.Assert(h.dispatches, qt.HasLen, 4)
}

// Guards against a wrong outcome of a non-idempotent gang of which some tasks may have run, and
// against a second attempt of it.
func TestPartialRunOfNonIdempotentGang(t *testing.T) {
	for _, tc := range []struct {
		name   string
		first  api.EndKind
		second string // "refused" or "lost"
		late   api.EndKind
		want   []api.State // before and after the late report
	}{
		{"one lost, then done", api.EndDone, "lost", api.EndDone, []api.State{api.StateUnknown, api.StateDone}},
		{"one lost, then failed", api.EndDone, "lost", api.EndFailed, []api.State{api.StateUnknown, api.StateFailed}},
		{"one lost, then stopped", api.EndStopped, "lost", api.EndStopped, []api.State{api.StateUnknown, api.StateFailed}},
		{"one done, one refused", api.EndDone, "refused", "", []api.State{api.StateFailed}},
		{"one stopped, one refused", api.EndStopped, "refused", "", []api.State{api.StateFailed}},
	} {
		h, w, ids := newGangHarness(t, asNonIdempotentGang(2))
		h.answerDispatch(0, api.DispatchStarted, "i1")
		if tc.second == "refused" {
			h.answerDispatch(1, api.DispatchRefused, "i2")
		} else {
			h.answerDispatch(1, api.DispatchStarted, "i2")
			h.step(WorkerAnnounced{api.Announcement{Worker: "w2", Incarnation: "i2b", URL: "http://w2", Pool: "blue", Slots: 8, Capacity: api.Resources{MilliCPU: 8000}}})
			h.answerSync("w2", "i2b", nil)
		}
		h.commit()
		h.c.Assert(h.replies[w].Status, qt.IsNil, qt.Commentf("%s: answered before task 0 ended", tc.name))
		h.answerSync("w1", "i1", withEnds(taskEnd(ids[0], tc.first, "")))
		h.commit()
		h.c.Assert(h.replies[w].Status.State, qt.Equals, tc.want[0], qt.Commentf(tc.name))
		if tc.late != "" {
			h.advance(2 * time.Second)
			h.answerSync("w2", "i2b", withEnds(taskEnd(ids[1], tc.late, "")))
			h.commit()
			h.c.Assert(h.status("k"), qt.Equals, tc.want[1], qt.Commentf(tc.name))
		}
		h.advance(5 * time.Second)
		h.commit()
		h.c.Assert(h.dispatches, qt.HasLen, 2, qt.Commentf(tc.name))
	}
}

// Guards against reporting not_run without proof for each task, and against not reporting it
// with that proof.
func TestGangNotRunRequiresProofForEachTask(t *testing.T) {
	h, _, _ := newGangHarness(t, asNonIdempotentGang(2))
	w := h.cancel("k")
	h.commit()
	h.c.Assert(h.revokes, qt.HasLen, 2)
	refused := func(i int) {
		h.step(CommandAnswered{Worker: h.revokes[i].Worker, Task: h.revokes[i].Command.Task, Revoke: true,
			Response: &api.DispatchResponse{State: api.DispatchRefused, Incarnation: h.dispatches[i].Dispatch.Incarnation}})
		h.commit()
	}
	refused(0)
	h.c.Assert(h.replies[w].Status, qt.IsNil)
	refused(1)
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateNotRun)
}

// Guards against a cancel that leaves tasks of a gang running.
func TestCancelOfRunningGang(t *testing.T) {
	h, w, ids := newStartedGangHarness(t, asGang(2))
	h.cancel("k")
	h.commit()
	h.c.Assert(h.stops, qt.HasLen, 2)
	for i, worker := range []string{"w1", "w2"} {
		h.c.Assert(h.replies[w].Status, qt.IsNil)
		h.answerSync(worker, h.dispatches[i].Dispatch.Incarnation, withEnds(taskEnd(ids[i], api.EndStopped, "")))
		h.commit()
	}
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateFailed)
	h.c.Assert(h.dispatches, qt.HasLen, 2)
}

// Guards against a gang that starts after its deadline.
func TestDeadlineOfQueuedGang(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	w := h.submit("k", func(s *Submit) { asGang(2)(s); s.Request.DeadlineMillis = 100 })
	h.commit()
	h.advance(200 * ms)
	h.commit()
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateNotRun)
}

// Guards against dispatching some tasks of a claimed gang when one of its workers became
// unusable during the commit of the claim, and against counting that attempt.
func TestGangIsWithdrawnAtomically(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.addWorker("w2", "i2")
	h.submit("k", asNonIdempotentGang(2))
	h.handleActions(h.p.Apply(h.now, h.log[0]))
	h.log = h.log[1:]
	h.answerSync("w2", "i2", func(r *api.SyncResponse) { r.Leaving = true })
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 0)
	h.c.Assert(h.status("k"), qt.Equals, api.StateQueued)
	h.c.Assert(h.scheduler.allocated, qt.HasLen, 0)
	h.addWorker("w3", "i3")
	h.advance(time.Second)
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 2)
	h.c.Assert(h.p.records[key("k")].Attempts, qt.HasLen, 1)
}

// Guards against a new owner that loses a gang's finished tasks, answers or allocations.
func TestNewOwnerInheritsGang(t *testing.T) {
	h, _, ids := newStartedGangHarness(t, asGang(2))
	h.answerSync("w1", "i1", withEnds(taskEnd(ids[0], api.EndDone, "first")))
	h.commit()
	h.becomeOwner()
	h.addWorker("w1", "i1")
	h.step(WorkerAnnounced{api.Announcement{Worker: "w2", Incarnation: "i2", URL: "http://w2", Pool: "blue", Slots: 8, Capacity: api.Resources{MilliCPU: 8000}}})
	h.c.Assert(h.status("k"), qt.Equals, api.StateClaimed)
	h.answerSync("w2", "i2", withRunning(ids[1]))
	h.c.Assert(h.status("k"), qt.Equals, api.StateRunning)
	h.c.Assert(h.scheduler.allocated, qt.HasLen, 1)
	h.c.Assert(h.scheduler.allocated[taskKey{key("k"), 1}].Name, qt.Equals, "w2")
	h.answerSync("w2", "i2", withEnds(taskEnd(ids[1], api.EndDone, "second")))
	h.commit()
	s, _ := h.p.Status(key("k"))
	h.c.Assert(string(s.Answer), qt.Equals, `["Zmlyc3Q=","c2Vjb25k"]`)
	h.c.Assert(h.dispatches, qt.HasLen, 0)
}

// Guards against a new owner that does not stop the remaining tasks of an attempt in which one
// task has ended without being done.
func TestNewOwnerStopsRemainingTasksOfGang(t *testing.T) {
	h, _, ids := newStartedGangHarness(t, asGang(2))
	h.answerSync("w2", "i2", withEnds(taskEnd(ids[1], api.EndStopped, "")))
	h.commit()
	h.becomeOwner()
	h.stops = nil
	h.addWorker("w2", "i2")
	h.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "http://w1", Pool: "blue", Slots: 8, Capacity: api.Resources{MilliCPU: 8000}}})
	h.answerSync("w1", "i1", withRunning(ids[0]))
	h.c.Assert(h.stops, qt.HasLen, 1)
	h.c.Assert(h.stops[0].Command.Task, qt.Equals, ids[0])
}

// Guards against a second run of a gang while tasks that an earlier owner dispatched without a
// durable claim are running, and against leaving those tasks running.
func TestUnclaimedGangIsStoppedThenPlacedAgain(t *testing.T) {
	h := newHarness(t)
	h.addWorker("w1", "i1")
	h.addWorker("w2", "i2")
	h.submit("k", asGang(2))
	h.handleActions(h.p.Apply(h.now, h.log[0])) // the claim is lost
	h.c.Assert(h.dispatches, qt.HasLen, 2)
	id := h.dispatches[0].Dispatch.Task
	h.becomeOwner()
	h.addWorker("w2", "i2")
	h.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "http://w1", Pool: "blue", Slots: 8, Capacity: api.Resources{MilliCPU: 8000}}})
	h.answerSync("w1", "i1", withRunning(id))
	h.c.Assert(h.stops, qt.HasLen, 1)
	h.advanceWithSyncs(4*time.Second, id)
	h.c.Assert(h.dispatches, qt.HasLen, 0, qt.Commentf("task 0 runs"))
	h.answerSync("w1", "i1", withEnds(taskEnd(id, api.EndDone, "first")))
	h.c.Assert(h.syncs["w1"].Request.Acknowledged, qt.DeepEquals, []api.TaskID{id})
	h.advanceWithSyncs(300 * ms)
	h.c.Assert(h.dispatches, qt.HasLen, 2)
}

// Guards against an answer over the limit of 1 MiB, which no caller could receive, and against
// records that hold more than the limit.
func TestGangAnswerIsBounded(t *testing.T) {
	h, w, ids := newStartedGangHarness(t, asGang(2))
	h.answerSync("w1", "i1", withEnds(taskEnd(ids[0], api.EndDone, string(make([]byte, api.MaxBodyBytes)))))
	h.commit()
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateFailed)
	h.c.Assert(h.replies[w].Status.Reason, qt.Contains, "over 1 MiB")
	h.c.Assert(h.stops, qt.HasLen, 1)
	r := h.p.records[key("k")]
	h.c.Assert(r.Attempts[0].Tasks[0].Answer, qt.IsNil)
	a := attemptRecord{Tasks: []taskRecord{{Answer: []byte("a")}, {}, {Answer: []byte("abcd")}}}
	h.c.Assert(a.answerSize(), qt.Equals, len(a.answer()))
}

// Guards against an unlimited number of attempts of a gang.
func TestGangRetriesAreBounded(t *testing.T) {
	h, w, _ := newGangHarness(t, asGang(2))
	for i := 0; i < len(h.dispatches); i += 2 {
		h.answerDispatch(i, api.DispatchRefused, "i1")
		h.answerDispatch(i+1, api.DispatchRefused, "i2")
		h.commit()
		h.advance(6 * time.Second)
		for _, worker := range []string{"w1", "w2"} {
			h.addWorker(worker, "i"+worker[1:])
		}
		h.advance(ms)
		h.commit()
	}
	h.c.Assert(h.dispatches, qt.HasLen, 6)
	h.c.Assert(h.replies[w].Status.State, qt.Equals, api.StateNotRun)
}

// Guards against several tasks on a route that is not for gangs, and against an error that does
// not say how to correct the request.
func TestMultipleTasksRequireGangRoute(t *testing.T) {
	h := newHarness(t)
	for _, workload := range []api.Workload{"", api.WorkloadBatch, api.WorkloadService} {
		w := h.submit("k", func(s *Submit) { s.Route.Workload, s.Request.Tasks = workload, 2 })
		err := h.replies[w].Err
		h.c.Assert([]any{err.Code, err.Field, err.NotRun}, qt.DeepEquals, []any{api.CodeBadRequest, "tasks", true})
		h.c.Assert(err.Message, qt.Contains, `use a route with the workload "gang"`)
	}
	w := h.submit("k", asGang(maxTasks+1))
	h.c.Assert(h.replies[w].Err.Field, qt.Equals, "tasks")
	h.c.Assert(h.log, qt.HasLen, 0)
}

// Guards against a changed encoding of requests with one task, which replicas of the previous
// version read and write.
func TestSingleTaskEncodingIsUnchanged(t *testing.T) {
	type taskID struct {
		api.RequestKey
		Attempt int `cbor:"3,keyasint"`
	}
	type claim struct {
		Task         taskID `cbor:"1,keyasint"`
		Worker       string `cbor:"2,keyasint"`
		Incarnation  string `cbor:"3,keyasint"`
		WaitedMillis int64  `cbor:"4,keyasint,omitempty"`
	}
	type attempt struct {
		Number      int        `cbor:"1,keyasint"`
		Worker      string     `cbor:"2,keyasint"`
		Incarnation string     `cbor:"3,keyasint"`
		End         attemptEnd `cbor:"4,keyasint,omitempty"`
	}
	c := qt.New(t)
	now := claimCommand{Task: api.TaskID{RequestKey: key("k"), Attempt: 1}, Worker: "w", Incarnation: "i", WaitedMillis: 5}
	c.Assert(encode(now), qt.DeepEquals, encode(claim{taskID{key("k"), 1}, "w", "i", 5}))
	c.Assert(encode(attemptRecord{Number: 1, Worker: "w", Incarnation: "i", End: attemptLost}),
		qt.DeepEquals, encode(attempt{1, "w", "i", attemptLost}))
}

// Guards against an owner and a real scheduler that disagree about the allocations of a gang:
// after all tasks have ended nothing is allocated, and a second attempt can be placed.
func TestGangWithTheRealScheduler(t *testing.T) {
	h := newHarness(t)
	h.p = New(Config{Name: "north", Seed: 1}, func() Scheduler { return placement.New(placement.Config{Seed: 1}) })
	h.becomeOwner()
	for _, name := range []string{"w1", "w2"} {
		h.step(WorkerAnnounced{api.Announcement{Worker: name, Incarnation: "i" + name[1:], URL: "http://" + name, Pool: "blue",
			Region: "north", Slots: 8, Connections: 8, Capacity: api.Resources{MilliCPU: 8000}}})
		h.answerSync(name, "i"+name[1:], nil)
	}
	h.submit("k", asGang(2))
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 2)
	h.c.Assert(h.p.Stats().Scheduler.Running, qt.Equals, 2)
	h.answerDispatch(0, api.DispatchStarted, h.dispatches[0].Dispatch.Incarnation)
	h.answerDispatch(1, api.DispatchRefused, h.dispatches[1].Dispatch.Incarnation)
	h.commit()
	h.c.Assert(h.p.Stats().Scheduler.Running, qt.Equals, 1)
	finish := func(i int, kind api.EndKind) {
		d := h.dispatches[i]
		h.answerSync(d.Worker, d.Dispatch.Incarnation, withEnds(taskEnd(d.Dispatch.Task, kind, "")))
		h.commit()
	}
	finish(0, api.EndStopped)
	h.c.Assert(h.p.Stats().Scheduler.Running, qt.Equals, 0)
	h.advance(500 * ms)
	h.commit()
	h.c.Assert(h.dispatches, qt.HasLen, 4)
	h.answerDispatch(2, api.DispatchStarted, h.dispatches[2].Dispatch.Incarnation)
	h.answerDispatch(3, api.DispatchStarted, h.dispatches[3].Dispatch.Incarnation)
	finish(2, api.EndDone)
	finish(3, api.EndDone)
	h.c.Assert(h.status("k"), qt.Equals, api.StateDone)
	h.c.Assert(h.p.Stats().Scheduler, qt.Equals, SchedulerStats{Workers: 2})
}
