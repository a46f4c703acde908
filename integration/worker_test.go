package integration

import (
	"path/filepath"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/standin"
)

// worker is a stand-in worker behind a proxy.
type worker struct {
	*process
	listen      string // address on which the worker listens
	journalPath string
	// callProxy carries the connections from the entry VMs to the worker.
	callProxy *faultProxy
}

// startWorkers starts two workers in the north and one in the south and waits until they
// are ready.
func (cl *cluster) startWorkers() {
	cl.c.Helper()
	cl.addWorker("w1", poolNorth, "north", "n1")
	cl.addWorker("w2", poolNorth, "north", "n2")
	cl.addWorker("w3", poolSouth, "south", "s1")
	cl.awaitWorkers(workerReadyTimeout)
}

// workerReadyTimeout covers the announcement interval of one second, an election and the first
// sync.
const workerReadyTimeout = time.Second + electionLimit + silenceTimeout

// addWorker starts a worker that announces itself to all VMs.
func (cl *cluster) addWorker(name, pool, region, failureDomain string) *worker {
	w := &worker{listen: freeAddress(cl.c, "127.0.0.1"), journalPath: filepath.Join(cl.dir, name+".journal")}
	w.callProxy = newFaultProxy(cl.c, "calls-"+name, w.listen)
	// The slots are few, so that the streams reach the capacity limits of guarantee G1.
	args := []string{
		"--worker=" + name, "--pool=" + pool, "--region=" + region, "--failure-domain=" + failureDomain, "--rack=r1",
		"--listen=" + w.listen, "--url=" + w.callProxy.url(), "--journal=" + w.journalPath,
		"--slots=6", "--milli-cpu=6000", "--memory-mb=8192",
	}
	for _, v := range cl.vms {
		args = append(args, "--entry="+v.announceProxy.url())
	}
	w.process = newProcess(cl.c, cl.dir, "standin-worker", name, args)
	cl.workers = append(cl.workers, w)
	w.start()
	return w
}

// awaitWorkers waits until the partition owners report every running worker as ready.
func (cl *cluster) awaitWorkers(timeout time.Duration) {
	cl.c.Helper()
	want := 0
	for _, w := range cl.workers {
		if w.cmd != nil {
			want++
		}
	}
	waitFor(cl.c, "all workers ready", timeout, func() bool {
		ready := 0
		for _, w := range cl.workerStates() {
			if w.State == "ready" {
				ready++
			}
		}
		return ready == want
	})
}

// workerStates returns the status of the workers by name, as their partition owners report it, or
// nil if the call fails.
func (cl *cluster) workerStates() map[string]api.WorkerStatus {
	list, err := cl.operator().Workers(timeoutContext(cl.c, 5*time.Second))
	if err != nil {
		return nil
	}
	out := map[string]api.WorkerStatus{}
	for _, w := range list {
		out[w.Worker] = w
	}
	return out
}

// worker returns the worker with the given name.
func (cl *cluster) worker(name string) *worker {
	for _, w := range cl.workers {
		if w.name == name {
			return w
		}
	}
	cl.c.Fatalf("no worker %q", name)
	return nil
}

// starts returns the start events of the worker's journal.
func (w *worker) starts() []standin.Event { return w.events(standin.EventStart) }

// events returns the events of the given kind in the worker's journal.
func (w *worker) events(kind standin.EventKind) []standin.Event {
	w.c.Helper()
	all, err := standin.ReadJournal(w.journalPath)
	w.c.Assert(err, qt.IsNil)
	var out []standin.Event
	for _, e := range all {
		if e.Kind == kind {
			out = append(out, e)
		}
	}
	return out
}
