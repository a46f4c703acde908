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

// handler answers one HTTP request.
type handler func(w http.ResponseWriter, r *http.Request)

// stubServer stands in for an entry VM. It answers requests with its handlers in turn and
// repeats the last one, and records what it received.
type stubServer struct {
	*httptest.Server
	mu       sync.Mutex
	handlers []handler
	received []string // method, URI and body
}

func newStubServer(t *testing.T, handlers ...handler) *stubServer {
	s := &stubServer{handlers: handlers}
	s.Server = httptest.NewServer(http.HandlerFunc(s.serve))
	t.Cleanup(s.Close)
	return s
}

func (s *stubServer) serve(w http.ResponseWriter, r *http.Request) {
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

func (s *stubServer) requests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.received...)
}

func respond(v any) handler {
	return func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(v) }
}

func respondError(e api.Error) handler {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(e.Code.HTTPStatus())
		_ = json.NewEncoder(w).Encode(e)
	}
}

func respondStatus(status int) handler {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
}

// closeConnection closes the connection after the request has arrived.
func closeConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// neverRespond blocks until the client gives up.
func neverRespond(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// respondTruncated sends less than the announced length and no complete JSON value.
func respondTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte(`{"state":"done"`))
}

// fastOptions has a short backoff. The call timeout is far above what a busy machine needs,
// so that only an unresponsive server exceeds it.
var fastOptions = Options{CallTimeout: time.Second, MinBackoff: time.Millisecond, MaxBackoff: 2 * time.Millisecond, MaxTries: 4, Seed: 1}

func newClient(t *testing.T, addresses ...string) *Client {
	c, err := New(addresses, fastOptions)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(c.Close)
	return c
}

// refusedAddress returns an address on which nothing listens.
func refusedAddress(t *testing.T) string {
	s := httptest.NewServer(nil)
	s.Close()
	return s.URL
}

var (
	submitRequest = api.SubmitRequest{Caller: "bank", Key: "k1", Kind: "draft"}
	respondDone   = respond(api.RequestStatus{State: api.StateDone})
)

