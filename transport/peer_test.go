package transport

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against calls that hang on a connection that carries no more data in one or
// both directions, while new connections work.
func TestSilentConnectionIsReplaced(t *testing.T) {
	for _, streams := range [][]string{{"upstream"}, {"downstream"}, {"upstream", "downstream"}} {
		t.Run(streams[0], func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s, svc := startServer(c, ServerOptions{})
			bad, good := startProxy(c, s.Addr().String()), startProxy(c, s.Addr().String())
			var dials atomic.Int32
			p := startPeer(c, "", PeerOptions{CallTimeout: 20 * time.Second, Dial: func(context.Context, string) (net.Conn, error) {
				if dials.Add(1) == 1 {
					return net.Dial("tcp", bad.Listen)
				}
				return net.Dial("tcp", good.Listen)
			}})
			var reply NumberArgs
			c.Assert(p.Call(context.Background(), "Test.Mark", &NumberArgs{1}, &reply), qt.IsNil)
			for _, stream := range streams {
				addToxic(c, bad, `{"type":"timeout","stream":"`+stream+`","attributes":{"timeout":0}}`)
			}
			start := time.Now()
			err := p.Call(context.Background(), "Test.Block", &NumberArgs{2}, &reply)
			c.Assert(err, qt.ErrorIs, ErrConnectionLost)
			const detectionTime, slack = 1500 * time.Millisecond, time.Second
			c.Assert(time.Since(start) < detectionTime+slack, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
			c.Assert(p.Call(context.Background(), "Test.Mark", &NumberArgs{3}, &reply), qt.IsNil)
			c.Assert(reply.N, qt.Equals, int64(3))
			c.Assert(MayHaveRun(err), qt.IsTrue)
			close(svc.release)
		})
	}
}

// Guards against a large body that delays control calls, and against a connection that
// is considered dead while it carries a large body over a slow network.
func TestLargeBodyOnSlowLink(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s, _ := startServer(c, ServerOptions{})
	proxy := startProxy(c, s.Addr().String())
	addToxic(c, proxy, `{"type":"bandwidth","stream":"upstream","attributes":{"rate":400}}`)
	p := startPeer(c, proxy.Listen, PeerOptions{BulkTimeout: time.Minute, PingInterval: 100 * time.Millisecond, PingTimeout: 600 * time.Millisecond})
	const size = 2 << 20
	bulk := make(chan error, 1)
	go func() {
		var reply NumberArgs
		bulk <- p.CallBulk(context.Background(), "Test.Size", &BytesArgs{make([]byte, size)}, &reply)
	}()
	for n := range int64(20) {
		var reply NumberArgs
		c.Assert(p.Call(context.Background(), "Test.Mark", &NumberArgs{n}, &reply), qt.IsNil)
	}
	select {
	case err := <-bulk:
		c.Fatalf("bulk call ended before the control calls: %v", err)
	default:
	}
	c.Assert(<-bulk, qt.IsNil)
	c.Assert(p.BytesSent() > size, qt.IsTrue)
	c.Assert(p.BytesReceived() > 0 && p.BytesReceived() < size, qt.IsTrue)
}

// Guards against replacing a connection because it is slow: the delay is well above the
// one between regions but below the ping timeout.
func TestSlowConnectionIsKept(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s, _ := startServer(c, ServerOptions{})
	proxy := startProxy(c, s.Addr().String())
	addToxic(c, proxy, `{"type":"latency","attributes":{"latency":200}}`)
	var dials atomic.Int32
	p := startPeer(c, "", PeerOptions{PingInterval: 20 * time.Millisecond, Dial: func(context.Context, string) (net.Conn, error) {
		dials.Add(1)
		return net.Dial("tcp", proxy.Listen)
	}})
	for range 5 {
		c.Assert(p.Call(context.Background(), "Test.Mark", &NumberArgs{1}, &NumberArgs{}), qt.IsNil)
	}
	c.Assert(dials.Load(), qt.Equals, int32(1))
}

// Guards against ErrNotSent for a call that was executed: calls with varying short
// deadlines run over connections that are closed every 5 ms.
func TestNotSentWasNotExecuted(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	s, svc := startServer(c, ServerOptions{})
	var mu sync.Mutex
	var conns []net.Conn
	p := startPeer(c, s.Addr().String(), PeerOptions{MinBackoff: time.Millisecond, MaxBackoff: time.Millisecond, Dial: func(_ context.Context, addr string) (net.Conn, error) {
		conn, err := net.Dial("tcp", addr)
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, conn)
		return conn, err
	}})
	stop := make(chan struct{})
	var connCloser, callers sync.WaitGroup
	connCloser.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			mu.Lock()
			for _, conn := range conns {
				conn.Close()
			}
			conns = nil
			mu.Unlock()
		}
	})
	var notSent sync.Map
	var answered, uncertain atomic.Int64
	for i := range int64(16) {
		callers.Go(func() {
			for n := range int64(300) {
				id := i<<32 | n
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(n%20)*50*time.Microsecond)
				err := p.Call(ctx, "Test.Mark", &NumberArgs{id}, &NumberArgs{})
				cancel()
				switch {
				case err == nil:
					answered.Add(1)
				case MayHaveRun(err):
					uncertain.Add(1)
				default:
					notSent.Store(id, err)
				}
			}
		})
	}
	callers.Wait()
	close(stop)
	connCloser.Wait()
	p.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c.Assert(s.Shutdown(ctx), qt.IsNil) // no call is in flight any more
	n := 0
	notSent.Range(func(id, err any) bool {
		n++
		c.Assert(svc.executions[id.(int64)], qt.Equals, 0, qt.Commentf("%v", err))
		return true
	})
	c.Logf("%d answered, %d uncertain, %d not sent", answered.Load(), uncertain.Load(), n)
	c.Assert(answered.Load() > 0 && n > 0, qt.IsTrue)
}

// Guards against a response that is written into the caller's reply after the call has
// returned.
func TestLateResponseIsDiscarded(t *testing.T) {
	c := qt.New(t)
	s, svc := startServer(c, ServerOptions{})
	p := startPeer(c, s.Addr().String(), PeerOptions{CallTimeout: time.Minute})
	ctx, cancel := context.WithCancel(context.Background())
	reply := NumberArgs{7}
	pending, err := p.control.startCall(ctx, "Test.Block", &NumberArgs{1}, &reply)
	c.Assert(err, qt.IsNil)
	<-svc.blocked
	cancel()
	err = pending.wait(ctx)
	c.Assert(err, qt.ErrorIs, ErrNoResponse)
	c.Assert(err, qt.ErrorIs, context.Canceled)
	close(svc.release)
	<-pending.call.Done
	c.Assert(reply.N, qt.Equals, int64(7))
}

// Guards against dials in a tight loop and against a backoff without a bound or jitter.
func TestBackoff(t *testing.T) {
	c := qt.New(t)
	b := backoff{min: 50 * time.Millisecond, max: time.Second}
	for _, step := range []time.Duration{50, 100, 200, 400, 800, 1000, 1000} {
		d := b.next()
		c.Assert(d >= step*time.Millisecond/2 && d <= step*time.Millisecond, qt.IsTrue, qt.Commentf("%v", d))
	}
	seen := map[time.Duration]bool{}
	for range 20 {
		seen[b.next()] = true
	}
	c.Assert(len(seen) > 1, qt.IsTrue)
}
