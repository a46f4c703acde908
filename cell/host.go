package cell

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

// replicaHost runs the replica of a keeper and, while it is the leader, the scheduler. It is
// owned by the event loop goroutine.
type replicaHost struct {
	node      *Node
	group     *replica.Group
	state     *job.State
	scheduler *dispatch.Scheduler

	epoch uint64 // the term in which this replica is the leader, 0 if it is not
	// pendingOps go into the next entry. pendingCallbacks are called when that entry is
	// committed or lost.
	pendingOps       []job.Op
	pendingCallbacks []func(committed bool)
	proposals        map[uint64]proposal // by log index
	// submitting holds the calls that wait for a job's Submit to be applied.
	submitting map[job.ID]*pendingSubmit
	// proposedConfig is the newest configuration that this leader has proposed and that is not applied yet,
	// nil if there is none. afterConfig is called when it is applied or lost.
	proposedConfig *job.Config
	afterConfig    []func()
	// signOffs holds the callbacks of the sign-offs that the scheduler has not confirmed, by number of
	// the worker incarnation.
	signOffs map[uint32][]func(Reply)
	// lastSeen is when each VM, by address, was last heard from while this replica is the
	// leader.
	lastSeen      map[string]time.Duration
	leaderSince   time.Duration // when this replica became the leader
	tolerance     toleranceAlarm
	nextReconcile time.Duration
}

// proposal is an entry that this replica proposed and that has not been applied yet.
type proposal struct {
	term       uint64
	proposedAt time.Duration
	callbacks  []func(committed bool)
}

func newReplicaHost(n *Node) *replicaHost {
	h := &replicaHost{node: n, state: job.NewState(), proposals: map[uint64]proposal{},
		submitting: map[job.ID]*pendingSubmit{}, signOffs: map[uint32][]func(Reply){}, lastSeen: map[string]time.Duration{}}
	h.scheduler = dispatch.New(n.settings.Dispatch, h.state, decisionLogger(n.log, n.metrics))
	return h
}

// Apply implements replica.StateMachine.
func (h *replicaHost) Apply(now time.Duration, e raft.Entry) {
	defer h.node.loopLoad.measurePart(applyPart, time.Now())
	ops, err := job.Decode(e.Data)
	if err != nil {
		h.node.log.Panic("committed entry cannot be decoded", zap.Error(err), zap.Uint64("index", e.Index))
	}
	for _, op := range ops {
		wasOpen := h.endsOpenJob(op)
		h.state.Apply(op)
		h.logApplied(op)
		if wasOpen {
			h.logJobEnd(op.End)
		}
		h.scheduler.Applied(now, op)
		if p := h.proposedConfig; p != nil && op.Config != nil && op.Config.Version >= p.Version {
			h.proposedConfigDecided()
		}
	}
	if p, ok := h.proposals[e.Index]; ok {
		delete(h.proposals, e.Index)
		h.node.loopLoad.observeCommit(now - p.proposedAt)
		for _, done := range p.callbacks {
			done(p.term == e.Term)
		}
	}
}

// logApplied logs an applied operation. The leader alone logs jobs; every keeper logs
// configurations and members.
func (h *replicaHost) logApplied(op job.Op) {
	switch {
	case op.Submit != nil && h.epoch != 0 && h.state.Job(op.Submit.ID) != nil:
		spec := &op.Submit.Spec
		h.node.log.Info("job accepted", zap.Stringer("job", op.Submit.ID), zap.String("route", op.Submit.Queue), accountField(op.Submit.Account),
			zap.Array("steps", stepsField(spec.Steps)), zap.Int("repetitions", spec.Repetitions), zap.Int64("version", h.state.Config().Version))
	case op.Cancel != nil && h.epoch != 0:
		h.node.log.Info("job cancelled", zap.Stringer("job", op.Cancel.ID))
	case op.Config != nil:
		h.node.log.Info("configuration applied", zap.Int64("version", op.Config.Version), zap.Int64("in_force", h.state.Config().Version))
		h.warnOfRoutesWithoutTarget(op.Config)
	case op.Member != nil:
		h.node.log.Info("member registered", zap.String("node", op.Member.NodeID))
	}
}