// Guards against a resend that could run work twice, a missing resend that loses the
// outcome, and an error that claims more than the failed tries prove.
func TestResendRules(t *testing.T) {
	submit := func(c *Client) error { _, err := c.Submit(t.Context(), submitRequest); return err }
	apply := func(c *Client) error { _, err := c.Apply(t.Context(), api.ApplyRequest{}); return err }
	cancel := func(c *Client) error {
		_, err := c.Cancel(t.Context(), api.RequestKey{Caller: "bank", Key: "k1"}, "draft", 0)
		return err
	}
	status := func(c *Client) error { _, err := c.Status(t.Context()); return err }
	drain := func(c *Client) error { return c.Drain(t.Context(), "vm1") }
	unavailable := respondError(api.Error{Code: api.CodeUnavailable, NotRun: true})
	unknown := respondError(api.Error{Code: api.CodeUnknownResult})
	overloaded := respondError(api.Error{Code: api.CodeOverloaded, NotRun: true})
	for _, test := range []struct {
		about    string
		call     func(*Client) error
		handlers []handler
		tries    int
		code     api.ErrorCode // "" for success, "unreachable" for UnreachableError
	}{
		{"unavailable is retried", submit, []handler{unavailable, respondDone}, 2, ""},
		{"unavailable is retried for drain", drain, []handler{unavailable, respondDone}, 2, ""},
		{"number of tries is limited", submit, []handler{unavailable}, 4, api.CodeUnavailable},
		{"submit is resent after a closed connection", submit, []handler{closeConnection, respondDone}, 2, ""},
		{"submit is resent after a timeout", submit, []handler{neverRespond, respondDone}, 2, ""},
		{"submit is resent after a truncated response", submit, []handler{respondTruncated, respondDone}, 2, ""},
		{"submit is resent after a corrupt answer", submit, []handler{respond(api.RequestStatus{Answer: []byte("x"), AnswerDigest: "00"}), respondDone}, 2, ""},
		{"submit is resent after unknown result", submit, []handler{unknown, respondDone}, 2, ""},
		{"submit is resent after a 502 of a load balancer", submit, []handler{respondStatus(502), respondDone}, 2, ""},
		{"apply is resent after a closed connection", apply, []handler{closeConnection, respondDone}, 2, ""},
		{"cancel is resent after a closed connection", cancel, []handler{closeConnection, respondDone}, 2, ""},
		{"read is resent after a closed connection", status, []handler{closeConnection, respondDone}, 2, ""},
		{"drain is not resent after a closed connection", drain, []handler{closeConnection, respondDone}, 1, api.CodeUnknownResult},
		{"drain is not resent after a timeout", drain, []handler{neverRespond, respondDone}, 1, api.CodeUnknownResult},
		{"drain is not resent after a 503 of a load balancer", drain, []handler{respondStatus(503), respondDone}, 1, api.CodeUnknownResult},
		{"a refusal is final", submit, []handler{overloaded, respondDone}, 1, api.CodeOverloaded},
		{"a refusal after a closed connection proves nothing", submit, []handler{closeConnection, overloaded}, 2, api.CodeUnknownResult},
		{"unavailable after a closed connection proves nothing", submit, []handler{closeConnection, unavailable}, 4, api.CodeUnknownResult},
		{"a bad request is refused in every copy", submit, []handler{closeConnection, respondError(api.Error{Code: api.CodeBadRequest})}, 2, api.CodeBadRequest},
		{"all connections closed", apply, []handler{closeConnection}, 4, api.CodeUnknownResult},
		{"all connections closed on a read", status, []handler{closeConnection}, 4, "unreachable"},
		{"internal error of a submit", submit, []handler{respondError(api.Error{Code: api.CodeInternal})}, 1, api.CodeUnknownResult},
		{"untyped 404", status, []handler{respondStatus(404)}, 1, api.CodeNotFound},
	} {
		t.Run(test.about, func(t *testing.T) {
			c, s := qt.New(t), newStubServer(t, test.handlers...)
			err := test.call(newClient(t, s.URL))
			tries := s.requests()
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

// Guards against a client that keeps calling a VM that is down, unresponsive or unavailable.
func TestTriesAddressesInTurn(t *testing.T) {
	c, good := qt.New(t), newStubServer(t, respondDone)
	for _, bad := range []string{refusedAddress(t), newStubServer(t, neverRespond).URL, newStubServer(t, respondError(api.Error{Code: api.CodeUnavailable})).URL} {
		client := newClient(t, bad, good.URL)
		before := len(good.requests())
		for range 2 {
			c.Assert(func() error { _, err := client.Submit(t.Context(), submitRequest); return err }(), qt.IsNil)
		}
		c.Assert(len(good.requests())-before, qt.Equals, 2)
		c.Assert(client.preferred.Load(), qt.Equals, int64(1))
	}
	unreachableClient := newClient(t, refusedAddress(t))
	for _, call := range []func() error{
		func() error { return unreachableClient.Drain(t.Context(), "") },
		func() error { _, err := unreachableClient.Submit(t.Context(), submitRequest); return err },
	} {
		var unreachable *UnreachableError
		c.Assert(errors.As(call(), &unreachable), qt.IsTrue)
	}
}

// Guards against a client that retries after the context of the call has ended.
func TestContextEndsTries(t *testing.T) {
	s := newStubServer(t, respondError(api.Error{Code: api.CodeUnavailable, RetryAfterMillis: 60000}))
	c, err := New([]string{s.URL}, Options{MinBackoff: time.Minute, MaxBackoff: time.Minute})
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	start := time.Now()
	_, err = c.Status(ctx)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, time.Since(start) < 10*time.Second, qt.IsTrue)
	qt.Assert(t, s.requests(), qt.HasLen, 1)
}

// Guards against a path or query that the server does not serve, and against names that are
// not escaped.
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
		s := newStubServer(t, respond(nil))
		call(newClient(t, s.URL))
		qt.Check(t, s.requests(), qt.DeepEquals, []string{want})
	}
}

// Guards against a client that waits for a timeout on each of its unresponsive idle
// connections although new connections work.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	var mu sync.Mutex
	connections, established := make(map[string]bool), false
	var firstCalls sync.WaitGroup // blocks the first calls until each has its own connection
	firstCalls.Add(8)
	s := newStubServer(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		wasEstablished, isUnresponsive := established, established && connections[r.RemoteAddr]
		if !established {
			connections[r.RemoteAddr] = true
		}
		mu.Unlock()
		if isUnresponsive {
			neverRespond(w, r)
		}
		if !wasEstablished {
			firstCalls.Done()
			firstCalls.Wait()
		}
		respondDone(w, r)
	})
	c := newClient(t, s.URL)
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { _, _ = c.Submit(t.Context(), submitRequest) })
	}
	calls.Wait()
	mu.Lock()
	established = true
	mu.Unlock()
	qt.Assert(t, connections, qt.HasLen, 8)
	before := len(s.requests())
	_, err := c.Submit(t.Context(), submitRequest)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(s.requests())-before, qt.Equals, 2)
}

