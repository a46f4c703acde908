package transport

import (
	"sync"
	"sync/atomic"
)

// maxQueuedBytes bounds the bytes of the messages in one send queue; a single larger
// message is accepted when the queue is empty.
const maxQueuedBytes = 32 << 20

// message is one encoded call or response to be sent.
type message struct {
	data  []byte
	state atomic.Int32 // one of the constants below
}

// States of a message. A queued message is either started or canceled, once.
const (
	messageQueued int32 = iota
	messageStarted
	messageCanceled
)

// cancel cancels a message that has not been started. It reports whether the message is
// canceled, so that none of its bytes are sent.
func (m *message) cancel() bool {
	return m.state.CompareAndSwap(messageQueued, messageCanceled) || m.state.Load() == messageCanceled
}

// sendQueue holds the data to be written to one connection: ping, pong and progress
// frames, which are sent first, and messages, which are sent in order.
type sendQueue struct {
	mu             sync.Mutex // guards the fields below
	cond           sync.Cond  // broadcast at each change
	priorityFrames []frame
	messages       []*message
	queuedBytes    int    // bytes in messages
	remaining      []byte // unsent bytes of the current message
	closed         bool
	// draining closes the queue once it is empty.
	draining bool
}

func newSendQueue() *sendQueue {
	q := &sendQueue{}
	q.cond.L = &q.mu
	return q
}

// pushPriority queues a frame without a body ahead of all messages.
func (q *sendQueue) pushPriority(header frame) {
	q.mu.Lock()
	defer q.mu.Unlock()
	const maxPriorityFrames = 64 // bounds the pongs queued for a peer that floods pings
	if len(q.priorityFrames) < maxPriorityFrames {
		q.priorityFrames = append(q.priorityFrames, header)
	}
	q.cond.Broadcast()
}

// push queues a message. While the queue is full, it blocks if wait is true and returns
// errQueueFull otherwise.
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

// close closes the queue, drops its frames and cancels the messages that have not been
// started.
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

// closeWhenEmpty lets the writer send what is queued and then closes the queue.
func (q *sendQueue) closeWhenEmpty() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.draining = true
	q.cond.Broadcast()
}

// nextFrames waits for data to send and appends about maxBytes of frames to buf; ok is
// false when the queue is closed.
func (q *sendQueue) nextFrames(buf []byte, maxBytes int) (out []byte, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for {
		for _, header := range q.priorityFrames {
			buf = header.appendTo(buf)
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

// loadNextMessage starts the next message if remaining is empty, and reports whether
// there is data to send. The caller must hold mu.
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
