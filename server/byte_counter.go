package server

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// byteCounter counts the bytes sent and received on a set of connections. It is safe for
// concurrent use.
type byteCounter struct{ sent, received atomic.Int64 }

// countedConn counts the bytes of one connection.
type countedConn struct {
	net.Conn
	counter *byteCounter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	counter *byteCounter
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{conn, l.counter}, nil
}

// countedDial wraps a dial function so that the bytes of its connections are counted.
func countedDial(counter *byteCounter, dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{conn, counter}, nil
	}
}

// bytesTotal describes the counter of bytes per link and direction since the process started.
var bytesTotal = prometheus.NewDesc("oleander_bytes_total",
	"Bytes on connections to workers, to other VMs, and on the HTTP listener.", []string{"link", "direction"}, nil)

// byteCollector exports the byte counters. It implements prometheus.Collector.
type byteCollector struct{ server *Server }

// Describe implements prometheus.Collector.
func (b byteCollector) Describe(ch chan<- *prometheus.Desc) { ch <- bytesTotal }

// Collect implements prometheus.Collector.
func (b byteCollector) Collect(ch chan<- prometheus.Metric) {
	emit := func(link, direction string, n int64) {
		ch <- prometheus.MustNewConstMetric(bytesTotal, prometheus.CounterValue, float64(n), link, direction)
	}
	emit("worker", "sent", b.server.workers.bytes.sent.Load())
	emit("worker", "received", b.server.workers.bytes.received.Load())
	emit("http", "sent", b.server.httpBytes.sent.Load())
	emit("http", "received", b.server.httpBytes.received.Load())
	sent, received := b.server.peers.bytes()
	emit("peer", "sent", sent)
	emit("peer", "received", received)
}
