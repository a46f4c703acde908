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

// KeyArgs identifies a request for Query, Cancel and Explain. Workers uses the partition only.
type KeyArgs struct {
	Partition string
	Key       api.RequestKey
	Wait      time.Duration
}

// StatusReply answers SubmitArgs and KeyArgs. NotOwner means that the call had no effect;
// Leader is then the VM that the called VM knows as the leader, or empty.
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

// OwnerReply answers calls that only the owner or the control leader serves. NotOwner and
// Leader mean the same as in StatusReply.
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

// WorkersReply lists the workers and the waiting requests of one partition. VMs of earlier builds
// send no waiting requests.
type WorkersReply struct {
	OwnerReply
	Workers []api.WorkerStatus
	Status  api.PartitionStatus
	Waiting []api.WaitingRequests
}

// partitionService implements the net/rpc service of partition owners. Its methods run on
// request goroutines and post events to the event loop goroutine.
type partitionService struct{ server *Server }

// maxRPCWait limits how long one call between VMs waits for an outcome. The entry VM repeats
// the call until its caller's wait ends.
const maxRPCWait = 5 * time.Second

// Submit accepts a request, or returns the state of the accepted request with the same key.
func (p *partitionService) Submit(args SubmitArgs, reply *StatusReply) error {
	if err := p.server.checkServing(); err != nil {
		reply.Err = err
		return nil
	}
	*reply = p.server.awaitReply(args.Partition, args.Wait, func(w partition.WaiterID, waitUntil time.Duration) partition.Event {
		return partition.Submit{
			Waiter: w, WaitUntil: waitUntil, Request: args.Request, Route: args.Route,
			Region: args.Region, NowUnixMillis: time.Now().UnixMilli(),
		}
	})
	return nil
}

// Query returns the state of a request. It waits up to args.Wait for an outcome.
func (p *partitionService) Query(args KeyArgs, reply *StatusReply) error {
	*reply = p.server.awaitReply(args.Partition, args.Wait, func(w partition.WaiterID, waitUntil time.Duration) partition.Event {
		return partition.Query{Waiter: w, WaitUntil: waitUntil, Key: args.Key}
	})
	return nil
}

// Cancel cancels a request.
func (p *partitionService) Cancel(args KeyArgs, reply *StatusReply) error {
	*reply = p.server.awaitReply(args.Partition, args.Wait, func(w partition.WaiterID, waitUntil time.Duration) partition.Event {
		return partition.Cancel{Waiter: w, WaitUntil: waitUntil, Key: args.Key}
	})
	return nil
}

// Announce passes a worker's announcement to the partition.
func (p *partitionService) Announce(args AnnounceArgs, reply *OwnerReply) error {
	return p.server.runAsOwner(args.Partition, reply, func(r *partitionReplica, now time.Duration) {
		r.step(now, partition.WorkerAnnounced{Announcement: args.Announcement})
	})
}

// Explain returns why a request has not started.
func (p *partitionService) Explain(args KeyArgs, reply *ExplainReply) error {
	return p.server.runAsOwner(args.Partition, &reply.OwnerReply, func(r *partitionReplica, now time.Duration) {
		reply.Explanation = r.state.Explain(now, args.Key)
	})
}

// Workers returns the workers, the waiting requests and the status of the partition.
func (p *partitionService) Workers(args KeyArgs, reply *WorkersReply) error {
	return p.server.runAsOwner(args.Partition, &reply.OwnerReply, func(r *partitionReplica, now time.Duration) {
		reply.Workers = r.state.Workers(now)
		reply.Status = r.status()
		reply.Waiting = r.state.Waiting()
	})
}

// runAsOwner runs fn on the event loop goroutine if this VM is the active owner of the
// partition. Otherwise it sets reply to the known leader.
func (s *Server) runAsOwner(name string, reply *OwnerReply, fn func(r *partitionReplica, now time.Duration)) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.eventLoop.Call(ctx, func() {
		now := s.eventLoop.Now()
		r := s.partitions[name]
		if r == nil || !r.isActiveOwner(now) {
			*reply = OwnerReply{NotOwner: true, Leader: s.partitionLeader(r)}
			return
		}
		fn(r, now)
	})
}

// awaitReply passes an event with a new waiter to the partition and waits for the reply. wait
// is limited to maxRPCWait.
func (s *Server) awaitReply(name string, wait time.Duration, event func(partition.WaiterID, time.Duration) partition.Event) StatusReply {
	wait = min(max(wait, 0), maxRPCWait)
	replies := make(chan StatusReply, 1)
	var id partition.WaiterID
	var owner *partitionReplica
	ok := s.eventLoop.Post(func() {
		now := s.eventLoop.Now()
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
		s.eventLoop.Post(func() {
			if owner != nil {
				owner.forgetWaiter(s.eventLoop.Now(), id)
			}
		})
		return StatusReply{Err: api.Errorf(api.CodeUnknownResult, "no answer from the partition in time; ask again by key")}
	}
}

// waiterGrace is added to a waiter's wait before the call fails without a reply. It allows for
// the commit of an accepted request, for which every waiter waits.
const waiterGrace = 2 * time.Second
