// Package client is the HTTP client library for callers and operators of oleanderchute.
// It tries the entry VMs in turn, limits the duration of each call, and resends only calls
// that are safe to send twice.
package client

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// defaultCallTimeout exceeds the 2 s for which a partition has no leader after a failure,
	// so that most calls survive an election.
	defaultCallTimeout = 4 * time.Second
	defaultMaxElapsed  = 30 * time.Second
	defaultMinBackoff  = 50 * time.Millisecond
	defaultMaxBackoff  = time.Second
	// defaultDialTimeout detects a VM that is down and does not answer. The round trip
	// between regions takes 24 ms.
	defaultDialTimeout = time.Second
	// maxElapsed is below the 10 min for which an outcome is kept. A later resend would not
	// be recognized and would run the work again.
	maxElapsed = 5 * time.Minute
	// triesPerAddress is the default maximum number of tries of a call per address.
	triesPerAddress = 4
	// minTries lets a client with a single address, such as that of a load balancer, retry
	// until an election has ended.
	minTries = 8
)

// Options configures a Client. Zero values select the defaults.
type Options struct {
	// CallTimeout limits the duration of each try. The time that the server is asked to
	// wait is added.
	CallTimeout time.Duration // 4 s
	// MaxElapsed limits the total duration of all tries of a call, in addition to its
	// context. The time that the server is asked to wait is added once.
	MaxElapsed time.Duration // 30 s, at most 5 min
	// MaxTries is the maximum number of tries of a call. The default is 4 for each address
	// but at least 8.
	MaxTries int
	// MinBackoff and MaxBackoff are the bounds of the wait after each round over all
	// addresses.
	MinBackoff, MaxBackoff time.Duration // 50 ms and 1 s
	// Seed makes the backoff jitter reproducible; 0 selects a random seed.
	Seed uint64
	// Transport replaces the client's own HTTP transport.
	Transport http.RoundTripper
}

// Client calls the entry VMs. It is safe for concurrent use.
type Client struct {
	addresses []string // base URLs without a trailing slash
	opts      Options
	http      *http.Client
	// preferred is the index of the address that last answered a call. Calls try it first.
	preferred atomic.Int64

	mu     sync.Mutex
	jitter *rand.Rand // guarded by mu
}

// New returns a client for the entry VMs at the addresses. Each address is host:port or an
// HTTP URL. New returns an error if there is no address or if one is invalid.
func New(addresses []string, opts Options) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no entry VM address is given")
	}
	c := &Client{opts: withDefaults(opts, len(addresses))}
	for _, address := range addresses {
		base, err := baseURL(address)
		if err != nil {
			return nil, err
		}
		c.addresses = append(c.addresses, base)
	}
	c.http = &http.Client{Transport: c.opts.Transport, CheckRedirect: refuseRedirect}
	c.jitter = rand.New(rand.NewPCG(c.opts.Seed, 0))
	return c, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func withDefaults(o Options, addressCount int) Options {
	o.CallTimeout = orDefault(o.CallTimeout, defaultCallTimeout)
	o.MaxElapsed = min(orDefault(o.MaxElapsed, defaultMaxElapsed), maxElapsed)
	o.MinBackoff = orDefault(o.MinBackoff, defaultMinBackoff)
	o.MaxBackoff = max(orDefault(o.MaxBackoff, defaultMaxBackoff), o.MinBackoff)
	o.MaxTries = orDefault(o.MaxTries, max(minTries, triesPerAddress*addressCount))
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	if o.Transport == nil {
		o.Transport = newTransport()
	}
	return o
}

func orDefault[T int | time.Duration](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}

// newTransport returns a transport that keeps connections to each VM open. It ignores the
// proxy settings in the environment, because the entry VMs are addressed directly.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: defaultDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
}

// refuseRedirect makes the client return a redirect as the response. Following it would
// turn a POST into a GET to another server.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func baseURL(address string) (string, error) {
	full := address
	if !strings.Contains(full, "://") {
		full = "http://" + full
	}
	u, err := url.Parse(full)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return "", errors.Errorf("address %q is neither host:port nor an http URL", address)
	}
	return strings.TrimSuffix(u.Scheme+"://"+u.Host+u.Path, "/"), nil
}
