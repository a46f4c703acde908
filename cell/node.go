package cell

import (
	"context"
	"hash/fnv"
	"net"
	"path/filepath"
	"slices"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
	"github.com/oleanderchute/oleanderchute/storage"
)

// groupName is the name of the cell's only raft group.
const groupName = "cell"

// firstIncarnation is the incarnation of a disk that is empty at the first start of the
// cell. It lets the seeds derive each other's identity, so they form the group without
// exchanging messages first.
const firstIncarnation = "first"

// Node is one VM of a cell.
type Node struct {
	settings  Settings
	workers   WorkerClient
	advisor   AdvisorClient
	log       *zap.Logger
	metrics   *metrics
	eventLoop *replica.EventLoop
	loopLoad  *loopLoad // owned by the event loop goroutine
	peers     *peerSet
	router    *callRouter
	// callPeer calls a method of another VM. Tests replace it.
	callPeer func(ctx context.Context, address, method string, args, reply any) error
	host     *replicaHost // nil on an entry VM; set before the event loop runs, then owned by the event loop goroutine
}

// New returns a node, which Run starts. It returns an error if the settings are invalid.
func New(settings Settings, workers WorkerClient, advisor AdvisorClient, log *zap.Logger) (*Node, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	n := &Node{settings: settings, workers: workers, advisor: advisor, log: log, metrics: newMetrics(), eventLoop: replica.NewEventLoop()}
	n.loopLoad = newLoopLoad(n.metrics, log)
	n.eventLoop.SetObserver(n.loopLoad.observe)
	n.peers = newPeerSet(n)
	n.callPeer = n.peers.call
	n.router = newCallRouter(settings, n.metrics, log)
	return n, nil
}

// SetSeeds replaces the seeds after a change of the settings.
func (n *Node) SetSeeds(seeds []string) { n.router.setSeeds(seeds) }

// Ready reports whether calls that arrive at this VM can be forwarded to the leader.
func (n *Node) Ready() bool { return n.router.repliedWithin(readyTimeout) }

// Run serves until ctx ends. listener accepts the connections of the other VMs.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	if n.settings.isKeeper() {
		if err := n.openReplicaWithRoom(ctx); err != nil {
			return err
		}
	}
	g.Go(func() error { n.eventLoop.Run(ctx, n.step); return nil })
	g.Go(func() error { return n.peers.serve(ctx, listener) })
	g.Go(func() error { n.findLeaderPeriodically(ctx); return nil })
	err := g.Wait()
	n.peers.close()
	if n.host != nil {
		n.host.group.Stop()
	}
	return err
}

// fullDiskOpenInterval is the time between two attempts to open the data folder on a full disk.
const fullDiskOpenInterval = 500 * time.Millisecond

// openReplicaWithRoom opens the replica. While the disk is full it waits, since opening writes
// to the data folder.
func (n *Node) openReplicaWithRoom(ctx context.Context) error {
	for {
		err := n.openReplica()
		if !errors.Is(err, storage.ErrDiskFull) {
			return err
		}
		n.metrics.setDiskFull(true)
		n.log.Warn("disk is full; the data folder is opened when there is room", zap.Error(err))
		select {
		case <-time.After(fullDiskOpenInterval):
		case <-ctx.Done():
			return err
		}
	}
}