// warnOfRoutesWithoutTarget logs, on the leader, how many routes have no target latency and the
// first of them, in one line however many routes there are.
func (h *replicaHost) warnOfRoutesWithoutTarget(c *job.Config) {
	hasNoTarget := func(q job.Queue) bool { return q.TargetMillis == 0 }
	first := slices.IndexFunc(c.Queues, hasNoTarget)
	if h.epoch == 0 || first < 0 {
		return
	}
	count := 0
	for _, q := range c.Queues[first:] {
		if hasNoTarget(q) {
			count++
		}
	}
	h.node.log.Warn("routes have no target latency; their jobs are due when their estimated work is done",
		zap.Int("routes", count), zap.String("first", c.Queues[first].Name), zap.Int64("version", c.Version))
}

// endsOpenJob reports whether an operation ends a run of a job that has not ended.
func (h *replicaHost) endsOpenJob(op job.Op) bool {
	if op.End == nil || h.epoch == 0 {
		return false
	}
	j := h.state.Job(op.End.Task.Job)
	return j != nil && j.Outcome == job.Open
}

// logJobEnd logs the end of a job if the end of this run ended it.
func (h *replicaHost) logJobEnd(end *job.End) {
	j := h.state.Job(end.Task.Job)
	if j == nil || j.Outcome == job.Open {
		return
	}
	h.node.log.Info("job ended", zap.Stringer("job", j.ID), zap.Stringer("outcome", j.Outcome), zap.Stringer("task", end.Task),
		zap.Uint32("run", end.Run), zap.Int64("took_ms", j.EndedMillis-j.AcceptedMillis))
}

// Restore implements replica.StateMachine.
func (h *replicaHost) Restore(data []byte) error {
	if err := h.state.Restore(data); err != nil {
		return err
	}
	h.scheduler.Restored(h.node.eventLoop.Now())
	h.node.log.Info("snapshot restored", zap.Int("bytes", len(data)), zap.Int64("version", h.state.Config().Version))
	return nil
}

// Snapshot implements replica.StateMachine.
func (h *replicaHost) Snapshot() []byte { return h.state.Snapshot() }

// step runs after each batch of events and on each tick.
func (h *replicaHost) step(now time.Duration) {
	h.group.Node.Tick(now)
	h.group.ProcessReady(now)
	h.updateLeadership(now)
	if h.isActiveLeader(now) {
		h.tickScheduler(now)
		h.execute(h.scheduler.Actions())
		h.flush(now)
		if now >= h.nextReconcile {
			h.nextReconcile = now + replica.ReconcileInterval
			h.reconcile(now)
			load := h.scheduler.Load()
			h.node.metrics.setLoad(load)
			h.node.loopLoad.logIfDue(now, load, h.group.AppliedIndex())
		}
	}
	h.group.ProcessReady(now)
	h.node.metrics.setDiskFull(h.group.DiskFull())
}

// tickScheduler lets the scheduler handle its timers and place tasks.
func (h *replicaHost) tickScheduler(now time.Duration) {
	began := time.Now()
	h.scheduler.Tick(now, began.UnixMilli())
	h.node.loopLoad.measurePart(schedulePart, began)
}

// isActiveLeader reports whether this replica may act as the leader now.
func (h *replicaHost) isActiveLeader(now time.Duration) bool {
	return h.epoch != 0 && h.group.IsActiveLeader(now)
}

// updateLeadership follows the role of the raft node. A leader lease that expires within a
// term only defers the leader's work, since no other node can be the leader in that term.
func (h *replicaHost) updateLeadership(now time.Duration) {
	node := h.group.Node
	if h.epoch != 0 && (node.Role() != raft.RoleLeader || node.Term() != h.epoch) {
		h.loseLeadership()
	}
	if h.epoch == 0 && h.group.IsActiveLeader(now) {
		h.epoch = node.Term()
		h.node.metrics.leader.Set(1)
		h.lastSeen, h.leaderSince, h.tolerance = map[string]time.Duration{}, now, toleranceAlarm{}
		h.state.Members(func(m job.Member) { h.lastSeen[m.Address] = now })
		h.scheduler.BecomeLeader(now, time.Now().UnixMilli(), h.epoch)
		h.node.loopLoad.restart(now, h.group.AppliedIndex())
		h.node.log.Info("leadership gained", zap.Uint64("term", h.epoch), zap.Int64("version", h.state.Config().Version))
	}
}

