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

// gang makes a submit one of n tasks.
func gang(n int) func(*Submit) {
	return func(s *Submit) {
		s.Route.Workload, s.Request.Tasks = api.WorkloadGang, n
		s.Request.Resources = api.Resources{MilliCPU: 5000} // one task a worker
	}
}

func gangOnce(n int) func(*Submit) {
	return func(s *Submit) { gang(n)(s); once(s) }
}

// gangBench has a gang of two whose tasks are dispatched to w1 and w2.
func gangBench(t *testing.T, change func(*Submit)) (*bench, WaiterID, []api.TaskID) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.worker("w2", "i2")
	w := b.submit("k", change)
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 2)
	return b, w, []api.TaskID{b.send[0].Dispatch.Task, b.send[1].Dispatch.Task}
}

// startedGang confirms the starts of a gangBench.
func startedGang(t *testing.T, change func(*Submit)) (*bench, WaiterID, []api.TaskID) {
	b, w, ids := gangBench(t, change)
	b.dispatchAnswer(0, api.DispatchStarted, "i1")
	b.dispatchAnswer(1, api.DispatchStarted, "i2")
	return b, w, ids
}

// beat passes time in which w1 lists the running tasks and w2 none.
func (b *bench) beat(d time.Duration, ids ...api.TaskID) {
	for until := b.now + d; b.now < until; {
		b.pass(50 * ms)
		b.commit()
		for _, name := range []string{"w1", "w2"} {
			if _, ok := b.syncs[name]; !ok {
				continue
			}
			incarnation := b.p.owner.workers[name].incarnation
			if name == "w1" {
				b.sync(name, incarnation, running(ids...))
			} else {
				b.sync(name, incarnation, nil)
			}
		}
		b.commit()
	}
}

// claims returns the claims of proposed batches.
func (b *bench) claims() (list []*claimCommand) {
	for _, data := range b.log {
		_, commands, err := decodeBatch(data)
		b.c.Assert(err, qt.IsNil)
		for _, c := range commands {
			if c.Claim != nil {
				list = append(list, c.Claim)
			}
		}
	}
	return list
}

// Guards against a lost or partial path from a gang's submit to its answer, and against
// reservations that are kept after the end of their task or returned before it.
func TestGangRunsToCompletion(t *testing.T) {
	b, w, ids := gangBench(t, gang(2))
	b.c.Assert([]int{ids[0].Index, ids[1].Index}, qt.DeepEquals, []int{0, 1})
	b.c.Assert([]string{b.send[0].Worker, b.send[1].Worker}, qt.DeepEquals, []string{"w1", "w2"})
	b.dispatchAnswer(1, api.DispatchStarted, "i2")
	b.c.Assert(b.status("k"), qt.Equals, api.StateClaimed)
	b.dispatchAnswer(0, api.DispatchStarted, "i1")
	b.c.Assert(b.status("k"), qt.Equals, api.StateRunning)
	b.sync("w2", "i2", ends(end(ids[1], api.EndDone, "second")))
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateRunning)
	b.c.Assert(b.fit.reserved, qt.HasLen, 1)
	b.c.Assert(b.fit.reserved[fitTask{key("k"), 0}], qt.IsNotNil)
	b.sync("w1", "i1", ends(end(ids[0], api.EndDone, "")))
	b.c.Assert(b.replies[w].Status, qt.IsNil)
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateDone)
	var answers [][]byte
	b.c.Assert(json.Unmarshal(b.replies[w].Status.Answer, &answers), qt.IsNil)
	b.c.Assert(fmt.Sprintf("%q", answers), qt.Equals, `["" "second"]`)
	b.c.Assert(b.fit.reserved, qt.HasLen, 0)
	b.c.Assert(b.p.owner.live, qt.HasLen, 0)
}

// Guards against a gang whose claim is spread over log entries, and against the dispatch
// of a non-idempotent one before its claim is durable.
func TestGangHasOneClaim(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		b := newBench(t)
		b.worker("w1", "i1")
		b.worker("w2", "i2")
		b.submit("k", func(s *Submit) { gang(2)(s); s.Request.NonIdempotent = nonIdempotent })
		accept := b.log[0]
		b.log = nil
		b.take(b.p.Apply(b.now, accept))
		b.c.Assert(len(b.send) == 0, qt.Equals, nonIdempotent)
		claims := b.claims()
		b.c.Assert(claims, qt.HasLen, 1)
		b.c.Assert(claims[0].Assignments, qt.DeepEquals, []taskPlace{{"w1", "i1"}, {"w2", "i2"}})
		b.commit()
		b.c.Assert(b.send, qt.HasLen, 2)
	}
}

