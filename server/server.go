// Package server is the daemon of an entry VM. One control goroutine owns the raft
// nodes, the control state and the partition cores; HTTP handlers, calls between VMs,
// calls to workers and disk writes run on other goroutines and exchange events with it.
package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"

	"github.com/oleanderchute/oleanderchute/control"
	"github.com/oleanderchute/oleanderchute/partition"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
	"github.com/oleanderchute/oleanderchute/storage"
)

// Server is one VM's daemon.
type Server struct {
	settings Settings
	log      *zap.Logger
	loop     *replica.EventLoop
	self     control.VM
	peers    *peerSet
	workers  *workerCalls
	hints    *leaderHints
	problems *problemKeeper
	metrics  *metrics
	slo      *sloKeeper
	flood    *floodGuard
	// httpBytes counts the HTTP listener's traffic.
	httpBytes byteCounter
	// folder keeps other processes out of the data folder; nil without a disk.
	folder io.Closer

	view        atomic.Pointer[view]
	confirmedAt atomic.Int64 // time.Duration since the loop's origin
	draining    atomic.Bool
	// drainStarted is the loop's time at which draining began; 0 before.
	drainStarted atomic.Int64

	// The fields below are owned by the control goroutine.
	control       *controlHost
	partitions    map[string]*hosted
	changed       bool
	nextReconcile time.Duration
}

// New prepares the daemon: it checks the settings and loads the identity of the VM.
func New(settings Settings, log *zap.Logger) (*Server, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	log = log.With(zap.String("vm", settings.VM), zap.String("failure_domain", settings.FailureDomain))
	l := replica.NewEventLoop()
	s := &Server{
		settings: settings, log: log, loop: l,
		workers: newWorkerCalls(l), hints: newLeaderHints(), problems: newProblemKeeper(log),
		flood:      newFloodGuard(settings.MaxWaiters),
		partitions: map[string]*hosted{},
	}
	id, err := s.loadIdentity()
	if err != nil {
		return nil, err
	}
	s.self = control.VM{
		Name: settings.VM, NodeID: string(id), Region: settings.Region, FailureDomain: settings.FailureDomain,
		HasDisk: settings.DataDir != "", PeerAddress: settings.PeerAddress, HTTPAddress: settings.HTTPAddress,
	}
	s.metrics = newMetrics(s)
	s.slo = newSLOKeeper(settings, log)
	s.view.Store(s.buildView(control.New()))
	s.peers = newPeerSet(s)
	return s, nil
}

func (s *Server) loadIdentity() (raft.NodeID, error) {
	if s.settings.DataDir == "" {
		return storage.EphemeralIdentity(s.settings.VM)
	}
	folder, err := storage.LockFolder(s.settings.DataDir)
	if err != nil {
		return "", errors.Wrapf(err, "--data-dir=%s cannot be used", s.settings.DataDir)
	}
	id, err := storage.LoadIdentity(s.settings.DataDir, s.settings.VM)
	if err != nil {
		folder.Close()
		return "", errors.Wrapf(err, "--data-dir=%s cannot be used", s.settings.DataDir)
	}
	s.folder = folder
	return id, nil
}

// Run serves until ctx ends, then drains and returns. It returns early with an error
// when a listener cannot be opened or the data folder cannot be read.
func (s *Server) Run(ctx context.Context) error {
	httpListener, peerListener, err := s.listen()
	if err != nil {
		return err
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	g, work := errgroup.WithContext(work)
	web := s.newHTTPServer()
	g.Go(func() error { return s.peers.serve(work, peerListener) })
	g.Go(func() error { return serveHTTP(web, httpListener) })
	g.Go(func() error { s.loop.Run(work, s.step); return nil })
	g.Go(func() error { return s.start(work) })
	g.Go(func() error { s.watchProblems(work); return nil })
	g.Go(func() error { s.slo.run(work); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			s.drain(web)
		case <-work.Done():
		}
		stop()
		return errors.WithStack(web.Close())
	})
	err = g.Wait()
	s.closeGroups()
	s.peers.close()
	if s.folder != nil {
		s.folder.Close()
	}
	return err
}

// listen opens both listeners. More connections than --max-connections wait to be
// accepted on the HTTP listener; the peer listener closes them.
func (s *Server) listen() (web, peer net.Listener, err error) {
	web, err = net.Listen("tcp", s.settings.HTTPAddress)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "--http-address=%s cannot be used", s.settings.HTTPAddress)
	}
	peer, err = net.Listen("tcp", s.settings.PeerAddress)
	if err != nil {
		web.Close()
		return nil, nil, errors.Wrapf(err, "--peer-address=%s cannot be used", s.settings.PeerAddress)
	}
	limited := netutil.LimitListener(web, s.settings.MaxConnections)
	return &countedListener{limited, &s.httpBytes}, peer, nil
}

