package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	service = "dele69a"
	host    = "novo13.example"
)

// queue is a route of the configuration.
type queue struct {
	name, prefix string
	priority     int
	attempts     int
	targetMillis int
	slack        float64
}

var (
	urgentQueue = queue{"r-urgent", "/volo102/", 0, 3, 400, 1.5}
	normalQueue = queue{"r-normal", "/pule252/", 1, 4, 1200, 2.2}
	batchQueue  = queue{"r-batch", "/pufi791/", 2, 4, 3000, 4}
)

// configOf returns a configuration with the queues.
func configOf(version int, queues ...queue) map[string]any {
	var routes []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.name, "host": host, "prefix": q.prefix, "kind": "unsafe", "timeout_ms": 3000,
			"target_latency_ms": q.targetMillis, "priority": q.priority, "service": service, "attempts": q.attempts, "slack_factor": q.slack})
	}
	return map[string]any{"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 64, "proto": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

// putConfig sends a configuration to one node after the other until it is acknowledged.
func (s *system) putConfig(config map[string]any) error {
	raw, err := json.Marshal(config)
	if err != nil {
		return err
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if status, _, err := s.putConfigOnce(raw); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("the configuration was not acknowledged")
}

// putConfigOnce sends a configuration to one node.
func (s *system) putConfigOnce(raw []byte) (int, []byte, error) {
	m := s.keepers[rand.IntN(len(s.keepers))]
	status, body, err := post(fmt.Sprintf("%s:%d", m.ip, controlPort), "/config/put", raw, time.Second)
	s.rec.add("operator: POST /config/put of %d bytes to %s -> %d %s %v", len(raw), m.name, status, body, err)
	return status, body, err
}

// job is a job of a client.
type job struct {
	id    string
	queue queue
	body  []byte
	key   string // of the tenant, empty if the configuration has none
}

// step is a step of a job.
type step struct {
	Count       int   `json:"count"`
	CPU         int64 `json:"cpu"`
	Memory      int64 `json:"mem_mb"`
	Estimate    int64 `json:"estimate_ms,omitempty"`
	LongRunning bool  `json:"long_running,omitempty"`
	Gang        bool  `json:"gang,omitempty"`
}

func newJob(q queue, s step, taskMillis int) *job {
	spec := fmt.Sprintf("cpu=%d mem=%d ms=%d", s.CPU, s.Memory, taskMillis)
	if s.LongRunning {
		spec = fmt.Sprintf("cpu=%d mem=%d lasting", s.CPU, s.Memory)
	}
	body, err := json.Marshal(map[string]any{"spec": spec, "phases": []step{s}})
	if err != nil {
		panic(err)
	}
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), queue: q, body: body}
}

func (j *job) task(index int) string { return fmt.Sprintf("%s.0.0.%d", j.id, index) }

// call sends a client's request about a job to one entry node.
func (s *system) call(method string, j *job, body []byte) (int, string) {
	m := s.entries[rand.IntN(len(s.entries))]
	status, raw, err := send(method, fmt.Sprintf("%s:%d", m.ip, frontPort), j.queue.prefix+j.id, host, j.key, body, 3*time.Second)
	s.rec.add("client: %s %s to %s -> %d %s %v", method, j.id, m.name, status, raw, err)
	if err != nil {
		return 0, ""
	}
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(raw, &reply)
	return status, reply.State
}

// submit hands a job in and repeats that until it is accepted.
func (s *system) submit(j *job) error {
	for range 20 {
		if status, _ := s.call(http.MethodPost, j, j.body); status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", j.id)
}

// cancel cancels a job and repeats that until it is acknowledged. It returns the status.
func (s *system) cancel(j *job) int {
	for range 40 {
		if status, _ := s.call(http.MethodDelete, j, nil); status == http.StatusOK || status == http.StatusGone {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// waitFor waits until a condition holds.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
