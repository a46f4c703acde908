package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/standin"
)

// runMainEnv makes the test binary run main instead of the tests.
const runMainEnv = "STANDIN_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func post(c *qt.C, url string, body, response any) {
	raw, err := json.Marshal(body)
	c.Assert(err, qt.IsNil)
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Post(url, "application/json", bytes.NewReader(raw))
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Assert(json.NewDecoder(resp.Body).Decode(response), qt.IsNil)
}

// Guards against a process that ignores its environment variables, that SIGTERM ends while
// a task runs, or that does not exit.
func TestProcessLeavesOnSIGTERM(t *testing.T) {
	c := qt.New(t)
	journal := filepath.Join(t.TempDir(), "journal")
	cmd := exec.Command(os.Args[0], "--worker=w1", "--journal="+journal)
	cmd.Env = append(os.Environ(), runMainEnv+"=1", "OLEANDER_POOL=drafting", "OLEANDER_MILLI_CPU=500")
	logs, err := cmd.StderrPipe()
	c.Assert(err, qt.IsNil)
	c.Assert(cmd.Start(), qt.IsNil)
	defer cmd.Process.Kill()
	lines := bufio.NewScanner(logs)
	waitForLog := func(msg string) (line struct{ Msg, URL string }) {
		for line.Msg != msg && lines.Scan() {
			c.Assert(json.Unmarshal(lines.Bytes(), &line), qt.IsNil)
		}
		c.Assert(line.Msg, qt.Equals, msg)
		return line
	}
	url := waitForLog("incarnation starts").URL

	var state api.SyncResponse
	sync := func(acknowledged ...api.TaskID) {
		post(c, url+"/v1/sync", api.SyncRequest{Partition: "n", Epoch: 1, EchoToken: state.Token, EchoIncarnation: state.Incarnation,
			LeaseMillis: 60_000, Acknowledged: acknowledged}, &state)
	}
	sync()
	id := api.TaskID{RequestKey: api.RequestKey{Caller: "c", Key: "k"}, Attempt: 1}
	var started api.DispatchResponse
	post(c, url+"/v1/tasks", api.DispatchRequest{Task: id, Partition: "n", Epoch: 1, Token: state.Token, Incarnation: state.Incarnation,
		LeaseMillis: 60_000, Body: []byte(`{"run_ms":200}`)}, &started)
	c.Assert(started.State, qt.Equals, api.DispatchStarted)
	c.Assert(cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	waitForLog("leaving")
	for len(state.Ended) == 0 {
		state.Running, state.Ended = nil, nil
		sync()
	}
	c.Assert(state.Ended[0].Kind, qt.Equals, api.EndDone)
	sync(id)
	for lines.Scan() {
	}
	c.Assert(cmd.Wait(), qt.IsNil)
	events, err := standin.ReadJournal(journal)
	c.Assert(err, qt.IsNil)
	c.Assert(events[0].Capacity.MilliCPU, qt.Equals, int64(500))
	violations, err := standin.CheckJournals(nil, journal)
	c.Assert(err, qt.IsNil)
	c.Assert(violations, qt.HasLen, 0)
}
