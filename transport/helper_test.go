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

// Guards against goroutines that outlive their Peer, Server or RaftSender.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testService counts executions and can hold calls.
type testService struct {
	mu   sync.Mutex
	ran  map[int64]int
	hold chan struct{}
	held chan struct{} // gets one value for each call of Hold that has begun
}

type NumberArgs struct{ N int64 }

type BytesArgs struct{ Data []byte }

func (s *testService) Mark(a *NumberArgs, reply *NumberArgs) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[a.N]++
	reply.N = a.N
	return nil
}

func (s *testService) Block(a *NumberArgs, reply *NumberArgs) error {
	s.held <- struct{}{}
	<-s.hold
	reply.N = a.N
	return nil
}

func (s *testService) Size(a *BytesArgs, reply *NumberArgs) error {
	reply.N = int64(len(a.Data))
	return nil
}

// startServer returns a served server and the service behind "Test".
func startServer(c *qt.C, opts ServerOptions) (*Server, *testService) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s := NewServer(l, opts)
	svc := &testService{ran: map[int64]int{}, hold: make(chan struct{}), held: make(chan struct{}, 100)}
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

func startProxy(c *qt.C, upstream string) *toxiproxy.Proxy {
	server := &toxiproxy.ApiServer{Collection: toxiproxy.NewProxyCollection(), Metrics: toxiproxy.NewMetricsContainer(nil), Logger: &zerolog.Logger{}}
	p := toxiproxy.NewProxy(server, c.Name(), "127.0.0.1:0", upstream)
	c.Assert(p.Start(), qt.IsNil)
	c.Cleanup(p.Stop)
	return p
}

func addToxic(c *qt.C, p *toxiproxy.Proxy, json string) {
	_, err := p.Toxics.AddToxicJson(strings.NewReader(json))
	c.Assert(err, qt.IsNil)
}
