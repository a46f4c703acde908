package transport

import (
	"context"
	"net/rpc"
	"sync"
	"time"
)

// lane keeps one connection to a peer. Its goroutine starts at the first use, dials,
// pings, and dials again when the connection ends.
type lane struct {
	addr    string
	opts    PeerOptions
	counter *byteCounter

	mu         sync.Mutex // guards the fields below
	started    bool
	closed     bool
	conn       *clientConn   // nil while there is none
	backingOff bool          // between a failed dial and the next
	lastErr    error         // of the newest dial
	changed    chan struct{} // closed when conn or backingOff changes

	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup
}

// clientConn is a proven connection with its net/rpc client.
type clientConn struct {
	link  *link
	codec *clientCodec
	rpc   *rpc.Client
}

func (c *clientConn) isOpen() bool {
	select {
	case <-c.link.done:
		return false
	default:
		return true
	}
}

func newLane(addr string, opts PeerOptions, counter *byteCounter) *lane {
	l := &lane{addr: addr, opts: opts, counter: counter, changed: make(chan struct{})}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// get returns the connection. It waits for a dial under way, and fails at once
// between dials.
func (l *lane) get(ctx context.Context) (*clientConn, error) {
	for {
		l.mu.Lock()
		l.start()
		conn, backingOff, changed, err := l.conn, l.backingOff, l.changed, l.lastErr
		l.mu.Unlock()
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
		case <-l.ctx.Done():
			return nil, errClosed
		}
	}
}

// start must be called with mu held.
func (l *lane) start() {
	if l.started || l.closed {
		return
	}
	l.started = true
	l.wg.Go(l.run)
}

func (l *lane) set(conn *clientConn, backingOff bool, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn, l.backingOff, l.lastErr = conn, backingOff, err
	close(l.changed)
	l.changed = make(chan struct{})
}

// run replaces the connection until the lane is closed.
func (l *lane) run() {
	// A connection that ends sooner than this does not reset the back-off, so that a
	// server that accepts and closes is not dialed in a tight loop.
	const stableAfter = time.Second
	pause := backoff{min: l.opts.MinBackoff, max: l.opts.MaxBackoff}
	for l.ctx.Err() == nil {
		began := time.Now()
		err := l.connect()
		if time.Since(began) > stableAfter && err == nil {
			pause.reset()
			l.set(nil, false, nil)
			continue
		}
		if err == nil {
			err = errClosed
		}
		l.set(nil, true, err)
		l.backOff(pause.next())
	}
}

func (l *lane) backOff(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	}
	l.set(nil, false, nil)
}

// connect dials and serves one connection until it ends. An error means that there
// was no working connection.
func (l *lane) connect() error {
	ctx, cancel := context.WithTimeout(l.ctx, l.opts.DialTimeout)
	defer cancel()
	raw, err := l.opts.Dial(ctx, l.addr)
	if err != nil {
		return err
	}
	k := newLink(raw, l.counter, l.opts.MaxMessageBytes, 0)
	defer k.wg.Wait()
	stop := context.AfterFunc(l.ctx, func() { k.close(errClosed) })
	defer stop()
	deadline, _ := ctx.Deadline()
	if err := k.ping(time.Until(deadline)); err != nil {
		k.close(err)
		return err
	}
	codec := &clientCodec{receiver: receiver{link: k}, withdrawn: make(chan uint64)}
	conn := &clientConn{link: k, codec: codec, rpc: rpc.NewClientWithCodec(codec)}
	l.set(conn, false, nil)
	k.keepAlive(l.opts.PingInterval, l.opts.PingTimeout)
	conn.rpc.Close()
	return nil
}

func (l *lane) close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.cancel()
	l.wg.Wait()
}
