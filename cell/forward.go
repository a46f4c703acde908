package cell

import (
	"context"
	"time"

	"github.com/oleanderchute/oleanderchute/transport"
)

// retryInterval is the delay before a call without a definite reply is sent again, possibly to
// another VM. An election takes about a second.
const retryInterval = 40 * time.Millisecond

// Forward sends a call to the leader and returns its reply. Calls are idempotent, so a call
// without a definite reply is retried, possibly at another VM, until ctx ends. The code is
// then Unavailable if no attempt can have been executed, and Unknown if one may have been.
func (n *Node) Forward(ctx context.Context, c Call) Reply {
	began := time.Now()
	reply := n.forward(ctx, c)
	n.metrics.recordCall(c.Kind, reply, time.Since(began))
	return reply
}

func (n *Node) forward(ctx context.Context, c Call) Reply {
	uncertain := false
	for {
		reply, mayHaveRun := n.forwardOnce(ctx, c)
		uncertain = uncertain || mayHaveRun
		switch reply.Code {
		case NotLeader, Interrupted:
		default:
			return settle(c, reply, uncertain)
		}
		timer := time.NewTimer(retryInterval)
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

// forwardOnce sends the call to one VM. mayHaveRun reports whether the call may have been
// executed although the reply does not say so.
func (n *Node) forwardOnce(ctx context.Context, c Call) (reply Reply, mayHaveRun bool) {
	timeout := attemptTimeout
	if c.Kind == SignOff {
		timeout = callTimeout // the leader stops the worker's runs before it replies
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := n.finder.next()
	if target == n.settings.Address {
		reply = n.callLocal(ctx, c)
	} else if err := n.peers.call(ctx, target, "Call", c, &reply); err != nil {
		n.finder.forgetLeader(target)
		return Reply{Code: Interrupted}, transport.MayHaveRun(err)
	}
	switch reply.Code {
	case NotLeader:
		n.finder.update(reply.Leader, nil)
	case Interrupted:
		n.finder.forgetLeader(target)
		return reply, true
	}
	return reply, false
}