// Guards against the start of a part of a gang.
func TestGangIsPlacedAtomically(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.submit("k", gang(2))
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 0)
	b.c.Assert(b.fit.reserved, qt.HasLen, 0)
	b.worker("w2", "i2")
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 2)
}

// Guards against a failed task whose gang goes on, and against an outcome that does not
// say which task failed.
func TestFailedTaskFailsGang(t *testing.T) {
	b, w, ids := startedGang(t, gang(2))
	e := end(ids[1], api.EndFailed, "")
	e.Reason = "no licence"
	b.sync("w2", "i2", ends(e))
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateFailed)
	b.c.Assert(b.replies[w].Status.Reason, qt.Equals, "task 1 failed: no licence")
	b.c.Assert(b.stops, qt.HasLen, 1)
	b.c.Assert(b.stops[0].Command.Task, qt.Equals, ids[0])
	b.c.Assert(b.fit.reserved, qt.HasLen, 1, qt.Commentf("task 0 is still running"))
	b.sync("w1", "i1", ends(end(ids[0], api.EndStopped, "")))
	b.c.Assert(b.fit.reserved, qt.HasLen, 0)
	b.c.Assert(b.p.owner.live, qt.HasLen, 0)
}

// Guards against a second attempt of a gang while a task of the first may run, and
// against one that starts only the task that was refused.
func TestRefusedTaskEndsTheAttempt(t *testing.T) {
	b, _, ids := gangBench(t, gang(2))
	b.dispatchAnswer(0, api.DispatchStarted, "i1")
	b.dispatchAnswer(1, api.DispatchRefused, "i2")
	b.commit()
	b.c.Assert(b.stops, qt.HasLen, 1)
	b.c.Assert(b.stops[0].Command.Task, qt.Equals, ids[0])
	b.beat(time.Second, ids[0])
	b.c.Assert(b.send, qt.HasLen, 2)
	b.sync("w1", "i1", ends(end(ids[0], api.EndStopped, "")))
	b.commit()
	b.c.Assert(b.status("k"), qt.Equals, api.StateQueued)
	b.c.Assert(b.fit.reserved, qt.HasLen, 0)
	b.beat(300 * ms)
	b.c.Assert(b.send, qt.HasLen, 4)
	for i, d := range b.send[2:] {
		b.c.Assert(d.Dispatch.Task, qt.Equals, api.TaskID{RequestKey: key("k"), Attempt: ids[0].Attempt + 1, Index: i})
	}
}

// Guards against a gang that runs on without a task whose worker was lost, and against
// its next attempt before the others have ended.
func TestLostTaskEndsTheAttempt(t *testing.T) {
	b, _, ids := startedGang(t, gang(2))
	for range 30 { // w2 is silent
		b.pass(100 * ms)
		b.commit()
		if _, ok := b.syncs["w1"]; ok {
			b.sync("w1", "i1", running(ids[0]))
		}
	}
	b.c.Assert(b.stops, qt.Not(qt.HasLen), 0)
	b.c.Assert(b.stops[0].Command.Task, qt.Equals, ids[0])
	b.worker("w2", "i2b")
	b.beat(time.Second, ids[0])
	b.c.Assert(b.send, qt.HasLen, 2, qt.Commentf("task 0 has not ended"))
	b.sync("w1", "i1", ends(end(ids[0], api.EndStopped, "")))
	b.commit()
	b.beat(300 * ms)
	b.c.Assert(b.send, qt.HasLen, 4)
}

