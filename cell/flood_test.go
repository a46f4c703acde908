package cell

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
)

// endAll ends all runs at once, and returns how many there were.
func (w *fakeWorkers) endAll() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for name, runs := range w.runs {
		for ref, run := range runs {
			w.lastEndNumber[name]++
			w.ended[name] = append(w.ended[name], dispatch.EndedRun{Number: w.lastEndNumber[name], Task: ref, Run: run, Kind: job.EndDone})
			delete(runs, ref)
			n++
		}
	}
	return n
}

// BenchmarkSubmitBehindEndsOfAllWorkers measures how long a submit takes while the leader is told of the ends of
// hundreds of runs at once, with as many jobs waiting, and how long without.
func BenchmarkSubmitBehindEndsOfAllWorkers(b *testing.B) {
	c := qt.New(b)
	tc := newTestCell(b, 3)
	leader := tc.leader()
	n := tc.nodes[leader].node
	c.Assert(forwardCall(n, Call{Kind: PutConfig, Config: testConfig(1)}).Code, qt.Equals, OK)
	const workers, runsPerWorker = 350, 2
	tc.workers.taskDuration = time.Hour
	var group sync.WaitGroup
	for i := range workers {
		group.Go(func() { tc.announce(n, fmt.Sprintf("w%d", i)) })
	}
	group.Wait()
	id := 0
	submitRuns := func(runs int) {
		for range runs / 20 {
			id++
			spec := &job.Spec{Steps: []job.Step{{Count: 20, TaskResources: job.Resources{MilliCPU: 2000, MemoryMB: 10}, EstimateMillis: 4000}}}
			r := forwardCall(n, Call{Kind: SubmitJob, Host: "h", Path: "/d/" + job.ID(id).String(), Spec: spec})
			c.Assert(r.Code, qt.Equals, OK)
		}
	}
	submitRuns(workers * runsPerWorker * 2)
	next := 100_000
	submitOne := func() time.Duration {
		next++
		began := time.Now()
		c.Assert(submit(n, job.ID(next), 1).Code, qt.Equals, OK)
		return time.Since(began)
	}
	var idle, flood, worst time.Duration
	ends := 0
	for b.Loop() {
		time.Sleep(time.Second)
		idle += submitOne()
		ends += tc.workers.endAll()
		time.Sleep(8 * time.Millisecond) // the long polls end
		took := submitOne()
		flood, worst = flood+took, max(worst, took)
		submitRuns(workers * runsPerWorker)
	}
	perOp := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(b.N) / 1000 }
	b.ReportMetric(perOp(idle), "ms-calm")
	b.ReportMetric(perOp(flood), "ms-flood")
	b.ReportMetric(float64(worst.Microseconds())/1000, "ms-flood-max")
	b.ReportMetric(float64(ends)/float64(b.N), "ends")
}
