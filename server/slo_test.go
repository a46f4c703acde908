package server

import (
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/standin"
)

// waitForSLO waits until the report of vm includes the data of 2 VMs and has the expected numbers
// of good and bad samples, by objective.
func waitForSLO(c *qt.C, vm *testVM, want map[string][2]uint64) {
	c.Helper()
	got := map[string][2]uint64{}
	var report api.SLOReport
	c.Cleanup(func() {
		if c.Failed() {
			c.Logf("last report: %v, missing VMs %v, want %v", got, report.Missing, want)
		}
	})
	waitFor(c, "the samples of both VMs", formationTimeout, func() bool {
		report = api.SLOReport{}
		if getJSON(vm.url()+"/v1/slo", &report) != nil {
			return false
		}
		for _, o := range report.Objectives {
			got[o.Objective] = [2]uint64{o.Good, o.Bad}
		}
		return len(report.VMs) == 2 && maps.Equal(got, want)
	})
}

// startStandinWorker starts a stand-in worker that announces itself to vm.
func startStandinWorker(c *qt.C, vm *testVM) {
	w, err := standin.Start(standin.Config{
		Worker: "w1", Pool: "drafters", Rack: "r1", FailureDomain: "n1", Region: "north",
		Capacity: api.Resources{MilliCPU: 32000, MemoryMB: 65536}, Slots: 8, Connections: 64,
		Entries: []string{vm.url()}, Journal: filepath.Join(c.TempDir(), "journal"), Log: zap.NewNop(),
	})
	c.Assert(err, qt.IsNil)
	c.Cleanup(w.Close)
}

// waitForTables waits until a restarted VM has applied the tables again.
func waitForTables(c *qt.C, vm *testVM) {
	waitFor(c, "the tables after a restart", formationTimeout, func() bool {
		var tables api.Tables
		return getJSON(vm.url()+"/v1/tables", &tables) == nil && tables.Version > 0
	})
}

// Guards against outcomes that the SLO report misses or counts twice, a report with the data of
// one VM only, samples that are lost at a restart, and a corrupt file that prevents a start. The
// second VM has no disk.
func TestSLOCountsOutcomesAndSurvivesRestart(t *testing.T) {
	c := qt.New(t)
	settings := threeVMs(c)[:2]
	objectives := []string{"wait:drafting:urgent:2.2s:99.9", "answer:*:*:99.9", "share:maps:99", "spread:13s:99.9"}
	for i := range settings {
		delete(settings[i].Peers, "vm3")
		settings[i].SLO = objectives
	}
	settings[1].DataDir = ""
	vm, diskless := startVM(c, settings[0]), startVM(c, settings[1])
	tables := api.Tables{
		Routes: []api.Route{{Name: "drafting", Pool: "drafters", Aliases: []string{"draft"}}, {Name: "timing", Pool: "timers"}},
		Pools:  []api.Pool{{Name: "drafters", Home: "north"}, {Name: "timers", Home: "north"}},
	}
	applyTables(c, vm, tables)
	waitForSLO(c, vm, map[string][2]uint64{objectives[0]: {}, objectives[1]: {}, objectives[2]: {}, objectives[3]: {2, 0}})
	startStandinWorker(c, vm)
	urgent := api.SubmitRequest{Caller: "bank", Key: "k1", Kind: "draft", Class: api.ClassUrgent, Resources: api.Resources{MilliCPU: 100, MemoryMB: 10}, WaitMillis: 20_000}
	second := urgent
	second.Key = "k3"
	expiring := api.SubmitRequest{Caller: "bank", Key: "k2", Kind: "timing", Team: "maps", Resources: urgent.Resources, DeadlineMillis: 100, WaitMillis: 20_000}
	for _, x := range []struct {
		entry   *testVM
		request api.SubmitRequest
		want    api.State
	}{{vm, urgent, api.StateDone}, {vm, urgent, api.StateDone}, {diskless, second, api.StateDone}, {vm, expiring, api.StateNotRun}} {
		var st api.RequestStatus
		code, err := postJSON(x.entry.url()+"/v1/requests", x.request, &st)
		c.Assert(err, qt.IsNil)
		c.Assert(code, qt.Equals, http.StatusOK)
		c.Assert(st.State, qt.Equals, x.want, qt.Commentf("%+v", st))
	}
	c.Assert(getJSON(vm.url()+"/v1/requests/bank/k1?kind=drafting", nil), qt.IsNil)
	want := map[string][2]uint64{objectives[0]: {2, 0}, objectives[1]: {3, 0}, objectives[2]: {0, 1}, objectives[3]: {2, 0}}
	waitForSLO(c, diskless, want)

	vm.shutDown(c)
	vm = startVM(c, settings[0])
	waitForTables(c, vm)
	waitForSLO(c, vm, want)

	vm.shutDown(c)
	file := filepath.Join(settings[0].DataDir, sloFileName)
	c.Assert(os.WriteFile(file, []byte("corrupted by a test"), 0o600), qt.IsNil)
	vm = startVM(c, settings[0])
	waitForTables(c, vm)
	waitForSLO(c, vm, map[string][2]uint64{objectives[0]: {1, 0}, objectives[1]: {1, 0}, objectives[2]: {}, objectives[3]: {1, 0}})
	vm.shutDown(c)
	data, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(string(data), qt.Not(qt.Equals), "corrupted by a test")
}
