package replica

import (
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/storage"
)

// Store persists the raft log of one group.
type Store interface {
	// Save writes its arguments and returns after they are synced. hs and snap may be nil. A
	// Save that returns storage.ErrDiskFull has stored nothing and may be repeated.
	Save(hs *raft.HardState, entries []raft.Entry, snap *raft.Snapshot) error
	// Compact removes the entries that the newest saved snapshot covers.
	Compact() error
	Close() error
}

// StateMachine is the replicated state machine of a group. Its methods are called on the
// event loop goroutine.
type StateMachine interface {
	// Apply applies one committed entry. The entry has data.
	Apply(now time.Duration, e raft.Entry)
	// Restore replaces the state by the data of a snapshot.
	Restore(data []byte) error
	// Snapshot returns the encoded state.
	Snapshot() []byte
}

// Group runs the raft node of one group. It persists each Ready batch on a storage goroutine
// of its own, and then sends the messages, applies the committed entries and advances the
// node. It is owned by the event loop goroutine.
type Group struct {
	name         string
	Node         *raft.Node
	store        Store
	stateMachine StateMachine
	send         func(raft.Message)
	log          *zap.Logger
	eventLoop    *EventLoop

	saveRequests  chan saveRequest
	storeClosed   chan struct{} // closed when the store is closed
	saving        bool          // a save request is in flight or, if refused is set, will be repeated
	saveStartedAt time.Duration // when the save request in flight was first sent
	refused       *saveRequest  // the request that the full disk refused, to be repeated at retryAt
	retryAt       time.Duration
	diskFullSince time.Duration // when the disk was first found full, 0 if it has room
	storageFailed bool          // a save request failed for good; the group processes no more Ready batches
	appliedIndex  uint64
	// compactedIndex is the index of the newest snapshot that was taken or received.
	compactedIndex uint64
	// appliedBytes is the size of the entries that were applied since the start, compactedBytes
	// that up to compactedIndex.
	appliedBytes, compactedBytes uint64
}

// saveRequest asks the storage goroutine to save a Ready batch or, if snapshot is not nil, a
// snapshot of the applied state. Older files are removed after the snapshot is saved.
type saveRequest struct {
	ready    raft.Ready
	snapshot *raft.Snapshot
	done     func(error)
}

const (
	// maxLeaderSaveTime is how long a save on the leader may take before it hands over the
	// leadership. A change of leader costs about half a second, and a shared disk may stall
	// that long on all VMs.
	maxLeaderSaveTime = 800 * time.Millisecond
	// slowSaveTime is how long a save takes before heartbeats and responses to them no longer
	// wait for it; about one heartbeat interval.
	slowSaveTime = 50 * time.Millisecond
	// diskFullRetryInterval is the time between two attempts to write to a full disk.
	diskFullRetryInterval = 250 * time.Millisecond
)

// SavedKind is the kind of the events that report the end of a save request.
const SavedKind = "saved"

// The log is compacted after compactionInterval applied entries, or entries with compactionBytes of
// data if that is earlier: a member that returns with an empty disk must be sent the log in seconds,
// and an entry may hold thousands of operations.
const (
	compactionInterval = 4096
	compactionBytes    = 512 << 10
)

// NewGroup returns a group and starts its storage goroutine, which Stop ends. send is
// called on the event loop goroutine for each outgoing message.
func NewGroup(name string, node *raft.Node, store Store, stateMachine StateMachine, loop *EventLoop, send func(raft.Message), log *zap.Logger) *Group {
	g := &Group{name: name, Node: node, store: store, stateMachine: stateMachine, send: send, log: log.With(zap.String("group", name)), eventLoop: loop, saveRequests: make(chan saveRequest, 1), storeClosed: make(chan struct{})}
	go g.runStorage()
	return g
}

// runStorage handles save requests one at a time, and closes the store when there are no
// more. It runs on the storage goroutine, so that syncs do not block the event loop.
func (g *Group) runStorage() {
	defer close(g.storeClosed)
	for request := range g.saveRequests {
		request.done(g.save(request))
	}
	if err := g.store.Close(); err != nil {
		g.log.Warn("closing the store failed", zap.Error(err))
	}
}

// save executes a request on the store.
func (g *Group) save(request saveRequest) error {
	if request.snapshot != nil {
		if err := g.store.Save(nil, nil, request.snapshot); err != nil {
			return err
		}
		return g.store.Compact()
	}
	hs := &request.ready.HardState
	if !request.ready.HardStateChanged {
		hs = nil
	}
	return g.store.Save(hs, request.ready.Entries, request.ready.Snapshot)
}

