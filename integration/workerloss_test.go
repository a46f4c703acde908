package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/standin"
)

// Guards against work that runs twice, or whose outcome is reported without proof, when its
// worker dies and restarts with or without reading its journal, or is frozen for longer than its
// lease.
func TestLostWorkers(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newServingCluster(c)
	plan := defaultStream(6)
	plan.maxRunTime = 200 * time.Millisecond
	s := cl.startStream(plan)
	cl.killAndRestartWorker(s, "w1")
	cl.killAndRestartWorker(s, "w2", "--no-memory")
	cl.killAndRestartWorker(s, "w3")
	w := cl.worker("w3")
	cl.awaitSent(s, 30)
	w.freeze()
	<-time.After(taskLeaseDuration + time.Second) // the duration of the fault
	w.resume()
	cl.awaitSent(s, 30)
	cl.awaitWorkers(workerReadyTimeout + taskLeaseDuration)
	cl.verifyOutcomes(s.end())
}

// killAndRestartWorker kills a worker under load and restarts it after its lease has expired
// at the owner.
func (cl *cluster) killAndRestartWorker(s *requestStream, name string, extraArgs ...string) {
	cl.c.Helper()
	w := cl.worker(name)
	cl.awaitSent(s, 40)
	w.kill()
	cl.awaitLost(name)
	cl.awaitSent(s, 20)
	w.start(extraArgs...)
	cl.awaitWorkers(workerReadyTimeout + taskLeaseDuration)
}

// awaitLost waits until the partition owner no longer reports the worker as ready.
func (cl *cluster) awaitLost(name string) {
	cl.c.Helper()
	waitFor(cl.c, name+" is reported as lost", silenceTimeout+2*taskLeaseDuration, func() bool {
		st, ok := cl.workerStates()[name]
		return !ok || st.State != "ready"
	})
}

// leaveLimit is the guaranteed time after which a leaving worker gets no new work (G6).
const leaveLimit = 3 * time.Second

// Guards against new work on a worker that is leaving, and against the loss of tasks that already
// run there.
func TestLeavingWorker(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newServingCluster(c)
	ledger := newRequestLedger()
	w := cl.worker("w1")
	long := cl.submitLongTasks(ledger)
	waitFor(c, "long tasks on w1", workerReadyTimeout, func() bool { return len(w.starts()) >= 2 })
	s := cl.startStream(defaultStream(7))
	cl.awaitSent(s, 40)
	leftAt := time.Now()
	w.terminate()
	w.awaitExit(longRunTime + 2*leaveLimit)
	cl.awaitSent(s, 20)
	cl.verifyOutcomes(s.end())
	long.Wait()
	counts := cl.verifyOutcomes(ledger)
	c.Check(counts.done, qt.Equals, counts.submitted)
	c.Check(w.events(standin.EventStop), qt.HasLen, 0, qt.Commentf("tasks were stopped"))
	last := time.Duration(0)
	for _, e := range append(w.starts(), w.events(standin.EventRefuse)...) {
		last = max(last, time.Unix(0, e.UnixNanos).Sub(leftAt))
	}
	c.Check(last <= leaveLimit, qt.IsTrue, qt.Commentf("work was sent %s after SIGTERM", last))
	c.Logf("last work sent to the leaving worker %s after SIGTERM; it exited after %s", last.Round(time.Millisecond), time.Since(leftAt).Round(pollInterval))
}

// longRunTime is longer than leaveLimit, so that tasks still run on the worker when that limit has
// passed.
const longRunTime = leaveLimit + 2*time.Second

// submitLongTasks submits four long tasks. With two workers, at least one of them gets two.
func (cl *cluster) submitLongTasks(ledger *requestLedger) *sync.WaitGroup {
	var wg sync.WaitGroup
	caller := cl.caller(0)
	for i := range 4 {
		key := fmt.Sprintf("long%d", i)
		r := newRequest("long", key, kindNorth, i%2 == 0, program{RunMillis: longRunTime.Milliseconds(), Answer: key})
		r.WaitMillis = (3 * longRunTime).Milliseconds()
		e := ledger.add(r, []byte(key))
		wg.Go(func() {
			st, err := caller.Submit(timeoutContext(cl.c, 30*time.Second), r)
			cl.c.Check(err, qt.IsNil)
			cl.c.Check(st.State, qt.Equals, api.StateDone)
			ledger.recordResponse(e, st, 0, err)
		})
	}
	return &wg
}
