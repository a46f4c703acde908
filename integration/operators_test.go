package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// Guards against two changes that are both accepted with the same base version, a resent change
// that is applied twice or gets a different response, and a version that decreases. The control
// leader is killed and links are cut in the meantime, and all daemons are restarted at the end.
func TestConcurrentOperators(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(c)
	cl.apply(tables(), 0)
	h := &changeHistory{start: time.Now()}
	h.add(0, changeInput{"first", 0}, 0, changeOutput{true, 1}, 0)
	h.version.Store(1)
	stop := make(chan struct{})
	var operators sync.WaitGroup
	for i := range 4 {
		operators.Go(func() { cl.runOperator(h, i, stop) })
	}
	for range 2 {
		cl.injectControlFaults(h)
	}
	h.awaitChanges(c, 10)
	close(stop)
	operators.Wait()
	h.check(c)

	for _, v := range cl.vms {
		v.kill()
	}
	for _, v := range cl.vms {
		v.start()
	}
	cl.awaitFormed(formationTimeout)
	h.checkVersions(cl)
}

// injectControlFaults kills and restarts the control leader, then cuts and heals a link of its
// successor.
func (cl *cluster) injectControlFaults(h *changeHistory) {
	cl.c.Helper()
	h.awaitChanges(cl.c, 10)
	leader := cl.controlLeader()
	leader.kill()
	h.awaitChanges(cl.c, 5)
	leader.start()
	cl.awaitFormed(formationTimeout)
	leader = cl.controlLeader()
	other := cl.vms[0]
	if other == leader {
		other = cl.vms[1]
	}
	links := cl.linksBetween([]*vm{leader}, []*vm{other})
	for _, link := range links {
		link.cut()
	}
	h.awaitChanges(cl.c, 5)
	for _, link := range links {
		link.heal()
	}
	cl.awaitFormed(formationTimeout)
}

// changeHistory records all apply calls and their responses. It is safe for concurrent use.
type changeHistory struct {
	start   time.Time
	version atomic.Uint64 // the highest version in any response

	mu         sync.Mutex
	operations []porcupine.Operation // guarded by mu
	unresolved int                   // changes without a definite response; guarded by mu
}

// now returns the nanoseconds since the start of the history.
func (h *changeHistory) now() int64 { return int64(time.Since(h.start)) }

func (h *changeHistory) add(client int, in changeInput, called int64, out changeOutput, returned int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: called, Output: out, Return: returned})
	if out.version > h.version.Load() {
		h.version.Store(out.version)
	}
}

func (h *changeHistory) len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.operations)
}

// awaitChanges waits for n more responses.
func (h *changeHistory) awaitChanges(c *qt.C, n int) {
	c.Helper()
	want := h.len() + n
	waitFor(c, fmt.Sprintf("%d more changes", n), 20*time.Second, func() bool { return h.len() >= want })
}

// maxOperatorPause, the longest pause between two changes, and maxOperatorChanges limit the load
// of one operator.
const (
	maxOperatorPause   = 40 * time.Millisecond
	maxOperatorChanges = 250
)

// runOperator applies changes to the highest version in any response, so that operators
// conflict, and resends every third change through a VM that is chosen at random.
func (cl *cluster) runOperator(h *changeHistory, index int, stop chan struct{}) {
	random := rand.New(rand.NewPCG(9, uint64(index)))
	var entries []*client.Client
	for _, v := range cl.vms {
		entries = append(entries, cl.client(1, v.entryProxy.address))
	}
	for n := range maxOperatorChanges {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(random.Int64N(int64(maxOperatorPause)))):
		}
		in := changeInput{id: fmt.Sprintf("c%d-%d", index, n), base: h.version.Load()}
		cl.sendChange(h, index, in, entries, random)
		if n%3 == 0 {
			cl.sendChange(h, index, in, entries, random)
		}
	}
}

// changeTimeout covers an election during which a VM that is cut off is tried too.
const changeTimeout = 25 * time.Second

// sendChange sends a change through randomly chosen VMs until it gets a definite response.
func (cl *cluster) sendChange(h *changeHistory, index int, in changeInput, entries []*client.Client, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	req := api.ApplyRequest{ChangeID: in.id, BaseVersion: in.base, Operator: "racer", Tables: tables("route-" + in.id)}
	called := h.now()
	for ctx.Err() == nil {
		resp, err := entries[random.IntN(len(entries))].Apply(ctx, req)
		if err == nil {
			h.add(index, in, called, changeOutput{resp.Accepted, resp.Version}, h.now())
			return
		}
	}
	h.mu.Lock()
	h.unresolved++
	h.mu.Unlock()
}

// checkTimeout limits the search for a linearization of the history.
const checkTimeout = 20 * time.Second

// check checks that every change got a definite response and that the history is linearizable
// under changeModel.
func (h *changeHistory) check(c *qt.C) {
	c.Helper()
	accepted := 0
	for _, o := range h.operations {
		if o.Output.(changeOutput).accepted {
			accepted++
		}
	}
	c.Logf("changes: %d responses, %d of them accepted, version %d", len(h.operations), accepted, h.version.Load())
	c.Check(h.unresolved, qt.Equals, 0, qt.Commentf("changes without a definite response within %s", changeTimeout))
	c.Check(porcupine.CheckOperationsTimeout(changeModel, h.operations, checkTimeout), qt.Equals, porcupine.Ok)
}

// checkVersions checks after a restart that every VM has exactly the highest version in any
// response, neither an older one nor one that no operator asked for, and that each accepted
// change is in the cluster's history once.
func (h *changeHistory) checkVersions(cl *cluster) {
	c := cl.c
	c.Helper()
	want := h.version.Load()
	for _, v := range cl.vms {
		t, err := v.admin.Tables(timeoutContext(c, callTimeout))
		c.Assert(err, qt.IsNil)
		c.Check(t.Version, qt.Equals, want, qt.Commentf("%s", v.name))
	}
	list, err := cl.operator().History(timeoutContext(c, 5*time.Second))
	c.Assert(err, qt.IsNil)
	byID := map[string]uint64{}
	for _, e := range list {
		if previous, ok := byID[e.ChangeID]; ok {
			c.Errorf("change %s is in the history as versions %d and %d", e.ChangeID, previous, e.Version)
		}
		byID[e.ChangeID] = e.Version
	}
	for _, o := range h.operations {
		in, out := o.Input.(changeInput), o.Output.(changeOutput)
		if out.accepted && in.id != "first" {
			c.Check(byID[in.id], qt.Equals, out.version, qt.Commentf("%s", in.id))
		}
	}
}
