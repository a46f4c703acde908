package server

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

// Empty is the argument or reply of calls that carry no data.
type Empty struct{}

// KnownReply reports whether a VM belongs to a cluster.
type KnownReply struct{ HasCluster bool }

// JoinArgs registers a VM with its identity and addresses.
type JoinArgs struct{ VM control.VM }

// ApplyArgs forwards an operator's change to the control leader.
type ApplyArgs struct{ Request api.ApplyRequest }

// ApplyReply answers ApplyArgs.
type ApplyReply struct {
	OwnerReply
	Response *api.ApplyResponse
	Err      *api.Error
}

// ProblemsReply lists the problems recorded on one VM.
type ProblemsReply struct{ Problems []api.Problem }

// VMStatusReply carries the status that a VM reports about itself.
type VMStatusReply struct{ Status api.VMStatus }

// clusterService implements the net/rpc service for membership, tables and VM status.
type clusterService struct{ server *Server }

// Known reports whether this VM is a member of a cluster. A VM that bootstraps asks its peers
// first, so that it does not create a second cluster.
func (c *clusterService) Known(_ Empty, reply *KnownReply) error {
	return c.server.runOnEventLoop(func() {
		reply.HasCluster = c.server.control != nil && len(c.server.control.group.Node.Status().Membership.Voters) > 0
	})
}

// Join proposes to register a VM. Only the control leader accepts it.
func (c *clusterService) Join(args JoinArgs, reply *OwnerReply) error {
	return c.server.runOnEventLoop(func() {
		now := c.server.eventLoop.Now()
		if !c.server.isControlLeader(now) {
			*reply = OwnerReply{NotOwner: true, Leader: c.server.controlLeader()}
			return
		}
		c.server.control.proposeInternal(now, control.EncodeRegisterVM(args.VM))
	})
}

// Apply proposes a change of the tables and waits for its result. Only the control leader
// accepts it.
func (c *clusterService) Apply(args ApplyArgs, reply *ApplyReply) error {
	done := make(chan ApplyReply, 1)
	workers := c.server.fetchPartitions(context.Background()).workers
	ok := c.server.eventLoop.Post(func() {
		now := c.server.eventLoop.Now()
		if !c.server.isControlLeader(now) {
			done <- ApplyReply{OwnerReply: OwnerReply{NotOwner: true, Leader: c.server.controlLeader()}}
			return
		}
		c.server.control.proposeChange(now, args.Request, workers, func(r *api.ApplyResponse, err *api.Error) {
			done <- ApplyReply{Response: r, Err: err}
		})
	})
	if !ok {
		return replica.ErrStopped
	}
	select {
	case *reply = <-done:
	case <-time.After(applyTimeout):
		reply.Err = api.Errorf(api.CodeUnknownResult, "the change is not committed yet; send it again with the same change id")
	}
	return nil
}

// applyTimeout limits how long Apply waits for a change to commit. An election takes 1 to 2 s.
const applyTimeout = 3 * time.Second

// Problems lists the problems recorded on this VM.
func (c *clusterService) Problems(_ Empty, reply *ProblemsReply) error {
	reply.Problems = c.server.problems.list()
	return nil
}

// Status returns the status of this VM.
func (c *clusterService) Status(_ Empty, reply *VMStatusReply) error {
	return c.server.runOnEventLoop(func() { reply.Status = c.server.vmStatus() })
}

// Drain makes this VM stop accepting new work.
func (c *clusterService) Drain(_ Empty, _ *Empty) error {
	c.server.beginDrain()
	return nil
}

// runOnEventLoop runs fn on the event loop goroutine and waits up to callTimeout for it.
func (s *Server) runOnEventLoop(fn func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.eventLoop.Call(ctx, fn)
}

// isControlLeader reports whether this VM is the control leader with a valid lease.
func (s *Server) isControlLeader(now time.Duration) bool {
	return s.control != nil && s.control.group.IsActiveLeader(now)
}

// controlLeader returns the VM name of the control leader, or "" if it is not known.
func (s *Server) controlLeader() string {
	if s.control == nil {
		return ""
	}
	return replica.VMName(s.control.group.Node.Status().Leader)
}

// partitionLeader returns the VM name of the partition's leader, or "" if it is not known or
// this VM has no replica of the partition.
func (s *Server) partitionLeader(r *partitionReplica) string {
	if r == nil {
		return ""
	}
	return replica.VMName(r.group.Node.Status().Leader)
}

func (s *Server) vmStatus() api.VMStatus {
	now := s.eventLoop.Now()
	status := api.VMStatus{
		VM: s.settings.VM, Region: s.settings.Region, FailureDomain: s.settings.FailureDomain,
		Role: "joining", MayServe: s.mayServe(now), Reachable: true,
	}
	if s.control != nil {
		status.Role = s.controlRole()
		status.TablesVersion = s.control.state.Version()
		status.ConfigAgeMillis = s.configAge(now).Milliseconds()
	}
	return status
}

func (s *Server) controlRole() string {
	raftStatus := s.control.group.Node.Status()
	if len(raftStatus.Membership.Voters) == 0 {
		return "joining"
	}
	return raftStatus.Role.String()
}

// joinInterval is the interval at which a VM retries to join until it is registered with its
// current identity and addresses.
const joinInterval = 500 * time.Millisecond

// maintainRegistration joins the cluster whenever the control state does not list this VM with
// its current identity and addresses. It returns when ctx ends.
func (s *Server) maintainRegistration(ctx context.Context) {
	replica.Every(ctx, joinInterval, func() {
		if !s.isRegistered() {
			s.join(ctx)
		}
	})
}

func (s *Server) isRegistered() bool {
	for _, vm := range s.view.Load().vms {
		if vm == s.self {
			return true
		}
	}
	return false
}

// join sends Join to the known VMs, this one included, until the control leader accepts it.
func (s *Server) join(ctx context.Context) {
	for _, vm := range s.knownVMs() {
		var reply OwnerReply
		err := s.callVM(ctx, vm, serviceCluster+".Join", JoinArgs{VM: s.self}, &reply, callTimeout)
		if err == nil && !reply.NotOwner {
			return
		}
	}
}

// errClusterExists is returned by confirmNoCluster if a peer belongs to a cluster.
var errClusterExists = errors.New("a peer already belongs to a cluster")

// confirmNoCluster waits until every peer has answered that it belongs to no cluster. Without
// this check a VM that lost its disk would create a second cluster. It returns
// errClusterExists if a peer belongs to a cluster.
func (s *Server) confirmNoCluster(ctx context.Context) error {
	confirmed := map[string]bool{s.settings.VM: true}
	for ctx.Err() == nil {
		for vm := range s.settings.Peers {
			var reply KnownReply
			if confirmed[vm] || s.callVM(ctx, vm, serviceCluster+".Known", Empty{}, &reply, callTimeout) != nil {
				continue
			}
			if reply.HasCluster {
				return errClusterExists
			}
			confirmed[vm] = true
		}
		missing := 0
		for vm := range s.settings.Peers {
			if !confirmed[vm] {
				missing++
			}
		}
		if missing == 0 {
			return nil
		}
		sleep(ctx, joinInterval)
	}
	return errors.WithStack(ctx.Err())
}

// nodeID returns the raft identity of this VM.
func (s *Server) nodeID() raft.NodeID { return raft.NodeID(s.self.NodeID) }
