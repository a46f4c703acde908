package server

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
)

// startSingleVM starts a VM that forms a cluster of its own, with tables in force.
func startSingleVM(c *qt.C, tables api.Tables) *testVM {
	settings := threeVMs(c)[0]
	settings.Peers = map[string]string{settings.VM: settings.PeerAddress}
	vm := startVM(c, settings)
	applyTables(c, vm, tables)
	return vm
}

// applyTables replaces the tables in force and returns the response. It waits until the VM can accept a change.
func applyTables(c *qt.C, vm *testVM, tables api.Tables) (resp api.ApplyResponse) {
	c.Helper()
	waitFor(c, "tables in force", formationTimeout, func() bool {
		var inForce api.Tables
		resp = api.ApplyResponse{}
		if getJSON(vm.url()+"/v1/tables", &inForce) != nil {
			return false
		}
		change := api.ApplyRequest{ChangeID: fmt.Sprint("c", time.Now().UnixNano()), BaseVersion: inForce.Version, Tables: tables}
		code, err := postJSON(vm.url()+"/v1/tables/apply", change, &resp)
		return err == nil && code == http.StatusOK && resp.Accepted
	})
	waitFor(c, "tables applied on the VM", propagationLimit, func() bool {
		var inForce api.Tables
		return getJSON(vm.url()+"/v1/tables", &inForce) == nil && inForce.Version == resp.Version
	})
	return resp
}

// submitOverHTTP submits a request and returns its status, or the error of the response. Like a caller it tries again
// while the partition has no owner.
func submitOverHTTP(c *qt.C, vm *testVM, r api.SubmitRequest) (api.RequestStatus, api.Error) {
	c.Helper()
	type response struct {
		api.RequestStatus
		Code   api.ErrorCode `json:"code"`
		NotRun bool          `json:"not_run"`
	}
	var body response
	waitFor(c, "an answer of the owner", formationTimeout, func() bool {
		body = response{}
		_, err := postJSON(vm.url()+"/v1/requests", r, &body)
		c.Assert(err, qt.IsNil)
		return body.Code != api.CodeUnavailable && body.Code != api.CodeUnknownResult
	})
	return body.RequestStatus, api.Error{Code: body.Code, NotRun: body.NotRun}
}

// Guards against a caller who sends a request again and is told that its work did not run, or runs it a second time,
// because its route was renamed meanwhile.
func TestResendAfterRenameOverHTTP(t *testing.T) {
	c := qt.New(t)
	pools := []api.Pool{{Name: "drafters", Home: "north"}}
	vm := startSingleVM(c, api.Tables{Pools: pools, Routes: []api.Route{{Name: "drafting", Pool: "drafters"}}})
	startStandinWorker(c, vm)
	request := api.SubmitRequest{Caller: "bank", Key: "k1", Kind: "drafting", Resources: api.Resources{MilliCPU: 100, MemoryMB: 10}, WaitMillis: 20_000}
	st, err := submitOverHTTP(c, vm, request)
	c.Assert(st.State, qt.Equals, api.StateDone, qt.Commentf("%+v", err))

	applyTables(c, vm, api.Tables{Pools: pools, Routes: []api.Route{{Name: "drawing", Pool: "drafters", Aliases: []string{"drafting"}}}})
	renamed := request
	renamed.Kind = "drawing"
	for _, r := range []api.SubmitRequest{request, renamed} {
		st, err := submitOverHTTP(c, vm, r)
		c.Check(st.State, qt.Equals, api.StateDone, qt.Commentf("kind %s: %+v", r.Kind, err))
		c.Check(st.Attempt, qt.Equals, 1)
	}

	applyTables(c, vm, api.Tables{Pools: pools, Routes: []api.Route{{Name: "drawing", Pool: "drafters"}}})
	_, err = submitOverHTTP(c, vm, request)
	c.Check(err, qt.Equals, api.Error{Code: api.CodeNoRoute})
	c.Check(getJSON(vm.url()+"/v1/requests/bank/k1?kind=drafting", &st), qt.IsNil)
	c.Check(st.State, qt.Equals, api.StateDone)
	_, err = submitOverHTTP(c, vm, renamed)
	c.Check(err, qt.Equals, api.Error{Code: api.CodeKeyReused})
}

// problemsOfKind returns the problems of a kind in a list.
func problemsOfKind(kind string, list []api.Problem) []api.Problem {
	return slices.DeleteFunc(list, func(p api.Problem) bool { return p.Kind != kind })
}

// Guards against an accepted request that waits for good, unknown to its caller and the operator, in a pool without workers
// that its route no longer names.
func TestWaitingRequestAfterCorrectionOverHTTP(t *testing.T) {
	c := qt.New(t)
	tables := func(route, pool string, pools ...string) api.Tables {
		t := api.Tables{Routes: []api.Route{{Name: route, Pool: pool}}}
		for _, name := range pools {
			t.Pools = append(t.Pools, api.Pool{Name: name, Home: "north"})
		}
		return t
	}
	vm := startSingleVM(c, tables("drafting", "slow", "drafters", "slow"))
	startStandinWorker(c, vm)
	request := api.SubmitRequest{Caller: "bank", Key: "q1", Kind: "drafting", Resources: api.Resources{MilliCPU: 100, MemoryMB: 10}}
	st, err := submitOverHTTP(c, vm, request)
	c.Assert(st.State, qt.Equals, api.StateQueued, qt.Commentf("%+v", err))
	var explanation api.Explanation
	c.Assert(getJSON(vm.url()+"/v1/explain?caller=bank&key=q1&kind=drafting", &explanation), qt.IsNil)
	c.Check(explanation.WaitsFor, qt.Contains, "slow")

	// The route is removed: check and apply warn of it, and the problem is listed until it is solved.
	const problem = control.ProblemWaitingWithoutRoute
	without := tables("timing", "drafters", "drafters")
	var warnings, listed []api.Problem
	_, e := postJSON(vm.url()+"/v1/tables/check", without, &warnings)
	c.Assert(e, qt.IsNil)
	warnings = problemsOfKind(problem, warnings)
	c.Assert(warnings, qt.HasLen, 1)
	c.Check(warnings[0].Message, qt.Contains, ": 1")
	response := applyTables(c, vm, without)
	c.Check(problemsOfKind(problem, response.Problems), qt.HasLen, 1)
	waitFor(c, "the problem is listed", propagationLimit, func() bool {
		c.Assert(getJSON(vm.url()+"/v1/problems", &listed), qt.IsNil)
		return len(problemsOfKind(problem, listed)) == 1
	})
	c.Assert(getJSON(vm.url()+"/v1/explain?caller=bank&key=q1&kind=drafting", &explanation), qt.IsNil)
	c.Check(explanation.WaitsFor, qt.Contains, "drafting")

	// The route comes back with the pool that has a worker.
	applyTables(c, vm, tables("drafting", "drafters", "drafters"))
	waitFor(c, "the request is done", formationTimeout, func() bool {
		c.Assert(getJSON(vm.url()+"/v1/requests/bank/q1?kind=drafting", &st), qt.IsNil)
		return st.State == api.StateDone
	})
	c.Check(st.Attempt, qt.Equals, 1)
	c.Assert(getJSON(vm.url()+"/v1/problems", &listed), qt.IsNil)
	c.Check(problemsOfKind(problem, listed), qt.HasLen, 0)
}
