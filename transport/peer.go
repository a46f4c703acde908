package transport

import (
	"context"
	"time"
)

// Peer makes calls to one VM. It is safe for concurrent use.
type Peer struct {
	opts          PeerOptions
	counter       byteCounter
	control, bulk *managedConn
}

// NewPeer returns a Peer for a TCP address. It connects at the first call; Close must
// be called to stop its goroutines.
func NewPeer(addr string, opts PeerOptions) *Peer {
	p := &Peer{opts: opts.withDefaults()}
	p.control = newManagedConn(addr, p.opts, &p.counter)
	p.bulk = newManagedConn(addr, p.opts, &p.counter)
	return p
}

// Call calls a method ("Service.Method") on the control connection and waits for the
// response, at most for CallTimeout. Reply is a pointer; its target is set only if the
// error is nil. An error matches ErrNotSent, ErrConnectionLost or ErrNoResponse, or is
// a *RemoteError.
func (p *Peer) Call(ctx context.Context, method string, args, reply any) error {
	return call(ctx, p.control, p.opts.CallTimeout, method, args, reply)
}

// CallBulk is like Call but uses the bulk connection and BulkTimeout, for calls with
// large bodies or long waits.
func (p *Peer) CallBulk(ctx context.Context, method string, args, reply any) error {
	return call(ctx, p.bulk, p.opts.BulkTimeout, method, args, reply)
}

func call(ctx context.Context, conn *managedConn, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	pending, err := conn.startCall(ctx, method, args, reply)
	if err != nil {
		return err
	}
	return pending.wait(ctx)
}

// BytesSent returns the bytes sent to the peer on all connections so far.
func (p *Peer) BytesSent() int64 { return p.counter.sent.Load() }

// BytesReceived returns the bytes received from the peer on all connections so far.
func (p *Peer) BytesReceived() int64 { return p.counter.received.Load() }

// Connected reports whether the control connection is established.
func (p *Peer) Connected() bool {
	p.control.mu.Lock()
	defer p.control.mu.Unlock()
	return p.control.conn != nil
}

// Close closes the connections; calls in flight fail with ErrConnectionLost.
func (p *Peer) Close() {
	p.control.close()
	p.bulk.close()
}
