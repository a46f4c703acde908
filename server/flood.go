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
func (f *refusal) claimProbe(now time.Duration) bool {
	next := f.nextProbe.Load()
	return int64(now) >= next && f.nextProbe.CompareAndSwap(next, int64(now+probeInterval))
}

func newRefusalKey(kind string, r *api.SubmitRequest) refusalKey {
	return refusalKey{kind: kind, team: r.Team, class: r.Class, hasDeadline: r.DeadlineMillis > 0}
}

// appliesTo reports whether the request asks for at least as much as the refused one
// and no later. The owner may accept a smaller or more patient request.
func (f *refusal) appliesTo(r *api.SubmitRequest) bool {
	return f.demand.Fits(r.Resources) && f.tasks <= r.Tasks && r.DeadlineMillis <= f.deadlineMillis
}

// recordRefusal remembers the owner's answer to a request of a route if it is a refusal for
// overload. A refusal after an uncertain call has another code and is not remembered.
func (g *admissionController) recordRefusal(now time.Duration, kind string, r *api.SubmitRequest, err *api.Error) {
	if err == nil || err.Code != api.CodeOverloaded || err.RetryAfterMillis <= 0 {
		return
	}
	// Comparing in milliseconds first keeps an absurd value from overflowing.
	ttl := time.Duration(min(err.RetryAfterMillis, maxRefusalTTL.Milliseconds())) * time.Millisecond
	f := &refusal{
		message: err.Message, expiresAt: now + ttl,
		demand: r.Resources, tasks: r.Tasks, deadlineMillis: r.DeadlineMillis,
	}
	f.nextProbe.Store(int64(now + probeInterval))
	g.refusals.Add(newRefusalKey(kind, r), f)
}

// cachedRefusal returns the refusal that holds for a request, or nil if the request goes to
// the owner, as one request each probeInterval does. RetryAfterMillis is the
// time left, at least 1.
func (g *admissionController) cachedRefusal(now time.Duration, kind string, r *api.SubmitRequest) *api.Error {
	f, ok := g.refusals.Get(newRefusalKey(kind, r))
	if !ok || now >= f.expiresAt || !f.appliesTo(r) || f.claimProbe(now) {
		return nil
	}
	err := api.Errorf(api.CodeOverloaded, "this copy was not forwarded: the owner refused the same kind of work a moment ago (%s); if an earlier copy was sent, ask by key", f.message)
	err.RetryAfterMillis = max((f.expiresAt - now).Milliseconds(), 1)
	return err
}

// admit lets a request of a route pass and returns the function that ends its call, or the
// refusal.
func (g *admissionController) admit(now time.Duration, kind string, r *api.SubmitRequest) (func(), *api.Error) {
	if err := g.cachedRefusal(now, kind, r); err != nil {
		return nil, err
	}
	return g.callers.acquire(r.Caller)
}

// admitByKey is admit for a call by key; without a wait it always passes.
func (g *admissionController) admitByKey(caller string, wait time.Duration) (func(), *api.Error) {
	if wait <= 0 {
		return func() {}, nil
	}
	return g.callers.acquire(caller)
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
