package server

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

func floodRequest(change func(*api.SubmitRequest)) *api.SubmitRequest {
	r := &api.SubmitRequest{
		Caller: "a", Key: "k", Kind: "drafting", Team: "red", Class: api.ClassLow, Tasks: 2,
		Resources: api.Resources{MilliCPU: 1000, MemoryMB: 512}, DeadlineMillis: 500,
	}
	if change != nil {
		change(r)
	}
	return r
}

// Guards against a refusal that is repeated for too long, or for a request that the owner
// might accept, and against a claim that a resend of an accepted key did not run.
func TestCachedRefusalApplies(t *testing.T) {
	const noted = 10 * time.Second
	overloaded := func(retry int64) *api.Error {
		return &api.Error{Code: api.CodeOverloaded, NotRun: true, RetryAfterMillis: retry, Message: "queue"}
	}
	tests := []struct {
		name   string
		answer *api.Error
		after  time.Duration
		kind   string
		change func(*api.SubmitRequest)
		left   int64 // 0: the request goes to the owner
	}{
		{"same kind of work", overloaded(400), 100 * time.Millisecond, "drafting", nil, 300},
		{"another key of another caller", overloaded(400), 0, "drafting", func(r *api.SubmitRequest) { r.Caller, r.Key = "b", "l" }, 400},
		{"the time is over", overloaded(400), 400 * time.Millisecond, "drafting", nil, 0},
		{"less than a millisecond is left", overloaded(400), 400*time.Millisecond - 1, "drafting", nil, 1},
		{"a long refusal is cut", overloaded(60_000), 999 * time.Millisecond, "drafting", nil, 1},
		{"a long refusal ends after 1 s", overloaded(60_000), time.Second, "drafting", nil, 0},
		{"an absurd refusal is cut", overloaded(1 << 62), time.Second, "drafting", nil, 0},
		{"another kind", overloaded(400), 0, "issuing", nil, 0},
		{"another team", overloaded(400), 0, "drafting", func(r *api.SubmitRequest) { r.Team = "blue" }, 0},
		{"another class", overloaded(400), 0, "drafting", func(r *api.SubmitRequest) { r.Class = api.ClassUrgent }, 0},
		{"a later deadline", overloaded(400), 0, "drafting", func(r *api.SubmitRequest) { r.DeadlineMillis = 501 }, 0},
		{"an earlier deadline", overloaded(400), 0, "drafting", func(r *api.SubmitRequest) { r.DeadlineMillis = 1 }, 400},
		{"no deadline", overloaded(400), 0, "drafting", func(r *api.SubmitRequest) { r.DeadlineMillis = 0 }, 0},
		{"less memory", overloaded(400), 0, "drafting", func(r *api.SubmitRequest) { r.Resources.MemoryMB = 511 }, 0},
		{"more memory", overloaded(400), 0, "drafting", func(r *api.SubmitRequest) { r.Resources.MemoryMB = 513 }, 400},
		{"fewer tasks", overloaded(400), 0, "drafting", func(r *api.SubmitRequest) { r.Tasks = 1 }, 0},
		{"accepted", nil, 0, "drafting", nil, 0},
		{"no time given", overloaded(0), 0, "drafting", nil, 0},
		{"unknown result", &api.Error{Code: api.CodeUnknownResult, RetryAfterMillis: 400}, 0, "drafting", nil, 0},
		{"never fits", &api.Error{Code: api.CodeNeverFits, NotRun: true}, 0, "drafting", nil, 0},
	}
	for _, test := range tests {
		qt.New(t).Run(test.name, func(c *qt.C) {
			g := newFloodGuard(100)
			g.note(noted, "drafting", floodRequest(nil), test.answer)
			_ = g.remembered(noted+test.after, test.kind, floodRequest(test.change)) // takes the probe if one is due
			err := g.remembered(noted+test.after, test.kind, floodRequest(test.change))
			if test.left == 0 {
				c.Assert(err == nil, qt.IsTrue)
				return
			}
			c.Assert(err != nil, qt.IsTrue)
			c.Assert(err.Code, qt.Equals, api.CodeOverloaded)
			c.Assert(err.RetryAfterMillis, qt.Equals, test.left)
			c.Assert(err.NotRun, qt.IsFalse)
		})
	}
}

