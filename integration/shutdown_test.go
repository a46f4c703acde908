package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a graceful shutdown that cuts off callers that wait at the VM, or that fails
// requests of partitions that the VM owns.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newServingCluster(c)
	ledger := newRequestLedger()
	s := cl.startStream(defaultStream(8))
	for i, v := range cl.vms {
		cl.shutDownDaemon(ledger, v, i == 0)
	}
	cl.verifyOutcomes(s.end())
	counts := cl.verifyOutcomes(ledger)
	c.Check(counts.done, qt.Equals, counts.submitted)
}

// maxCallWait is the longest wait that the client library asks for in one call, so that every
// caller has a single call in flight.
const maxCallWait = 5 * time.Second

// startCount returns the number of task starts for a caller over all workers.
func (cl *cluster) startCount(caller string) int {
	n := 0
	for _, w := range cl.workers {
		for _, e := range w.starts() {
			if e.Caller == caller {
				n++
			}
		}
	}
	return n
}

// shutDownDaemon terminates a daemon while callers wait at it, and restarts it. With
// withOverlongTask, one task runs longer than the drain timeout; its caller must be told the
// current state before the daemon exits.
func (cl *cluster) shutDownDaemon(ledger *requestLedger, v *vm, withOverlongTask bool) {
	cl.c.Helper()
	entry := cl.client(1, v.entryProxy.address)
	runTimes := []time.Duration{time.Second, time.Second, 1500 * time.Millisecond, 1500 * time.Millisecond}
	if withOverlongTask {
		runTimes = append(runTimes, drainTimeout+2*time.Second)
	}
	before := cl.startCount("waiting")
	var waiting sync.WaitGroup
	for i, runTime := range runTimes {
		key := fmt.Sprintf("%s-%d", v.name, i)
		r := newRequest("waiting", key, kindForIndex(i), i%4 < 2, program{RunMillis: runTime.Milliseconds(), Answer: key})
		r.WaitMillis = maxCallWait.Milliseconds()
		e := ledger.add(r, []byte(key))
		waiting.Go(func() {
			st, err := entry.Submit(timeoutContext(cl.c, 30*time.Second), r)
			ledger.recordResponse(e, st, 0, err)
			cl.c.Check(err, qt.IsNil, qt.Commentf("%s was cut off", key))
			if runTime < 2*time.Second {
				cl.c.Check(st.State, qt.Equals, api.StateDone, qt.Commentf("%s", key))
			}
		})
	}
	waitFor(cl.c, "the tasks have started", 5*time.Second, func() bool { return cl.startCount("waiting") >= before+len(runTimes) })
	start := time.Now()
	v.terminate()
	v.awaitExit(exitTimeout)
	took := time.Since(start)
	waiting.Wait()
	v.start()
	cl.awaitFormed(formationTimeout)
	cl.c.Logf("%s exited %s after SIGTERM", v.name, took.Round(pollInterval))
}