// Guards against a false outcome of a non-idempotent gang of which a part may have run,
// and against its repetition.
func TestPartialRunOfNonIdempotentGang(t *testing.T) {
	for _, tc := range []struct {
		name   string
		first  api.EndKind
		second string // "refused", "lost" or "started"
		late   api.EndKind
		want   []api.State // before and after the late report
	}{
		{"one lost, then done", api.EndDone, "lost", api.EndDone, []api.State{api.StateUnknown, api.StateDone}},
		{"one lost, then failed", api.EndDone, "lost", api.EndFailed, []api.State{api.StateUnknown, api.StateFailed}},
		{"one lost, then stopped", api.EndStopped, "lost", api.EndStopped, []api.State{api.StateUnknown, api.StateFailed}},
		{"one done, one refused", api.EndDone, "refused", "", []api.State{api.StateFailed}},
		{"one stopped, one refused", api.EndStopped, "refused", "", []api.State{api.StateFailed}},
	} {
		b, w, ids := gangBench(t, gangOnce(2))
		b.dispatchAnswer(0, api.DispatchStarted, "i1")
		if tc.second == "refused" {
			b.dispatchAnswer(1, api.DispatchRefused, "i2")
		} else {
			b.dispatchAnswer(1, api.DispatchStarted, "i2")
			b.step(WorkerAnnounced{api.Announcement{Worker: "w2", Incarnation: "i2b", URL: "http://w2", Pool: "blue", Slots: 8, Capacity: api.Resources{MilliCPU: 8000}}})
			b.sync("w2", "i2b", nil)
		}
		b.commit()
		b.c.Assert(b.replies[w].Status, qt.IsNil, qt.Commentf("%s: told before task 0 ended", tc.name))
		b.sync("w1", "i1", ends(end(ids[0], tc.first, "")))
		b.commit()
		b.c.Assert(b.replies[w].Status.State, qt.Equals, tc.want[0], qt.Commentf(tc.name))
		if tc.late != "" {
			b.pass(2 * time.Second)
			b.sync("w2", "i2b", ends(end(ids[1], tc.late, "")))
			b.commit()
			b.c.Assert(b.status("k"), qt.Equals, tc.want[1], qt.Commentf(tc.name))
		}
		b.pass(5 * time.Second)
		b.commit()
		b.c.Assert(b.send, qt.HasLen, 2, qt.Commentf(tc.name))
	}
}

// Guards against not_run without proof for each task, and against its absence with it.
func TestGangNotRunRequiresProofForEachTask(t *testing.T) {
	b, _, _ := gangBench(t, gangOnce(2))
	w := b.cancel("k")
	b.commit()
	b.c.Assert(b.revokes, qt.HasLen, 2)
	refused := func(i int) {
		b.step(CommandAnswered{Worker: b.revokes[i].Worker, Task: b.revokes[i].Command.Task, Revoke: true,
			Response: &api.DispatchResponse{State: api.DispatchRefused, Incarnation: b.send[i].Dispatch.Incarnation}})
		b.commit()
	}
	refused(0)
	b.c.Assert(b.replies[w].Status, qt.IsNil)
	refused(1)
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateNotRun)
}

// Guards against a cancel that leaves tasks of a gang running.
func TestCancelOfRunningGang(t *testing.T) {
	b, w, ids := startedGang(t, gang(2))
	b.cancel("k")
	b.commit()
	b.c.Assert(b.stops, qt.HasLen, 2)
	for i, worker := range []string{"w1", "w2"} {
		b.c.Assert(b.replies[w].Status, qt.IsNil)
		b.sync(worker, b.send[i].Dispatch.Incarnation, ends(end(ids[i], api.EndStopped, "")))
		b.commit()
	}
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateFailed)
	b.c.Assert(b.send, qt.HasLen, 2)
}

// Guards against a gang that starts after its deadline.
func TestDeadlineOfQueuedGang(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	w := b.submit("k", func(s *Submit) { gang(2)(s); s.Request.DeadlineMillis = 100 })
	b.commit()
	b.pass(200 * ms)
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateNotRun)
}

// Guards against the dispatch of a part of a claimed gang when one of its workers became
// unusable during the commit, and against an attempt that is counted for it.
func TestGangIsWithdrawnAtomically(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.worker("w2", "i2")
	b.submit("k", gangOnce(2))
	b.take(b.p.Apply(b.now, b.log[0]))
	b.log = b.log[1:]
	b.sync("w2", "i2", func(r *api.SyncResponse) { r.Leaving = true })
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 0)
	b.c.Assert(b.status("k"), qt.Equals, api.StateQueued)
	b.c.Assert(b.fit.reserved, qt.HasLen, 0)
	b.worker("w3", "i3")
	b.pass(time.Second)
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 2)
	b.c.Assert(b.p.records[key("k")].Attempts, qt.HasLen, 1)
}

