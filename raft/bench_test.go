package raft

import (
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// newQuietCluster returns three nodes with the default limits, and their leader.
func newQuietCluster(b *testing.B) (*cluster, *host) {
	c := newCluster(b, 1, 3)
	for _, h := range c.hosts {
		h.cfg.MaxAppendBytes, h.cfg.MaxInflightBytes, h.cfg.TrailingLogBytes = 0, 0, 0
		c.start(h)
	}
	return c, c.waitLeader()
}

// BenchmarkPropose measures proposals of 180 B that are committed on three nodes in
// memory, 64 at a time.
func BenchmarkPropose(b *testing.B) {
	c, h := newQuietCluster(b)
	data, ignore := make([]byte, 180), func(Message) {}
	b.ReportAllocs()
	start := time.Now()
	for i := 0; i < b.N; i++ {
		if _, _, err := h.node.Propose(h.local(c.now), data); err != nil {
			b.Fatal(err)
		}
		if i%64 == 63 {
			c.settle(ignore)
		}
		for _, h := range c.hosts {
			if i%20000 == 19999 {
				_, _ = h.node.Compact(h.node.log.applied, nil)
			}
		}
	}
	c.settle(ignore)
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "proposals/s")
}

// BenchmarkHeartbeat measures a round of heartbeats to two followers and their answers,
// and the bytes of one heartbeat and one answer in CBOR, averaged over the round.
func BenchmarkHeartbeat(b *testing.B) {
	c, _ := newQuietCluster(b)
	bytes := map[MessageKind]int{}
	b.ReportAllocs()
	for i := 0; i < b.N; i++ {
		c.tickAll(50 * time.Millisecond)
		c.settle(func(m Message) {
			if i >= 100 {
				return
			}
			data, err := cbor.Marshal(m)
			if err != nil {
				b.Fatal(err)
			}
			bytes[m.Kind] += len(data)
		})
	}
	rounds := float64(2 * min(b.N, 100))
	b.ReportMetric(float64(bytes[MsgAppend])/rounds, "B/heartbeat")
	b.ReportMetric(float64(bytes[MsgAppendResponse])/rounds, "B/answer")
}

// BenchmarkMemory measures the heap of one node's log with 10,000 entries of 180 B.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		n := New(Config{ID: "v1", Group: "g", Voters: []NodeID{"v1"}}, PersistentState{}, 0)
		flush(n)
		n.startPreVote()
		for range 10000 {
			flush(n)
			if _, _, err := n.Propose(time.Second/4, make([]byte, 180)); err != nil {
				b.Fatal(err)
			}
		}
		flush(n)
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(n)
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "B/10000-entries")
}