// Stop waits for a request that is being saved and closes the store. The event loop must
// have stopped before.
func (g *Group) Stop() {
	close(g.saveRequests)
	<-g.storeClosed
}

// ProcessReady compacts the log when that is due, and processes Ready batches until there are none
// or one must be saved first. While a batch is being saved, it sends the messages that need not
// wait for that.
func (g *Group) ProcessReady(now time.Duration) {
	if g.saving {
		g.continueSaving(now)
		return
	}
	g.maybeCompact(now) // before the next batch, since a busy group always has one to save
	for !g.saving && !g.storageFailed {
		ready, ok := g.Node.Ready()
		if !ok {
			break
		}
		if !ready.HardStateChanged && len(ready.Entries) == 0 && ready.Snapshot == nil {
			g.completeReady(now, ready)
			continue
		}
		if ready.Snapshot == nil {
			g.applyAll(now, ready.Committed) // a quorum holds them, so they need not be saved here first
		}
		request := saveRequest{ready: ready}
		request.done = func(err error) { g.eventLoop.PostKind(SavedKind, func() { g.onSaved(request, err) }) }
		g.startSaving(now, request)
	}
}

// startSaving passes a request to the storage goroutine.
func (g *Group) startSaving(now time.Duration, request saveRequest) {
	g.saving, g.saveStartedAt = true, now
	g.saveRequests <- request
}

// continueSaving does what is due while a request is being saved: it repeats the request after
// the disk was full, hands over the leadership if the disk takes too long, and sends heartbeats
// and responses to them.
func (g *Group) continueSaving(now time.Duration) {
	if g.refused != nil && now >= g.retryAt {
		request := *g.refused
		g.refused = nil
		g.saveRequests <- request
	}
	if now-g.saveStartedAt >= maxLeaderSaveTime {
		g.handOver(now, "a write to the data folder takes too long")
	}
	if now-g.saveStartedAt >= slowSaveTime {
		g.sendAll(g.Node.MessagesDuringSave())
	}
}

// handOver gives up the leadership, if this node has it, because its disk does not take writes.
func (g *Group) handOver(now time.Duration, reason string) {
	if g.Node.Role() != raft.RoleLeader {
		return
	}
	g.log.Warn("leadership handed over", zap.String("reason", reason), zap.Duration("save_takes", now-g.saveStartedAt), zap.Uint64("term", g.Node.Term()))
	g.sendAll(g.Node.HandOver(now))
}

func (g *Group) sendAll(messages []raft.Message) {
	for _, m := range messages {
		g.send(m)
	}
}

// onSaved completes a Ready batch after an attempt to save it. A batch that the full disk
// refused is saved again later; until then the node acknowledges nothing.
func (g *Group) onSaved(request saveRequest, err error) {
	now := g.eventLoop.Now()
	if errors.Is(err, storage.ErrDiskFull) {
		g.onDiskFull(now, err)
		g.refused, g.retryAt = &request, now+diskFullRetryInterval
		return
	}
	g.saving = false
	if err != nil {
		g.failStorage(now, err)
		return
	}
	g.onDiskWritten(now)
	g.completeReady(now, request.ready)
}

// onDiskFull records that the disk is full and hands over the leadership.
func (g *Group) onDiskFull(now time.Duration, err error) {
	if g.diskFullSince == 0 {
		g.diskFullSince = now
		g.log.Warn("disk is full; this VM acknowledges nothing until there is room", zap.Error(err))
	}
	g.handOver(now, "the disk is full")
}

// onDiskWritten records that the disk has taken a write.
func (g *Group) onDiskWritten(now time.Duration) {
	if g.diskFullSince != 0 {
		g.log.Info("disk has room again", zap.Duration("was_full", now-g.diskFullSince))
		g.diskFullSince = 0
	}
}

// IsSaving reports whether a save request is in flight. Entries that are proposed meanwhile wait
// until it is done.
func (g *Group) IsSaving() bool { return g.saving }

// DiskFull reports whether the newest write was refused because the disk is full.
func (g *Group) DiskFull() bool { return g.diskFullSince != 0 }

// failStorage stops the raft node after a failed write.
func (g *Group) failStorage(now time.Duration, err error) {
	g.handOver(now, "a write to the data folder failed")
	g.storageFailed = true
	g.Node.SetStorageFailed()
	g.log.Error("data folder cannot be written; this VM no longer votes in the group", zap.Error(err))
}

