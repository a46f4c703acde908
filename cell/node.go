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

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
	"github.com/oleanderchute/oleanderchute/storage"
)

// groupName is the name of a cell's only log.
const groupName = "cell"

// firstLife is the incarnation of a disk that is empty at the first start of the cell. All
// seeds know each other's identity by it, so they can form the group without a word.
const firstLife = "first"

// Node is one VM of a cell.
type Node struct {
	settings Settings
	workers  WorkerClient
	advisor  AdvisorClient
	log      *zap.Logger
	metrics  *metrics
	loop     *replica.EventLoop
	peers    *peers
	finder   *finder
	host     *host // nil on an entry VM; set before the loop runs, and owned by it
}

// New returns a node; Run starts it.
func New(settings Settings, workers WorkerClient, advisor AdvisorClient, log *zap.Logger) (*Node, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	n := &Node{settings: settings, workers: workers, advisor: advisor, log: log, metrics: newMetrics(), loop: replica.NewEventLoop()}
	n.peers = newPeers(n)
	n.finder = newFinder(settings.Address, settings.Seeds)
	return n, nil
}

// SetSeeds takes new seeds from changed settings.
func (n *Node) SetSeeds(seeds []string) { n.finder.setSeeds(seeds) }

// Ready reports whether calls that arrive here can be passed on.
func (n *Node) Ready() bool { return n.finder.heardSince(readyFor) }

// Run serves until ctx ends. listener is for the other VMs.
func (n *Node) Run(ctx context.Context, listener net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	if n.settings.keeper() {
		if err := n.open(); err != nil {
			return err
		}
	}
	g.Go(func() error { n.loop.Run(ctx, n.step); return nil })
	g.Go(func() error { return n.peers.serve(ctx, listener) })
	g.Go(func() error { n.keepJoined(ctx); return nil })
	err := g.Wait()
	n.peers.close()
	if n.host != nil {
		n.host.group.Stop()
	}
	return err
}

// open opens the replica with what its disk holds. Nothing else runs yet.
func (n *Node) open() error {
	dir := filepath.Clean(n.settings.DataDir)
	isSeed := slices.Contains(n.settings.Seeds, n.settings.Address)
	founder := n.settings.FirstStart && isSeed
	id, err := storage.LoadIdentityWithIncarnation(dir, n.settings.Address, incarnationOf(founder))
	if err != nil {
		return err
	}
	st, rec, err := storage.OpenDiskStore(dir, groupName, storage.Options{})
	if err != nil {
		return err
	}
	empty := rec.HardState == (raft.HardState{}) && rec.Snapshot.Index == 0 && len(rec.Entries) == 0
	cfg := raft.Config{ID: id, Group: groupName, Seed: seedOf(string(id)), HeartbeatInterval: heartbeatInterval,
		ElectionTimeout: electionTimeout, LeaseDuration: leaderLease}
	if home := n.settings.HomeRegion; home != "" && home != n.settings.Region {
		cfg.ElectionDelay = farElectionDelay
	}
	if founder && empty {
		for _, s := range n.settings.Seeds {
			cfg.Voters = append(cfg.Voters, raft.NodeID(s+"#"+firstLife))
		}
		slices.Sort(cfg.Voters)
	}
	n.host = newHost(n)
	n.host.group = replica.NewGroup(groupName, raft.New(cfg, rec, n.loop.Now()), st, n.host, n.loop, n.peers.sendRaft, n.log)
	if rec.Snapshot.Index > 0 {
		n.host.group.Restore(rec.Snapshot)
	}
	n.log.Info("replica opened", zap.String("node", string(id)), zap.Bool("founder", founder && empty),
		zap.Uint64("snapshot", rec.Snapshot.Index), zap.Int("entries", len(rec.Entries)))
	return nil
}

func incarnationOf(founder bool) string {
	if founder {
		return firstLife
	}
	return "" // a random one
}

func seedOf(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// step runs on the loop after each batch of events and on each tick.
func (n *Node) step(now time.Duration) {
	if n.host != nil {
		n.host.step(now)
	}
}

// Shutdown hands the leadership over, so that a planned stop needs no election.
func (n *Node) Shutdown(ctx context.Context) {
	if !n.settings.keeper() {
		return
	}
	if err := n.loop.Call(ctx, func() { n.host.handOver(n.loop.Now()) }); err != nil {
		n.log.Info("leadership not handed over", zap.Error(err))
	}
}

// keepJoined tells the leader of this VM again and again, and learns of the others.
func (n *Node) keepJoined(ctx context.Context) {
	replica.Every(ctx, joinInterval, func() { n.join(ctx) })
}

func (n *Node) join(ctx context.Context) {
	args := JoinArgs{Address: n.settings.Address}
	if n.settings.keeper() {
		var member *job.Member
		if err := n.loop.Call(ctx, func() { member = n.host.self() }); err != nil {
			return
		}
		args.Keeper = member
	}
	target := n.finder.next()
	if target == n.settings.Address {
		n.loop.Post(func() { n.host.joinSelf(args) })
		return
	}
	var reply JoinReply
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := n.peers.call(ctx, target, "Join", args, &reply); err != nil {
		n.finder.failed(target)
		return
	}
	n.finder.learn(reply.Leader, reply.Keepers)
}

// callLocal runs a call on the loop and waits for its reply.
func (n *Node) callLocal(ctx context.Context, c Call) Reply {
	if !n.settings.keeper() {
		return Reply{Code: NotLeader}
	}
	ch := make(chan Reply, 1)
	if !n.loop.Post(func() { n.host.serve(n.loop.Now(), c, func(r Reply) { ch <- r }) }) {
		return Reply{Code: NotLeader}
	}
	select {
	case r := <-ch:
		return r
	case <-ctx.Done():
		return Reply{Code: Interrupted}
	case <-n.loop.Done():
		return Reply{Code: Interrupted}
	}
}

// service is what the other VMs call.
type service struct{ n *Node }

// Call serves a call on the leader.
func (s *service) Call(c Call, reply *Reply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	*reply = s.n.callLocal(ctx, c)
	return nil
}

// Join notes another VM and tells it of the leader.
func (s *service) Join(args JoinArgs, reply *JoinReply) error {
	if !s.n.settings.keeper() {
		leader, keepers := s.n.finder.known()
		*reply = JoinReply{leader, keepers}
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return s.n.loop.Call(ctx, func() { *reply = s.n.host.join(s.n.loop.Now(), args) })
}

// Advise calls the advisor for the leader.
func (s *service) Advise(args AdviseArgs, reply *AdviseReply) error {
	r, err := s.n.advise(args)
	*reply = r
	return err
}

func (n *Node) advise(args AdviseArgs) (AdviseReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(args.TimeoutMillis)*time.Millisecond)
	defer cancel()
	grants, valid, err := n.advisor.Advise(ctx, args.Step, args.Workers)
	if err != nil {
		return AdviseReply{}, errors.Wrap(err, "ask the advisor")
	}
	return AdviseReply{grants, valid.Milliseconds()}, nil
}

// deliver hands raft messages to the replica.
func (n *Node) deliver(messages []raft.Message) {
	n.loop.Post(func() {
		now := n.loop.Now()
		for _, m := range messages {
			if n.host != nil && m.Group == groupName {
				n.host.group.Node.Step(now, m)
			}
		}
	})
}
