package cell

import (
	"context"
	"time"

	"github.com/oleanderchute/oleanderchute/transport"
)

// retryPause is the wait before the next VM is asked after a call that found no leader. An
// election takes about a second.
const retryPause = 40 * time.Millisecond

// Ask passes a call on to the leader and returns its reply. Calls are idempotent, so one
// without a clear reply is repeated, at another VM if need be, until ctx ends. The code is
// Unavailable if no copy of the call can have been carried out, and Unknown if one may.
func (n *Node) Forward(ctx context.Context, c Call) Reply {
	began := time.Now()
	reply := n.ask(ctx, c)
	n.metrics.called(c.Kind, reply, time.Since(began))
	return reply
}

func (n *Node) ask(ctx context.Context, c Call) Reply {
	uncertain := false
	for {
		reply, maybe := n.askOnce(ctx, c)
		uncertain = uncertain || maybe
		switch reply.Code {
		case NotLeader, Interrupted:
		default:
			return reply
		}
		timer := time.NewTimer(retryPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			if uncertain {
				return Reply{Code: Unknown}
			}
			return Reply{Code: Unavailable}
		case <-timer.C:
		}
	}
}

// askOnce asks one VM. maybe reports whether the call may have been carried out although
// the reply does not say so.
func (n *Node) askOnce(ctx context.Context, c Call) (reply Reply, maybe bool) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	target := n.finder.next()
	if target == n.settings.Address {
		reply = n.callLocal(ctx, c)
	} else if err := n.peers.call(ctx, target, "Call", c, &reply); err != nil {
		n.finder.failed(target)
		return Reply{Code: Interrupted}, transport.MayHaveRun(err)
	}
	switch reply.Code {
	case NotLeader:
		n.finder.learn(reply.Leader, nil)
	case Interrupted:
		n.finder.failed(target)
		return reply, true
	}
	return reply, false
}
