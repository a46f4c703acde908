package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/control"
	"github.com/oleanderchute/oleanderchute/raft"
)

// Guards against voters in the same region or failure domain while another has none, and against
// a voter without a disk.
func TestVotersAreSpreadOverRegionsAndFailureDomains(t *testing.T) {
	c := qt.New(t)
	vm := func(name, region, domain string, disk bool) control.VM {
		return control.VM{Name: name, NodeID: name, Region: region, FailureDomain: domain, HasDisk: disk}
	}
	vms := []control.VM{
		vm("a", "north", "n1", true), vm("b", "north", "n1", true), vm("c", "north", "n2", false),
		vm("d", "north", "n2", true), vm("e", "south", "s1", true),
	}
	names := func(vms []control.VM, current ...raft.NodeID) (out []string) {
		for _, v := range chooseVoters(vms, current, 3) {
			out = append(out, v.Name)
		}
		return out
	}
	c.Assert(names(vms, "a"), qt.DeepEquals, []string{"a", "e", "d"})
	c.Assert(names(vms, "a", "b"), qt.DeepEquals, []string{"a", "b", "e"})
	vms = append(vms, vm("f", "east", "e1", true))
	c.Assert(names(vms), qt.DeepEquals, []string{"a", "e", "f"})
}
