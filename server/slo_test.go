package server

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/standin"
)

// sloCounts returns the good and bad samples of each objective.
func sloCounts(c *qt.C, vm *testVM) map[string][2]uint64 {
	var report api.SLOReport
	waitFor(c, "a report", formationBound, func() bool { return getJSON(vm.url()+"/v1/slo", &report) == nil })
	c.Assert(report.VMs, qt.DeepEquals, []string{vm.settings.VM})
	out := map[string][2]uint64{}
	for _, o := range report.Objectives {
		out[o.Objective] = [2]uint64{o.Good, o.Bad}
	}
	return out
}

func startWorker(c *qt.C, vm *testVM) {
	w, err := standin.Start(standin.Config{
		Worker: "w1", Pool: "drafters", Rack: "r1", FailureDomain: "n1", Region: "north",
		Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 65536}, Slots: 8, Connections: 64,
		Entries: []string{vm.url()}, Journal: filepath.Join(c.TempDir(), "journal"), Log: zap.NewNop(),
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(w.Close)
}

// Guards against outcomes that the burn report misses or counts twice, against samples
// lost by a restart, and against a damaged file that stops the VM.
func TestSLOCountsOutcomesAndSurvivesRestart(t *testing.T) {
	c := qt.New(t)
	settings := threeVMs(c)[0]
	settings.Peers = nil
	settings.SLO = []string{"wait:drafting:urgent:2.2s:99.9", "answer:*:*:99.9", "share:maps:99", "spread:13s:99.9"}
	vm := startVM(c, settings)
	tables := api.Tables{
		Routes: []api.Route{{Name: "drafting", Pool: "drafters", Aliases: []string{"draft"}}, {Name: "timing", Pool: "timers"}},
		Pools:  []api.Pool{{Name: "drafters", Home: "north"}, {Name: "timers", Home: "north"}},
	}
	waitFor(c, "tables in force", formationBound, func() bool {
		var resp api.ApplyResponse
		code, err := postJSON(vm.url()+"/v1/tables/apply", api.ApplyRequest{ChangeID: fmt.Sprint("c", time.Now().UnixNano()), Tables: tables}, &resp)
		return err == nil && code == http.StatusOK && resp.Accepted
	})
	startWorker(c, vm)
	urgent := api.SubmitRequest{Caller: "bank", Key: "k1", Kind: "draft", Class: api.ClassUrgent, Resources: api.Resources{MilliCPU: 100, MemoryMB: 10}, WaitMillis: 20_000}
	expiring := api.SubmitRequest{Caller: "bank", Key: "k2", Kind: "timing", Team: "maps", Resources: urgent.Resources, DeadlineMillis: 100, WaitMillis: 20_000}
	for _, x := range []struct {
		request api.SubmitRequest
		want    api.State
	}{{urgent, api.StateDone}, {urgent, api.StateDone}, {expiring, api.StateNotRun}} {
		var st api.RequestStatus
		code, err := postJSON(vm.url()+"/v1/requests", x.request, &st)
		c.Assert(err, qt.IsNil)
		c.Assert(code, qt.Equals, http.StatusOK)
		c.Assert(st.State, qt.Equals, x.want, qt.Commentf("%+v", st))
	}
	c.Assert(getJSON(vm.url()+"/v1/requests/bank/k1?kind=drafting", nil), qt.IsNil)
	want := map[string][2]uint64{
		settings.SLO[0]: {1, 0}, settings.SLO[1]: {2, 0}, settings.SLO[2]: {0, 1}, settings.SLO[3]: {1, 0},
	}
	c.Assert(sloCounts(c, vm), qt.DeepEquals, want)

	vm.halt(c)
	vm = startVM(c, settings)
	c.Assert(sloCounts(c, vm), qt.DeepEquals, want)

	vm.halt(c)
	file := filepath.Join(settings.DataDir, sloFile)
	c.Assert(os.WriteFile(file, []byte("damaged by a test"), 0o600), qt.IsNil)
	vm = startVM(c, settings)
	for objective, n := range sloCounts(c, vm) {
		c.Check(n, qt.Equals, [2]uint64{}, qt.Commentf("%s", objective))
	}
	vm.halt(c)
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Not(qt.Equals), "damaged by a test")
}
