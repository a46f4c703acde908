package server

import (
	"context"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/partition"
)

// Names of the net/rpc services between VMs.
const (
	serviceCluster   = "Cluster"
	servicePartition = "Partition"
)

// SubmitArgs forwards a request to the owner of its partition.
type SubmitArgs struct {
	Partition string
	Request   api.SubmitRequest
	Route     api.Route
	Region    string
	Wait      time.Duration
}

// KeyArgs names a request for a query, a cancel or an explanation.
type KeyArgs struct {
	Partition string
	Key       api.RequestKey
	Wait      time.Duration
}

// StatusReply answers SubmitArgs and KeyArgs. NotOwner means that nothing was done
// here; Leader is then the owner as this VM knows it, or empty.
type StatusReply struct {
	NotOwner bool
	Leader   string
	Status   *api.RequestStatus
	Err      *api.Error
}

// AnnounceArgs forwards a worker's announcement to the owner of its pool.
type AnnounceArgs struct {
	Partition    string
	Announcement api.Announcement
}

// OwnerReply answers calls that only the owner can serve.
type OwnerReply struct {
	NotOwner bool
	Leader   string
}

func (r OwnerReply) ownerReply() OwnerReply { return r }

// ExplainReply answers KeyArgs with an explanation.
type ExplainReply struct {
	OwnerReply
	Explanation api.Explanation
}

// WorkersReply lists the workers of one partition.
type WorkersReply struct {
	OwnerReply
	Workers []api.WorkerStatus
	Status  api.PartitionStatus
}

// partitionService serves the owner's side of the calls between VMs. Its methods run on
// traffic goroutines and hand over to the control goroutine.
type partitionService struct{ server *Server }

// maxRPCWait bounds how long one call between VMs waits for an outcome; the entry VM
// asks again until its caller's time is over.
const maxRPCWait = 5 * time.Second

// Submit accepts or joins a request.
func (p *partitionService) Submit(args SubmitArgs, reply *StatusReply) error {
	if err := p.server.checkServing(); err != nil {
		reply.Err = err
		return nil
	}
	*reply = p.server.awaitReply(args.Partition, args.Wait, func(w partition.WaiterID, until time.Duration) partition.Event {
		return partition.Submit{
			Waiter: w, WaitUntil: until, Request: args.Request, Route: args.Route,
			Region: args.Region, NowUnixMillis: time.Now().UnixMilli(),
		}
	})
	return nil
}

// Query returns the state of a request.
func (p *partitionService) Query(args KeyArgs, reply *StatusReply) error {
	*reply = p.server.awaitReply(args.Partition, args.Wait, func(w partition.WaiterID, until time.Duration) partition.Event {
		return partition.Query{Waiter: w, WaitUntil: until, Key: args.Key}
	})
	return nil
}

// Cancel ends a request.
func (p *partitionService) Cancel(args KeyArgs, reply *StatusReply) error {
	*reply = p.server.awaitReply(args.Partition, args.Wait, func(w partition.WaiterID, until time.Duration) partition.Event {
		return partition.Cancel{Waiter: w, WaitUntil: until, Key: args.Key}
	})
	return nil
}

// Announce passes on a worker's announcement.
func (p *partitionService) Announce(args AnnounceArgs, reply *OwnerReply) error {
	return p.server.runAsOwner(args.Partition, reply, func(r *partitionReplica, now time.Duration) {
		r.step(now, partition.WorkerAnnounced{Announcement: args.Announcement})
	})
}

// Explain says why a request has not started.
func (p *partitionService) Explain(args KeyArgs, reply *ExplainReply) error {
	return p.server.runAsOwner(args.Partition, &reply.OwnerReply, func(r *partitionReplica, now time.Duration) {
		reply.Explanation = r.state.Explain(now, args.Key)
	})
}

// Workers lists the workers of the partition.
func (p *partitionService) Workers(args KeyArgs, reply *WorkersReply) error {
	return p.server.runAsOwner(args.Partition, &reply.OwnerReply, func(r *partitionReplica, now time.Duration) {
		reply.Workers = r.state.Workers(now)
		reply.Status = r.status()
	})
}

// runAsOwner runs fn on the control goroutine if this VM owns the partition now.
func (s *Server) runAsOwner(name string, reply *OwnerReply, fn func(r *partitionReplica, now time.Duration)) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.loop.Call(ctx, func() {
		now := s.loop.Now()
		r := s.partitions[name]
		if r == nil || !r.isActiveOwner(now) {
			*reply = OwnerReply{NotOwner: true, Leader: s.partitionLeader(r)}
			return
		}
		fn(r, now)
	})
}

// awaitReply hands an event with a waiter to the partition's core and waits for its reply.
func (s *Server) awaitReply(name string, wait time.Duration, event func(partition.WaiterID, time.Duration) partition.Event) StatusReply {
	wait = min(max(wait, 0), maxRPCWait)
	replies := make(chan StatusReply, 1)
	var id partition.WaiterID
	var owner *partitionReplica
	ok := s.loop.Post(func() {
		now := s.loop.Now()
		r := s.partitions[name]
		if r == nil || !r.isActiveOwner(now) {
			replies <- StatusReply{NotOwner: true, Leader: s.partitionLeader(r)}
			return
		}
		owner = r
		id = r.addWaiter(replies)
		r.step(now, event(id, now+wait))
	})
	if !ok {
		return StatusReply{NotOwner: true}
	}
	select {
	case reply := <-replies:
		return reply
	case <-time.After(wait + waiterGrace):
		s.loop.Post(func() {
			if owner != nil {
				owner.forgetWaiter(s.loop.Now(), id)
			}
		})
		return StatusReply{Err: api.Errorf(api.CodeUnknownResult, "no answer from the partition in time; ask again by key")}
	}
}

// waiterGrace is added to a waiter's time before the call gives up on its reply. It
// covers the commit of an accept, which a waiter always awaits.
const waiterGrace = 2 * time.Second
