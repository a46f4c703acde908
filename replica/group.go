package replica

import (
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/raft"
)

// Store persists one group's log; Save returns after everything is synced.
type Store interface {
	Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error
	// Compact removes what the newest saved snapshot covers.
	Compact() error
	Close() error
}

// StateMachine is what a group replicates. Its methods run on the control goroutine.
type StateMachine interface {
	// Apply applies one committed entry with data.
	Apply(now time.Duration, e raft.Entry)
	Restore(data []byte) error
	Snapshot() []byte
}

// Group drives one raft node: it persists what Ready returns on its own storage
// goroutine, then sends, applies and advances. Owned by the control goroutine.
type Group struct {
	name    string
	Node    *raft.Node
	store   Store
	machine StateMachine
	send    func(raft.Message)
	log     *zap.Logger
	loop    *EventLoop

	jobs    chan saveJob
	stopped chan struct{} // closed when the store is closed
	saving  bool
	failed  bool
	applied uint64
	// compacted is the index of the newest snapshot taken or received.
	compacted uint64
}

// saveJob is work for the storage goroutine: a Ready batch, or a snapshot of the applied
// state after which older files are removed.
type saveJob struct {
	ready    raft.Ready
	snapshot *raft.Snapshot
	done     func(error)
}

// compactEvery is the number of applied entries after which the log is compacted.
const compactEvery = 4096

// NewGroup starts the storage goroutine of a group; Stop ends it.
func NewGroup(name string, node *raft.Node, st Store, m StateMachine, l *EventLoop, send func(raft.Message), log *zap.Logger) *Group {
	g := &Group{name: name, Node: node, store: st, machine: m, send: send, log: log.With(zap.String("group", name)), loop: l, jobs: make(chan saveJob, 1), stopped: make(chan struct{})}
	go g.runStorage()
	return g
}

// runStorage saves batches, one at a time, off the control goroutine.
func (g *Group) runStorage() {
	defer close(g.stopped)
	for job := range g.jobs {
		job.done(g.save(job))
	}
	if err := g.store.Close(); err != nil {
		g.log.Warn("closing the store failed", zap.Error(err))
	}
}

func (g *Group) save(job saveJob) error {
	if job.snapshot != nil {
		if err := g.store.Save(nil, nil, job.snapshot); err != nil {
			return err
		}
		return g.store.Compact()
	}
	hs := &job.ready.HardState
	if !job.ready.HardStateChanged {
		hs = nil
	}
	return g.store.Save(hs, job.ready.Entries, job.ready.Snapshot)
}

// Stop closes the store after the batch that is being saved. The loop has stopped.
func (g *Group) Stop() {
	close(g.jobs)
	<-g.stopped
}

// Pump carries out Ready batches until one has to wait for the disk.
func (g *Group) ProcessReady(now time.Duration) {
	for !g.saving && !g.failed {
		ready, ok := g.Node.Ready()
		if !ok {
			break
		}
		if !ready.HardStateChanged && len(ready.Entries) == 0 && ready.Snapshot == nil {
			g.finish(now, ready)
			continue
		}
		g.saving = true
		g.jobs <- saveJob{ready: ready, done: func(err error) { g.loop.Post(func() { g.saved(ready, err) }) }}
	}
	g.maybeCompact()
}

func (g *Group) saved(ready raft.Ready, err error) {
	g.saving = false
	if err != nil {
		g.fail(err)
		return
	}
	g.finish(g.loop.Now(), ready)
}

func (g *Group) fail(err error) {
	g.failed = true
	g.Node.SetStorageFailed()
	g.log.Error("data folder cannot be written; this VM no longer votes in the group", zap.Error(err))
}

// finish sends, applies and advances a batch that is durable.
func (g *Group) finish(now time.Duration, ready raft.Ready) {
	for _, m := range ready.Messages {
		g.send(m)
	}
	if ready.Snapshot != nil {
		g.Restore(*ready.Snapshot)
	}
	for _, e := range ready.Committed {
		g.apply(now, e)
	}
	g.Node.Advance(ready)
}

func (g *Group) Restore(s raft.Snapshot) {
	if err := g.machine.Restore(s.Data); err != nil {
		g.log.Panic("snapshot cannot be decoded", zap.Error(err), zap.Uint64("index", s.Index))
	}
	g.applied, g.compacted = s.Index, s.Index
}

func (g *Group) apply(now time.Duration, e raft.Entry) {
	if e.Index <= g.applied {
		return
	}
	g.applied = e.Index
	if e.Kind == raft.EntryNormal && len(e.Data) > 0 {
		g.machine.Apply(now, e)
	}
}

func (g *Group) maybeCompact() {
	if g.saving || g.failed || g.applied < g.compacted+compactEvery {
		return
	}
	g.compacted = g.applied
	snap, err := g.Node.Compact(g.applied, g.machine.Snapshot())
	if err != nil {
		g.log.Debug("log not compacted", zap.Error(err))
		return
	}
	g.saving = true
	g.jobs <- saveJob{snapshot: &snap, done: func(err error) {
		g.loop.Post(func() {
			g.saving = false
			if err != nil {
				g.fail(err)
			}
		})
	}}
}

// Applied is the index of the newest entry that the state machine holds.
func (g *Group) AppliedIndex() uint64 { return g.applied }

// Leads reports whether this node may act as the leader now: its lease is valid and it
// has applied an entry of its own term, so it knows all that was committed before.
func (g *Group) IsActiveLeader(now time.Duration) bool {
	return g.Node.LeaseValid(now) && g.Node.AppliedTerm() == g.Node.Term()
}

// HandOver asks the most advanced other voter to lead.
func (g *Group) TransferLeadership(now time.Duration) {
	st := g.Node.Status()
	if st.Role != raft.RoleLeader {
		return
	}
	var best raft.NodeID
	for _, id := range st.Membership.Voters {
		if id != st.ID && (best == "" || st.Match[id] > st.Match[best]) {
			best = id
		}
	}
	if best == "" {
		return
	}
	if err := g.Node.TransferLeadership(now, best); err != nil {
		g.log.Info("leadership not transferred", zap.Error(err))
	}
}
