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

// testVM is a daemon that runs in the test process.
type testVM struct {
	settings Settings
	stop     context.CancelFunc // nil after shutDown
	done     chan error
}

func (v *testVM) url() string { return "http://" + v.settings.HTTPAddress }

// freeAddress returns a loopback address whose port was free when it was chosen.
func freeAddress(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

// threeVMs returns the settings of three VMs with disks, in three failure domains and two
// regions.
func threeVMs(c *qt.C) []Settings {
	locations := [][2]string{{"north", "n1"}, {"north", "n2"}, {"south", "s1"}}
	peers := map[string]string{}
	var out []Settings
	for i, location := range locations {
		s := Settings{
			VM: fmt.Sprintf("vm%d", i+1), Region: location[0], FailureDomain: location[1], LogLevel: "info",
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

// startVM runs a daemon and shuts it down at the end of the test.
func startVM(c *qt.C, settings Settings) *testVM {
	s, err := New(settings, zap.NewNop())
	c.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	vm := &testVM{settings: settings, stop: stop, done: make(chan error, 1)}
	go func() { vm.done <- s.Run(ctx) }()
	c.Cleanup(func() { vm.shutDown(c) })
	return vm
}

// shutDown stops the daemon and checks that Run returns no error. Later calls do nothing.
func (v *testVM) shutDown(c *qt.C) {
	if v.stop == nil {
		return
	}
	v.stop()
	v.stop = nil
	c.Check(<-v.done, qt.IsNil)
}

// waitFor polls until the condition holds, and fails the test after timeout.
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

// getJSON decodes the response to a GET into out, unless out is nil. A status other than 2xx is
// an error.
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

// postJSON returns the status of a POST and decodes the response into out, unless out is nil.
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

// formationTimeout allows for the start of three processes and for the join and promotion of two
// VMs. Each join and promotion takes a few heartbeats and one reconciliation.
const formationTimeout = 20 * time.Second

// propagationLimit is the guaranteed time until a change is in force on all VMs while all are
// connected (G8).
const propagationLimit = 3 * time.Second

// Guards against a cluster that does not form from empty data folders, and against a change that
// is accepted but does not propagate to every VM within propagationLimit.
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
	waitFor(c, "the change on all VMs", propagationLimit, func() bool {
		for _, vm := range vms {
			var tables api.Tables
			if getJSON(vm.url()+"/v1/tables", &tables) != nil || tables.Version != resp.Version {
				return false
			}
		}
		return true
	})
}
