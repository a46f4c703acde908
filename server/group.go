package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/raft"
)

// store persists one group's log; Save returns after everything is synced.
type store interface {
	Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error
	// Compact removes what the newest saved snapshot covers.
	Compact() error
	Close() error
}

// stateMachine is what a group replicates. Its methods run on the control goroutine.
type stateMachine interface {
	// apply applies one committed entry with data.
	apply(now time.Duration, e raft.Entry)
	restore(data []byte) error
	snapshot() []byte
}

// group drives one raft node: it persists what Ready returns on its own storage
// goroutine, then sends, applies and advances. Owned by the control goroutine.
type group struct {
	name    string
	node    *raft.Node
	store   store
	machine stateMachine
	send    func(raft.Message)
	log     *zap.Logger
	loop    *loop

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

func newGroup(name string, node *raft.Node, st store, m stateMachine, l *loop, send func(raft.Message), log *zap.Logger) *group {
	g := &group{name: name, node: node, store: st, machine: m, send: send, log: log.With(zap.String("group", name)), loop: l, jobs: make(chan saveJob, 1), stopped: make(chan struct{})}
	go g.runStorage()
	return g
}

// runStorage saves batches, one at a time, off the control goroutine.
func (g *group) runStorage() {
	defer close(g.stopped)
	for job := range g.jobs {
		job.done(g.save(job))
	}
	if err := g.store.Close(); err != nil {
		g.log.Warn("closing the store failed", zap.Error(err))
	}
}

func (g *group) save(job saveJob) error {
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

// stop closes the store after the batch that is being saved. The loop has stopped.
func (g *group) stop() {
	close(g.jobs)
	<-g.stopped
}

// pump carries out Ready batches until one has to wait for the disk.
func (g *group) pump(now time.Duration) {
	for !g.saving && !g.failed {
		ready, ok := g.node.Ready()
		if !ok {
			break
		}
		if !ready.HardStateChanged && len(ready.Entries) == 0 && ready.Snapshot == nil {
			g.finish(now, ready)
			continue
		}
		g.saving = true
		g.jobs <- saveJob{ready: ready, done: func(err error) { g.loop.post(func() { g.saved(ready, err) }) }}
	}
	g.maybeCompact()
}

func (g *group) saved(ready raft.Ready, err error) {
	g.saving = false
	if err != nil {
		g.fail(err)
		return
	}
	g.finish(g.loop.now(), ready)
}

func (g *group) fail(err error) {
	g.failed = true
	g.node.SetStorageFailed()
	g.log.Error("data folder cannot be written; this VM no longer votes in the group", zap.Error(err))
}

// finish sends, applies and advances a batch that is durable.
func (g *group) finish(now time.Duration, ready raft.Ready) {
	for _, m := range ready.Messages {
		g.send(m)
	}
	if ready.Snapshot != nil {
		g.restore(*ready.Snapshot)
	}
	for _, e := range ready.Committed {
		g.apply(now, e)
	}
	g.node.Advance(ready)
}

func (g *group) restore(s raft.Snapshot) {
	if err := g.machine.restore(s.Data); err != nil {
		g.log.Panic("snapshot cannot be decoded", zap.Error(err), zap.Uint64("index", s.Index))
	}
	g.applied, g.compacted = s.Index, s.Index
}

func (g *group) apply(now time.Duration, e raft.Entry) {
	if e.Index <= g.applied {
		return
	}
	g.applied = e.Index
	if e.Kind == raft.EntryNormal && len(e.Data) > 0 {
		g.machine.apply(now, e)
	}
}

func (g *group) maybeCompact() {
	if g.saving || g.failed || g.applied < g.compacted+compactEvery {
		return
	}
	g.compacted = g.applied
	snap, err := g.node.Compact(g.applied, g.machine.snapshot())
	if err != nil {
		g.log.Debug("log not compacted", zap.Error(err))
		return
	}
	g.saving = true
	g.jobs <- saveJob{snapshot: &snap, done: func(err error) {
		g.loop.post(func() {
			g.saving = false
			if err != nil {
				g.fail(err)
			}
		})
	}}
}

// leads reports whether this node may act as the leader now: its lease is valid and it
// has applied an entry of its own term, so it knows all that was committed before.
func (g *group) leads(now time.Duration) bool {
	return g.node.LeaseValid(now) && g.node.AppliedTerm() == g.node.Status().Term
}

// handOver asks the most advanced other voter to lead.
func (g *group) handOver(now time.Duration) {
	st := g.node.Status()
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
	if err := g.node.TransferLeadership(now, best); err != nil {
		g.log.Info("leadership not transferred", zap.Error(err))
	}
}
