package transport

import (
	"context"
	"github.com/oleanderchute/oleanderchute/internal/codec"
	"sync"
	"time"

	"github.com/oleanderchute/oleanderchute/raft"
)

const (
	// raftWindow is the number of batches under way on a lane. Without a window a
	// batch would wait for the answer to the one before it, 24 ms between regions.
	raftWindow = 32
	// raftBatchBytes bounds a batch unless one message is larger.
	raftBatchBytes = 1 << 20
	// DefaultRaftQueue is the number of messages that may wait for a lane.
	DefaultRaftQueueSize = 1024
)

// RaftSender sends the messages of all groups to one peer. Messages with entries or a
// snapshot go on the bulk lane, others (heartbeats, votes, responses) on the control
// lane. Messages may be lost, and may overtake each other between the lanes.
type RaftSender struct {
	control, bulk *raftQueue
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

// NewRaftSender starts a sender; Close must be called to end its goroutines. A
// queueSize of 0 means DefaultRaftQueue.
func NewRaftSender(p *Peer, queueSize int) *RaftSender {
	setDefault(&queueSize, DefaultRaftQueueSize)
	s := &RaftSender{control: newRaftQueue(queueSize), bulk: newRaftQueue(queueSize)}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.run(ctx, s.control, p.control, p.opts.CallTimeout) })
	s.wg.Go(func() { s.run(ctx, s.bulk, p.bulk, p.opts.BulkTimeout) })
	return s
}

// Send queues a message and returns at once. The message must not be changed later.
func (s *RaftSender) Send(m raft.Message) {
	if len(m.Entries) > 0 || m.Snapshot != nil {
		s.bulk.push(m)
		return
	}
	s.control.push(m)
}

// Dropped returns how many messages were dropped before they were sent, because the
// queue was full or the peer was not connected.
func (s *RaftSender) Dropped() int64 {
	var n int64
	for _, q := range []*raftQueue{s.control, s.bulk} {
		q.mu.Lock()
		n += q.dropped
		q.mu.Unlock()
	}
	return n
}

// Close drops what waits and ends the goroutines.
func (s *RaftSender) Close() {
	s.cancel()
	s.wg.Wait()
}

// run sends batches in order until ctx ends.
func (s *RaftSender) run(ctx context.Context, q *raftQueue, l *lane, timeout time.Duration) {
	window := make(chan struct{}, raftWindow)
	for {
		select {
		case <-q.ready:
		case <-ctx.Done():
			return
		}
		select {
		case window <- struct{}{}:
		case <-ctx.Done():
			return
		}
		batch := q.take(raftBatchBytes)
		if !s.sendBatch(ctx, l, timeout, batch, window) {
			<-window
			q.addDropped(len(batch))
		}
	}
}

// sendBatch queues a batch on the connection; the place in the window is given back
// when its call has ended. It reports whether the batch was queued.
func (s *RaftSender) sendBatch(ctx context.Context, l *lane, timeout time.Duration, batch []raft.Message, window <-chan struct{}) bool {
	payload, err := codec.EncMode.Marshal(batch)
	if err != nil || len(batch) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	call, err := l.begin(ctx, raftMethod, &RaftBatch{Payload: payload}, &Empty{})
	if err != nil {
		cancel()
		return false
	}
	s.wg.Go(func() {
		defer cancel()
		// Raft repeats what is lost, so the outcome is not needed.
		_ = call.wait(ctx)
		<-window
	})
	return true
}
