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

// newSubmitRequest returns a request, modified by change if it is not nil.
func newSubmitRequest(change func(*api.SubmitRequest)) *api.SubmitRequest {
	r := &api.SubmitRequest{
		Caller: "a", Key: "k", Kind: "drafting", Team: "red", Class: api.ClassLow, Tasks: 2,
		Resources: api.Resources{MilliCPU: 1000, MemoryMB: 512}, DeadlineMillis: 500,
	}
	if change != nil {
		change(r)
	}
	return r
}

// Guards against a cached refusal that is repeated for too long or for a request that the owner
// may accept, and against NotRun on the refusal of a request whose earlier copy may run.
func TestCachedRefusalApplies(t *testing.T) {
	const recordedAt = 10 * time.Second
	overloaded := func(retry int64) *api.Error {
		return &api.Error{Code: api.CodeOverloaded, NotRun: true, RetryAfterMillis: retry, Message: "queue"}
	}
	tests := []struct {
		name   string
		answer *api.Error
		after  time.Duration // time since the refusal
		kind   string
		change func(*api.SubmitRequest)
		// remainingMillis is the expected RetryAfterMillis; 0 if the request goes to the owner.
		remainingMillis int64
	}{
		{"same kind of work", overloaded(400), 100 * time.Millisecond, "drafting", nil, 300},
		{"another key of another caller", overloaded(400), 0, "drafting", func(r *api.SubmitRequest) { r.Caller, r.Key = "b", "l" }, 400},
		{"the refusal has expired", overloaded(400), 400 * time.Millisecond, "drafting", nil, 0},
		{"less than a millisecond is left", overloaded(400), 400*time.Millisecond - 1, "drafting", nil, 1},
		{"a long refusal is shortened", overloaded(60_000), 999 * time.Millisecond, "drafting", nil, 1},
		{"a long refusal ends after 1 s", overloaded(60_000), time.Second, "drafting", nil, 0},
		{"a huge refusal does not overflow", overloaded(1 << 62), time.Second, "drafting", nil, 0},
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
		{"no retry interval", overloaded(0), 0, "drafting", nil, 0},
		{"unknown result", &api.Error{Code: api.CodeUnknownResult, RetryAfterMillis: 400}, 0, "drafting", nil, 0},
		{"never fits", &api.Error{Code: api.CodeNeverFits, NotRun: true}, 0, "drafting", nil, 0},
	}
	for _, test := range tests {
		qt.New(t).Run(test.name, func(c *qt.C) {
			a := newAdmissionController(100)
			a.recordRefusal(recordedAt, "drafting", newSubmitRequest(nil), test.answer)
			_ = a.cachedRefusal(recordedAt+test.after, test.kind, newSubmitRequest(test.change)) // claims the probe if one is due
			err := a.cachedRefusal(recordedAt+test.after, test.kind, newSubmitRequest(test.change))
			if test.remainingMillis == 0 {
				c.Assert(err == nil, qt.IsTrue)
				return
			}
			c.Assert(err != nil, qt.IsTrue)
			c.Assert(err.Code, qt.Equals, api.CodeOverloaded)
			c.Assert(err.RetryAfterMillis, qt.Equals, test.remainingMillis)
			c.Assert(err.NotRun, qt.IsFalse)
		})
	}
}

// Guards against one refusal that stops all work of a team while it is cached, and against
// probes so frequent that each request goes to the owner.
func TestCachedRefusalLetsProbesThrough(t *testing.T) {
	c := qt.New(t)
	a := newAdmissionController(100)
	a.recordRefusal(0, "drafting", newSubmitRequest(nil), &api.Error{Code: api.CodeOverloaded, RetryAfterMillis: 1000})
	probes := 0
	for now := time.Duration(0); now < 500*time.Millisecond; now += time.Millisecond {
		if a.cachedRefusal(now, "drafting", newSubmitRequest(nil)) == nil {
			probes++
		}
	}
	c.Assert(probes, qt.Equals, int(500*time.Millisecond/probeInterval)-1)
}

