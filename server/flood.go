package server

import (
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxRefusalTTL bounds how long a refusal is repeated without asking the owner, so that
// capacity freed meanwhile is not hidden for longer.
const maxRefusalTTL = time.Second

// probeInterval is how often one request goes to the owner in spite of a remembered
// refusal. Without it a single refusal of a team near its share would refuse all its work
// here for up to maxRefusalTTL.
const probeInterval = 10 * time.Millisecond

// maxRefusals bounds the remembered refusals: 100 teams with three classes of a few kinds.
const maxRefusals = 1024

// callerShareDivisor and minCallerLimit give each caller at most a tenth of the waiting places
// of a VM, but at least 16 calls.
const (
	callerShareDivisor = 10
	minCallerLimit     = 16
)

// admissionController refuses work at the entry VM when the owner has just refused the same kind of
// work, or when its caller has too many calls in flight here. It is safe for concurrent use.
//
// Its refusals say that this copy was not forwarded, and leave NotRun false: an entry VM
// does not know which keys were accepted, so the call may be a resend of one that runs.
// Asking the owner by key first would restore NotRun but cost the owner the call that the
// memory saves. A call by key without a wait is never refused here, so that a caller can
// always find out about an earlier copy.
type admissionController struct {
	refusals *lru.Cache[refusalKey, *refusal]
	callers  callerLimiter
}

// newAdmissionController sizes the guard for a VM with the given number of waiting places.
func newAdmissionController(maxWaiters int) *admissionController {
	cache, err := lru.New[refusalKey, *refusal](maxRefusals)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	limit := max(maxWaiters/callerShareDivisor, minCallerLimit)
	return &admissionController{refusals: cache, callers: callerLimiter{limit: limit, inFlight: map[string]int{}}}
}

// refusalKey names the queue that a refusal is about. Requests with and without a deadline
// are kept apart, since the owner bounds their waits differently.
type refusalKey struct {
	kind, team  string
	class       api.Class
	hasDeadline bool
}

// refusal is the owner's answer to one request and what that request asked for. Only
// nextProbe changes after it was remembered.
type refusal struct {
	message        string
	expiresAt      time.Duration // since the loop's origin
	demand         api.Resources
	tasks          int
	deadlineMillis int64
	nextProbe      atomic.Int64 // time.Duration since the loop's origin
}

// claimProbe reports whether the request is the one that goes to the owner now.
func (r *refusal) claimProbe(now time.Duration) bool {
	next := r.nextProbe.Load()
	return int64(now) >= next && r.nextProbe.CompareAndSwap(next, int64(now+probeInterval))
}

func newRefusalKey(kind string, req *api.SubmitRequest) refusalKey {
	return refusalKey{kind: kind, team: req.Team, class: req.Class, hasDeadline: req.DeadlineMillis > 0}
}

// appliesTo reports whether the request asks for at least as much as the refused one
// and no later. The owner may accept a smaller or more patient request.
func (r *refusal) appliesTo(req *api.SubmitRequest) bool {
	return r.demand.Fits(req.Resources) && r.tasks <= req.Tasks && req.DeadlineMillis <= r.deadlineMillis
}

// recordRefusal remembers the owner's answer to a request of a route if it is a refusal for
// overload. A refusal after an uncertain call has another code and is not remembered.
func (a *admissionController) recordRefusal(now time.Duration, kind string, req *api.SubmitRequest, err *api.Error) {
	if err == nil || err.Code != api.CodeOverloaded || err.RetryAfterMillis <= 0 {
		return
	}
	// Comparing in milliseconds first keeps an absurd value from overflowing.
	ttl := time.Duration(min(err.RetryAfterMillis, maxRefusalTTL.Milliseconds())) * time.Millisecond
	r := &refusal{
		message: err.Message, expiresAt: now + ttl,
		demand: req.Resources, tasks: req.Tasks, deadlineMillis: req.DeadlineMillis,
	}
	r.nextProbe.Store(int64(now + probeInterval))
	a.refusals.Add(newRefusalKey(kind, req), r)
}

// cachedRefusal returns the refusal that holds for a request, or nil if the request goes to
// the owner, as one request each probeInterval does. RetryAfterMillis is the
// time left, at least 1.
func (a *admissionController) cachedRefusal(now time.Duration, kind string, req *api.SubmitRequest) *api.Error {
	r, ok := a.refusals.Get(newRefusalKey(kind, req))
	if !ok || now >= r.expiresAt || !r.appliesTo(req) || r.claimProbe(now) {
		return nil
	}
	err := api.Errorf(api.CodeOverloaded, "this copy was not forwarded: the owner refused the same kind of work a moment ago (%s); if an earlier copy was sent, ask by key", r.message)
	err.RetryAfterMillis = max((r.expiresAt - now).Milliseconds(), 1)
	return err
}

// admit lets a request of a route pass and returns the function that ends its call, or the
// refusal.
func (a *admissionController) admit(now time.Duration, kind string, req *api.SubmitRequest) (func(), *api.Error) {
	if err := a.cachedRefusal(now, kind, req); err != nil {
		return nil, err
	}
	return a.callers.acquire(req.Caller)
}

// admitByKey is admit for a call by key; without a wait it always passes.
func (a *admissionController) admitByKey(caller string, wait time.Duration) (func(), *api.Error) {
	if wait <= 0 {
		return func() {}, nil
	}
	return a.callers.acquire(caller)
}

// callerLimiter counts the calls in flight of each caller on this VM. A caller without calls
// has no entry, so the map is no larger than the number of calls.
type callerLimiter struct {
	limit int

	mu       sync.Mutex
	inFlight map[string]int // guarded by mu
}

// acquire takes a place of a caller and returns the function that gives it back, which must
// be called once; or a refusal with CodeOverloaded.
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

func (c *callerLimiter) release(caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[caller]--
	if c.inFlight[caller] == 0 {
		delete(c.inFlight, caller)
	}
}
