package transport

import (
	"sync"

	"github.com/oleanderchute/oleanderchute/raft"
)

// raftQueue holds the messages to be sent on one connection, bounded by their number.
type raftQueue struct {
	mu          sync.Mutex // guards the fields below
	messages    []raft.Message
	maxMessages int
	dropped     int64
	ready       chan struct{} // holds a token when messages may not be empty
}

func newRaftQueue(maxMessages int) *raftQueue {
	return &raftQueue{maxMessages: maxMessages, ready: make(chan struct{}, 1)}
}

// push adds a message and drops the oldest one when the queue is full, since newer
// messages of a group supersede older ones.
func (q *raftQueue) push(m raft.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.messages) == q.maxMessages {
		q.messages[0] = raft.Message{}
		q.messages = q.messages[1:]
		q.dropped++
	}
	q.messages = append(q.messages, m)
	q.signal()
}

// signal puts a token into ready unless it holds one.
func (q *raftQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// takeBatch removes and returns the oldest messages, about maxBytes in total and at least
// one if the queue is not empty.
func (q *raftQueue) takeBatch(maxBytes int) []raft.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.messages) && size < maxBytes {
		size += estimateMessageBytes(q.messages[n])
		n++
	}
	batch := q.messages[:n:n]
	q.messages = q.messages[n:]
	if len(q.messages) > 0 {
		q.signal()
	} else {
		q.messages = nil
	}
	return batch
}

// addDropped counts n messages that were taken from the queue but not sent.
func (q *raftQueue) addDropped(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped += int64(n)
}

// estimateMessageBytes estimates the encoded size of a message in bytes.
func estimateMessageBytes(m raft.Message) int {
	const header, entryHeader = 100, 12
	n := header
	for _, e := range m.Entries {
		n += entryHeader + len(e.Data)
	}
	if m.Snapshot != nil {
		n += len(m.Snapshot.Data)
	}
	return n
}
