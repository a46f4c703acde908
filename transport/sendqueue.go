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
	messageCanceled
)

// withdraw reports whether the message was stopped before its first byte was sent.
func (m *message) cancel() bool {
	return m.state.CompareAndSwap(messageQueued, messageCanceled) || m.state.Load() == messageCanceled
}

// outbox holds what waits to be written to one connection: pings and pongs, which go
// first, and messages in order.
type sendQueue struct {
	mu             sync.Mutex // guards the fields below
	cond           sync.Cond  // signaled at each change
	priorityFrames []frame
	messages       []*message
	queuedBytes    int    // bytes in queue
	remaining      []byte // of the message being written
	closed         bool
	// finish makes the outbox close once it is empty.
	draining bool
}

func newSendQueue() *sendQueue {
	q := &sendQueue{}
	q.cond.L = &q.mu
	return q
}

func (q *sendQueue) pushPriority(c frame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	const maxPriorityFrames = 64 // a peer that floods pings gets no more than this many pongs
	if len(q.priorityFrames) < maxPriorityFrames {
		q.priorityFrames = append(q.priorityFrames, c)
	}
	q.cond.Broadcast()
}

// push queues a message. If wait is false and the queue is full it returns
// errQueueFull.
func (q *sendQueue) push(m *message, wait bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	for !q.closed && len(q.messages) > 0 && q.queuedBytes+len(m.data) > maxQueuedBytes {
		if !wait {
			return errQueueFull
		}
		q.cond.Wait()
	}
	if q.closed {
		return errClosed
	}
	q.messages = append(q.messages, m)
	q.queuedBytes += len(m.data)
	q.cond.Broadcast()
	return nil
}

// close drops what waits; messages in the queue are withdrawn.
func (q *sendQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, m := range q.messages {
		m.cancel()
	}
	q.messages, q.remaining, q.priorityFrames = nil, nil, nil
	q.cond.Broadcast()
}

// finishAndClose lets the writer write what waits and then ends it.
func (q *sendQueue) closeWhenEmpty() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.draining = true
	q.cond.Broadcast()
}

// next waits for something to write and appends up to about max bytes of it to buf;
// ok is false when the outbox is closed.
func (q *sendQueue) nextFrames(buf []byte, maxBytes int) (out []byte, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		for _, c := range q.priorityFrames {
			buf = c.appendTo(buf)
		}
		q.priorityFrames = q.priorityFrames[:0]
		for len(buf) < maxBytes && q.loadNextMessage() {
			n := min(len(q.remaining), maxFrameBodyBytes)
			buf = frame{frameData, n == len(q.remaining), uint32(n)}.appendTo(buf)
			buf = append(buf, q.remaining[:n]...)
			q.remaining = q.remaining[n:]
		}
		if len(buf) > 0 {
			return buf, true
		}
		if q.closed || q.draining {
			q.closed = true
			return nil, false
		}
		q.cond.Wait()
	}
}

// takeMessage makes sure that remaining is not empty, if there is a message.
func (q *sendQueue) loadNextMessage() bool {
	for len(q.remaining) == 0 {
		if len(q.messages) == 0 {
			return false
		}
		m := q.messages[0]
		q.messages[0] = nil
		q.messages = q.messages[1:]
		q.queuedBytes -= len(m.data)
		q.cond.Broadcast()
		if m.state.CompareAndSwap(messageQueued, messageStarted) {
			q.remaining = m.data
		}
	}
	return true
}
