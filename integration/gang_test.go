package integration

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/standin"
)

const (
	kindGang = "train"
	// gangTasks is the number of tasks of a gang. It needs both workers of the pool, which have
	// 6 slots each.
	gangTasks = 8
	gangCount = 6
	// gangRunTime leaves time to kill a worker while tasks run.
	gangRunTime = 400 * time.Millisecond
)

// Guards against a gang that is reported as done although not all of its tasks ended, that runs
// in part, or that is started again while its previous attempt still runs, when one of its
// workers dies.
func TestGangLosesAWorker(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(c)
	gangTables := tables()
	gangTables.Routes = append(gangTables.Routes, api.Route{Name: kindGang, Pool: poolNorth, Workload: api.WorkloadGang})
	awaitVersion(c, cl.vms, cl.apply(gangTables, 0), propagationLimit)
	cl.startWorkers()

	ledger := newRequestLedger()
	var submissions []func()
	for i := range gangCount {
		submissions = append(submissions, func() { cl.submitGang(ledger, i) })
	}
	done := make(chan struct{})
	go func() { defer close(done); runConcurrently(submissions...) }()
	w := cl.worker("w1")
	waitFor(c, "a task of a gang on w1", outcomeTimeout, func() bool { return len(w.starts()) > 0 })
	w.kill()
	cl.awaitLost("w1")
	w.start()
	cl.awaitWorkers(workerReadyTimeout + taskLeaseDuration)
	<-done
	counts := cl.verifyOutcomes(ledger)
	c.Check(counts.done+counts.unknown+counts.failed, qt.Equals, gangCount)
	c.Check(counts.done >= gangCount/2, qt.IsTrue, qt.Commentf("idempotent gangs must be placed again: %s", counts))
	cl.checkGangEnds(ledger)
}

// submitGang submits gang i. Gangs with an odd i are non-idempotent.
func (cl *cluster) submitGang(l *requestLedger, i int) {
	key := fmt.Sprintf("gang%d", i)
	r := newRequest("trainer", key, kindGang, i%2 == 1, program{RunMillis: gangRunTime.Milliseconds(), Answer: key})
	r.Tasks = gangTasks
	e := l.add(r, gangAnswer(key))
	start := time.Now()
	st, err := cl.caller(i).Submit(timeoutContext(cl.c, outcomeTimeout), r)
	l.recordResponse(e, st, time.Since(start), err)
}

// gangAnswer returns the answer of a gang whose tasks all return text as their answer.
func gangAnswer(text string) []byte {
	var parts []string
	for range gangTasks {
		parts = append(parts, base64.StdEncoding.EncodeToString([]byte(text)))
	}
	data, err := json.Marshal(parts)
	if err != nil {
		panic(err) // a list of strings can always be encoded
	}
	return data
}

// checkGangEnds checks that every task of a gang that is reported as done ran to its end at
// least once.
func (cl *cluster) checkGangEnds(l *requestLedger) {
	cl.c.Helper()
	ended := map[api.TaskID]int{}
	for _, w := range cl.workers {
		for _, e := range w.events(standin.EventEnd) {
			id := e.Task()
			id.Attempt = 0
			ended[id]++
		}
	}
	for key, st := range cl.outcomes(l) {
		for i := range gangTasks {
			id := api.TaskID{RequestKey: key, Index: i}
			if st.State == api.StateDone && ended[id] == 0 {
				cl.c.Errorf("%s is done but its task %d never ended", key, i)
			}
		}
	}
}
