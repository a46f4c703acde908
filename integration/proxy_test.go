package integration

import (
	"fmt"
	"strings"
	"time"

	toxiproxy "github.com/Shopify/toxiproxy/v2"
	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// hop is a proxy on one connection path, from one program to another.
type faultProxy struct {
	address              string
	upstream, downstream *faultToxic
	proxy                *toxiproxy.Proxy
}

func newFaultProxy(c *qt.C, name, upstream string) *faultProxy {
	c.Helper()
	api := toxiproxy.NewServer(toxiproxy.NewMetricsContainer(prometheus.NewRegistry()), zerolog.Nop())
	proxy := toxiproxy.NewProxy(api, name, freeAddress(c, "127.0.0.1"), upstream)
	h := &faultProxy{proxy: proxy, address: proxy.Listen, upstream: addFault(c, proxy, "upstream"), downstream: addFault(c, proxy, "downstream")}
	c.Assert(proxy.Start(), qt.IsNil)
	c.Cleanup(proxy.Stop)
	return h
}

func addFault(c *qt.C, proxy *toxiproxy.Proxy, direction string) *faultToxic {
	text := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":{}}`, direction, faultType, direction)
	wrapper, err := proxy.Toxics.AddToxicJson(strings.NewReader(text))
	c.Assert(err, qt.IsNil)
	return wrapper.Toxic.(*faultToxic)
}

// delay adds a latency to each direction, in whole milliseconds.
func (h *faultProxy) delay(c *qt.C, latency time.Duration) {
	c.Helper()
	for _, direction := range []string{"upstream", "downstream"} {
		text := fmt.Sprintf(`{"name":"latency-%s","type":"latency","stream":%q,"attributes":{"latency":%d}}`,
			direction, direction, latency.Milliseconds())
		_, err := h.proxy.Toxics.AddToxicJson(strings.NewReader(text))
		c.Assert(err, qt.IsNil)
	}
}

// silence makes the present connections lose all further data while new ones pass.
func (h *faultProxy) silence() {
	h.upstream.silenceCount.Add(1)
	h.downstream.silenceCount.Add(1)
}

// cut makes present and new connections lose all data until heal; a connection that has
// lost data stays silent.
func (h *faultProxy) cut() {
	h.upstream.cut.Store(true)
	h.downstream.cut.Store(true)
}

func (h *faultProxy) heal() {
	h.upstream.cut.Store(false)
	h.downstream.cut.Store(false)
}

// breakAnswerAfter closes the connection that carries the given further byte of answers.
func (h *faultProxy) breakAnswerAfter(bytes int64) { h.downstream.budget.Store(bytes) }

func (h *faultProxy) url() string { return "http://" + h.address }