// completeReady sends the messages of a durable Ready batch, applies its entries and
// advances the node.
func (g *Group) completeReady(now time.Duration, ready raft.Ready) {
	g.sendAll(ready.Messages)
	if ready.Snapshot != nil {
		g.Restore(*ready.Snapshot)
	}
	g.applyAll(now, ready.Committed)
	g.Node.Advance(ready)
}

func (g *Group) applyAll(now time.Duration, entries []raft.Entry) {
	for _, e := range entries {
		g.apply(now, e)
	}
}

// Restore replaces the state of the state machine by a snapshot. It panics if the snapshot
// cannot be decoded.
func (g *Group) Restore(s raft.Snapshot) {
	if err := g.stateMachine.Restore(s.Data); err != nil {
		g.log.Panic("snapshot cannot be decoded", zap.Error(err), zap.Uint64("index", s.Index))
	}
	g.appliedIndex, g.compactedIndex, g.compactedBytes = s.Index, s.Index, g.appliedBytes
}

// apply applies an entry that has data and was not yet applied.
func (g *Group) apply(now time.Duration, e raft.Entry) {
	if e.Index <= g.appliedIndex {
		return
	}
	g.appliedIndex = e.Index
	g.appliedBytes += uint64(len(e.Data))
	if e.Kind == raft.EntryNormal && len(e.Data) > 0 {
		g.stateMachine.Apply(now, e)
	}
}

// maybeCompact takes a snapshot and queues it to be saved, if enough entries were applied
// since the last one.
func (g *Group) maybeCompact(now time.Duration) {
	isDue := g.appliedIndex >= g.compactedIndex+compactionInterval || g.appliedBytes >= g.compactedBytes+compactionBytes
	if g.saving || g.storageFailed || !isDue || now < g.retryAt {
		return
	}
	previous, previousBytes := g.compactedIndex, g.compactedBytes
	g.compactedIndex, g.compactedBytes = g.appliedIndex, g.appliedBytes
	snap, err := g.Node.Compact(g.appliedIndex, g.stateMachine.Snapshot())
	if err != nil {
		g.log.Debug("log not compacted", zap.Error(err))
		return
	}
	g.log.Info("log compacted", zap.Uint64("index", snap.Index), zap.Uint64("entries", snap.Index-previous), zap.Int("bytes", len(snap.Data)),
		zap.Duration("took", g.eventLoop.Now()-now))
	g.startSaving(now, saveRequest{snapshot: &snap, done: func(err error) {
		g.eventLoop.PostKind(SavedKind, func() { g.onCompacted(previous, previousBytes, err) })
	}})
}

// onCompacted handles the result of saving a snapshot. If the disk was full, the log on the
// disk stays as it is, and a newer snapshot is taken later.
func (g *Group) onCompacted(previousIndex, previousBytes uint64, err error) {
	g.saving = false
	now := g.eventLoop.Now()
	switch {
	case errors.Is(err, storage.ErrDiskFull):
		g.onDiskFull(now, err)
		g.compactedIndex, g.compactedBytes, g.retryAt = previousIndex, previousBytes, now+diskFullRetryInterval
	case err != nil:
		g.failStorage(now, err)
	default:
		g.onDiskWritten(now)
	}
}

// AppliedIndex returns the index of the newest entry that the group has applied.
func (g *Group) AppliedIndex() uint64 { return g.appliedIndex }

// IsActiveLeader reports whether this node may act as the leader at the time now: its lease
// is valid, and it has applied an entry of its own term and so everything that earlier
// leaders committed.
func (g *Group) IsActiveLeader(now time.Duration) bool {
	return g.Node.LeaseValid(now) && g.Node.AppliedTerm() == g.Node.Term()
}

// TransferLeadership transfers the leadership to the other voter that holds the most
// entries. It does nothing if this node is not the leader or is the only voter.
func (g *Group) TransferLeadership(now time.Duration) {
	status := g.Node.Status()
	if status.Role != raft.RoleLeader {
		return
	}
	var target raft.NodeID
	for _, id := range status.Membership.Voters {
		if id != status.ID && (target == "" || status.Match[id] > status.Match[target]) {
			target = id
		}
	}
	if target == "" {
		return
	}
	if err := g.Node.TransferLeadership(now, target); err != nil {
		g.log.Info("leadership not transferred", zap.Error(err))
	}
}
