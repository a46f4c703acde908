package cell

import (
	"context"
	"net"
	"sync"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
	"github.com/oleanderchute/oleanderchute/transport"
)

// serviceName is the net/rpc service between VMs.
const serviceName = "Cell"

// peerSet holds the connections to the other VMs by address. It is safe for concurrent use.
type peerSet struct {
	node   *Node
	mu     sync.Mutex
	links  map[string]*peerLink
	closed bool
}

// peerLink holds the connections to one other VM.
type peerLink struct {
	peer *transport.Peer
	raft *transport.RaftSender // nil until a raft message is sent
}

func newPeerSet(n *Node) *peerSet { return &peerSet{node: n, links: map[string]*peerLink{}} }

// serve accepts calls from other VMs until ctx ends.
func (p *peerSet) serve(ctx context.Context, listener net.Listener) error {
	server := transport.NewServer(listener, transport.ServerOptions{})
	for _, err := range []error{server.Register(serviceName, &service{p.node}), transport.RegisterRaft(server, p.node.deliverRaft)} {
		if err != nil {
			return err
		}
	}
	stop := context.AfterFunc(ctx, func() {
		shutdown, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		if err := server.Shutdown(shutdown); err != nil {
			p.node.log.Info("calls between VMs were interrupted by the shutdown", zap.Error(err))
		}
	})
	defer stop()
	return server.Serve()
}

// linkTo returns the link to an address, created on first use, or nil after close.
func (p *peerSet) linkTo(address string) *peerLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[address]; l != nil || p.closed {
		return l
	}
	l := &peerLink{peer: transport.NewPeer(address, transport.PeerOptions{CallTimeout: callTimeout, DialTimeout: dialTimeout, MaxBackoff: maxDialBackoff})}
	p.links[address] = l
	return l
}

// sendRaft queues a message for its recipient. Messages may be lost.
func (p *peerSet) sendRaft(m raft.Message) {
	l := p.linkTo(replica.VMName(m.To))
	if l == nil {
		return
	}
	if l.raft == nil { // only the event loop goroutine sends raft messages
		l.raft = transport.NewRaftSender(l.peer, 0)
	}
	l.raft.Send(m)
}

// call calls a method of another VM.
func (p *peerSet) call(ctx context.Context, address, method string, args, reply any) error {
	l := p.linkTo(address)
	if l == nil {
		return transport.ErrNotSent
	}
	return l.peer.Call(ctx, serviceName+"."+method, args, reply)
}

// callBulk is call for methods that may take seconds. It uses the transport's bulk
// connection.
func (p *peerSet) callBulk(ctx context.Context, address, method string, args, reply any) error {
	l := p.linkTo(address)
	if l == nil {
		return transport.ErrNotSent
	}
	return l.peer.CallBulk(ctx, serviceName+"."+method, args, reply)
}

func (p *peerSet) close() {
	p.mu.Lock()
	p.closed = true
	links := p.links
	p.links = map[string]*peerLink{}
	p.mu.Unlock()
	for _, l := range links {
		if l.raft != nil {
			l.raft.Close()
		}
		l.peer.Close()
	}
}