// Guards against a new owner that loses a gang's finished tasks, its answers, or its
// reservations.
func TestNewOwnerInheritsGang(t *testing.T) {
	b, _, ids := startedGang(t, gang(2))
	b.sync("w1", "i1", ends(end(ids[0], api.EndDone, "first")))
	b.commit()
	b.own()
	b.worker("w1", "i1")
	b.step(WorkerAnnounced{api.Announcement{Worker: "w2", Incarnation: "i2", URL: "http://w2", Pool: "blue", Slots: 8, Capacity: api.Resources{MilliCPU: 8000}}})
	b.c.Assert(b.status("k"), qt.Equals, api.StateClaimed)
	b.sync("w2", "i2", running(ids[1]))
	b.c.Assert(b.status("k"), qt.Equals, api.StateRunning)
	b.c.Assert(b.fit.reserved, qt.HasLen, 1)
	b.c.Assert(b.fit.reserved[fitTask{key("k"), 1}].Name, qt.Equals, "w2")
	b.sync("w2", "i2", ends(end(ids[1], api.EndDone, "second")))
	b.commit()
	s, _ := b.p.Status(key("k"))
	b.c.Assert(string(s.Answer), qt.Equals, `["Zmlyc3Q=","c2Vjb25k"]`)
	b.c.Assert(b.send, qt.HasLen, 0)
}

// Guards against a new owner that lets the rest of an ended attempt run on.
func TestNewOwnerStopsRemainingTasksOfGang(t *testing.T) {
	b, _, ids := startedGang(t, gang(2))
	b.sync("w2", "i2", ends(end(ids[1], api.EndStopped, "")))
	b.commit()
	b.own()
	b.stops = nil
	b.worker("w2", "i2")
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "http://w1", Pool: "blue", Slots: 8, Capacity: api.Resources{MilliCPU: 8000}}})
	b.sync("w1", "i1", running(ids[0]))
	b.c.Assert(b.stops, qt.HasLen, 1)
	b.c.Assert(b.stops[0].Command.Task, qt.Equals, ids[0])
}

// Guards against a second run of a gang that a former owner dispatched without a durable
// claim, and against its tasks that run on.
func TestUnclaimedGangIsStoppedThenPlacedAgain(t *testing.T) {
	b := newBench(t)
	b.worker("w1", "i1")
	b.worker("w2", "i2")
	b.submit("k", gang(2))
	b.take(b.p.Apply(b.now, b.log[0])) // the claim is lost
	b.c.Assert(b.send, qt.HasLen, 2)
	id := b.send[0].Dispatch.Task
	b.own()
	b.worker("w2", "i2")
	b.step(WorkerAnnounced{api.Announcement{Worker: "w1", Incarnation: "i1", URL: "http://w1", Pool: "blue", Slots: 8, Capacity: api.Resources{MilliCPU: 8000}}})
	b.sync("w1", "i1", running(id))
	b.c.Assert(b.stops, qt.HasLen, 1)
	b.beat(4*time.Second, id)
	b.c.Assert(b.send, qt.HasLen, 0, qt.Commentf("task 0 runs"))
	b.sync("w1", "i1", ends(end(id, api.EndDone, "first")))
	b.c.Assert(b.syncs["w1"].Request.Acknowledged, qt.DeepEquals, []api.TaskID{id})
	b.beat(300 * ms)
	b.c.Assert(b.send, qt.HasLen, 2)
}

// Guards against an answer over the limit, which no caller could receive, and against
// records that hold more than that.
func TestGangAnswerIsBounded(t *testing.T) {
	b, w, ids := startedGang(t, gang(2))
	b.sync("w1", "i1", ends(end(ids[0], api.EndDone, string(make([]byte, api.MaxBodyBytes)))))
	b.commit()
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateFailed)
	b.c.Assert(b.replies[w].Status.Reason, qt.Contains, "over 1 MiB")
	b.c.Assert(b.stops, qt.HasLen, 1)
	r := b.p.records[key("k")]
	b.c.Assert(r.Attempts[0].Tasks[0].Answer, qt.IsNil)
	a := attemptRecord{Tasks: []taskRecord{{Answer: []byte("a")}, {}, {Answer: []byte("abcd")}}}
	b.c.Assert(a.answerSize(), qt.Equals, len(a.answer()))
}

