package transport

import (
	"sync"

	"github.com/oleanderchute/oleanderchute/raft"
)

// raftQueue holds the messages that wait for one lane, bounded by number.
type raftQueue struct {
	mu      sync.Mutex // guards the fields below
	list    []raft.Message
	max     int
	dropped int64
	ready   chan struct{} // holds a token when list may not be empty
}

func newRaftQueue(max int) *raftQueue {
	return &raftQueue{max: max, ready: make(chan struct{}, 1)}
}

// push adds a message and drops the oldest when the queue is full: newer messages of
// a group supersede older ones.
func (q *raftQueue) push(m raft.Message) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.list) == q.max {
		q.list[0] = raft.Message{}
		q.list = q.list[1:]
		q.dropped++
	}
	q.list = append(q.list, m)
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
func (q *raftQueue) take(maxBytes int) []raft.Message {
	q.mu.Lock()
	defer q.mu.Unlock()
	n, size := 0, 0
	for n < len(q.list) && size < maxBytes {
		size += messageBytes(q.list[n])
		n++
	}
	batch := q.list[:n:n]
	q.list = q.list[n:]
	if len(q.list) > 0 {
		q.signal()
	} else {
		q.list = nil
	}
	return batch
}

func (q *raftQueue) addDropped(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dropped += int64(n)
}

// messageBytes estimates the encoded size of a message.
func messageBytes(m raft.Message) int {
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
