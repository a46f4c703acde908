// Package server implements the daemon of an entry VM. The event loop goroutine owns the raft
// nodes, the control state and the partitions. HTTP handlers, calls between VMs, calls to
// workers and disk writes run on other goroutines and exchange events with it.
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

// Server is the daemon of one VM. Create it with New.
type Server struct {
	settings  Settings
	log       *zap.Logger
	eventLoop *replica.EventLoop
	self      control.VM
	peers     *peerSet
	workers   *workerClient
	leaders   *leaderHints
	problems  *problemRecorder
	metrics   *metrics
	slo       *sloRecorder
	admission *admissionController
	// httpBytes counts the bytes on the connections of the HTTP listener.
	httpBytes byteCounter
	// dataDirLock locks the data folder against other processes; nil for a VM without a disk.
	dataDirLock io.Closer

	view              atomic.Pointer[clusterView]
	configConfirmedAt atomic.Int64 // time.Duration on the event loop's clock; see configAge
	draining          atomic.Bool
	// drainStartedAt is the time.Duration on the event loop's clock at which draining started,
	// 0 before.
	drainStartedAt atomic.Int64

	// The fields below are owned by the event loop goroutine. control is nil until the control
	// group is open. viewOutdated is set when the control state has changed since view was built.
	control         *controlReplica
	partitions      map[string]*partitionReplica
	viewOutdated    bool
	nextReconcileAt time.Duration
}

// New returns a daemon that is not running yet. It validates the settings, locks the data
// folder and loads the identity of the VM.
func New(settings Settings, log *zap.Logger) (*Server, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	log = log.With(zap.String("vm", settings.VM), zap.String("failure_domain", settings.FailureDomain))
	l := replica.NewEventLoop()
	s := &Server{
		settings: settings, log: log, eventLoop: l,
		workers: newWorkerClient(l), leaders: newLeaderHints(), problems: newProblemRecorder(log),
		admission:  newAdmissionController(settings.MaxWaiters),
		partitions: map[string]*partitionReplica{},
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
	s.slo = newSLORecorder(settings, log)
	s.view.Store(s.buildView(control.New()))
	s.peers = newPeerSet(s)
	return s, nil
}

func (s *Server) loadIdentity() (raft.NodeID, error) {
	if s.settings.DataDir == "" {
		return storage.EphemeralIdentity(s.settings.VM)
	}
	lock, err := storage.LockFolder(s.settings.DataDir)
	if err != nil {
		return "", errors.Wrapf(err, "--data-dir=%s cannot be used", s.settings.DataDir)
	}
	id, err := storage.LoadIdentity(s.settings.DataDir, s.settings.VM)
	if err != nil {
		lock.Close()
		return "", errors.Wrapf(err, "--data-dir=%s cannot be used", s.settings.DataDir)
	}
	s.dataDirLock = lock
	return id, nil
}

// Run serves until ctx ends, then drains and returns. It returns an error early if a listener
// cannot be opened or the data folder cannot be read.
func (s *Server) Run(ctx context.Context) error {
	httpListener, peerListener, err := s.listen()
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.Background())
	defer stop()
	g, runCtx := errgroup.WithContext(runCtx)
	httpServer := s.newHTTPServer()
	g.Go(func() error { return s.peers.serve(runCtx, peerListener) })
	g.Go(func() error { return serveHTTP(httpServer, httpListener) })
	g.Go(func() error { s.eventLoop.Run(runCtx, s.step); return nil })
	g.Go(func() error { return s.startControlGroup(runCtx) })
	g.Go(func() error { s.watchProblems(runCtx); return nil })
	g.Go(func() error { s.slo.run(runCtx); return nil })
	g.Go(func() error {
		select {
		case <-ctx.Done():
			s.drain(httpServer)
		case <-runCtx.Done():
		}
		stop()
		return errors.WithStack(httpServer.Close())
	})
	err = g.Wait()
	s.closeGroups()
	s.peers.close()
	if s.dataDirLock != nil {
		s.dataDirLock.Close()
	}
	return err
}

// listen opens both listeners. Connections above --max-connections wait to be accepted on the
// HTTP listener; the peer listener closes them.
func (s *Server) listen() (httpListener, peerListener net.Listener, err error) {
	httpListener, err = net.Listen("tcp", s.settings.HTTPAddress)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "--http-address=%s cannot be used", s.settings.HTTPAddress)
	}
	peerListener, err = net.Listen("tcp", s.settings.PeerAddress)
	if err != nil {
		httpListener.Close()
		return nil, nil, errors.Wrapf(err, "--peer-address=%s cannot be used", s.settings.PeerAddress)
	}
	limited := netutil.LimitListener(httpListener, s.settings.MaxConnections)
	return &countedListener{limited, &s.httpBytes}, peerListener, nil
}

