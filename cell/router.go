package cell

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/transport"
)

// callRouter carries out what leaderFinder and heldCalls decide for the calls of one VM. It is safe
// for concurrent use.
type callRouter struct {
	metrics *metrics
	log     *zap.Logger
	// probeWanted holds a token when calls wait for a leader.
	probeWanted chan struct{}

	mu     sync.Mutex // guards the fields below
	finder *leaderFinder
	held   heldCalls
	// waiting holds the channel of each held call, which receives the leader when it may be sent.
	waiting map[uint64]chan string
}

func newCallRouter(s Settings, m *metrics, log *zap.Logger) *callRouter {
	return &callRouter{metrics: m, log: log, probeWanted: make(chan struct{}, 1), waiting: map[uint64]chan string{},
		finder: newLeaderFinder(time.Now(), s.Seeds, hashString(s.Address))}
}

// permit allows one attempt of a call.
type permit struct {
	leader string
	// wasHeld tells that the attempt counts towards releaseWindow, isCounted that it counts towards
	// the calls that the leader leaves unanswered.
	wasHeld, isCounted bool
}

// reasonGone is the reason for the rejection of a call whose caller no longer waits, beside the reasons
// that holdDecision names.
const reasonGone = "gone"

// acquire waits until the call may be sent to a leader. rejection, if not empty, is why the call
// must be answered without one.
func (r *callRouter) acquire(ctx context.Context, c Call, deadline time.Time, isUnclear bool) (p permit, rejection string) {
	isExempt := isUnclear
	for {
		p, rejection = r.tryAcquire(ctx, c, deadline, isExempt)
		if p.leader != "" || rejection != "" {
			return p, rejection
		}
		isExempt = true // its place was given up when it was released
	}
}

// tryAcquire is acquire, but returns a permit without a leader if the leader was lost after the call
// was released.
func (r *callRouter) tryAcquire(ctx context.Context, c Call, deadline time.Time, isExempt bool) (p permit, rejection string) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return permit{}, reasonGone
	}
	p.isCounted = c.Kind != SignOff // the leader may take callTimeout to reply to one
	r.mu.Lock()
	now := time.Now()
	leader := r.finder.usableLeader(now)
	id, decision := r.held.arrive(now, deadline, callBytes(c), leader != "", isExempt)
	switch decision {
	case sendNow:
		p.leader = leader
		r.countSent(now, p)
		r.mu.Unlock()
		return p, ""
	case hold:
	default:
		r.mu.Unlock()
		return permit{}, decision.String()
	}
	released := make(chan string, 1)
	r.waiting[id] = released
	r.dispatch(now)
	r.mu.Unlock()
	heldFrom := now
	defer func() { r.metrics.recordHeld(c.Kind, time.Since(heldFrom)) }()
	timer := time.NewTimer(time.Until(holdUntil(deadline)))
	defer timer.Stop()
	select {
	case p.leader = <-released:
	case <-ctx.Done():
	case <-timer.C:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.leader == "" {
		select {
		case p.leader = <-released: // at the same moment
		default:
			r.held.leave(id)
			delete(r.waiting, id)
			r.metrics.heldCalls.Set(float64(len(r.waiting)))
			if errors.Is(ctx.Err(), context.Canceled) {
				return permit{}, reasonGone
			}
			return permit{}, rejectDeadline.String()
		}
	}
	now = time.Now()
	if p.leader = r.finder.usableLeader(now); p.leader == "" {
		r.held.ended()
		r.dispatch(now)
		return permit{}, ""
	}
	p.wasHeld = true
	r.countSent(now, p)
	return p, ""
}

// callBytes estimates the memory of a held call.
func callBytes(c Call) int {
	const stepBytes = 160
	bytes := len(c.Host) + len(c.Path)
	if c.Spec != nil {
		bytes += len(c.Spec.Payload) + stepBytes*len(c.Spec.Steps)
	}
	if c.Config != nil {
		bytes += len(c.Config.Document)
	}
	return bytes
}

func (r *callRouter) countSent(now time.Time, p permit) {
	if p.isCounted {
		r.finder.callSent(now)
	}
}

// release ends the attempt that a permit allowed.
func (r *callRouter) release(p permit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.isCounted {
		r.finder.callReturned(p.leader)
	}
	if p.wasHeld {
		r.held.ended()
		r.dispatch(time.Now())
	}
}

