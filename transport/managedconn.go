package transport

import (
	"context"
	"net/rpc"
	"sync"
	"time"
)

// managedConn maintains one connection to a peer. Its goroutine starts at the first use,
// dials, pings, and dials again when the connection ends.
type managedConn struct {
	addr    string
	opts    PeerOptions
	counter *byteCounter

	mu          sync.Mutex // guards the fields below
	started     bool
	closed      bool
	conn        *clientConn   // nil while not connected
	backingOff  bool          // true between a failed dial and the next one
	lastDialErr error         // error of the newest dial
	changed     chan struct{} // closed when conn or backingOff changes

	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup
}

// clientConn is a connection that has answered a ping, with its net/rpc client.
type clientConn struct {
	framed *framedConn
	codec  *clientCodec
	rpc    *rpc.Client
}

// isOpen reports whether the connection has not been closed.
func (c *clientConn) isOpen() bool {
	select {
	case <-c.framed.done:
		return false
	default:
		return true
	}
}

func newManagedConn(addr string, opts PeerOptions, counter *byteCounter) *managedConn {
	m := &managedConn{addr: addr, opts: opts, counter: counter, changed: make(chan struct{})}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m
}

// waitForConn returns the open connection. It waits while a dial is in progress, and
// returns the last dial error immediately during backoff.
func (m *managedConn) waitForConn(ctx context.Context) (*clientConn, error) {
	for {
		m.mu.Lock()
		m.start()
		conn, backingOff, changed, err := m.conn, m.backingOff, m.changed, m.lastDialErr
		m.mu.Unlock()
		if conn != nil && conn.isOpen() {
			return conn, nil
		}
		if backingOff {
			return nil, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-m.ctx.Done():
			return nil, errClosed
		}
	}
}

// start starts the goroutine unless it has been started or m is closed. The caller must
// hold mu.
func (m *managedConn) start() {
	if m.started || m.closed {
		return
	}
	m.started = true
	m.wg.Go(m.run)
}

// setState stores the state and wakes the callers of waitForConn.
func (m *managedConn) setState(conn *clientConn, backingOff bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conn, m.backingOff, m.lastDialErr = conn, backingOff, err
	close(m.changed)
	m.changed = make(chan struct{})
}

// run dials and replaces the connection until m is closed.
func (m *managedConn) run() {
	// A connection that ends sooner than this does not reset the backoff, so that a
	// server that accepts and closes connections is not dialed in a tight loop.
	const minStableDuration = time.Second
	dialBackoff := backoff{min: m.opts.MinBackoff, max: m.opts.MaxBackoff}
	for m.ctx.Err() == nil {
		start := time.Now()
		err := m.connectAndServe()
		if time.Since(start) > minStableDuration && err == nil {
			dialBackoff.reset()
			m.setState(nil, false, nil)
			continue
		}
		if err == nil {
			err = errClosed
		}
		m.setState(nil, true, err)
		m.waitBackoff(dialBackoff.next())
	}
}

// waitBackoff waits for d or until m is closed, and then ends the backoff state.
func (m *managedConn) waitBackoff(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.ctx.Done():
	}
	m.setState(nil, false, nil)
}

// connectAndServe dials and serves one connection until it ends. It returns an error if
// the dial or the first ping failed.
func (m *managedConn) connectAndServe() error {
	ctx, cancel := context.WithTimeout(m.ctx, m.opts.DialTimeout)
	defer cancel()
	netConn, err := m.opts.Dial(ctx, m.addr)
	if err != nil {
		return err
	}
	framed := newFramedConn(netConn, m.counter, m.opts.MaxMessageBytes, 0)
	defer framed.wg.Wait()
	stop := context.AfterFunc(m.ctx, func() { framed.close(errClosed) })
	defer stop()
	deadline, _ := ctx.Deadline()
	if err := framed.ping(time.Until(deadline)); err != nil {
		framed.close(err)
		return err
	}
	codec := &clientCodec{messageReader: messageReader{conn: framed}, canceled: make(chan uint64)}
	conn := &clientConn{framed: framed, codec: codec, rpc: rpc.NewClientWithCodec(codec)}
	m.setState(conn, false, nil)
	framed.keepAlive(m.opts.PingInterval, m.opts.PingTimeout)
	conn.rpc.Close()
	return nil
}

// close closes the connection and waits for the goroutine to stop.
func (m *managedConn) close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	m.cancel()
	m.wg.Wait()
}
