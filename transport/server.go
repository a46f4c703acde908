package transport

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// drainingText is the error of a call that arrived during a shutdown.
const shuttingDownText = "transport: server is shutting down; not executed"

// ServerOptions configures a Server. The zero value uses the defaults.
type ServerOptions struct {
	// MaxConns is the number of connections served at once, default 256; more are
	// closed at once.
	MaxConns int
	// IdleTimeout closes a connection on which nothing has arrived, default 5 s. A
	// Peer pings every 500 ms.
	IdleTimeout time.Duration
	// MaxMessageBytes bounds one encoded call, default 64 MiB.
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
	wg      sync.WaitGroup // one for each link
}

// NewServer returns a server for a listener, which it owns from now on.
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

// Register publishes the methods of service that have the form that net/rpc asks for,
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

// Serve accepts connections until Shutdown, and then returns nil.
func (s *Server) Serve() error {
	const acceptRetryInterval = 20 * time.Millisecond // while the process is out of descriptors
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

// refuseLate answers the calls that arrive after Shutdown, while earlier ones on the
// link are finished.
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

// Shutdown takes no more calls, waits for those under way and sends their answers. If
// ctx ends first, it closes the connections and returns an error.
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