// dispatch lets the held calls go that may be sent now, or wants a probe if they need one.
func (r *callRouter) dispatch(now time.Time) {
	leader := r.finder.usableLeader(now)
	for _, id := range r.held.release(now, leader != "") {
		r.waiting[id] <- leader
		delete(r.waiting, id)
	}
	r.metrics.heldCalls.Set(float64(len(r.waiting)))
	if leader == "" && len(r.waiting) > 0 {
		select {
		case r.probeWanted <- struct{}{}:
		default: // one is wanted already
		}
	}
}

// update passes an event to the finder, logs a change of the leader and lets held calls go.
func (r *callRouter) update(reason string, event func(now time.Time, f *leaderFinder)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, before, lostAt := time.Now(), r.finder.leader, r.finder.lostAt
	event(now, r.finder)
	after := r.finder.leader
	if before != "" && after != before {
		r.log.Info("leader lost", zap.String("leader", before), zap.String("reason", reason), zap.Int("calls_held", len(r.waiting)))
	}
	if after != "" && after != before {
		without := time.Duration(0)
		if before == "" {
			without = now.Sub(lostAt)
		}
		r.log.Info("leader found", zap.String("leader", after), zap.Int64("without_leader_ms", without.Milliseconds()), zap.Int("calls_held", len(r.waiting)))
	}
	r.dispatch(now)
}

// attemptReplied handles the reply to a call that was sent to the leader.
func (r *callRouter) attemptReplied(address string, reply Reply) {
	switch reply.Code {
	case NotLeader:
		r.update("no longer leads", func(now time.Time, f *leaderFinder) {
			if f.leader == address {
				f.lose(now)
				f.named = reply.Leader
			}
		})
	case Interrupted:
		r.update("lost the leadership", func(now time.Time, f *leaderFinder) { f.failed(now, address) })
	default:
		r.update("", func(now time.Time, f *leaderFinder) { f.leaderReplied(now, address) })
	}
}

// attemptFailed handles a call that got no reply. An error that the VM itself returned tells
// nothing about its leadership.
func (r *callRouter) attemptFailed(address string, sentAt time.Time, err error) {
	r.update(err.Error(), func(now time.Time, f *leaderFinder) { recordFailure(f, now, address, sentAt, err) })
}

func recordFailure(f *leaderFinder, now time.Time, address string, sentAt time.Time, err error) {
	var remote *transport.RemoteError
	switch {
	case errors.As(err, &remote), errors.Is(err, context.Canceled):
	case isTimeout(err) && now.Sub(sentAt) < doubtedProbeTimeout:
		// The caller's time ended; the VM had too little time to reply.
	case isTimeout(err) && now.Sub(sentAt) < attemptTimeout:
		f.endedEarly(address, sentAt)
	case isTimeout(err):
		f.timedOut(now, address, sentAt)
	default:
		f.failed(now, address)
	}
}

// probeReplied handles the reply to a Join.
func (r *callRouter) probeReplied(address string, isSelf bool, reply JoinReply) {
	r.update("no longer leads", func(now time.Time, f *leaderFinder) {
		f.replied(now, address, reply.Leader)
		if !isSelf {
			f.recordReply(now, reply.Keepers)
		}
	})
}

// probeFailed handles a Join without a reply.
func (r *callRouter) probeFailed(address string, sentAt time.Time, err error) {
	r.update(err.Error(), func(now time.Time, f *leaderFinder) {
		if isTimeout(err) {
			f.timedOut(now, address, sentAt)
			return
		}
		f.failed(now, address)
	})
}

// nextProbe returns the VM to ask and how long to wait for its reply.
func (r *callRouter) nextProbe() (address string, timeout time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finder.nextProbe()
}

// afterProbe reports whether another probe is wanted now, and after which pause.
func (r *callRouter) afterProbe() (pause time.Duration, isWanted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	isWanted = r.finder.isProbeUseful() || len(r.waiting) > 0 && r.finder.usableLeader(time.Now()) == ""
	return r.finder.pause(), isWanted
}

// retryAfter returns when the caller of a rejected call should return.
func (r *callRouter) retryAfter(deadline time.Time, hash uint64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, outage := time.Now(), time.Duration(0)
	if r.finder.leader == "" {
		outage = now.Sub(r.finder.lostAt)
	}
	return retryAfter(outage, deadline.Sub(now), hash)
}

func (r *callRouter) setSeeds(seeds []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finder.seeds = seeds
}

// leaderAndKeepers returns the believed leader, empty if unknown, and the known keepers.
func (r *callRouter) leaderAndKeepers() (leader string, keepers []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.finder.leader, r.finder.keepers
}

// repliedWithin reports whether another VM has replied within d.
func (r *callRouter) repliedWithin(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.finder.lastReplyAt) < d
}
