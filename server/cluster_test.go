package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
)

// testVM is one daemon inside the test process.
type testVM struct {
	settings Settings
	stop     context.CancelFunc
	done     chan error
}

func (v *testVM) url() string { return "http://" + v.settings.HTTPAddress }

// freeAddress returns a loopback address that was free a moment ago.
func freeAddress(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

// threeVMs returns settings of three VMs with disks in three failure domains and two
// regions.
func threeVMs(c *qt.C) []Settings {
	locations := [][2]string{{"north", "n1"}, {"north", "n2"}, {"south", "s1"}}
	peers := map[string]string{}
	var out []Settings
	for i, p := range locations {
		s := Settings{
			VM: fmt.Sprintf("vm%d", i+1), Region: p[0], FailureDomain: p[1], LogLevel: "info",
			HTTPAddress: freeAddress(c), PeerAddress: freeAddress(c), DataDir: c.TempDir(),
			MaxConnections: 512, MaxWaiters: 1000, DrainTimeout: 5 * time.Second, Bootstrap: i == 0,
		}
		peers[s.VM] = s.PeerAddress
		out = append(out, s)
	}
	for i := range out {
		out[i].Peers = peers
	}
	return out
}

func startVM(c *qt.C, settings Settings) *testVM {
	s, err := New(settings, zap.NewNop())
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	vm := &testVM{settings: settings, stop: stop, done: make(chan error, 1)}
	go func() { vm.done <- s.Run(ctx) }()
	c.Cleanup(func() { vm.shutDown(c) })
	return vm
}

func (v *testVM) shutDown(c *qt.C) {
	if v.stop == nil {
		return
	}
	v.stop()
	v.stop = nil
	c.Check(<-v.done, qt.IsNil)
}

// waitFor polls until the condition holds or the bound has passed.
func waitFor(c *qt.C, description string, timeout time.Duration, condition func() bool) {
	c.Helper()
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			c.Fatalf("not within %s: %s", timeout, description)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func getJSON(url string, out any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return fmt.Errorf("%s: %s", url, resp.Status)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

func postJSON(url string, in, out any) (int, error) {
	data, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	resp, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if out == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.NewDecoder(resp.Body).Decode(out)
}

// formationTimeout covers the start of three processes, the join of two VMs and their
// promotion, each of which needs a few heartbeats and one reconciliation.
const formationTimeout = 20 * time.Second

// spreadTimeout is the promise for a change with all VMs connected.
const spreadTimeout = 3 * time.Second

// Guards against a cluster that does not form from empty folders, and against a change
// that is accepted but does not reach every VM within the promise.
func TestClusterFormsAndSpreadsTables(t *testing.T) {
	c := qt.New(t)
	var vms []*testVM
	for _, s := range threeVMs(c) {
		vms = append(vms, startVM(c, s))
	}
	waitFor(c, "three voters that may serve", formationTimeout, func() bool {
		var st api.StatusResponse
		if getJSON(vms[0].url()+"/v1/status", &st) != nil || len(st.VMs) != 3 {
			return false
		}
		for _, vm := range st.VMs {
			if !vm.MayServe || (vm.Role != "leader" && vm.Role != "voter") {
				return false
			}
		}
		return len(st.Partitions) == 2
	})
	change := api.ApplyRequest{ChangeID: "c1", Operator: "op", Tables: api.Tables{
		Routes: []api.Route{{Name: "drafting", Pool: "drafters"}},
		Pools:  []api.Pool{{Name: "drafters", Home: "north"}},
	}}
	var resp api.ApplyResponse
	code, err := postJSON(vms[2].url()+"/v1/tables/apply", change, &resp)
	c.Assert(err, qt.IsNil)
	c.Assert(code, qt.Equals, http.StatusOK, qt.Commentf("%+v", resp))
	c.Assert(resp.Accepted, qt.IsTrue)
	waitFor(c, "the change on all VMs", spreadTimeout, func() bool {
		for _, vm := range vms {
			var tables api.Tables
			if getJSON(vm.url()+"/v1/tables", &tables) != nil || tables.Version != resp.Version {
				return false
			}
		}
		return true
	})
}
