package server

import (
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxRefusalAge bounds how long a refusal is repeated without asking the owner, so that
// capacity freed meanwhile is not hidden for longer.
const maxRefusalAge = time.Second

// probeInterval is how often one request goes to the owner in spite of a remembered
// refusal. Without it a single refusal of a team near its share would refuse all its work
// here for up to maxRefusalAge.
const probeInterval = 10 * time.Millisecond

// maxRefusals bounds the remembered refusals: 100 teams with three classes of a few kinds.
const maxRefusals = 1024

// callerShare and minCallerCalls give each caller at most a tenth of the waiting places
// of a VM, but at least 16 calls.
const (
	callerShare    = 10
	minCallerCalls = 16
)

// floodGuard refuses work at the entry VM when the owner has just refused the same kind of
// work, or when its caller has too many calls in flight here. It is safe for concurrent use.
//
// Its refusals say that this copy was not forwarded, and leave NotRun false: an entry VM
// does not know which keys were accepted, so the call may be a resend of one that runs.
// Asking the owner by key first would restore NotRun but cost the owner the call that the
// memory saves. A call by key without a wait is never refused here, so that a caller can
// always find out about an earlier copy.
type floodGuard struct {
	refusals *lru.Cache[refusalKey, *refusal]
	calls    callerCalls
}

// newFloodGuard sizes the guard for a VM with the given number of waiting places.
func newFloodGuard(maxWaiters int) *floodGuard {
	cache, err := lru.New[refusalKey, *refusal](maxRefusals)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	limit := max(maxWaiters/callerShare, minCallerCalls)
	return &floodGuard{refusals: cache, calls: callerCalls{limit: limit, inFlight: map[string]int{}}}
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
	until          time.Duration // since the loop's origin
	demand         api.Resources
	tasks          int
	deadlineMillis int64
	nextProbe      atomic.Int64 // time.Duration since the loop's origin
}

// takeProbe reports whether the request is the one that goes to the owner now.
func (f *refusal) takeProbe(now time.Duration) bool {
	next := f.nextProbe.Load()
	return int64(now) >= next && f.nextProbe.CompareAndSwap(next, int64(now+probeInterval))
}

func keyOfRefusal(kind string, r *api.SubmitRequest) refusalKey {
	return refusalKey{kind: kind, team: r.Team, class: r.Class, hasDeadline: r.DeadlineMillis > 0}
}

// coversRequest reports whether the request asks for at least as much as the refused one
// and no later. The owner may accept a smaller or more patient request.
func (f *refusal) coversRequest(r *api.SubmitRequest) bool {
	return f.demand.Fits(r.Resources) && f.tasks <= r.Tasks && r.DeadlineMillis <= f.deadlineMillis
}

// note remembers the owner's answer to a request of a route if it is a refusal for
// overload. A refusal after an uncertain call has another code and is not remembered.
func (g *floodGuard) note(now time.Duration, kind string, r *api.SubmitRequest, err *api.Error) {
	if err == nil || err.Code != api.CodeOverloaded || err.RetryAfterMillis <= 0 {
		return
	}
	// Comparing in milliseconds first keeps an absurd value from overflowing.
	age := time.Duration(min(err.RetryAfterMillis, maxRefusalAge.Milliseconds())) * time.Millisecond
	f := &refusal{
		message: err.Message, until: now + age,
		demand: r.Resources, tasks: r.Tasks, deadlineMillis: r.DeadlineMillis,
	}
	f.nextProbe.Store(int64(now + probeInterval))
	g.refusals.Add(keyOfRefusal(kind, r), f)
}

// remembered returns the refusal that holds for a request, or nil if the request goes to
// the owner, as one request each probeInterval does. RetryAfterMillis is the
// time left, at least 1.
func (g *floodGuard) remembered(now time.Duration, kind string, r *api.SubmitRequest) *api.Error {
	f, ok := g.refusals.Get(keyOfRefusal(kind, r))
	if !ok || now >= f.until || !f.coversRequest(r) || f.takeProbe(now) {
		return nil
	}
	err := api.Errorf(api.CodeOverloaded, "this copy was not forwarded: the owner refused the same kind of work a moment ago (%s); if an earlier copy was sent, ask by key", f.message)
	err.RetryAfterMillis = max((f.until - now).Milliseconds(), 1)
	return err
}

// admit lets a request of a route pass and returns the function that ends its call, or the
// refusal.
func (g *floodGuard) admit(now time.Duration, kind string, r *api.SubmitRequest) (func(), *api.Error) {
	if err := g.remembered(now, kind, r); err != nil {
		return nil, err
	}
	return g.calls.begin(r.Caller)
}

// admitWait is admit for a call by key; without a wait it always passes.
func (g *floodGuard) admitWait(caller string, wait time.Duration) (func(), *api.Error) {
	if wait <= 0 {
		return func() {}, nil
	}
	return g.calls.begin(caller)
}

// callerCalls counts the calls in flight of each caller on this VM. A caller without calls
// has no entry, so the map is no larger than the number of calls.
type callerCalls struct {
	limit int

	mu       sync.Mutex
	inFlight map[string]int // guarded by mu
}

// begin takes a place of a caller and returns the function that gives it back, which must
// be called once; or a refusal with CodeOverloaded.
func (c *callerCalls) begin(caller string) (func(), *api.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inFlight[caller] >= c.limit {
		err := api.Errorf(api.CodeOverloaded, "caller %q has %d calls in flight on this VM, the most it may have; this copy was not forwarded; if an earlier copy was sent, ask by key without a wait", caller, c.limit)
		err.RetryAfterMillis = maxRefusalAge.Milliseconds()
		return nil, err
	}
	c.inFlight[caller]++
	return func() { c.end(caller) }, nil
}

func (c *callerCalls) end(caller string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[caller]--
	if c.inFlight[caller] == 0 {
		delete(c.inFlight, caller)
	}
}
