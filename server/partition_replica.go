package server

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
	"github.com/oleanderchute/oleanderchute/partition"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

// partitionReplica is this VM's replica of one partition. It is owned by the event loop
// goroutine.
type partitionReplica struct {
	server *Server
	name   string
	group  *replica.Group
	state  *partition.Partition
	// epoch is the raft term in which this replica became the owner, 0 if it is not the owner.
	epoch uint64
	// waiters holds the reply channel of each call that waits for a partition.Reply.
	waiters      map[partition.WaiterID]chan StatusReply
	lastWaiterID partition.WaiterID
	// deferredEvents are kept by the owner while its lease is not valid.
	deferredEvents []partition.Event
	// placementSuspended is set while the configuration lease has expired; see
	// partition.PlacementAllowed.
	placementSuspended bool
}

// Apply implements replica.StateMachine.
func (r *partitionReplica) Apply(now time.Duration, e raft.Entry) {
	r.execute(now, r.state.Apply(now, e.Data))
}

// Restore implements replica.StateMachine.
func (r *partitionReplica) Restore(data []byte) error { return r.state.Restore(data) }

// Snapshot implements replica.StateMachine.
func (r *partitionReplica) Snapshot() []byte { return r.state.Snapshot() }

// isActiveOwner reports whether this replica is the owner with a valid lease. The lease is
// compared with the current time at each use, so that a process pause cannot extend it.
func (r *partitionReplica) isActiveOwner(now time.Duration) bool {
	return r.epoch != 0 && r.group.IsActiveLeader(now) && r.group.Node.Status().Term == r.epoch
}

// updateOwnership takes ownership once this replica is the leader with a valid lease, and
// gives it up when the replica is no longer the leader of that term. A lease that expires
// within the term only defers events, since no other node can become leader of that term.
func (r *partitionReplica) updateOwnership(now time.Duration) {
	raftStatus := r.group.Node.Status()
	if r.epoch != 0 && (raftStatus.Role != raft.RoleLeader || raftStatus.Term != r.epoch) {
		r.loseOwnership(now)
	}
	if r.epoch == 0 && r.group.IsActiveLeader(now) {
		r.epoch = raftStatus.Term
		r.server.log.Info("became owner of partition", zap.String("partition", r.name), zap.Uint64("epoch", r.epoch))
		r.execute(now, r.state.Step(now, partition.TablesChanged{Tables: r.server.control.state.Tables()}))
		r.execute(now, r.state.Step(now, partition.BecameOwner{Epoch: r.epoch, NowUnixMillis: nowUnixMillis()}))
	}
}

func (r *partitionReplica) loseOwnership(now time.Duration) {
	r.server.log.Info("lost ownership of partition", zap.String("partition", r.name), zap.Uint64("epoch", r.epoch))
	r.epoch = 0
	r.deferredEvents = nil
	r.execute(now, r.state.Step(now, partition.LostOwnership{}))
	for id, replies := range r.waiters {
		replies <- StatusReply{Err: api.Errorf(api.CodeUnknownResult, "the partition's owner changed; ask again by key")}
		delete(r.waiters, id)
	}
}

// step passes an event to the partition, or defers it until the lease is valid again. The
// event is dropped if this replica is not the owner.
func (r *partitionReplica) step(now time.Duration, ev partition.Event) {
	if r.epoch == 0 {
		return
	}
	if !r.group.IsActiveLeader(now) {
		r.deferredEvents = append(r.deferredEvents, ev)
		return
	}
	r.flushDeferredEvents(now)
	r.execute(now, r.state.Step(now, ev))
}

func (r *partitionReplica) flushDeferredEvents(now time.Duration) {
	events := r.deferredEvents
	r.deferredEvents = nil
	for _, ev := range events {
		r.execute(now, r.state.Step(now, ev))
	}
}

