package transport

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a shutdown that loses the answer of a call under way, executes a
// later call, or reports a later call as perhaps executed.
func TestShutdownFinishesCalls(t *testing.T) {
	c := qt.New(t)
	s, svc := startServer(c, ServerOptions{})
	p := startPeer(c, s.Addr().String(), PeerOptions{CallTimeout: time.Minute})
	first := make(chan error, 1)
	var reply NumberArgs
	go func() { first <- p.Call(context.Background(), "Test.Hold", &NumberArgs{5}, &reply) }()
	<-svc.held
	down := make(chan error, 1)
	go func() { down <- s.Shutdown(context.Background()) }()
	<-s.stop
	// A call that is read together with the stop may still be executed.
	var err error
	for err == nil {
		err = p.Call(context.Background(), "Test.Mark", &NumberArgs{6}, &NumberArgs{})
	}
	c.Assert(err, qt.ErrorIs, ErrNotSent)
	select {
	case err := <-down:
		c.Fatalf("shutdown returned with a call under way: %v", err)
	default:
	}
	close(svc.hold)
	c.Assert(<-first, qt.IsNil)
	c.Assert(reply.N, qt.Equals, int64(5))
	c.Assert(<-down, qt.IsNil)
}

// Guards against a shutdown that waits for ever for a call that does not end.
func TestShutdownStopsAtContextEnd(t *testing.T) {
	c := qt.New(t)
	s, svc := startServer(c, ServerOptions{})
	p := startPeer(c, s.Addr().String(), PeerOptions{CallTimeout: time.Minute})
	first := make(chan error, 1)
	go func() { first <- p.Call(context.Background(), "Test.Hold", &NumberArgs{5}, &NumberArgs{}) }()
	<-svc.held
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	c.Assert(s.Shutdown(ctx), qt.ErrorIs, errDrainTimeout)
	c.Assert(<-first, qt.ErrorIs, ErrConnectionLost)
	close(svc.hold)
}

// Guards against connections beyond the limit, and against an error of a method that
// is taken for a lost connection.
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

// Guards against an answer that does not fit the reply, as between versions, leaving a
// connection on which no later call works.
func TestUndecodableResponse(t *testing.T) {
	c := qt.New(t)
	s, _ := startServer(c, ServerOptions{})
	p := startPeer(c, s.Addr().String(), PeerOptions{})
	var wrong struct{ N string }
	err := p.Call(context.Background(), "Test.Mark", &NumberArgs{1}, &wrong)
	c.Assert(err, qt.ErrorIs, ErrConnectionLost)
	for deadline := time.Now().Add(10 * time.Second); err != nil; { // the lane may pause before it dials again
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%v", err))
		err = p.Call(context.Background(), "Test.Mark", &NumberArgs{2}, &NumberArgs{})
		c.Assert(err == nil || errors.Is(err, ErrNotSent), qt.IsTrue)
	}
}

// Guards against a connection without a living peer that stays open, and against
// bytes that are not the protocol.
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
