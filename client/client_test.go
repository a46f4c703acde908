package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

// handler answers one try.
type handler func(w http.ResponseWriter, r *http.Request)

// stub is an entry VM that answers its tries with the handlers in turn, the last one
// repeatedly, and records what it received.
type stub struct {
	*httptest.Server
	mu       sync.Mutex
	handlers []handler
	received []string // method, URI and body
}

func newStub(t *testing.T, handlers ...handler) *stub {
	s := &stub{handlers: handlers}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.Close)
	return s
}

func (s *stub) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	s.mu.Lock()
	s.received = append(s.received, r.Method+" "+r.RequestURI+" "+string(body))
	h := s.handlers[0]
	if len(s.handlers) > 1 {
		s.handlers = s.handlers[1:]
	}
	s.mu.Unlock()
	h(w, r)
}

func (s *stub) tries() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

func answer(v any) handler {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
}

func refuse(e api.Error) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(e.Code.HTTPStatus())
		_ = json.NewEncoder(w).Encode(e)
	}
}

func plain(status int) handler {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// cut closes the connection after the request has arrived.
func cut(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// silent holds the call until the client gives up.
func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func short(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"state":"done"`))
}

// fast has short pauses. The call timeout is far above what a busy machine needs, so that
// only silence reaches it.
var fast = Options{CallTimeout: time.Second, MinBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond, MaxTries: 4, Seed: 1}

func newClient(t *testing.T, addresses ...string) *Client {
	c, err := New(addresses, fast)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.Close)
	return c
}

// refusedAddress is an address on which nothing listens.
func refusedAddress(t *testing.T) string {
	s := httptest.NewServer(nil)
	s.Close()
	return s.URL
}

var (
	submitRequest = api.SubmitRequest{Caller: "bank", Key: "k1", Kind: "draft"}
	done          = answer(api.RequestStatus{State: api.StateDone})
)

// Guards against a resend that could run work twice, a missing resend that loses the
// outcome, and a conclusion that the failed tries do not allow.
func TestResendRules(t *testing.T) {
	submit := func(c *Client) error { _, err := c.Submit(t.Context(), submitRequest); return err }
	apply := func(c *Client) error { _, err := c.Apply(t.Context(), api.ApplyRequest{}); return err }
	cancel := func(c *Client) error {
		_, err := c.Cancel(t.Context(), api.RequestKey{Caller: "bank", Key: "k1"}, "draft", 0)
		return err
	}
	status := func(c *Client) error { _, err := c.Status(t.Context()); return err }
	drain := func(c *Client) error { return c.Drain(t.Context(), "vm1") }
	unavailable := refuse(api.Error{Code: api.CodeUnavailable, NotRun: true})
	unknown := refuse(api.Error{Code: api.CodeUnknownResult})
	overloaded := refuse(api.Error{Code: api.CodeOverloaded, NotRun: true})
	for _, test := range []struct {
		about    string
		call     func(*Client) error
		handlers []handler
		tries    int
		code     api.ErrorCode // "" for success, "unreachable" for UnreachableError
	}{
		{"unavailable is tried again", submit, []handler{unavailable, done}, 2, ""},
		{"unavailable is tried again for drain", drain, []handler{unavailable, done}, 2, ""},
		{"tries are bounded", submit, []handler{unavailable}, 4, api.CodeUnavailable},
		{"submit is resent after a cut", submit, []handler{cut, done}, 2, ""},
		{"submit is resent after silence", submit, []handler{silent, done}, 2, ""},
		{"submit is resent after a short answer", submit, []handler{short, done}, 2, ""},
		{"submit is resent after a damaged answer", submit, []handler{answer(api.RequestStatus{Answer: []byte("x"), AnswerDigest: "00"}), done}, 2, ""},
		{"submit is resent after unknown result", submit, []handler{unknown, done}, 2, ""},
		{"submit is resent after a balancer's 502", submit, []handler{plain(502), done}, 2, ""},
		{"apply is resent after a cut", apply, []handler{cut, done}, 2, ""},
		{"cancel is resent after a cut", cancel, []handler{cut, done}, 2, ""},
		{"read is resent after a cut", status, []handler{cut, done}, 2, ""},
		{"drain is not resent after a cut", drain, []handler{cut, done}, 1, api.CodeUnknownResult},
		{"drain is not resent after silence", drain, []handler{silent, done}, 1, api.CodeUnknownResult},
		{"drain is not resent after a balancer's 503", drain, []handler{plain(503), done}, 1, api.CodeUnknownResult},
		{"a refusal is final", submit, []handler{overloaded, done}, 1, api.CodeOverloaded},
		{"a refusal after a cut proves nothing", submit, []handler{cut, overloaded}, 2, api.CodeUnknownResult},
		{"unavailable after a cut proves nothing", submit, []handler{cut, unavailable}, 4, api.CodeUnknownResult},
		{"a bad request was bad before", submit, []handler{cut, refuse(api.Error{Code: api.CodeBadRequest})}, 2, api.CodeBadRequest},
		{"all cut", apply, []handler{cut}, 4, api.CodeUnknownResult},
		{"all cut on a read", status, []handler{cut}, 4, "unreachable"},
		{"internal error of a submit", submit, []handler{refuse(api.Error{Code: api.CodeInternal})}, 1, api.CodeUnknownResult},
		{"untyped 404", status, []handler{plain(404)}, 1, api.CodeNotFound},
	} {
		t.Run(test.about, func(t *testing.T) {
			c, s := qt.New(t), newStub(t, test.handlers...)
			err := test.call(newClient(t, s.URL))
			tries := s.tries()
			c.Assert(tries, qt.HasLen, test.tries)
			for _, received := range tries {
				c.Assert(received, qt.Equals, tries[0]) // same key, change id and body
			}
			var code api.ErrorCode
			var apiErr *api.Error
			var unreachable *UnreachableError
			if errors.As(err, &apiErr) {
				code = apiErr.Code
				c.Assert(apiErr.NotRun && test.tries > 1 && code == api.CodeUnknownResult, qt.IsFalse)
			} else if errors.As(err, &unreachable) {
				code = "unreachable"
			} else {
				c.Assert(err, qt.IsNil)
			}
			c.Assert(code, qt.Equals, test.code, qt.Commentf("%v", err))
		})
	}
}

// Guards against a client that stays on a VM that is down, or on one that is silent.
func TestTriesAddressesInTurn(t *testing.T) {
	c, good := qt.New(t), newStub(t, done)
	for _, bad := range []string{refusedAddress(t), newStub(t, silent).URL, newStub(t, refuse(api.Error{Code: api.CodeUnavailable})).URL} {
		client := newClient(t, bad, good.URL)
		before := len(good.tries())
		for range 2 {
			c.Assert(func() error { _, err := client.Submit(t.Context(), submitRequest); return err }(), qt.IsNil)
		}
		c.Assert(len(good.tries())-before, qt.Equals, 2)
		c.Assert(client.preferred.Load(), qt.Equals, int64(1))
	}
	down := newClient(t, refusedAddress(t))
	for _, call := range []func() error{
		func() error { return down.Drain(t.Context(), "") },
		func() error { _, err := down.Submit(t.Context(), submitRequest); return err },
	} {
		var unreachable *UnreachableError
		c.Assert(errors.As(call(), &unreachable), qt.IsTrue)
	}
}

// Guards against a client that goes on after its caller has given up.
func TestContextEndsTries(t *testing.T) {
	s := newStub(t, refuse(api.Error{Code: api.CodeUnavailable, RetryAfterMillis: 60000}))
	c, err := New([]string{s.URL}, Options{MinBackoff: time.Minute, MaxBackoff: time.Minute})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err = c.Status(ctx)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, time.Since(start) < 10*time.Second, qt.IsTrue)
	qt.Assert(t, s.tries(), qt.HasLen, 1)
}

// Guards against a path or query that the server does not serve, and names that break it.
func TestPaths(t *testing.T) {
	key := api.RequestKey{Caller: "a/b", Key: "k 1?"}
	ctx := t.Context()
	for want, call := range map[string]func(c *Client){
		"GET /v1/requests/a%2Fb/k%201%3F?kind=draft&wait_ms=20 ":    func(c *Client) { _, _ = c.Outcome(ctx, key, "draft", 20*time.Millisecond) },
		"DELETE /v1/requests/a%2Fb/k%201%3F?kind=draft&wait_ms=20 ": func(c *Client) { _, _ = c.Cancel(ctx, key, "draft", 20*time.Millisecond) },
		"GET /v1/tables ": func(c *Client) { _, _ = c.Tables(ctx) },
		"POST /v1/tables/check {\"version\":3,\"routes\":null,\"pools\":null}": func(c *Client) { _, _ = c.Check(ctx, api.Tables{Version: 3}) },
		"GET /v1/history ":  func(c *Client) { _, _ = c.History(ctx) },
		"GET /v1/problems ": func(c *Client) { _, _ = c.Problems(ctx) },
		"GET /v1/workers ":  func(c *Client) { _, _ = c.Workers(ctx) },
		"GET /v1/explain?caller=a%2Fb&key=k+1%3F&kind=draft ": func(c *Client) { _, _ = c.Explain(ctx, key, "draft") },
		"POST /v1/drain?vm=vm1 ":                              func(c *Client) { _ = c.Drain(ctx, "vm1") },
		"POST /v1/tables/apply {\"change_id\":\"c1\",\"base_version\":3,\"tables\":{\"version\":0,\"routes\":null,\"pools\":null}}": func(c *Client) {
			_, _ = c.Apply(ctx, api.ApplyRequest{ChangeID: "c1", BaseVersion: 3})
		},
	} {
		s := newStub(t, answer(nil))
		call(newClient(t, s.URL))
		qt.Check(t, s.tries(), qt.DeepEquals, []string{want})
	}
}

// Guards against a client that goes through all its silent connections, one timeout each,
// while new connections work.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	var mu sync.Mutex
	connections, stopped := make(map[string]bool), false
	var all sync.WaitGroup // the first calls are held until each has a connection
	all.Add(8)
	s := newStub(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		wasStopped, isSilent := stopped, stopped && connections[r.RemoteAddr]
		if !stopped {
			connections[r.RemoteAddr] = true
		}
		mu.Unlock()
		if isSilent {
			silent(w, r)
		}
		if !wasStopped {
			all.Done()
			all.Wait()
		}
		done(w, r)
	})
	c := newClient(t, s.URL)
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { _, _ = c.Submit(t.Context(), submitRequest) })
	}
	calls.Wait()
	mu.Lock()
	stopped = true
	mu.Unlock()
	qt.Assert(t, connections, qt.HasLen, 8)
	before := len(s.tries())
	_, err := c.Submit(t.Context(), submitRequest)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(s.tries())-before, qt.Equals, 2)
}

// Guards against a long wait on one connection, against a wait that ends early, and
// against an error that hides that the request was accepted.
func TestLongWaitIsSplit(t *testing.T) {
	queued := answer(api.RequestStatus{State: api.StateQueued})
	s := newStub(t, queued, queued, done)
	r := submitRequest
	r.WaitMillis = 12000
	status, err := newClient(t, s.URL).Submit(t.Context(), r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.State, qt.Equals, api.StateDone)
	tries := s.tries()
	qt.Assert(t, tries[0], qt.Contains, `"wait_ms":5000`)
	qt.Assert(t, tries[1:], qt.DeepEquals, []string{"GET /v1/requests/bank/k1?kind=draft&wait_ms=5000 ", "GET /v1/requests/bank/k1?kind=draft&wait_ms=2000 "})

	s = newStub(t, queued, refuse(api.Error{Code: api.CodeNotFound}))
	status, err = newClient(t, s.URL).Submit(t.Context(), r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.State, qt.Equals, api.StateQueued)
}

// Guards against pauses that do not grow, exceed the bound or are the same for all
// clients, and against resends after the server has forgotten the key.
func TestBackoffBounds(t *testing.T) {
	pauses := make(map[time.Duration]bool)
	for seed := range uint64(20) {
		c, err := New([]string{"vm1:80"}, Options{MinBackoff: 100 * time.Millisecond, MaxBackoff: time.Second, MaxElapsed: time.Hour, Seed: seed + 1})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.opts.MaxElapsed, qt.Equals, maxElapsed)
		for round, bound := range map[int]time.Duration{1: 100 * time.Millisecond, 3: 400 * time.Millisecond, 40: time.Second} {
			d := c.backOff(round)
			qt.Check(t, d >= bound/2 && d <= bound, qt.IsTrue, qt.Commentf("%d: %v", round, d))
			pauses[d] = true
		}
	}
	qt.Assert(t, len(pauses) > 40, qt.IsTrue)
}

func TestBadArguments(t *testing.T) {
	for _, addresses := range [][]string{nil, {""}, {"ftp://x"}, {"http://"}} {
		_, err := New(addresses, Options{})
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", addresses))
	}
	_, err := newClient(t, refusedAddress(t)).Submit(t.Context(), api.SubmitRequest{Caller: "bank"})
	qt.Assert(t, err, qt.ErrorMatches, "bad_request: key: must not be empty")
}