func (h *replicaHost) loseLeadership() {
	h.node.log.Info("leadership lost", zap.Uint64("term", h.epoch), zap.String("leader", string(h.group.Node.Leader())))
	h.epoch = 0
	h.node.metrics.leader.Set(0)
	h.node.metrics.reducedToleranceSeconds.Set(0) // the next leader reports it
	h.scheduler.Reset(h.state)
	lost := h.pendingCallbacks
	h.pendingOps, h.pendingCallbacks = nil, nil
	for index, p := range h.proposals {
		lost = append(lost, p.callbacks...)
		delete(h.proposals, index)
	}
	for _, done := range lost {
		done(false)
	}
	h.proposedConfigDecided()
	for number := range h.signOffs {
		h.confirmSignOff(number, Reply{Code: Interrupted})
	}
}

// propose adds operations to the next entry. done, if not nil, is called with true when the
// entry is committed, and with false when its outcome is unknown.
func (h *replicaHost) propose(done func(committed bool), ops ...job.Op) {
	h.pendingOps = append(h.pendingOps, ops...)
	if done != nil {
		h.pendingCallbacks = append(h.pendingCallbacks, done)
	}
}

// maxPendingOps is the number of operations that may wait for a save request to end.
const maxPendingOps = 2048

// flush proposes the pending operations as one entry. While a save request is in flight it waits
// for more operations: an entry would not be saved sooner, and each entry has its own costs on
// every replica.
func (h *replicaHost) flush(now time.Duration) {
	if len(h.pendingOps) == 0 {
		h.completeWithoutEntry()
		return
	}
	if h.group.IsSaving() && len(h.pendingOps) < maxPendingOps {
		return
	}
	data, err := job.Encode(h.pendingOps)
	if err != nil {
		h.node.log.Panic("operations cannot be encoded", zap.Error(err))
	}
	index, term, err := h.group.Node.Propose(now, data)
	if err != nil {
		// The scheduler assumes that its proposals take effect, so it restarts in a later term.
		h.node.log.Info("proposal refused; stepping down", zap.Error(err))
		h.group.Node.StepDown()
		h.updateLeadership(now)
		return
	}
	h.proposals[index] = proposal{term, now, h.pendingCallbacks}
	h.pendingOps, h.pendingCallbacks = nil, nil
}

// proposedConfigDecided handles that the newest proposed configuration has been applied, or may be lost.
func (h *replicaHost) proposedConfigDecided() {
	waiting := h.afterConfig
	h.proposedConfig, h.afterConfig = nil, nil
	for _, fn := range waiting {
		fn()
	}
}

// completeWithoutEntry calls the pending callbacks of changes that needed no operation.
func (h *replicaHost) completeWithoutEntry() {
	done := h.pendingCallbacks
	h.pendingCallbacks = nil
	for _, fn := range done {
		fn(true)
	}
}

// transferLeadership transfers the leadership to another voter.
func (h *replicaHost) transferLeadership(now time.Duration) { h.group.TransferLeadership(now) }

// stepsField encodes a job's steps as a log field.
type stepsField []job.Step

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (f stepsField) MarshalLogArray(enc zapcore.ArrayEncoder) error {
	for i := range f {
		if err := enc.AppendObject(stepField{&f[i]}); err != nil {
			return err
		}
	}
	return nil
}

// stepField encodes one step as a log object.
type stepField struct{ *job.Step }

// MarshalLogObject implements zapcore.ObjectMarshaler.
func (f stepField) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddInt("tasks", f.Count)
	enc.AddInt64("milli_cpu", f.TaskResources.MilliCPU)
	enc.AddInt64("memory_mb", f.TaskResources.MemoryMB)
	enc.AddInt64("estimate_ms", f.EstimateMillis)
	for name, set := range map[string]bool{"gang": f.Gang, "fills": f.BestEffortCPU, "copies": f.Speculative, "lasting": f.LongRunning, "checkpoints": f.Checkpointing} {
		if set {
			enc.AddBool(name, true)
		}
	}
	return nil
}