func serveHTTP(httpServer *http.Server, l net.Listener) error {
	if err := httpServer.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.WithStack(err)
	}
	return nil
}

// startControlGroup opens the control group, as its first voter or as a VM that joins, and keeps
// this VM registered until ctx ends.
func (s *Server) startControlGroup(ctx context.Context) error {
	store, persisted, err := s.openStore(controlGroupName)
	if err != nil {
		return err
	}
	cfg := s.raftConfig(controlGroupName)
	if isFirstStart(persisted) && s.settings.Bootstrap {
		switch err := s.confirmNoCluster(ctx); {
		case errors.Is(err, errClusterExists):
			s.log.Info("a peer belongs to a cluster; joining it instead of creating one")
		case err != nil:
			return errors.WithStack(store.Close()) // a normal shutdown, since the context has ended
		default:
			cfg.Voters = []raft.NodeID{s.nodeID()}
		}
	}
	if err := s.eventLoop.Call(ctx, func() { s.openControlGroup(cfg, store, persisted) }); err != nil {
		return s.closeUnopenedStore(store)
	}
	s.maintainRegistration(ctx)
	return nil
}

// closeUnopenedStore closes the store of the control group if the daemon stopped before the group
// was opened. It waits for the end of the event loop, since only then it is known whether the
// group was opened. An open group closes its store itself.
func (s *Server) closeUnopenedStore(store replica.Store) error {
	<-s.eventLoop.Done()
	if s.control != nil {
		return nil
	}
	return errors.WithStack(store.Close())
}

// isFirstStart reports whether a store held no state.
func isFirstStart(persisted raft.PersistentState) bool {
	return persisted.HardState == (raft.HardState{}) && persisted.Snapshot.Index == 0 && len(persisted.Entries) == 0
}

func (s *Server) openStore(name string) (replica.Store, raft.PersistentState, error) {
	if s.settings.DataDir == "" {
		return storage.NewMemoryStore(), raft.PersistentState{}, nil
	}
	return storage.OpenDiskStore(filepath.Clean(s.settings.DataDir), name, storage.Options{})
}

func (s *Server) raftConfig(name string) raft.Config {
	return raft.Config{ID: s.nodeID(), Group: name, Observer: s.settings.DataDir == "", Seed: seedFromName(string(s.nodeID()) + name)}
}

func (s *Server) openControlGroup(cfg raft.Config, store replica.Store, persisted raft.PersistentState) {
	c := &controlReplica{server: s, state: control.New(), pending: map[uint64]pendingProposal{}}
	s.control = c
	c.group = s.openGroup(cfg, store, persisted, c)
}

// openGroup creates a raft node from the state that its store held and the group that runs it.
func (s *Server) openGroup(cfg raft.Config, store replica.Store, persisted raft.PersistentState, m replica.StateMachine) *replica.Group {
	node := raft.New(cfg, persisted, s.eventLoop.Now())
	g := replica.NewGroup(cfg.Group, node, store, m, s.eventLoop, s.peers.sendRaft, s.log)
	if persisted.Snapshot.Index > 0 {
		g.Restore(persisted.Snapshot)
	}
	return g
}

// step advances all groups. It runs on the event loop goroutine after each batch of events and
// on each tick.
func (s *Server) step(now time.Duration) {
	if s.control == nil {
		return
	}
	for _, g := range s.groups() {
		g.Node.Tick(now)
		g.ProcessReady(now)
	}
	s.updateConfigConfirmation()
	if s.viewOutdated {
		s.viewOutdated = false
		s.view.Store(s.buildView(s.control.state))
		s.openPartitions(now)
	}
	for _, r := range s.partitions {
		r.updateOwnership(now)
		r.tick(now)
		r.group.ProcessReady(now)
	}
	if now >= s.nextReconcileAt {
		s.nextReconcileAt = now + replica.ReconcileInterval
		s.control.reconcile(now)
		s.reconcilePartitions(now)
	}
}

func (s *Server) groups() []*replica.Group {
	groups := []*replica.Group{s.control.group}
	for _, r := range s.partitions {
		groups = append(groups, r.group)
	}
	return groups
}

// onTablesChanged passes the new tables to the partitions, records when they were applied and
// checks them for problems.
func (s *Server) onTablesChanged(now time.Duration) {
	tables := s.control.state.Tables()
	for _, r := range s.partitions {
		r.step(now, partition.TablesChanged{Tables: tables})
	}
	s.slo.recordTablesApplied(s.control.state.History())
	s.problems.setTableProblems(s.control.state.Check(tables, nil), s.control.state.Resolver())
}

func (s *Server) closeGroups() {
	if s.control == nil {
		return
	}
	for _, g := range s.groups() {
		g.Stop()
	}
}
