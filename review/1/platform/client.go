package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	routeHost   = "drafts.example"
	serviceName = "desk"
	deadline    = 3 * time.Second
)

// callers is a set of clients and one operator.
type callers struct {
	sys  *system
	rec  *record
	http *http.Client
}

func newCallers(s *system) *callers {
	t := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &callers{s, s.rec, &http.Client{Transport: t}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// do sends one request and returns the status, 0 if no response came in time.
func (c *callers) do(method, addr, host, path string, body any, wait time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var raw []byte
	switch b := body.(type) {
	case nil:
	case []byte:
		raw = b
	default:
		raw, _ = json.Marshal(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	if host != "" {
		req.Host = host
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, out
}

// phase is one step of a job.
type phase struct {
	Count    int   `json:"count"`
	CPU      int64 `json:"cpu"`
	MemMB    int64 `json:"mem_mb"`
	Estimate int64 `json:"estimate_ms"`
}

type jobBody struct {
	Spec        string  `json:"spec"`
	Phases      []phase `json:"phases"`
	Repetitions int     `json:"repetitions,omitempty"`
	StartAt     int64   `json:"start_at_ms,omitempty"`
	Interval    int64   `json:"interval_ms,omitempty"`
}

// call sends a client's request as PROTOCOL.md has it: after no response, a 502 or a 504 the same
// request goes to another entry machine. It returns the last status.
func (c *callers) call(method, path string, body any, tries int) (int, []byte) {
	first := rand.IntN(len(c.sys.entries))
	var status int
	var out []byte
	for try := range tries {
		e := c.sys.entries[(first+try)%len(c.sys.entries)]
		c.rec.add("%s %s to %s, try %d", method, path, e.name, try+1)
		status, out = c.do(method, e.front(), routeHost, path, body, deadline)
		c.rec.add("%s %s answered %d %s", method, path, status, bytes.TrimSpace(out))
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status, out
		}
		time.Sleep(50 * time.Millisecond)
	}
	return status, out
}

// state returns the state of a job, or "" if no answer came or the answer has no state.
func (c *callers) state(path string) (int, string) {
	status, out := c.call(http.MethodGet, path, nil, 2)
	var m struct{ State string }
	_ = json.Unmarshal(out, &m)
	return status, m.State
}

type route struct{ name, prefix string }

func configBody(version int, routes []route) []byte {
	var list []map[string]any
	for _, r := range routes {
		list = append(list, map[string]any{"name": r.name, "host": routeHost, "prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": 1200, "priority": 1, "service": serviceName, "attempts": 4, "slack_factor": 2.2})
	}
	raw, _ := json.Marshal(map[string]any{"version": version, "routes": list,
		"services": []map[string]any{{"name": serviceName, "health_path": "/healthz", "max_conns": 64, "proto": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
	return raw
}

// put sends a configuration to one machine after the other until there is a clear answer.
func (c *callers) put(version int, body []byte, limit time.Duration) int {
	end := time.Now().Add(limit)
	for i := rand.IntN(len(c.sys.keepers)); time.Now().Before(end); i++ {
		k := c.sys.keepers[i%len(c.sys.keepers)]
		c.rec.add("configuration %d to %s", version, k.name)
		status, out := c.do(http.MethodPost, k.control(), "", "/config/put", body, time.Second)
		c.rec.add("configuration %d answered %d %s", version, status, bytes.TrimSpace(out))
		if status == http.StatusOK || status >= 400 && status < 500 && status != 408 && status != 429 {
			return status
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0
}

// awaitReady waits until all entry machines are ready.
func (c *callers) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		ready := 0
		for _, e := range c.sys.entries {
			if status, _ := c.do(http.MethodGet, e.ready(), "", "/readyz", nil, time.Second); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.sys.entries) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