// Guards against a long wait in a single call, a wait that ends early, and an error that
// hides that the request was accepted.
func TestLongWaitIsSplit(t *testing.T) {
	queued := respond(api.RequestStatus{State: api.StateQueued})
	s := newStubServer(t, queued, queued, respondDone)
	r := submitRequest
	r.WaitMillis = 12000
	status, err := newClient(t, s.URL).Submit(t.Context(), r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.State, qt.Equals, api.StateDone)
	tries := s.requests()
	qt.Assert(t, tries[0], qt.Contains, `"wait_ms":5000`)
	qt.Assert(t, tries[1:], qt.DeepEquals, []string{"GET /v1/requests/bank/k1?kind=draft&wait_ms=5000 ", "GET /v1/requests/bank/k1?kind=draft&wait_ms=2000 "})

	s = newStubServer(t, queued, respondError(api.Error{Code: api.CodeNotFound}))
	status, err = newClient(t, s.URL).Submit(t.Context(), r)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, status.State, qt.Equals, api.StateQueued)
}

// Guards against a backoff that does not grow, exceeds its bound or is the same for all
// clients, and against resends after the server has dropped the record of the key.
func TestBackoffBounds(t *testing.T) {
	backoffs := make(map[time.Duration]bool)
	for seed := range uint64(20) {
		c, err := New([]string{"vm1:80"}, Options{MinBackoff: 100 * time.Millisecond, MaxBackoff: time.Second, MaxElapsed: time.Hour, Seed: seed + 1})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.opts.MaxElapsed, qt.Equals, maxElapsed)
		for round, bound := range map[int]time.Duration{1: 100 * time.Millisecond, 3: 400 * time.Millisecond, 40: time.Second} {
			d := c.backoff(round)
			qt.Check(t, d >= bound/2 && d <= bound, qt.IsTrue, qt.Commentf("%d: %v", round, d))
			backoffs[d] = true
		}
	}
	qt.Assert(t, len(backoffs) > 40, qt.IsTrue)
}

func TestBadArguments(t *testing.T) {
	for _, addresses := range [][]string{nil, {""}, {"ftp://x"}, {"http://"}} {
		_, err := New(addresses, Options{})
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", addresses))
	}
	_, err := newClient(t, refusedAddress(t)).Submit(t.Context(), api.SubmitRequest{Caller: "bank"})
	qt.Assert(t, err, qt.ErrorMatches, "bad_request: key: must not be empty")
}
