package cell

import (
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

// host is the replica on a keeper, and the leader's work while this replica leads. Owned
// by the loop.
type host struct {
	n     *Node
	group *replica.Group
	state *job.State
	sched *dispatch.Scheduler

	epoch uint64 // the term in which this replica leads, 0 if it does not
	// ops are for the next entry; done are called when it is committed or lost.
	ops     []job.Op
	done    []func(committed bool)
	waiting map[uint64]proposal // by index
	// submitting holds the calls that wait for the acceptance of a job.
	submitting map[job.ID][]func(committed bool)
	// seen is when each VM was last heard of, while this replica leads.
	seen          map[string]time.Duration
	nextReconcile time.Duration
}

// proposal is an entry that this replica proposed and that is not applied yet.
type proposal struct {
	term uint64
	done []func(committed bool)
}

func newHost(n *Node) *host {
	h := &host{n: n, state: job.NewState(), waiting: map[uint64]proposal{},
		submitting: map[job.ID][]func(bool){}, seen: map[string]time.Duration{}}
	h.sched = dispatch.New(n.settings.Dispatch, h.state, decisionLogger(n.log, n.metrics))
	return h
}

// Apply implements replica.StateMachine.
func (h *host) Apply(now time.Duration, e raft.Entry) {
	ops, err := job.Decode(e.Data)
	if err != nil {
		h.n.log.Panic("committed entry cannot be decoded", zap.Error(err), zap.Uint64("index", e.Index))
	}
	for _, op := range ops {
		wasOpen := h.endsOpenJob(op)
		h.state.Apply(op)
		h.logApplied(op)
		if wasOpen {
			h.logJobEnd(op.End)
		}
		h.sched.Applied(now, op)
	}
	if p, ok := h.waiting[e.Index]; ok {
		delete(h.waiting, e.Index)
		for _, done := range p.done {
			done(p.term == e.Term)
		}
	}
}

// logApplied notes a change of what this VM believes that concerns every VM.
func (h *host) logApplied(op job.Op) {
	switch {
	case op.Submit != nil && h.epoch != 0:
		spec := &op.Submit.Spec
		h.n.log.Info("job accepted", zap.Stringer("job", op.Submit.ID), zap.String("route", op.Submit.Queue),
			zap.Array("steps", stepsField(spec.Steps)), zap.Int("repetitions", spec.Repetitions), zap.Int64("version", h.state.Config().Version))
	case op.Cancel != nil && h.epoch != 0:
		h.n.log.Info("job cancelled", zap.Stringer("job", op.Cancel.ID))
	case op.Config != nil:
		h.n.log.Info("configuration applied", zap.Int64("version", op.Config.Version), zap.Int64("in_force", h.state.Config().Version))
	case op.Member != nil:
		h.n.log.Info("member registered", zap.String("node", op.Member.NodeID))
	}
}

// endsOpenJob reports whether an operation ends a run of a job that has not ended.
func (h *host) endsOpenJob(op job.Op) bool {
	if op.End == nil || h.epoch == 0 {
		return false
	}
	j := h.state.Job(op.End.Task.Job)
	return j != nil && j.Outcome == job.Open
}

// logJobEnd notes the end of a job that the end of a run has brought.
func (h *host) logJobEnd(end *job.End) {
	j := h.state.Job(end.Task.Job)
	if j == nil || j.Outcome == job.Open {
		return
	}
	h.n.log.Info("job ended", zap.Stringer("job", j.ID), zap.Stringer("outcome", j.Outcome), zap.Stringer("task", end.Task),
		zap.Uint32("run", end.Run), zap.Int64("took_ms", j.EndedMillis-j.AcceptedMillis))
}

// Restore implements replica.StateMachine.
func (h *host) Restore(data []byte) error {
	if err := h.state.Restore(data); err != nil {
		return err
	}
	h.n.log.Info("snapshot restored", zap.Int("bytes", len(data)), zap.Int64("version", h.state.Config().Version))
	return nil
}

// Snapshot implements replica.StateMachine.
func (h *host) Snapshot() []byte { return h.state.Snapshot() }

// step runs after each batch of events and on each tick.
func (h *host) step(now time.Duration) {
	h.group.Node.Tick(now)
	h.group.ProcessReady(now)
	h.updateLeadership(now)
	if h.leads(now) {
		h.sched.Tick(now, time.Now().UnixMilli())
		h.carryOut(h.sched.Actions())
		h.flush(now)
		if now >= h.nextReconcile {
			h.nextReconcile = now + replica.ReconcileInterval
			h.reconcile(now)
			open, workers := h.sched.Load()
			h.n.metrics.openJobs.Set(float64(open))
			h.n.metrics.workers.Set(float64(workers))
		}
	}
	h.group.ProcessReady(now)
}

// leads reports whether this replica may act as the leader now.
func (h *host) leads(now time.Duration) bool { return h.epoch != 0 && h.group.IsActiveLeader(now) }

// updateLeadership follows the raft node. A lease that lapses within a term only defers
// what the leader does, since nobody else can lead that term.
func (h *host) updateLeadership(now time.Duration) {
	node := h.group.Node
	if h.epoch != 0 && (node.Role() != raft.RoleLeader || node.Term() != h.epoch) {
		h.loseLeadership()
	}
	if h.epoch == 0 && h.group.IsActiveLeader(now) {
		h.epoch = node.Term()
		h.n.metrics.leader.Set(1)
		h.seen = map[string]time.Duration{}
		h.state.Members(func(m job.Member) { h.seen[m.Address] = now })
		h.sched.BecomeLeader(now, time.Now().UnixMilli(), h.epoch)
		h.n.log.Info("leadership gained", zap.Uint64("term", h.epoch), zap.Int64("version", h.state.Config().Version))
	}
}

func (h *host) loseLeadership() {
	h.n.log.Info("leadership lost", zap.Uint64("term", h.epoch), zap.String("leader", string(h.group.Node.Leader())))
	h.epoch = 0
	h.n.metrics.leader.Set(0)
	h.sched.Reset(h.state)
	lost := h.done
	h.ops, h.done = nil, nil
	for index, p := range h.waiting {
		lost = append(lost, p.done...)
		delete(h.waiting, index)
	}
	for _, done := range lost {
		done(false)
	}
}

// propose puts operations into the next entry; done, if not nil, is called when it is
// committed, or when its fate is unknown.
func (h *host) propose(done func(committed bool), ops ...job.Op) {
	h.ops = append(h.ops, ops...)
	if done != nil {
		h.done = append(h.done, done)
	}
}

// flush proposes what has gathered as one entry.
func (h *host) flush(now time.Duration) {
	if len(h.ops) == 0 {
		h.finishWithout()
		return
	}
	data, err := job.Encode(h.ops)
	if err != nil {
		h.n.log.Panic("operations cannot be encoded", zap.Error(err))
	}
	index, term, err := h.group.Node.Propose(now, data)
	if err != nil {
		// The scheduler counts on what it proposed, so it starts anew in a later term.
		h.n.log.Info("proposal refused; stepping down", zap.Error(err))
		h.group.Node.StepDown()
		h.updateLeadership(now)
		return
	}
	if len(h.done) > 0 {
		h.waiting[index] = proposal{term, h.done}
	}
	h.ops, h.done = nil, nil
}

// finishWithout answers callers whose change turned out to need no operation.
func (h *host) finishWithout() {
	done := h.done
	h.done = nil
	for _, fn := range done {
		fn(true)
	}
}

// handOver asks another voter to lead.
func (h *host) handOver(now time.Duration) { h.group.TransferLeadership(now) }

// stepsField writes a job's steps into a log line.
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
