package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a shutdown that loses the response to a call in flight, executes a later
// call, or reports that a later call may have been executed.
func TestShutdownFinishesCalls(t *testing.T) {
	c := qt.New(t)
	s, svc := startServer(c, ServerOptions{})
	p := startPeer(c, s.Addr().String(), PeerOptions{CallTimeout: time.Minute})
	first := make(chan error, 1)
	var reply NumberArgs
	go func() { first <- p.Call(context.Background(), "Test.Block", &NumberArgs{5}, &reply) }()
	<-svc.blocked
	down := make(chan error, 1)
	go func() { down <- s.Shutdown(context.Background()) }()
	<-s.stop
	// A call that is read concurrently with the stop may still be executed.
	var err error
	for err == nil {
		err = p.Call(context.Background(), "Test.Mark", &NumberArgs{6}, &NumberArgs{})
	}
	c.Assert(err, qt.ErrorIs, ErrNotSent)
	select {
	case err := <-down:
		c.Fatalf("shutdown returned with a call in flight: %v", err)
	default:
	}
	close(svc.release)
	c.Assert(<-first, qt.IsNil)
	c.Assert(reply.N, qt.Equals, int64(5))
	c.Assert(<-down, qt.IsNil)
}

// Guards against a shutdown that waits forever for a call that does not end.
func TestShutdownStopsAtContextEnd(t *testing.T) {
	c := qt.New(t)
	s, svc := startServer(c, ServerOptions{})
	p := startPeer(c, s.Addr().String(), PeerOptions{CallTimeout: time.Minute})
	first := make(chan error, 1)
	go func() { first <- p.Call(context.Background(), "Test.Block", &NumberArgs{5}, &NumberArgs{}) }()
	<-svc.blocked
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(s.Shutdown(ctx), qt.ErrorIs, errShutdownTimeout)
	c.Assert(<-first, qt.ErrorIs, ErrConnectionLost)
	close(svc.release)
}

// Guards against connections beyond the limit, and against an error of the called method
// that is reported as a lost connection.
func TestConnectionLimitAndRemoteError(t *testing.T) {
	c := qt.New(t)
	s, _ := startServer(c, ServerOptions{MaxConns: 1})
	a := startPeer(c, s.Addr().String(), PeerOptions{})
	c.Assert(a.Call(context.Background(), "Test.Mark", &NumberArgs{1}, &NumberArgs{}), qt.IsNil)
	b := startPeer(c, s.Addr().String(), PeerOptions{})
	c.Assert(b.Call(context.Background(), "Test.Mark", &NumberArgs{1}, &NumberArgs{}), qt.ErrorIs, ErrNotSent)
	err := a.Call(context.Background(), "Test.Missing", &NumberArgs{1}, &NumberArgs{})
	var remote *RemoteError
	c.Assert(errors.As(err, &remote), qt.IsTrue, qt.Commentf("%v", err))
}

// Guards against a response that cannot be decoded into the reply, as between different
// versions, and that leaves a connection on which all later calls fail.
func TestUndecodableResponse(t *testing.T) {
	c := qt.New(t)
	s, _ := startServer(c, ServerOptions{})
	p := startPeer(c, s.Addr().String(), PeerOptions{})
	var wrong struct{ N string }
	err := p.Call(context.Background(), "Test.Mark", &NumberArgs{1}, &wrong)
	c.Assert(err, qt.ErrorIs, ErrConnectionLost)
	for deadline := time.Now().Add(10 * time.Second); err != nil; { // the connection may be in backoff before the next dial
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%v", err))
		err = p.Call(context.Background(), "Test.Mark", &NumberArgs{2}, &NumberArgs{})
		c.Assert(err == nil || errors.Is(err, ErrNotSent), qt.IsTrue)
	}
}

// Guards against a connection that stays open without a live peer, and against input in
// another protocol.
func TestIdleAndForeignConnectionsAreClosed(t *testing.T) {
	c := qt.New(t)
	s, _ := startServer(c, ServerOptions{IdleTimeout: 50 * time.Millisecond})
	for _, first := range []string{"", "GET / HTTP/1.1\r\n\r\n"} {
		conn, err := net.Dial("tcp", s.Addr().String())
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte(first))
		c.Assert(err, qt.IsNil)
		conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		_, err = conn.Read(make([]byte, 1))
		c.Assert(err, qt.IsNotNil)
		c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsFalse)
		var timeout net.Error
		c.Assert(errors.As(err, &timeout) && timeout.Timeout(), qt.IsFalse)
		conn.Close()
	}
}
