package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
)

// standinCluster is a stub of the entry VMs with a real control state.
type standinCluster struct {
	*httptest.Server
	mu    sync.Mutex
	state *control.State
	// responsesToLose is the number of responses to apply that are lost after the change has
	// taken effect.
	responsesToLose int
	// status is the response to every call about a request.
	status api.RequestStatus
}

func newStandinCluster(t *testing.T) *standinCluster {
	c := &standinCluster{state: control.New()}
	c.state.Apply(1, control.EncodeAssignReplicas(control.Partition{Name: "east", Replicas: []control.Replica{{VM: "vm1", NodeID: "vm1#a"}}}))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/tables", func(w http.ResponseWriter, _ *http.Request) { c.respond(w, c.state.Tables()) })
	mux.HandleFunc("GET /v1/history", func(w http.ResponseWriter, _ *http.Request) { c.respond(w, c.state.History()) })
	mux.HandleFunc("POST /v1/tables/check", func(w http.ResponseWriter, r *http.Request) {
		var tables api.Tables
		_ = json.NewDecoder(r.Body).Decode(&tables)
		c.respond(w, c.state.Check(tables, nil))
	})
	mux.HandleFunc("POST /v1/tables/apply", c.apply)
	mux.HandleFunc("POST /v1/requests", c.submit)
	mux.HandleFunc("/v1/requests/{caller}/{key}", func(w http.ResponseWriter, _ *http.Request) { c.respond(w, c.status) })
	for path, value := range map[string]any{
		"GET /v1/problems": []api.Problem{{Kind: "unknown_kind", Severity: "warning", Subject: "pl\x1b[2Jam", Message: "m", Nearest: "plan", Remedy: "send kind \"plan\"", Count: 3, FirstSeenUnixMillis: 1000, Callers: []string{"ba\x1bnk"}}},
		"GET /v1/workers":  []api.WorkerStatus{{Worker: "w1", Pool: "timing", State: "ready"}, {Worker: "w2", Pool: "other", State: "ready"}},
		"GET /v1/status":   api.StatusResponse{VMs: []api.VMStatus{{VM: "vm1", Role: "leader", MayServe: true}}, Partitions: []api.PartitionStatus{{Partition: "east", Leader: "vm1"}}},
		"GET /v1/explain":  api.Explanation{Caller: "bank", Key: "k1", State: api.StateQueued, WaitsFor: "memory", RuledOut: map[string]int{"memory_mb": 4}},
		"POST /v1/drain":   nil,
	} {
		mux.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) { c.respond(w, value) })
	}
	c.Server = httptest.NewServer(mux)
	t.Cleanup(c.Close)
	return c
}

func (c *standinCluster) respond(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func (c *standinCluster) apply(w http.ResponseWriter, r *http.Request) {
	var request api.ApplyRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.state.Apply(c.state.Index()+1, control.EncodeChange(control.Change{Request: request}))
	if c.responsesToLose > 0 {
		c.responsesToLose--
		panic(http.ErrAbortHandler)
	}
	c.respond(w, result.Response)
}

func (c *standinCluster) submit(w http.ResponseWriter, r *http.Request) {
	var request api.SubmitRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	if _, _, err := c.state.Resolve(request.Kind); err != nil {
		w.WriteHeader(err.Code.HTTPStatus())
		c.respond(w, err)
		return
	}
	c.respond(w, c.status)
}

// runCommand runs one command line.
func runCommand(args ...string) (code int, out, errOut string) {
	var o, e strings.Builder
	code = run(args, streams{in: strings.NewReader(validTables), out: &o, err: &e})
	return code, o.String(), e.String()
}

func writeFile(t *testing.T, content string) string {
	name := filepath.Join(t.TempDir(), "tables.yaml")
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

const validTables = `routes:
  - name: plan
    pool: timing
pools:
  - name: timing
    home: east
`
