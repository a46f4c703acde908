package transport

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"
)

// TestMain guards against goroutines that outlive their Peer, Server or RaftSender.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testService counts the executions of Mark by number and can block calls.
type testService struct {
	mu         sync.Mutex
	executions map[int64]int
	release    chan struct{} // Block returns when it is closed
	blocked    chan struct{} // receives one value for each call of Block that has started
}

// NumberArgs is an argument and a reply of the methods of testService.
type NumberArgs struct{ N int64 }

// BytesArgs is the argument of Size.
type BytesArgs struct{ Data []byte }

func (s *testService) Mark(a *NumberArgs, reply *NumberArgs) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[a.N]++
	reply.N = a.N
	return nil
}

func (s *testService) Block(a *NumberArgs, reply *NumberArgs) error {
	s.blocked <- struct{}{}
	<-s.release
	reply.N = a.N
	return nil
}

func (s *testService) Size(a *BytesArgs, reply *NumberArgs) error {
	reply.N = int64(len(a.Data))
	return nil
}

// startServer returns a running server and its service, which is registered as "Test".
func startServer(c *qt.C, opts ServerOptions) (*Server, *testService) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := NewServer(l, opts)
	svc := &testService{executions: map[int64]int{}, release: make(chan struct{}), blocked: make(chan struct{}, 100)}
	c.Assert(s.Register("Test", svc), qt.IsNil)
	var wg sync.WaitGroup
	wg.Go(func() { s.Serve() })
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		s.Shutdown(ctx)
		wg.Wait()
	})
	return s, svc
}

func startPeer(c *qt.C, addr string, opts PeerOptions) *Peer {
	p := NewPeer(addr, opts)
	c.Cleanup(p.Close)
	return p
}

// startProxy starts a proxy to upstream that can delay, limit or stop the data.
func startProxy(c *qt.C, upstream string) *toxiproxy.Proxy {
	server := &toxiproxy.ApiServer{Collection: toxiproxy.NewProxyCollection(), Metrics: toxiproxy.NewMetricsContainer(nil), Logger: &zerolog.Logger{}}
	p := toxiproxy.NewProxy(server, c.Name(), "127.0.0.1:0", upstream)
	c.Assert(p.Start(), qt.IsNil)
	c.Cleanup(p.Stop)
	return p
}

// addToxic adds a network fault, given as toxiproxy JSON, to a proxy.
func addToxic(c *qt.C, p *toxiproxy.Proxy, json string) {
	_, err := p.Toxics.AddToxicJson(strings.NewReader(json))
	c.Assert(err, qt.IsNil)
}