// Guards against one refusal that stops all work of a team for as long as it is remembered,
// and against probes so frequent that the owner is asked for each request.
func TestCachedRefusalLetsProbesThrough(t *testing.T) {
	c := qt.New(t)
	g := newFloodGuard(100)
	g.note(0, "drafting", floodRequest(nil), &api.Error{Code: api.CodeOverloaded, RetryAfterMillis: 1000})
	asked := 0
	for now := time.Duration(0); now < 500*time.Millisecond; now += time.Millisecond {
		if g.remembered(now, "drafting", floodRequest(nil)) == nil {
			asked++
		}
	}
	c.Assert(asked, qt.Equals, int(500*time.Millisecond/probeInterval)-1)
}

// Guards against a memory that grows with the number of teams.
func TestRefusalCacheIsBounded(t *testing.T) {
	c := qt.New(t)
	g := newFloodGuard(100)
	for i := range 2 * maxRefusals {
		r := floodRequest(func(r *api.SubmitRequest) { r.Team = fmt.Sprint(i) })
		g.note(0, "drafting", r, &api.Error{Code: api.CodeOverloaded, RetryAfterMillis: 1000})
	}
	c.Assert(g.refusals.Len(), qt.Equals, maxRefusals)
}

// Guards against one caller taking all places, against places that are not given back, and
// against a refused caller that cannot ask by key.
func TestCallerLimit(t *testing.T) {
	for _, test := range []struct{ waiters, limit int }{{1, 16}, {160, 16}, {170, 17}, {20_000, 2000}} {
		c := qt.New(t)
		g := newFloodGuard(test.waiters)
		var ends []func()
		for range test.limit {
			end, err := g.admitWait("a", time.Second)
			c.Assert(err == nil, qt.IsTrue)
			ends = append(ends, end)
		}
		_, err := g.admit(0, "drafting", floodRequest(nil))
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(err.Code, qt.Equals, api.CodeOverloaded)
		c.Assert(err.NotRun, qt.IsFalse)
		c.Assert(err.RetryAfterMillis > 0, qt.IsTrue)
		_, err = g.admitWait("a", 0)
		c.Assert(err == nil, qt.IsTrue)
		end, err := g.calls.begin("b")
		c.Assert(err == nil, qt.IsTrue)
		for _, end := range append(ends, end) {
			end()
		}
		c.Assert(g.calls.inFlight, qt.HasLen, 0)
	}
}

// Guards against a flood of one caller's waiting calls that takes all places of a VM, so
// that another caller is refused.
func TestOneCallersFloodDoesNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	const places, flood = 40, 60
	settings := threeVMs(c)[0]
	settings.Peers = map[string]string{settings.VM: settings.PeerAddress}
	settings.MaxWaiters = places
	vm := startVM(c, settings)
	change := api.ApplyRequest{ChangeID: "c1", Operator: "op", Tables: api.Tables{
		Routes: []api.Route{{Name: "drafting", Pool: "drafters"}},
		Pools:  []api.Pool{{Name: "drafters", Home: "north"}},
	}}
	waitFor(c, "a partition", formationBound, func() bool {
		var st api.StatusResponse
		return getJSON(vm.url()+"/v1/status", &st) == nil && len(st.Partitions) == 1 && st.VMs[0].MayServe
	})
	waitFor(c, "the tables", formationBound, func() bool {
		var resp api.ApplyResponse
		_, err := postJSON(vm.url()+"/v1/tables/apply", change, &resp)
		return err == nil && resp.Accepted
	})
	submit := func(caller, key string, wait int64) (int, error) {
		return postJSON(vm.url()+"/v1/requests", api.SubmitRequest{Caller: caller, Key: key, Kind: "drafting", WaitMillis: wait}, nil)
	}
	waitFor(c, "an owner", formationBound, func() bool {
		code, err := submit("first", "k", 0)
		return err == nil && code == http.StatusAccepted
	})
	var refused atomic.Int64
	var wg sync.WaitGroup
	for i := range flood {
		wg.Go(func() {
			if code, err := submit("flooder", fmt.Sprint(i), 2000); err == nil && code == http.StatusTooManyRequests {
				refused.Add(1)
			}
		})
	}
	waitFor(c, "refusals of the flood", formationBound, func() bool { return refused.Load() >= flood-places })
	for i := range 5 {
		code, err := submit("other", fmt.Sprint(i), 0)
		c.Check(err, qt.IsNil)
		c.Check(code, qt.Equals, http.StatusAccepted)
	}
	wg.Wait()
	c.Assert(refused.Load(), qt.Equals, int64(flood-minCallerCalls))
}