// openReplica opens the replica from its data folder. It runs before any other goroutine of
// the node.
func (n *Node) openReplica() error {
	dir := filepath.Clean(n.settings.DataDir)
	isSeed := slices.Contains(n.settings.Seeds, n.settings.Address)
	isFounder := n.settings.FirstStart && isSeed
	id, err := storage.LoadIdentityWithIncarnation(dir, n.settings.Address, initialIncarnation(isFounder))
	if err != nil {
		return err
	}
	store, persisted, err := storage.OpenDiskStore(dir, groupName, storage.Options{})
	if err != nil {
		return err
	}
	empty := persisted.HardState == (raft.HardState{}) && persisted.Snapshot.Index == 0 && len(persisted.Entries) == 0
	cfg := raft.Config{ID: id, Group: groupName, Seed: hashString(string(id)), HeartbeatInterval: heartbeatInterval,
		ElectionTimeout: electionTimeout, LeaseDuration: leaderLease}
	if home := n.settings.HomeRegion; home != "" && home != n.settings.Region {
		cfg.ElectionDelay = remoteElectionDelay
	}
	if isFounder && empty {
		for _, s := range n.settings.Seeds {
			cfg.Voters = append(cfg.Voters, raft.NodeID(s+"#"+firstIncarnation))
		}
		slices.Sort(cfg.Voters)
	}
	n.host = newReplicaHost(n)
	n.host.group = replica.NewGroup(groupName, raft.New(cfg, persisted, n.eventLoop.Now()), store, n.host, n.eventLoop, n.peers.sendRaft, n.log)
	if persisted.Snapshot.Index > 0 {
		n.host.group.Restore(persisted.Snapshot)
	}
	n.log.Info("replica opened", zap.String("node", string(id)), zap.Bool("founder", isFounder && empty),
		zap.Uint64("snapshot", persisted.Snapshot.Index), zap.Int("entries", len(persisted.Entries)))
	return nil
}

// initialIncarnation returns the incarnation of a new disk.
func initialIncarnation(isFounder bool) string {
	if isFounder {
		return firstIncarnation
	}
	return "" // storage draws a random one
}

// hashString returns a hash that is the same on all VMs.
func hashString(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// step runs on the event loop goroutine after each batch of events and on each tick.
func (n *Node) step(now time.Duration) {
	if n.host != nil {
		n.host.step(now)
	}
}

// Shutdown transfers the leadership to another keeper, so that a planned stop does not have
// to wait for an election timeout.
func (n *Node) Shutdown(ctx context.Context) {
	if !n.settings.isKeeper() {
		return
	}
	if err := n.eventLoop.Call(ctx, func() { n.host.transferLeadership(n.eventLoop.Now()) }); err != nil {
		n.log.Info("leadership not transferred", zap.Error(err))
	}
}

// callLocal serves a call on this VM's event loop and waits for the reply.
func (n *Node) callLocal(ctx context.Context, c Call) Reply {
	if !n.settings.isKeeper() {
		return Reply{Code: NotLeader}
	}
	ch := make(chan Reply, 1)
	if !n.eventLoop.PostKind(callKind, func() { n.host.serve(n.eventLoop.Now(), c, func(r Reply) { ch <- r }) }) {
		return Reply{Code: NotLeader}
	}
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
		return Reply{Code: Interrupted}
	case <-n.eventLoop.Done():
		return Reply{Code: Interrupted}
	}
}

// service is the net/rpc service that the other VMs call.
type service struct{ node *Node }

// Call serves a call on the leader.
func (s *service) Call(c Call, reply *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = s.node.callLocal(ctx, c)
	return nil
}

// Join registers another VM and returns the leader and the keepers.
func (s *service) Join(args JoinArgs, reply *JoinReply) error {
	if !s.node.settings.isKeeper() {
		leader, keepers := s.node.router.leaderAndKeepers()
		*reply = JoinReply{leader, keepers}
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.node.eventLoop.Call(ctx, func() { *reply = s.node.host.join(s.node.eventLoop.Now(), args) })
}

// Advise calls the advisor on behalf of the leader.
func (s *service) Advise(args AdviseArgs, reply *AdviseReply) error {
	r, err := s.node.advise(args)
	*reply = r
	return err
}

func (n *Node) advise(args AdviseArgs) (AdviseReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(args.TimeoutMillis)*time.Millisecond)
	defer cancel()
	grants, valid, err := n.advisor.Advise(ctx, args.Step, args.Workers)
	if err != nil {
		return AdviseReply{}, errors.Wrap(err, "call the advisor")
	}
	return AdviseReply{grants, valid.Milliseconds()}, nil
}

// deliverRaft passes raft messages to the replica.
func (n *Node) deliverRaft(messages []raft.Message) {
	n.eventLoop.PostKind(raftKind, func() {
		now := n.eventLoop.Now()
		for _, m := range messages {
			if n.host != nil && m.Group == groupName {
				n.host.group.Node.Step(now, m)
			}
		}
	})
}