// Guards against a refusal cache that grows with the number of teams.
func TestRefusalCacheIsBounded(t *testing.T) {
	c := qt.New(t)
	a := newAdmissionController(100)
	for i := range 2 * maxRefusals {
		r := newSubmitRequest(func(r *api.SubmitRequest) { r.Team = fmt.Sprint(i) })
		a.recordRefusal(0, "drafting", r, &api.Error{Code: api.CodeOverloaded, RetryAfterMillis: 1000})
	}
	c.Assert(a.refusals.Len(), qt.Equals, maxRefusals)
}

// Guards against one caller that uses the whole limit of a VM, against calls that are counted
// after their end, and against a refused caller that cannot ask by key.
func TestCallerLimit(t *testing.T) {
	for _, test := range []struct{ waiters, limit int }{{1, 16}, {160, 16}, {170, 17}, {20_000, 2000}} {
		c := qt.New(t)
		a := newAdmissionController(test.waiters)
		var releases []func()
		for range test.limit {
			release, err := a.admitByKey("a", time.Second)
			c.Assert(err == nil, qt.IsTrue)
			releases = append(releases, release)
		}
		_, err := a.admit(0, "drafting", newSubmitRequest(nil))
		c.Assert(err != nil, qt.IsTrue)
		c.Assert(err.Code, qt.Equals, api.CodeOverloaded)
		c.Assert(err.NotRun, qt.IsFalse)
		c.Assert(err.RetryAfterMillis > 0, qt.IsTrue)
		_, err = a.admitByKey("a", 0)
		c.Assert(err == nil, qt.IsTrue)
		release, err := a.callers.acquire("b")
		c.Assert(err == nil, qt.IsTrue)
		for _, release := range append(releases, release) {
			release()
		}
		c.Assert(a.callers.inFlight, qt.HasLen, 0)
	}
}

// Guards against one caller whose waiting calls use up MaxWaiters, so that calls of other
// callers are refused.
func TestOneCallersFloodDoesNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	const maxWaiters, flood = 40, 60
	settings := threeVMs(c)[0]
	settings.Peers = map[string]string{settings.VM: settings.PeerAddress}
	settings.MaxWaiters = maxWaiters
	vm := startVM(c, settings)
	change := api.ApplyRequest{ChangeID: "c1", Operator: "op", Tables: api.Tables{
		Routes: []api.Route{{Name: "drafting", Pool: "drafters"}},
		Pools:  []api.Pool{{Name: "drafters", Home: "north"}},
	}}
	waitFor(c, "a partition", formationTimeout, func() bool {
		var st api.StatusResponse
		return getJSON(vm.url()+"/v1/status", &st) == nil && len(st.Partitions) == 1 && st.VMs[0].MayServe
	})
	waitFor(c, "the tables", formationTimeout, func() bool {
		var resp api.ApplyResponse
		_, err := postJSON(vm.url()+"/v1/tables/apply", change, &resp)
		return err == nil && resp.Accepted
	})
	submit := func(caller, key string, wait int64) (int, error) {
		return postJSON(vm.url()+"/v1/requests", api.SubmitRequest{Caller: caller, Key: key, Kind: "drafting", WaitMillis: wait}, nil)
	}
	waitFor(c, "an owner", formationTimeout, func() bool {
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
	waitFor(c, "refusals of the flood", formationTimeout, func() bool { return refused.Load() >= flood-maxWaiters })
	for i := range 5 {
		code, err := submit("other", fmt.Sprint(i), 0)
		c.Check(err, qt.IsNil)
		c.Check(code, qt.Equals, http.StatusAccepted)
	}
	wg.Wait()
	c.Assert(refused.Load(), qt.Equals, int64(flood-minCallerLimit))
}
