package server

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/control"
	"github.com/oleanderchute/oleanderchute/raft"
)

// Guards against a status that counts a VM that has lost its disk as a replica, so that a second VM
// is taken away before the first is replaced.
func TestVMWithNewIdentityIsNoReplicaUntilItVotes(t *testing.T) {
	c := qt.New(t)
	vms := []control.VM{{Name: "vm1", NodeID: "vm1#a"}, {Name: "vm2", NodeID: "vm2#new"}, {Name: "vm3", NodeID: "vm3#a"}}
	c.Assert(vmsWithIdentities(vms, []raft.NodeID{"vm1#a", "vm2#old", "vm3#a"}), qt.DeepEquals, []string{"vm1", "vm3"})
	c.Assert(vmsWithIdentities(vms, []raft.NodeID{"vm1#a", "vm3#a", "vm2#new"}), qt.DeepEquals, []string{"vm1", "vm2", "vm3"})
}
