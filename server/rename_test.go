package server

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// startSingleVM starts a VM that forms a cluster of its own, with tables in force.
func startSingleVM(c *qt.C, tables api.Tables) *testVM {
	settings := threeVMs(c)[0]
	settings.Peers = map[string]string{settings.VM: settings.PeerAddress}
	vm := startVM(c, settings)
	applyTables(c, vm, tables)
	return vm
}

// applyTables replaces the tables in force. It waits until the VM can accept a change.
func applyTables(c *qt.C, vm *testVM, tables api.Tables) {
	c.Helper()
	waitFor(c, "tables in force", formationTimeout, func() bool {
		var inForce api.Tables
		var resp api.ApplyResponse
		if getJSON(vm.url()+"/v1/tables", &inForce) != nil {
			return false
		}
		change := api.ApplyRequest{ChangeID: fmt.Sprint("c", time.Now().UnixNano()), BaseVersion: inForce.Version, Tables: tables}
		code, err := postJSON(vm.url()+"/v1/tables/apply", change, &resp)
		return err == nil && code == http.StatusOK && resp.Accepted
	})
}

// submitOverHTTP submits a request and returns its status, or the error of the response.
func submitOverHTTP(c *qt.C, vm *testVM, r api.SubmitRequest) (api.RequestStatus, api.Error) {
	c.Helper()
	var body struct {
		api.RequestStatus
		Code   api.ErrorCode `json:"code"`
		NotRun bool          `json:"not_run"`
	}
	_, err := postJSON(vm.url()+"/v1/requests", r, &body)
	c.Assert(err, qt.IsNil)
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
	st, _ := submitOverHTTP(c, vm, request)
	c.Assert(st.State, qt.Equals, api.StateDone)

	applyTables(c, vm, api.Tables{Pools: pools, Routes: []api.Route{{Name: "drawing", Pool: "drafters", Aliases: []string{"drafting"}}}})
	renamed := request
	renamed.Kind = "drawing"
	for _, r := range []api.SubmitRequest{request, renamed} {
		st, err := submitOverHTTP(c, vm, r)
		c.Check(st.State, qt.Equals, api.StateDone, qt.Commentf("kind %s: %+v", r.Kind, err))
		c.Check(st.Attempt, qt.Equals, 1)
	}

	applyTables(c, vm, api.Tables{Pools: pools, Routes: []api.Route{{Name: "drawing", Pool: "drafters"}}})
	_, err := submitOverHTTP(c, vm, request)
	c.Check(err, qt.Equals, api.Error{Code: api.CodeNoRoute})
	c.Check(getJSON(vm.url()+"/v1/requests/bank/k1?kind=drafting", &st), qt.IsNil)
	c.Check(st.State, qt.Equals, api.StateDone)
	_, err = submitOverHTTP(c, vm, renamed)
	c.Check(err, qt.Equals, api.Error{Code: api.CodeKeyReused})
}
