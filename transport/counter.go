package transport

import (
	"net"
	"sync/atomic"
)

// byteCounter counts the bytes of the connections of one peer or server.
type byteCounter struct {
	sent, received atomic.Int64
}

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.sent.Add(int64(n))
	return n, err
}
