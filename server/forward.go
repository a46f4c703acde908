package server

import (
	"context"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// forwardTimeout limits how long an entry VM searches for the owner of a partition or the
// control leader. An election takes 1 to 2 s.
const forwardTimeout = 4 * time.Second

// forwardBackoff is the delay between two rounds over the candidates.
const forwardBackoff = 100 * time.Millisecond

// forward calls the owner of a partition, and follows leader hints until the owner is found.
// Submit, Query and Cancel are idempotent by key, so a call whose result is unknown is
// repeated. After such a call a refusal does not prove that nothing runs, since the first copy
// may still arrive.
func (s *Server) forward(ctx context.Context, home, method string, args any, wait time.Duration) StatusReply {
	deadline := time.Now().Add(wait + forwardTimeout)
	uncertain := false
	for time.Now().Before(deadline) && ctx.Err() == nil {
		reply, mayHaveRun, ok := s.tryCandidates(ctx, home, method, args, wait)
		uncertain = uncertain || mayHaveRun
		if ok {
			return refusalToUnknownResult(reply, uncertain)
		}
		sleep(ctx, forwardBackoff)
	}
	if uncertain {
		return StatusReply{Err: api.Errorf(api.CodeUnknownResult, "the owner of partition %s stopped answering; ask again by key", home)}
	}
	err := api.Errorf(api.CodeUnavailable, "partition %s has no owner at the moment; nothing was accepted", home)
	err.RetryAfterMillis = forwardTimeout.Milliseconds()
	return StatusReply{Err: err}
}

// tryCandidates calls each VM that may be the owner once. uncertain is set if a call may
// have been executed without an answer.
func (s *Server) tryCandidates(ctx context.Context, home, method string, args any, wait time.Duration) (reply StatusReply, uncertain, ok bool) {
	candidates := s.ownerCandidates(home)
	for vm, more := candidates.next(); more; vm, more = candidates.next() {
		reply = StatusReply{}
		err := s.callVM(ctx, vm, method, args, &reply, wait+waiterGrace+callTimeout)
		if err != nil {
			s.leaders.set(home, "")
			uncertain = uncertain || isUncertain(err)
			continue
		}
		if isOwnerLost(reply) {
			s.leaders.set(home, "")
			uncertain = uncertain || reply.Err.Code == api.CodeUnknownResult
			continue
		}
		if !reply.NotOwner {
			s.leaders.set(home, vm)
			return reply, uncertain, true
		}
		candidates.pushFront(reply.Leader)
	}
	return StatusReply{}, uncertain, false
}

// isOwnerLost reports whether the called VM was the owner and can no longer act as such. The
// next owner may answer the same call.
func isOwnerLost(r StatusReply) bool {
	return r.Err != nil && (r.Err.Code == api.CodeUnknownResult || r.Err.Code == api.CodeUnavailable)
}

// refusalToUnknownResult replaces a refusal after an uncertain call by an unknown result.
func refusalToUnknownResult(reply StatusReply, uncertain bool) StatusReply {
	if uncertain && reply.Err != nil && reply.Err.NotRun {
		return StatusReply{Err: api.Errorf(api.CodeUnknownResult, "refused after an earlier copy may have been accepted (%s); ask again by key", reply.Err.Message)}
	}
	return reply
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
