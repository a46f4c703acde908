package server

import (
	"context"
	"net"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
	"github.com/oleanderchute/oleanderchute/transport"
)

// peerSet holds the connections to all VMs. They include this VM, so that a call to an owner
// takes the same path on every VM. It is safe for concurrent use.
type peerSet struct {
	server *Server
	mu     sync.Mutex
	// links holds a link per VM name. A link is replaced when the VM's address changes. links and
	// closed are guarded by mu.
	links  map[string]*peerLink
	closed bool
}

// peerLink holds the connections to one VM.
type peerLink struct {
	address string
	peer    *transport.Peer
	raft    *transport.RaftSender
}

func newPeerSet(s *Server) *peerSet { return &peerSet{server: s, links: map[string]*peerLink{}} }

// get returns the link to a VM. It is nil if the address is not known, or if the set is closed
// and there is no link to that address.
func (p *peerSet) get(vm string) *peerLink {
	address := p.server.view.Load().addresses[vm]
	if address == "" {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.links[vm]
	if old != nil && old.address == address {
		return old
	}
	if p.closed {
		return nil
	}
	if old != nil {
		go old.close()
	}
	peer := transport.NewPeer(address, transport.PeerOptions{BulkTimeout: maxRPCWait + waiterGrace + callTimeout})
	l := &peerLink{address: address, peer: peer, raft: transport.NewRaftSender(peer, 0)}
	p.links[vm] = l
	return l
}

func (l *peerLink) close() {
	l.raft.Close()
	l.peer.Close()
}

func (p *peerSet) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, l := range p.links {
		l.close()
	}
}

// bytes returns the bytes sent to and received from the other VMs on connections that this VM
// opened. Replaced links are not included.
func (p *peerSet) bytes() (sent, received int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for vm, l := range p.links {
		if vm != p.server.settings.VM {
			sent += l.peer.BytesSent()
			received += l.peer.BytesReceived()
		}
	}
	return sent, received
}

// sendRaft queues a raft message for another VM. Messages may be lost.
func (p *peerSet) sendRaft(m raft.Message) {
	if l := p.get(replica.VMName(m.To)); l != nil {
		l.raft.Send(m)
	}
}

// serve serves calls from the other VMs until ctx ends.
func (p *peerSet) serve(ctx context.Context, listener net.Listener) error {
	server := transport.NewServer(listener, transport.ServerOptions{MaxConns: p.server.settings.MaxConnections})
	registrations := []error{
		server.Register(serviceCluster, &clusterService{p.server}),
		server.Register(servicePartition, &partitionService{p.server}),
		transport.RegisterRaft(server, p.server.deliverRaft),
	}
	for _, err := range registrations {
		if err != nil {
			return err
		}
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdown, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := server.Shutdown(shutdown); err != nil {
			p.server.log.Debug("calls between VMs were interrupted by the shutdown", zap.Error(err))
		}
	}()
	err := server.Serve()
	<-stopped
	return err
}

// deliverRaft passes raft messages to the nodes of their groups.
func (s *Server) deliverRaft(messages []raft.Message) {
	s.eventLoop.Post(func() {
		now := s.eventLoop.Now()
		for _, m := range messages {
			if g := s.groupByName(m.Group); g != nil {
				g.Node.Step(now, m)
			}
		}
	})
}

// groupByName returns a group, or nil if it is not open on this VM.
func (s *Server) groupByName(name string) *replica.Group {
	if s.control == nil {
		return nil
	}
	if name == controlGroupName {
		return s.control.group
	}
	partition, ok := strings.CutPrefix(name, partitionGroupPrefix)
	if r := s.partitions[partition]; ok && r != nil {
		return r.group
	}
	return nil
}

// errNoAddress is returned by callVM if the address of a VM is not known. Nothing was sent.
var errNoAddress = errors.Wrap(transport.ErrNotSent, "no address of the VM")

// callVM calls a method of another VM, or of this one. Calls with a timeout above callTimeout
// use the bulk connection, so that long waits and large bodies do not delay short calls.
func (s *Server) callVM(ctx context.Context, vm, method string, args, reply any, timeout time.Duration) error {
	l := s.peers.get(vm)
	if l == nil {
		return errNoAddress
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if timeout > callTimeout {
		return l.peer.CallBulk(ctx, method, args, reply)
	}
	return l.peer.Call(ctx, method, args, reply)
}

// isUncertain reports whether a failed call may have been executed.
func isUncertain(err error) bool { return err != nil && transport.MayHaveRun(err) }

// knownVMs returns the names of all known VMs, this one included, in sorted order.
func (s *Server) knownVMs() []string {
	addresses := s.view.Load().addresses
	names := make([]string, 0, len(addresses))
	for vm := range addresses {
		names = append(names, vm)
	}
	sort.Strings(names)
	return names
}
