package server

import (
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxRefusalTTL limits how long a cached refusal is repeated without a call to the owner, so
// that freed capacity is not hidden for longer.
const maxRefusalTTL = time.Second

// probeInterval is the interval at which one request goes to the owner despite a cached
// refusal. Without probes, one refusal of a team near its fair share would refuse all work of
// the team on this VM for up to maxRefusalTTL.
const probeInterval = 10 * time.Millisecond

// maxRefusals limits the cached refusals. It fits 100 teams with 3 classes and a few kinds.
const maxRefusals = 1024

// callerShareDivisor and minCallerLimit set the limit of calls in flight per caller: a tenth of
// the VM's MaxWaiters, but at least 16.
const (
	callerShareDivisor = 10
	minCallerLimit     = 16
)

// admissionController refuses work on the entry VM if the owner has just refused the same kind
// of work, or if the caller has too many calls in flight on this VM. It is safe for concurrent
// use.
//
// Its refusals say that this copy was not forwarded, and leave NotRun false. An entry VM does
// not know which keys were accepted, so the call may be a resend of a request that runs. A
// query of the owner by key would allow NotRun, but would cost the owner the call that the cache
// saves. A call by key without a wait is never refused here, so that a caller can always ask
// about an earlier copy.
type admissionController struct {
	// refusals caches the latest refusal of the owner for each key.
	refusals *lru.Cache[refusalKey, *refusal]
	callers  callerLimiter
}

// newAdmissionController returns a controller for a VM with maxWaiters calls in flight.
func newAdmissionController(maxWaiters int) *admissionController {
	cache, err := lru.New[refusalKey, *refusal](maxRefusals)
	if err != nil {
		panic(err) // lru.New fails only for a size below 1
	}
	limit := max(maxWaiters/callerShareDivisor, minCallerLimit)
	return &admissionController{refusals: cache, callers: callerLimiter{limit: limit, inFlight: map[string]int{}}}
}

// refusalKey identifies the queue that a refusal is about. Requests with and without a deadline
// have separate keys, since the owner limits their waits differently.
type refusalKey struct {
	kind, team  string
	class       api.Class
	hasDeadline bool
}

// refusal is the owner's refusal of one request, with the resources, tasks and deadline of that
// request. Only nextProbe changes once it is cached.
type refusal struct {
	message        string
	expiresAt      time.Duration // on the event loop's clock
	demand         api.Resources
	tasks          int
	deadlineMillis int64
	nextProbe      atomic.Int64 // time.Duration on the event loop's clock
}

// claimProbe reports whether the caller's request is the probe that goes to the owner now. It
// returns true to one request per probeInterval.
func (r *refusal) claimProbe(now time.Duration) bool {
	next := r.nextProbe.Load()
	return int64(now) >= next && r.nextProbe.CompareAndSwap(next, int64(now+probeInterval))
}

func newRefusalKey(kind string, req *api.SubmitRequest) refusalKey {
	return refusalKey{kind: kind, team: req.Team, class: req.Class, hasDeadline: req.DeadlineMillis > 0}
}

// appliesTo reports whether req demands at least the resources and tasks of the refused request
// and has no later deadline. The owner may accept a smaller request or one with a later deadline.
func (r *refusal) appliesTo(req *api.SubmitRequest) bool {
	return r.demand.Fits(req.Resources) && r.tasks <= req.Tasks && req.DeadlineMillis <= r.deadlineMillis
}

// recordRefusal caches the owner's answer to a request if it is a refusal for overload. kind is
// the name of the route. A refusal after an uncertain call has another code and is not cached.
func (a *admissionController) recordRefusal(now time.Duration, kind string, req *api.SubmitRequest, err *api.Error) {
	if err == nil || err.Code != api.CodeOverloaded || err.RetryAfterMillis <= 0 {
		return
	}
	// The minimum is taken in milliseconds, since the conversion of a huge value would overflow.
	ttl := time.Duration(min(err.RetryAfterMillis, maxRefusalTTL.Milliseconds())) * time.Millisecond
	r := &refusal{
		message: err.Message, expiresAt: now + ttl,
		demand: req.Resources, tasks: req.Tasks, deadlineMillis: req.DeadlineMillis,
	}
	r.nextProbe.Store(int64(now + probeInterval))
	a.refusals.Add(newRefusalKey(kind, req), r)
}

// cachedRefusal returns the cached refusal that applies to a request, or nil if the request goes
// to the owner. One request per probeInterval goes to the owner despite a refusal. The error's
// RetryAfterMillis is the remaining time, at least 1.
func (a *admissionController) cachedRefusal(now time.Duration, kind string, req *api.SubmitRequest) *api.Error {
	r, ok := a.refusals.Get(newRefusalKey(kind, req))
	if !ok || now >= r.expiresAt || !r.appliesTo(req) || r.claimProbe(now) {
		return nil
	}
	err := api.Errorf(api.CodeOverloaded, "this copy was not forwarded: the owner refused the same kind of work a moment ago (%s); if an earlier copy was sent, ask by key", r.message)
	err.RetryAfterMillis = max((r.expiresAt - now).Milliseconds(), 1)
	return err
}

// admit returns the function that ends the call of an admitted request, or the refusal. kind is
// the name of the route.
func (a *admissionController) admit(now time.Duration, kind string, req *api.SubmitRequest) (func(), *api.Error) {
	if err := a.cachedRefusal(now, kind, req); err != nil {
		return nil, err
	}
	return a.callers.acquire(req.Caller)
}

// admitByKey is admit for a call by key. It admits every call without a wait.
func (a *admissionController) admitByKey(caller string, wait time.Duration) (func(), *api.Error) {
	if wait <= 0 {
		return func() {}, nil
	}
	return a.callers.acquire(caller)
}

// callerLimiter limits the calls in flight per caller on this VM. A caller without calls has no
// entry, so the map has at most as many entries as there are calls in flight.
type callerLimiter struct {
	limit int

	mu       sync.Mutex
	inFlight map[string]int // guarded by mu
}

// acquire starts a call of a caller. It returns the function that ends the call, which must be
// called once, or an error with CodeOverloaded if the caller is at its limit.
func (c *callerLimiter) acquire(caller string) (func(), *api.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[caller] >= c.limit {
		err := api.Errorf(api.CodeOverloaded, "caller %q has %d calls in flight on this VM, the most it may have; this copy was not forwarded; if an earlier copy was sent, ask by key without a wait", caller, c.limit)
		err.RetryAfterMillis = maxRefusalTTL.Milliseconds()
		return nil, err
	}
	c.inFlight[caller]++
	return func() { c.release(caller) }, nil
}

// release ends one call of a caller.
func (c *callerLimiter) release(caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[caller]--
	if c.inFlight[caller] == 0 {
		delete(c.inFlight, caller)
	}
}
