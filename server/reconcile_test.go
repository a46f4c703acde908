package server

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/control"
	"github.com/oleanderchute/oleanderchute/raft"
)

func ids(names ...raft.NodeID) []raft.NodeID { return names }

// apply carries a change out.
func apply(m raft.Membership, ch raft.Change) raft.Membership {
	drop := func(list []raft.NodeID) []raft.NodeID {
		return slices.DeleteFunc(slices.Clone(list), func(id raft.NodeID) bool { return id == ch.ID })
	}
	switch ch.Kind {
	case raft.AddLearner:
		m.Learners = append(slices.Clone(m.Learners), ch.ID)
	case raft.PromoteLearner:
		m.Learners, m.Voters = drop(m.Learners), append(slices.Clone(m.Voters), ch.ID)
	case raft.RemoveMember:
		m.Learners, m.Voters = drop(m.Learners), drop(m.Voters)
	}
	return m
}

// Guards against membership steps that never settle, that pass through fewer than one
// voter below the wanted number, or that promote a successor beside a dead voter.
func TestMembershipChangesSettleStepByStep(t *testing.T) {
	tests := []struct {
		name string
		have raft.Membership
		want wantedMembers
	}{
		{"growth from one", raft.Membership{Voters: ids("a")}, wantedMembers{voters: ids("a", "b", "c"), learners: ids("d")}},
		{"replaced voter", raft.Membership{Voters: ids("a", "b", "c#1")}, wantedMembers{voters: ids("a", "b", "c#2")}},
		{"all replaced", raft.Membership{Voters: ids("a", "b", "c")}, wantedMembers{voters: ids("d", "e", "f")}},
		{"replaced follower", raft.Membership{Voters: ids("a", "b", "c"), Learners: ids("d#1")}, wantedMembers{voters: ids("a", "b", "c"), learners: ids("d#2")}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			m := test.have
			least := min(len(test.have.Voters), len(test.want.voters)-1)
			for range 20 {
				ch, ok := nextChange(m, test.want)
				if !ok {
					break
				}
				m = apply(m, ch)
				c.Assert(len(m.Voters) >= least, qt.IsTrue, qt.Commentf("%v", m))
				c.Assert(len(m.Voters) <= max(3, len(test.want.voters)), qt.IsTrue, qt.Commentf("%v", m))
			}
			_, more := nextChange(m, test.want)
			c.Assert(more, qt.IsFalse)
			c.Assert(sorted(m.Voters), qt.DeepEquals, sorted(test.want.voters))
			c.Assert(sorted(m.Learners), qt.DeepEquals, sorted(test.want.learners))
		})
	}
}

func sorted(list []raft.NodeID) []raft.NodeID {
	return append([]raft.NodeID{}, slices.Sorted(slices.Values(list))...)
}

// Guards against voters that share a region or failure domain while another has none, and
// against a vote for a VM without a disk.
func TestVotersAreSpreadOverRegionsAndFailureDomains(t *testing.T) {
	c := qt.New(t)
	vm := func(name, region, domain string, disk bool) control.VM {
		return control.VM{Name: name, Node: name, Region: region, FailureDomain: domain, HasDisk: disk}
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
