package transport

import (
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/raft"
)

// Guards against batches that overtake each other on one connection, although net/rpc
// handles calls in goroutines, and against messages lost on a working connection.
func TestRaftMessagesKeepTheirOrder(t *testing.T) {
	c := qt.New(t)
	s, _ := startServer(c, ServerOptions{})
	const n = 2000
	var mu sync.Mutex
	var got [2][]uint64
	all := make(chan struct{})
	c.Assert(RegisterRaft(s, func(list []raft.Message) {
		mu.Lock()
		defer mu.Unlock()
		for _, m := range list {
			got[len(m.Entries)] = append(got[len(m.Entries)], m.Index)
		}
		if len(got[0])+len(got[1]) == 2*n {
			close(all)
		}
	}), qt.IsNil)
	sender := NewRaftSender(startPeer(c, s.Addr().String(), PeerOptions{}), 2*n)
	defer sender.Close()
	for i := range uint64(n) {
		sender.Send(raft.Message{Kind: raft.MsgAppend, Index: i})
		sender.Send(raft.Message{Kind: raft.MsgAppend, Index: i, Entries: []raft.Entry{{Index: i, Data: []byte("x")}}})
	}
	select {
	case <-all:
	case <-time.After(20 * time.Second):
		c.Fatalf("not all messages arrived; %d dropped", sender.Dropped())
	}
	for _, list := range got {
		for i, index := range list {
			c.Assert(index, qt.Equals, uint64(i))
		}
	}
}

// Guards against a Send that blocks, or a queue that grows, while the peer is away;
// the oldest messages are the ones to drop.
func TestRaftQueueDropsOldest(t *testing.T) {
	c := qt.New(t)
	q := newRaftQueue(3)
	for i := range uint64(10) {
		q.push(raft.Message{Index: i})
	}
	batch := q.take(1 << 20)
	c.Assert(batch, qt.HasLen, 3)
	c.Assert(batch[0].Index, qt.Equals, uint64(7))
	c.Assert(q.dropped, qt.Equals, int64(7))

	sender := NewRaftSender(startPeer(c, "127.0.0.1:1", PeerOptions{}), 3)
	defer sender.Close()
	for range 10000 {
		sender.Send(raft.Message{Kind: raft.MsgVote})
	}
}
