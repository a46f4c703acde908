package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a graceful shutdown that cuts off callers that wait at the VM, or that
// harms requests whose partition the VM owns.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newServingCluster(c)
	book := newLedger()
	s := cl.startStream(defaultStream(8))
	for i, v := range cl.vms {
		cl.shutDownDaemon(book, v, i == 0)
	}
	cl.verifyOutcomes(s.end())
	a := cl.verifyOutcomes(book)
	c.Check(a.done, qt.Equals, a.submitted)
}

// oneHold is the longest wait that the client library asks for in one call, so that every
// caller has a single call open.
const maxCallWait = 5 * time.Second

// startCount counts the starts of a caller's tasks.
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

// shutDown ends a daemon while callers wait at it. With overlong work, one task runs
// longer than the drain timeout; its caller must be told the present state in time.
func (cl *cluster) shutDownDaemon(book *ledger, v *vm, overlong bool) {
	cl.c.Helper()
	entry := cl.client(1, v.entryProxy.address)
	runs := []time.Duration{time.Second, time.Second, 1500 * time.Millisecond, 1500 * time.Millisecond}
	if overlong {
		runs = append(runs, drainTimeout+2*time.Second)
	}
	before := cl.startCount("waiting")
	var waiting sync.WaitGroup
	for i, run := range runs {
		key := fmt.Sprintf("%s-%d", v.name, i)
		r := newRequest("waiting", key, kindOf(i), i%4 < 2, program{RunMillis: run.Milliseconds(), Answer: key})
		r.WaitMillis = maxCallWait.Milliseconds()
		e := book.add(r, []byte(key))
		waiting.Go(func() {
			st, err := entry.Submit(timeoutContext(cl.c, 30*time.Second), r)
			book.recordReply(e, st, 0, err)
			cl.c.Check(err, qt.IsNil, qt.Commentf("%s was cut off", key))
			if run < 2*time.Second {
				cl.c.Check(st.State, qt.Equals, api.StateDone, qt.Commentf("%s", key))
			}
		})
	}
	waitFor(cl.c, "the tasks have started", 5*time.Second, func() bool { return cl.startCount("waiting") >= before+len(runs) })
	start := time.Now()
	v.terminate()
	v.awaitExit(exitTimeout)
	took := time.Since(start)
	waiting.Wait()
	v.start()
	cl.awaitFormed(formationTimeout)
	cl.c.Logf("%s ended %s after SIGTERM", v.name, took.Round(pollInterval))
}
