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

// Empty is the argument of calls that need none.
type Empty struct{}

// KnownReply tells whether a VM belongs to a cluster.
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

// ProblemsReply lists the problems that one VM knows.
type ProblemsReply struct{ Problems []api.Problem }

// VMStatusReply is one VM's own view.
type VMStatusReply struct{ Status api.VMStatus }

// clusterService serves membership, raft messages and the control group between VMs.
type clusterService struct{ s *Server }

// Known tells whether this VM is a member of a cluster, for the guard of a bootstrap.
func (c *clusterService) Known(_ Empty, reply *KnownReply) error {
	return c.s.callLoop(func() {
		reply.HasCluster = c.s.control != nil && len(c.s.control.group.Node.Status().Membership.Voters) > 0
	})
}

// Join registers a VM at the control leader.
func (c *clusterService) Join(args JoinArgs, reply *OwnerReply) error {
	return c.s.callLoop(func() {
		now := c.s.loop.Now()
		if !c.s.leadsControl(now) {
			*reply = OwnerReply{NotOwner: true, Leader: c.s.controlLeader()}
			return
		}
		c.s.control.proposeInternal(now, control.EncodeRegisterVM(args.VM))
	})
}

// Apply proposes a change of the tables at the control leader and waits for its result.
func (c *clusterService) Apply(args ApplyArgs, reply *ApplyReply) error {
	done := make(chan ApplyReply, 1)
	workers := c.s.knownWorkers(context.Background())
	ok := c.s.loop.Post(func() {
		now := c.s.loop.Now()
		if !c.s.leadsControl(now) {
			done <- ApplyReply{OwnerReply: OwnerReply{NotOwner: true, Leader: c.s.controlLeader()}}
			return
		}
		c.s.control.applyChange(now, args.Request, workers, func(r *api.ApplyResponse, err *api.Error) {
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

// applyTimeout bounds the wait for the commit of a change. An election takes 1 to 2 s.
const applyTimeout = 3 * time.Second

// Problems lists the problems that this VM knows.
func (c *clusterService) Problems(_ Empty, reply *ProblemsReply) error {
	reply.Problems = c.s.problems.list()
	return nil
}

// Status returns this VM's own view.
func (c *clusterService) Status(_ Empty, reply *VMStatusReply) error {
	return c.s.callLoop(func() { reply.Status = c.s.vmStatus() })
}

// Drain makes this VM take no new work.
func (c *clusterService) Drain(_ Empty, _ *Empty) error {
	c.s.beginDrain()
	return nil
}

// callLoop runs fn on the control goroutine with the deadline of a call.
func (s *Server) callLoop(fn func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.loop.Call(ctx, fn)
}

func (s *Server) leadsControl(now time.Duration) bool {
	return s.control != nil && s.control.group.IsActiveLeader(now)
}

func (s *Server) controlLeader() string {
	if s.control == nil {
		return ""
	}
	return replica.VMName(s.control.group.Node.Status().Leader)
}

// groupLeader returns the leader VM of a hosted partition, or "".
func (s *Server) groupLeader(h *hosted) string {
	if h == nil {
		return ""
	}
	return replica.VMName(h.group.Node.Status().Leader)
}

func (s *Server) vmStatus() api.VMStatus {
	now := s.loop.Now()
	out := api.VMStatus{
		VM: s.settings.VM, Region: s.settings.Region, FailureDomain: s.settings.FailureDomain,
		Role: "joining", MayServe: s.mayServe(now), Reachable: true,
	}
	if s.control != nil {
		out.Role = s.controlRole()
		out.TablesVersion = s.control.state.Version()
		out.ConfigAgeMillis = s.configAge(now).Milliseconds()
	}
	return out
}

func (s *Server) controlRole() string {
	st := s.control.group.Node.Status()
	if len(st.Membership.Voters) == 0 {
		return "joining"
	}
	return st.Role.String()
}

// joinInterval is how often a VM that is not registered with its present identity and
// addresses asks to be.
const joinInterval = 500 * time.Millisecond

// keepJoined registers this VM until the control state shows it.
func (s *Server) keepJoined(ctx context.Context) {
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

// join asks every peer, this VM included, until the control leader has taken the call.
func (s *Server) join(ctx context.Context) {
	for _, vm := range s.peerNames() {
		var reply OwnerReply
		err := s.callVM(ctx, vm, serviceCluster+".Join", JoinArgs{VM: s.self}, &reply, callTimeout)
		if err == nil && !reply.NotOwner {
			return
		}
	}
}

// errClusterExists means that a peer knows of a cluster, so none is to be created.
var errClusterExists = errors.New("a peer belongs to a cluster already")

// awaitBootstrap returns nil when every peer has answered that it knows of no cluster.
// Otherwise a VM that lost its disk would create a second cluster beside the first.
func (s *Server) awaitBootstrap(ctx context.Context) error {
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
