package transport

import (
	"context"
	"time"
)

// Peer makes calls to one VM. Its methods may be called from several goroutines.
type Peer struct {
	opts          PeerOptions
	counter       byteCounter
	control, bulk *managedConn
}

// NewPeer returns a Peer for a TCP address. It connects at the first call; Close must
// be called to end its goroutines.
func NewPeer(addr string, opts PeerOptions) *Peer {
	p := &Peer{opts: opts.withDefaults()}
	p.control = newManagedConn(addr, p.opts, &p.counter)
	p.bulk = newManagedConn(addr, p.opts, &p.counter)
	return p
}

// Call calls a method ("Service.Method") on the control lane and waits for the answer,
// for CallTimeout at most. Reply is a pointer; it is set only if the error is nil. An
// error is ErrNotSent, ErrConnectionLost, ErrNoAnswer or a *RemoteError.
func (p *Peer) Call(ctx context.Context, method string, args, reply any) error {
	return call(ctx, p.control, p.opts.CallTimeout, method, args, reply)
}

// CallBulk is Call on the bulk lane with BulkTimeout, for calls with large bodies or
// long waits.
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

// Connected reports whether the control lane has a working connection.
func (p *Peer) Connected() bool {
	p.control.mu.Lock()
	defer p.control.mu.Unlock()
	return p.control.conn != nil
}

// Close ends the connections; calls under way fail with ErrConnectionLost.
func (p *Peer) Close() {
	p.control.close()
	p.bulk.close()
}
