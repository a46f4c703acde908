package transport

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// shuttingDownText is the error text for a call that arrives during a shutdown.
const shuttingDownText = "transport: server is shutting down; not executed"

// ServerOptions configures a Server. The zero value uses the defaults.
type ServerOptions struct {
	// MaxConns bounds the connections served simultaneously, default 256; further
	// connections are closed immediately.
	MaxConns int
	// IdleTimeout is how long nothing may arrive on a connection before it is closed,
	// default 5 s. A Peer pings every 500 ms.
	IdleTimeout time.Duration
	// MaxMessageBytes bounds one encoded call or response, default 64 MiB.
	MaxMessageBytes int
}

// Server serves net/rpc calls from peers.
type Server struct {
	listener net.Listener
	opts     ServerOptions
	rpc      *rpc.Server
	counter  byteCounter
	stop     chan struct{} // closed by Shutdown

	mu      sync.Mutex // guards the fields below
	conns   map[*framedConn]bool
	stopped bool
	wg      sync.WaitGroup // one for each connection
}

// NewServer returns a server that takes ownership of the listener.
func NewServer(listener net.Listener, opts ServerOptions) *Server {
	setDefault(&opts.MaxConns, 256)
	setDefault(&opts.IdleTimeout, 5*time.Second)
	setDefault(&opts.MaxMessageBytes, DefaultMaxMessageBytes)
	return &Server{
		listener: listener,
		opts:     opts,
		rpc:      rpc.NewServer(),
		stop:     make(chan struct{}),
		conns:    map[*framedConn]bool{},
	}
}

// Register publishes the methods of service with the signature that net/rpc requires,
// as "name.Method". It must be called before Serve.
func (s *Server) Register(name string, service any) error {
	return errors.Wrap(s.rpc.RegisterName(name, service), "register service")
}

// Addr returns the address of the listener.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// BytesSent returns the bytes sent on all connections so far.
func (s *Server) BytesSent() int64 { return s.counter.sent.Load() }

// BytesReceived returns the bytes received on all connections so far.
func (s *Server) BytesReceived() int64 { return s.counter.received.Load() }

// Serve accepts connections until Shutdown and then returns nil. It returns an error if
// the listener is closed otherwise.
func (s *Server) Serve() error {
	const acceptRetryInterval = 20 * time.Millisecond // after a failed Accept, as without free file descriptors
	for {
		conn, err := s.listener.Accept()
		if err == nil {
			s.addConn(conn)
			continue
		}
		select {
		case <-s.stop:
			return nil
		default:
		}
		if errors.Is(err, net.ErrClosed) {
			return errors.Wrap(err, "accept")
		}
		select {
		case <-s.stop:
			return nil
		case <-time.After(acceptRetryInterval):
		}
	}
}

// addConn starts serving a connection, or closes it if the server is stopped or has
// MaxConns connections.
func (s *Server) addConn(netConn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || len(s.conns) >= s.opts.MaxConns {
		netConn.Close()
		return
	}
	conn := newFramedConn(netConn, &s.counter, s.opts.MaxMessageBytes, s.opts.IdleTimeout)
	s.conns[conn] = true
	s.wg.Go(func() { s.serveConn(conn) })
}

// serveConn serves calls until the connection is closed and all its calls have ended.
func (s *Server) serveConn(conn *framedConn) {
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		s.refuseLateCalls(conn)
	}()
	s.rpc.ServeCodec(&serverCodec{messageReader: messageReader{conn: conn}, stop: s.stop})
	conn.wg.Wait()
	<-drained
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// refuseLateCalls responds with an error to the calls that arrive after Shutdown, while
// earlier calls on the connection finish.
func (s *Server) refuseLateCalls(conn *framedConn) {
	select {
	case <-s.stop:
	case <-conn.done:
		return
	}
	r := messageReader{conn: conn}
	for {
		e, err := r.readEnvelope(nil)
		if err != nil {
			return
		}
		data, err := encodeMessage(envelope{Seq: e.Seq, Error: shuttingDownText, NotRun: true}, struct{}{})
		if err != nil || conn.sendQueue.push(&message{data: data}, true) != nil {
			return
		}
	}
}

// Shutdown stops accepting calls, waits for the calls in flight and sends their
// responses. If ctx ends first, it closes the connections and returns an error.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	if !s.stopped {
		s.stopped = true
		close(s.stop)
	}
	s.mu.Unlock()
	s.listener.Close()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	for conn := range s.conns {
		conn.close(errClosed)
	}
	s.mu.Unlock()
	return errors.Wrap(errShutdownTimeout, ctx.Err().Error())
}
