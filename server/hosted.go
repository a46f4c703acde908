package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/partition"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

// partitionReplica is a replica of one partition on this VM. Owned by the control goroutine.
type partitionReplica struct {
	s     *Server
	name  string
	group *replica.Group
	state *partition.Partition
	// epoch is the raft term in which this replica became the owner; 0 if it is not.
	epoch          uint64
	waiters        map[partition.WaiterID]chan StatusReply
	lastWaiterID   partition.WaiterID
	deferredEvents []partition.Event
	// placementSuspended mirrors whether the core may place; see partition.PlacementAllowed.
	placementSuspended bool
}

// Apply implements replica.StateMachine.
func (h *partitionReplica) Apply(now time.Duration, e raft.Entry) {
	h.execute(now, h.state.Apply(now, e.Data))
}

func (h *partitionReplica) Restore(data []byte) error { return h.state.Restore(data) }
func (h *partitionReplica) Snapshot() []byte          { return h.state.Snapshot() }

// isActiveOwner reports whether this replica is the owner and may act now. The lease is
// checked against the time at each use, so a pause that nobody noticed is covered.
func (h *partitionReplica) isActiveOwner(now time.Duration) bool {
	return h.epoch != 0 && h.group.IsActiveLeader(now) && h.group.Node.Status().Term == h.epoch
}

// updateOwnership follows the raft node: it takes ownership once this replica leads
// with a valid lease and gives it up when it no longer leads in that term. A lease that
// lapses within one term only defers events, since no other node can lead that term.
func (h *partitionReplica) updateOwnership(now time.Duration) {
	st := h.group.Node.Status()
	if h.epoch != 0 && (st.Role != raft.RoleLeader || st.Term != h.epoch) {
		h.loseOwnership(now)
	}
	if h.epoch == 0 && h.group.IsActiveLeader(now) {
		h.epoch = st.Term
		h.s.log.Info("became owner of partition", zap.String("partition", h.name), zap.Uint64("epoch", h.epoch))
		h.execute(now, h.state.Step(now, partition.TablesChanged{Tables: h.s.control.state.Tables()}))
		h.execute(now, h.state.Step(now, partition.BecameOwner{Epoch: h.epoch, NowUnixMillis: nowUnixMillis()}))
	}
}

func (h *partitionReplica) loseOwnership(now time.Duration) {
	h.s.log.Info("lost ownership of partition", zap.String("partition", h.name), zap.Uint64("epoch", h.epoch))
	h.epoch = 0
	h.deferredEvents = nil
	h.execute(now, h.state.Step(now, partition.LostOwnership{}))
	for id, ch := range h.waiters {
		ch <- StatusReply{Err: api.Errorf(api.CodeUnknownResult, "the partition's owner changed; ask again by key")}
		delete(h.waiters, id)
	}
}

// step feeds one event to the core, or keeps it until the lease is valid again.
func (h *partitionReplica) step(now time.Duration, ev partition.Event) {
	if h.epoch == 0 {
		return
	}
	if !h.group.IsActiveLeader(now) {
		h.deferredEvents = append(h.deferredEvents, ev)
		return
	}
	h.flushDeferredEvents(now)
	h.execute(now, h.state.Step(now, ev))
}

func (h *partitionReplica) flushDeferredEvents(now time.Duration) {
	events := h.deferredEvents
	h.deferredEvents = nil
	for _, ev := range events {
		h.execute(now, h.state.Step(now, ev))
	}
}

// tick tells the core the time while this replica may act.
func (h *partitionReplica) tick(now time.Duration) {
	if suspended := h.s.configAge(now) > configLease; suspended != h.placementSuspended {
		h.placementSuspended = suspended
		h.execute(now, h.state.Step(now, partition.PlacementAllowed{Allowed: !suspended}))
	}
	if h.isActiveOwner(now) {
		h.step(now, partition.Tick{})
	}
}

func (h *partitionReplica) addWaiter(ch chan StatusReply) partition.WaiterID {
	h.lastWaiterID++
	h.waiters[h.lastWaiterID] = ch
	return h.lastWaiterID
}

func (h *partitionReplica) forgetWaiter(now time.Duration, id partition.WaiterID) {
	if _, ok := h.waiters[id]; ok {
		delete(h.waiters, id)
		h.step(now, partition.ForgetWaiter{Waiter: id})
	}
}

// execute carries out the core's actions.
func (h *partitionReplica) execute(now time.Duration, actions []partition.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case partition.Propose:
			h.propose(now, a)
		case partition.Reply:
			h.reply(a)
		case partition.SendSync:
			h.s.workers.sendSync(h, a)
		case partition.SendDispatch:
			h.s.workers.sendDispatch(h, a)
		case partition.SendRevoke:
			h.s.workers.sendCommand(h, "/v1/revoke", a.Worker, a.URL, a.Command, true)
		case partition.SendStop:
			h.s.workers.sendCommand(h, "/v1/stop", a.Worker, a.URL, a.Command, false)
		case partition.OwnershipDisputed:
			h.s.log.Warn("a worker has seen a higher epoch; stepping down", zap.String("partition", h.name), zap.Uint64("epoch", h.epoch))
			h.group.Node.StepDown()
		}
	}
}

// propose adds a batch to the log, in the term of its epoch only: a later term may have
// records that the batch was made without.
func (h *partitionReplica) propose(now time.Duration, a partition.Propose) {
	if h.group.Node.Status().Term == a.Epoch {
		if _, _, err := h.group.Node.Propose(now, a.Data); err == nil {
			return
		}
	}
	epoch := h.epoch
	h.s.loop.Post(func() {
		if h.epoch == epoch {
			h.step(h.s.loop.Now(), partition.ProposeFailed{Sequence: a.Sequence})
		}
	})
}

func (h *partitionReplica) reply(a partition.Reply) {
	ch, ok := h.waiters[a.Waiter]
	if !ok {
		return
	}
	delete(h.waiters, a.Waiter)
	ch <- StatusReply{Status: a.Status, Err: a.Err}
}

func (h *partitionReplica) status() api.PartitionStatus {
	st := h.group.Node.Status()
	stats := h.state.Stats()
	out := api.PartitionStatus{
		Partition: h.name, Leader: replica.VMName(st.Leader), Epoch: st.Term,
		Workers: stats.Scheduler.Workers, Queued: stats.Scheduler.Queued, Running: stats.Scheduler.Running,
	}
	for _, id := range st.Membership.Voters {
		out.Replicas = append(out.Replicas, replica.VMName(id))
	}
	return out
}