// tick updates whether placement is allowed and, on the active owner, advances the
// partition's time.
func (r *partitionReplica) tick(now time.Duration) {
	if suspended := r.server.configAge(now) > configLease; suspended != r.placementSuspended {
		r.placementSuspended = suspended
		r.execute(now, r.state.Step(now, partition.PlacementAllowed{Allowed: !suspended}))
	}
	if r.isActiveOwner(now) {
		r.step(now, partition.Tick{})
	}
}

func (r *partitionReplica) addWaiter(replies chan StatusReply) partition.WaiterID {
	r.lastWaiterID++
	r.waiters[r.lastWaiterID] = replies
	return r.lastWaiterID
}

func (r *partitionReplica) forgetWaiter(now time.Duration, id partition.WaiterID) {
	if _, ok := r.waiters[id]; ok {
		delete(r.waiters, id)
		r.step(now, partition.ForgetWaiter{Waiter: id})
	}
}

// execute performs the actions that the partition returned.
func (r *partitionReplica) execute(now time.Duration, actions []partition.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case partition.Propose:
			r.propose(now, a)
		case partition.Reply:
			r.reply(a)
		case partition.SendSync:
			r.server.workers.sendSync(r, a)
		case partition.SendDispatch:
			r.server.workers.sendDispatch(r, a)
		case partition.SendRevoke:
			r.server.workers.sendCommand(r, "/v1/revoke", a.Worker, a.URL, a.Command, true)
		case partition.SendStop:
			r.server.workers.sendCommand(r, "/v1/stop", a.Worker, a.URL, a.Command, false)
		case partition.WorkerAvailability:
			r.logAvailability(a)
		case partition.OwnershipDisputed:
			r.server.log.Warn("a worker has seen a higher epoch; stepping down", zap.String("partition", r.name), zap.Uint64("epoch", r.epoch))
			r.group.Node.StepDown()
		}
	}
}

func (r *partitionReplica) logAvailability(a partition.WorkerAvailability) {
	message := "worker gets no new work"
	if a.Reason == "" {
		message = "worker gets new work again"
	}
	r.server.log.Info(message, zap.String("partition", r.name), zap.String("worker", a.Worker), zap.String("reason", a.Reason),
		zap.Int64("report_age_ms", a.ReportAge.Milliseconds()))
}

// propose appends a batch to the log if the term is still the epoch of the batch. The log of a
// later term may contain records that the batch does not take into account. If the batch is
// not appended, the partition gets ProposeFailed.
func (r *partitionReplica) propose(now time.Duration, a partition.Propose) {
	if r.group.Node.Status().Term == a.Epoch {
		if _, _, err := r.group.Node.Propose(now, a.Data); err == nil {
			return
		}
	}
	epoch := r.epoch
	r.server.eventLoop.Post(func() {
		if r.epoch == epoch {
			r.step(r.server.eventLoop.Now(), partition.ProposeFailed{Sequence: a.Sequence})
		}
	})
}

func (r *partitionReplica) reply(a partition.Reply) {
	replies, ok := r.waiters[a.Waiter]
	if !ok {
		return
	}
	delete(r.waiters, a.Waiter)
	replies <- StatusReply{Status: a.Status, Err: a.Err}
}

func (r *partitionReplica) status() api.PartitionStatus {
	raftStatus := r.group.Node.Status()
	stats := r.state.Stats()
	status := api.PartitionStatus{
		Partition: r.name, Leader: replica.VMName(raftStatus.Leader), Epoch: raftStatus.Term,
		Workers: stats.Scheduler.Workers, Queued: stats.Scheduler.Queued, Running: stats.Scheduler.Running,
	}
	status.Replicas = vmsWithIdentities(r.server.view.Load().vms, raftStatus.Membership.Voters)
	return status
}

// vmsWithIdentities returns the names of the VMs whose current identity is in a list. A VM that has
// lost its disk has another identity than the member of the group that it was.
func vmsWithIdentities(vms []control.VM, ids []raft.NodeID) []string {
	var names []string
	for _, vm := range vms {
		if slices.Contains(ids, raft.NodeID(vm.NodeID)) {
			names = append(names, vm.Name)
		}
	}
	return names
}
