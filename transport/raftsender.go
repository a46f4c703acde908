package transport

import (
	"context"
	"github.com/oleanderchute/oleanderchute/internal/codec"
	"sync"
	"time"

	"github.com/oleanderchute/oleanderchute/raft"
)

const (
	// maxBatchesInFlight bounds the batches in flight on a connection. If only one batch
	// were in flight, each would wait for the response to the one before it: 24 ms
	// between regions.
	maxBatchesInFlight = 32
	// targetBatchBytes is the estimated size in bytes at which a batch is closed; its last
	// message may exceed it.
	targetBatchBytes = 1 << 20
	// DefaultRaftQueueSize is the default number of messages that may be queued for a
	// connection.
	DefaultRaftQueueSize = 1024
)

// RaftSender sends the messages of all Raft groups to one peer. Messages with entries or
// a snapshot use the bulk connection, others (heartbeats, votes, responses) the control
// connection. Messages may be lost, and messages on different connections may be
// reordered.
type RaftSender struct {
	control, bulk *raftQueue
	cancel        context.CancelFunc
	wg            sync.WaitGroup
}

// NewRaftSender starts a sender; Close must be called to stop its goroutines. A
// queueSize of 0 means DefaultRaftQueueSize.
func NewRaftSender(p *Peer, queueSize int) *RaftSender {
	setDefault(&queueSize, DefaultRaftQueueSize)
	s := &RaftSender{control: newRaftQueue(queueSize), bulk: newRaftQueue(queueSize)}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.run(ctx, s.control, p.control, p.opts.CallTimeout) })
	s.wg.Go(func() { s.run(ctx, s.bulk, p.bulk, p.opts.BulkTimeout) })
	return s
}

// Send queues a message without blocking. The message must not be modified afterwards.
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

// Close drops the queued messages and stops the goroutines.
func (s *RaftSender) Close() {
	s.cancel()
	s.wg.Wait()
}

// run sends the batches of one queue in order until ctx is canceled.
func (s *RaftSender) run(ctx context.Context, q *raftQueue, conn *managedConn, timeout time.Duration) {
	inFlight := make(chan struct{}, maxBatchesInFlight)
	for {
		select {
		case <-q.ready:
		case <-ctx.Done():
			return
		}
		select {
		case inFlight <- struct{}{}:
		case <-ctx.Done():
			return
		}
		batch := q.takeBatch(targetBatchBytes)
		if !s.sendBatch(ctx, conn, timeout, batch, inFlight) {
			<-inFlight
			q.addDropped(len(batch))
		}
	}
}

// sendBatch queues a batch on the connection and reports whether it was queued. If it
// was, one token of inFlight is released when the call has ended.
func (s *RaftSender) sendBatch(ctx context.Context, conn *managedConn, timeout time.Duration, batch []raft.Message, inFlight <-chan struct{}) bool {
	payload, err := codec.EncMode.Marshal(batch)
	if err != nil || len(batch) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	call, err := conn.startCall(ctx, raftMethod, &RaftBatch{Payload: payload}, &Empty{})
	if err != nil {
		cancel()
		return false
	}
	s.wg.Go(func() {
		defer cancel()
		// Raft resends lost messages, so the error is not needed.
		_ = call.wait(ctx)
		<-inFlight
	})
	return true
}
