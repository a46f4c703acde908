package integration

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// faultProxy is a proxy that injects faults into the connections from one program to another.
type faultProxy struct {
	address              string // where the proxy listens
	upstream, downstream *faultToxic
	proxy                *toxiproxy.Proxy
}

// proxyStarts limits the addresses that a proxy tries: another process can take a free address
// before the proxy listens there.
const proxyStarts = 5

func newFaultProxy(c *qt.C, name, upstream string) *faultProxy {
	c.Helper()
	for start := 1; ; start++ {
		server := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
		proxy := toxiproxy.NewProxy(server, name, freeAddress(c, "127.0.0.1"), upstream)
		p := &faultProxy{proxy: proxy, address: proxy.Listen, upstream: addFault(c, proxy, "upstream"), downstream: addFault(c, proxy, "downstream")}
		err := proxy.Start()
		if errors.Is(err, syscall.EADDRINUSE) && start < proxyStarts {
			c.Logf("proxy %s takes another address: %v", name, err)
			continue
		}
		c.Assert(err, qt.IsNil)
		c.Cleanup(proxy.Stop)
		return p
	}
}

// addFault installs a faultToxic in one direction of the proxy.
func addFault(c *qt.C, proxy *toxiproxy.Proxy, direction string) *faultToxic {
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":{}}`, direction, faultType, direction)
	wrapper, err := proxy.Toxics.AddToxicJson(strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	return wrapper.Toxic.(*faultToxic)
}

// delay adds the latency, rounded down to whole milliseconds, to each direction.
func (p *faultProxy) delay(c *qt.C, latency time.Duration) {
	c.Helper()
	for _, direction := range []string{"upstream", "downstream"} {
		text := fmt.Sprintf(`{"name":"latency-%s","type":"latency","stream":%q,"attributes":{"latency":%d}}`,
			direction, direction, latency.Milliseconds())
		_, err := p.proxy.Toxics.AddToxicJson(strings.NewReader(text))
		c.Assert(err, qt.IsNil)
	}
}

// silence makes the existing connections drop all further data while new ones work.
func (p *faultProxy) silence() {
	p.upstream.silenceCount.Add(1)
	p.downstream.silenceCount.Add(1)
}

// cut makes existing and new connections drop all data until heal. A connection that has dropped
// data stays silent after heal.
func (p *faultProxy) cut() {
	p.upstream.cut.Store(true)
	p.downstream.cut.Store(true)
}

func (p *faultProxy) heal() {
	p.upstream.cut.Store(false)
	p.downstream.cut.Store(false)
}

// truncateResponseAfter lets the given number of further bytes of responses pass, counted over all
// connections, and then closes the connection that carried the last of them.
func (p *faultProxy) truncateResponseAfter(bytes int64) { p.downstream.remainingBytes.Store(bytes) }

func (p *faultProxy) url() string { return "http://" + p.address }
