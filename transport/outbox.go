package transport

import (
	"sync"
	"sync/atomic"
)

// maxQueuedBytes bounds the messages that wait for one connection; a single larger
// message is taken when nothing else waits.
const maxQueuedBytes = 32 << 20

// message is one encoded call or answer on its way out.
type message struct {
	data  []byte
	state atomic.Int32
}

// The states of a message. A message is started or withdrawn once.
const (
	messageQueued int32 = iota
	messageStarted
	messageWithdrawn
)

// withdraw reports whether the message was stopped before its first byte was sent.
func (m *message) withdraw() bool {
	return m.state.CompareAndSwap(messageQueued, messageWithdrawn) || m.state.Load() == messageWithdrawn
}

// outbox holds what waits to be written to one connection: pings and pongs, which go
// first, and messages in order.
type outbox struct {
	mu        sync.Mutex // guards the fields below
	cond      sync.Cond  // signaled at each change
	urgent    []chunk
	queue     []*message
	queued    int    // bytes in queue
	remaining []byte // of the message being written
	closed    bool
	// finish makes the outbox close once it is empty.
	finish bool
}

func newOutbox() *outbox {
	o := &outbox{}
	o.cond.L = &o.mu
	return o
}

func (o *outbox) pushUrgent(c chunk) {
	o.mu.Lock()
	defer o.mu.Unlock()
	const maxUrgent = 64 // a peer that floods pings gets no more than this many pongs
	if len(o.urgent) < maxUrgent {
		o.urgent = append(o.urgent, c)
	}
	o.cond.Broadcast()
}

// push queues a message. If wait is false and the queue is full it returns
// errQueueFull.
func (o *outbox) push(m *message, wait bool) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	for !o.closed && len(o.queue) > 0 && o.queued+len(m.data) > maxQueuedBytes {
		if !wait {
			return errQueueFull
		}
		o.cond.Wait()
	}
	if o.closed {
		return errClosed
	}
	o.queue = append(o.queue, m)
	o.queued += len(m.data)
	o.cond.Broadcast()
	return nil
}

// close drops what waits; messages in the queue are withdrawn.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	for _, m := range o.queue {
		m.withdraw()
	}
	o.queue, o.remaining, o.urgent = nil, nil, nil
	o.cond.Broadcast()
}

// finishAndClose lets the writer write what waits and then ends it.
func (o *outbox) finishAndClose() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finish = true
	o.cond.Broadcast()
}

// next waits for something to write and appends up to about max bytes of it to buf;
// ok is false when the outbox is closed.
func (o *outbox) next(buf []byte, max int) (out []byte, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for {
		for _, c := range o.urgent {
			buf = c.append(buf)
		}
		o.urgent = o.urgent[:0]
		for len(buf) < max && o.takeMessage() {
			n := min(len(o.remaining), chunkBytes)
			buf = chunk{chunkData, n == len(o.remaining), uint32(n)}.append(buf)
			buf = append(buf, o.remaining[:n]...)
			o.remaining = o.remaining[n:]
		}
		if len(buf) > 0 {
			return buf, true
		}
		if o.closed || o.finish {
			o.closed = true
			return nil, false
		}
		o.cond.Wait()
	}
}

// takeMessage makes sure that remaining is not empty, if there is a message.
func (o *outbox) takeMessage() bool {
	for len(o.remaining) == 0 {
		if len(o.queue) == 0 {
			return false
		}
		m := o.queue[0]
		o.queue[0] = nil
		o.queue = o.queue[1:]
		o.queued -= len(m.data)
		o.cond.Broadcast()
		if m.state.CompareAndSwap(messageQueued, messageStarted) {
			o.remaining = m.data
		}
	}
	return true
}
