package cell

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/transport"
)

// retryInterval is the least time between the starts of two attempts of a call, except for the
// first repetition.
const retryInterval = 40 * time.Millisecond

// changesState reports whether a call of this kind may have an effect, so that its outcome is
// unclear if an attempt got no reply.
func (k Kind) changesState() bool {
	switch k {
	case QueryJob, CountPending, GetConfig, ExplainJob:
		return false
	}
	return true
}

// Forward sends a call to the leader and returns its reply. While no leader is known, the call is
// held. Calls are idempotent, so a call without a definite reply is repeated, possibly at another
// VM, until ctx ends or too little time is left. The code is then Unavailable if no attempt can
// have been executed, and Unknown if one may have been.
func (n *Node) Forward(ctx context.Context, c Call) Reply {
	began := time.Now()
	reply := n.forward(ctx, c)
	n.metrics.recordCall(c.Kind, reply, time.Since(began))
	return reply
}

func (n *Node) forward(ctx context.Context, c Call) Reply {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(callTimeout)
	}
	isUnclear := false
	for attempt := 0; ; attempt++ {
		permit, rejection := n.router.acquire(ctx, c, deadline, isUnclear)
		if rejection != "" {
			return n.reject(c, deadline, isUnclear, rejection)
		}
		began := time.Now()
		reply, mayHaveRun := n.attempt(ctx, c, permit.leader)
		n.router.release(permit)
		if mayHaveRun && c.Kind.changesState() && !isUnclear {
			isUnclear = true
			n.metrics.callsUnclear.WithLabelValues(c.Kind.String()).Inc()
		}
		if reply.Code != NotLeader && reply.Code != Interrupted {
			return settle(c, reply, isUnclear)
		}
		if attempt > 0 {
			sleep(ctx, retryInterval-time.Since(began))
		}
	}
}

// reject returns the reply to a call for which no leader was found.
func (n *Node) reject(c Call, deadline time.Time, isUnclear bool, reason string) Reply {
	n.metrics.callsRejected.WithLabelValues(c.Kind.String(), reason).Inc()
	if isUnclear {
		return Reply{Code: Unknown}
	}
	return Reply{Code: Unavailable, RetryAfterMillis: n.router.retryAfter(deadline, hashString(c.Path)).Milliseconds()}
}

// attempt sends a call to the leader. mayHaveRun reports whether the call may have been executed
// although the reply does not say so.
func (n *Node) attempt(ctx context.Context, c Call, leader string) (reply Reply, mayHaveRun bool) {
	timeout := attemptTimeout
	if c.Kind == SignOff {
		timeout = callTimeout // the leader stops the worker's runs before it replies
	}
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var err error
	if leader == n.settings.Address {
		if reply = n.callLocal(ctx, c); reply.Code == Interrupted {
			err = ctx.Err()
		}
	} else {
		err = n.callPeer(ctx, leader, "Call", c, &reply)
	}
	if err != nil {
		n.router.attemptFailed(leader, sentAt, err)
		return Reply{Code: Interrupted}, transport.MayHaveRun(err)
	}
	n.router.attemptReplied(leader, reply)
	return reply, reply.Code == Interrupted
}

// sendJoin sends Join to a VM, which may be this one. It changes no job and no configuration.
func (n *Node) sendJoin(ctx context.Context, address string) (JoinReply, error) {
	args := JoinArgs{Address: n.settings.Address}
	if n.settings.isKeeper() {
		if err := n.eventLoop.Call(ctx, func() { args.Keeper = n.host.selfMember() }); err != nil {
			return JoinReply{}, err
		}
	}
	var reply JoinReply
	if address == n.settings.Address && n.settings.isKeeper() {
		if err := n.eventLoop.Call(ctx, func() { reply = n.host.join(n.eventLoop.Now(), args) }); err != nil {
			return JoinReply{}, err // the event loop may still write to reply
		}
		return reply, nil
	}
	err := n.callPeer(ctx, address, "Join", args, &reply)
	return reply, err
}

// probe asks a VM whether it is the leader, and registers this VM with it. It returns when the VM
// has replied or cannot be reached, and after timeout at the latest; a later reply is used too.
func (n *Node) probe(ctx context.Context, address string, timeout time.Duration) {
	sentAt, done := time.Now(), make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := n.sendJoin(ctx, address)
		if err == nil {
			n.router.probeReplied(address, address == n.settings.Address, reply)
		}
		done <- err
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case err := <-done:
		if err != nil && ctx.Err() == nil {
			n.router.probeFailed(address, sentAt, err)
		}
	case <-timer.C:
		n.router.probeFailed(address, sentAt, context.DeadlineExceeded)
	}
}

// findLeaderPeriodically asks the leader every joinInterval whether it still is, which registers
// this VM there. While calls are held it asks the known VMs in turn, one at a time.
func (n *Node) findLeaderPeriodically(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.router.probeWanted:
			if _, isWanted := n.router.afterProbe(); !isWanted {
				continue
			}
		case <-ticker.C:
		}
		for isWanted := true; isWanted && ctx.Err() == nil; {
			address, timeout := n.router.nextProbe()
			n.probe(ctx, address, timeout)
			var pause time.Duration
			if pause, isWanted = n.router.afterProbe(); isWanted {
				sleep(ctx, pause)
			}
		}
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// isTimeout reports whether a call ended because no reply arrived in time.
func isTimeout(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled)
}