func serveHTTP(web *http.Server, l net.Listener) error {
	if err := web.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// start opens the control group, as the first voter or as a joiner, and keeps this VM
// registered.
func (s *Server) start(ctx context.Context) error {
	st, rec, err := s.openStore(groupControl)
	if err != nil {
		return err
	}
	cfg := s.raftConfig(groupControl)
	if isFirstStart(rec) && s.settings.Bootstrap {
		switch err := s.awaitBootstrap(ctx); {
		case errors.Is(err, errClusterExists):
			s.log.Info("a cluster exists; joining it instead of creating one")
		case err != nil:
			return errors.WithStack(st.Close()) // a normal shutdown: the context has ended
		default:
			cfg.Voters = []raft.NodeID{s.nodeID()}
		}
	}
	if err := s.loop.Call(ctx, func() { s.openControl(cfg, st, rec) }); err != nil {
		return s.abandon(st)
	}
	s.keepJoined(ctx)
	return nil
}

// abandon closes the store of a control group that was not opened because the daemon
// stops. Whether it was opened is known once the control goroutine has ended.
func (s *Server) abandon(st replica.Store) error {
	<-s.loop.Done()
	if s.control != nil {
		return nil
	}
	return errors.WithStack(st.Close())
}

func isFirstStart(rec raft.PersistentState) bool {
	return rec.HardState == (raft.HardState{}) && rec.Snapshot.Index == 0 && len(rec.Entries) == 0
}

func (s *Server) openStore(name string) (replica.Store, raft.PersistentState, error) {
	if s.settings.DataDir == "" {
		return storage.NewMemoryStore(), raft.PersistentState{}, nil
	}
	return storage.OpenDiskStore(filepath.Clean(s.settings.DataDir), name, storage.Options{})
}

func (s *Server) raftConfig(name string) raft.Config {
	return raft.Config{ID: s.nodeID(), Group: name, Observer: s.settings.DataDir == "", Seed: seedOf(string(s.nodeID()) + name)}
}

func (s *Server) openControl(cfg raft.Config, st replica.Store, rec raft.PersistentState) {
	host := &controlHost{s: s, state: control.New(), waiting: map[uint64]proposal{}}
	s.control = host
	host.group = s.openGroup(cfg, st, rec, host)
}

// openGroup starts a raft node with what its store held.
func (s *Server) openGroup(cfg raft.Config, st replica.Store, rec raft.PersistentState, m replica.StateMachine) *replica.Group {
	node := raft.New(cfg, rec, s.loop.Now())
	g := replica.NewGroup(cfg.Group, node, st, m, s.loop, s.peers.sendRaft, s.log)
	if rec.Snapshot.Index > 0 {
		g.Restore(rec.Snapshot)
	}
	return g
}

// step runs on the control goroutine after each batch of events and on each tick.
func (s *Server) step(now time.Duration) {
	if s.control == nil {
		return
	}
	for _, g := range s.groups() {
		g.Node.Tick(now)
		g.ProcessReady(now)
	}
	s.publishConfirmation()
	if s.changed {
		s.changed = false
		s.view.Store(s.buildView(s.control.state))
		s.hostPartitions(now)
	}
	for _, h := range s.partitions {
		h.updateOwnership(now)
		h.tick(now)
		h.group.ProcessReady(now)
	}
	if now >= s.nextReconcile {
		s.nextReconcile = now + replica.ReconcileInterval
		s.control.manage(now)
		s.reconcilePartitions(now)
	}
}

func (s *Server) groups() []*replica.Group {
	out := []*replica.Group{s.control.group}
	for _, h := range s.partitions {
		out = append(out, h.group)
	}
	return out
}

// tablesChanged tells the partitions and checks the new tables.
func (s *Server) tablesChanged(now time.Duration) {
	tables := s.control.state.Tables()
	for _, h := range s.partitions {
		h.step(now, partition.TablesChanged{Tables: tables})
	}
	s.slo.tablesApplied(s.control.state.History())
	s.problems.setTables(s.control.state.Check(tables, nil), s.control.state.Resolver())
}

func (s *Server) closeGroups() {
	if s.control == nil {
		return
	}
	for _, g := range s.groups() {
		g.Stop()
	}
}