// Guards against endless attempts of a gang.
func TestGangRetriesAreBounded(t *testing.T) {
	b, w, _ := gangBench(t, gang(2))
	for i := 0; i < len(b.send); i += 2 {
		b.dispatchAnswer(i, api.DispatchRefused, "i1")
		b.dispatchAnswer(i+1, api.DispatchRefused, "i2")
		b.commit()
		b.pass(6 * time.Second)
		for _, worker := range []string{"w1", "w2"} {
			b.worker(worker, "i"+worker[1:])
		}
		b.pass(ms)
		b.commit()
	}
	b.c.Assert(b.send, qt.HasLen, 6)
	b.c.Assert(b.replies[w].Status.State, qt.Equals, api.StateNotRun)
}

// Guards against several tasks on a route that is not for gangs, and against a refusal
// that does not say what to do.
func TestMultipleTasksRequireGangRoute(t *testing.T) {
	b := newBench(t)
	for _, load := range []api.Workload{"", api.WorkloadBatch, api.WorkloadService} {
		w := b.submit("k", func(s *Submit) { s.Route.Workload, s.Request.Tasks = load, 2 })
		err := b.replies[w].Err
		b.c.Assert([]any{err.Code, err.Field, err.NotRun}, qt.DeepEquals, []any{api.CodeBadRequest, "tasks", true})
		b.c.Assert(err.Message, qt.Contains, `use a route with the workload "gang"`)
	}
	w := b.submit("k", gang(maxTasks+1))
	b.c.Assert(b.replies[w].Err.Field, qt.Equals, "tasks")
	b.c.Assert(b.log, qt.HasLen, 0)
}

// Guards against a changed encoding of requests with one task, which replicas of the
// former version read and write.
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

// Guards against a gang that the real scheduler and the life cycle account differently:
// after all ends nothing is reserved, and a second attempt finds its place.
func TestGangWithTheRealScheduler(t *testing.T) {
	b := newBench(t)
	b.p = New(Config{Name: "north", Seed: 1}, func() Scheduler { return placement.New(placement.Config{Seed: 1}) })
	b.own()
	for _, name := range []string{"w1", "w2"} {
		b.step(WorkerAnnounced{api.Announcement{Worker: name, Incarnation: "i" + name[1:], URL: "http://" + name, Pool: "blue",
			Region: "north", Slots: 8, Connections: 8, Capacity: api.Resources{MilliCPU: 8000}}})
		b.sync(name, "i"+name[1:], nil)
	}
	b.submit("k", gang(2))
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 2)
	b.c.Assert(b.p.Stats().Scheduler.Running, qt.Equals, 2)
	b.dispatchAnswer(0, api.DispatchStarted, b.send[0].Dispatch.Incarnation)
	b.dispatchAnswer(1, api.DispatchRefused, b.send[1].Dispatch.Incarnation)
	b.commit()
	b.c.Assert(b.p.Stats().Scheduler.Running, qt.Equals, 1)
	finish := func(i int, kind api.EndKind) {
		d := b.send[i]
		b.sync(d.Worker, d.Dispatch.Incarnation, ends(end(d.Dispatch.Task, kind, "")))
		b.commit()
	}
	finish(0, api.EndStopped)
	b.c.Assert(b.p.Stats().Scheduler.Running, qt.Equals, 0)
	b.pass(500 * ms)
	b.commit()
	b.c.Assert(b.send, qt.HasLen, 4)
	b.dispatchAnswer(2, api.DispatchStarted, b.send[2].Dispatch.Incarnation)
	b.dispatchAnswer(3, api.DispatchStarted, b.send[3].Dispatch.Incarnation)
	finish(2, api.EndDone)
	finish(3, api.EndDone)
	b.c.Assert(b.status("k"), qt.Equals, api.StateDone)
	b.c.Assert(b.p.Stats().Scheduler, qt.Equals, SchedulerStats{Workers: 2})
}
