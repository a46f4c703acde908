// Package client is the HTTP client library for callers and operators of oleanderchute.
// It tries the entry VMs in turn, bounds each call, and resends only what is safe to
// send twice.
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
	// defaultCallTimeout is above the 2 s that a partition is without leader after a
	// failure, so that most calls survive an election.
	defaultCallTimeout = 4 * time.Second
	defaultMaxElapsed  = 30 * time.Second
	defaultMinBackOff  = 50 * time.Millisecond
	defaultMaxBackOff  = time.Second
	// defaultDialTimeout detects a VM that is down without answering; the round trip
	// between regions is 24 ms.
	defaultDialTimeout = time.Second
	// maxElapsed stays below the 10 min for which an outcome is kept. A later resend would
	// not be recognized and would run the work again.
	maxElapsed = 5 * time.Minute
	// triesPerAddress bounds the tries of one call for each address.
	triesPerAddress = 4
	// minTries lets a client with one address, such as a balancer, wait out an election.
	minTries = 8
)

// Options configures a Client. Zero values take the defaults.
type Options struct {
	// CallTimeout bounds each try. Time that the server is asked to wait is added.
	CallTimeout time.Duration // 4 s
	// MaxElapsed bounds all tries of a call together, in addition to its context. Time
	// that the server is asked to wait is added once.
	MaxElapsed time.Duration // 30 s, at most 5 min
	// MaxTries bounds the tries of a call; by default 4 for each address, at least 8.
	MaxTries int
	// MinBackOff and MaxBackOff bound the pause after each round over all addresses.
	MinBackoff, MaxBackoff time.Duration // 50 ms and 1 s
	// Seed makes the jitter of the pauses repeatable; 0 takes a random seed.
	Seed uint64
	// Transport replaces the client's own HTTP transport.
	Transport http.RoundTripper
}

// Client calls the entry VMs. It is safe for concurrent use.
type Client struct {
	addresses []string // base URLs without a trailing slash
	opts      Options
	http      *http.Client
	// preferred is the index of the address that answered last; calls start there.
	preferred atomic.Int64

	mu     sync.Mutex
	jitter *rand.Rand // guarded by mu
}

// New returns a client for the entry VMs at the addresses, each host:port or a URL.
func New(addresses []string, opts Options) (*Client, error) {
	if len(addresses) == 0 {
		return nil, errors.New("no address of an entry VM is given")
	}
	c := &Client{opts: withDefaults(opts, len(addresses))}
	for _, a := range addresses {
		base, err := baseURL(a)
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

func withDefaults(o Options, addresses int) Options {
	o.CallTimeout = orDefault(o.CallTimeout, defaultCallTimeout)
	o.MaxElapsed = min(orDefault(o.MaxElapsed, defaultMaxElapsed), maxElapsed)
	o.MinBackoff = orDefault(o.MinBackoff, defaultMinBackOff)
	o.MaxBackoff = max(orDefault(o.MaxBackoff, defaultMaxBackOff), o.MinBackoff)
	o.MaxTries = orDefault(o.MaxTries, max(minTries, triesPerAddress*addresses))
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

// newTransport keeps connections to each VM open. Environment proxies are not used,
// because the entry VMs are addressed directly.
func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: defaultDialTimeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
}

// refuseRedirect keeps a POST from turning into a GET elsewhere.
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
