package transport

import (
	"sync"

	"github.com/oleanderchute/oleanderchute/raft"
)

// raftQueue holds the messages that wait for one lane, bounded by number.
type raftQueue struct {
	mu          sync.Mutex // guards the fields below
	messages    []raft.Message
	maxMessages int
	dropped     int64
	ready       chan struct{} // holds a token when list may not be empty
}

func newRaftQueue(maxMessages int) *raftQueue {
	return &raftQueue{maxMessages: maxMessages, ready: make(chan struct{}, 1)}
}

// push adds a message and drops the oldest when the queue is full: newer messages of
// a group supersede older ones.
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

func (q *raftQueue) signal() {
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

// take returns the oldest messages, of about maxBytes together and at least one if
// there is any.
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

func (q *raftQueue) addDropped(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped += int64(n)
}

// messageBytes estimates the encoded size of a message.
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
