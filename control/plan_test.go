package control

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func newTestVM(name, region, domain string, hasDisk bool) VM {
	return VM{Name: name, NodeID: name + "#1", Region: region, FailureDomain: domain, HasDisk: hasDisk}
}

func replicaVMs(p Partition) (out []string) {
	for _, r := range p.Replicas {
		out = append(out, r.VM)
	}
	return out
}

// TestPlanPartitions guards against plans that put replicas on the wrong VMs, move good
// replicas or give up lost ones that cannot be replaced.
func TestPlanPartitions(t *testing.T) {
	east := []VM{newTestVM("e1", "east", "d1", true), newTestVM("e2", "east", "d1", true), newTestVM("e3", "east", "d1", true), newTestVM("e4", "east", "d2", true)}
	west := []VM{newTestVM("w1", "west", "d3", true), newTestVM("w2", "west", "d3", false)}
	restarted := slices.Clone(east) // e1 has restarted with an empty disk
	restarted[0].NodeID = "e1#2"
	assigned := func(names ...string) []Partition {
		p := Partition{Name: "east"}
		for _, n := range names {
			p.Replicas = append(p.Replicas, Replica{VM: n, NodeID: n + "#1"})
		}
		return []Partition{p}
	}
	for _, test := range []struct {
		name     string
		vms      []VM
		existing []Partition
		want     map[string][]string
	}{
		{"spread over failure domains", east, nil, map[string][]string{"east": {"e1", "e2", "e4"}}},
		{"use other regions only if needed", append(west, east...), nil, map[string][]string{"east": {"e1", "e2", "e4"}, "west": {"e1", "e4", "w1"}}},
		{"too few disks", west, nil, map[string][]string{"west": {"w1"}}},
		{"no disk", west[1:], nil, map[string][]string{}},
		{"keep a good assignment", east, assigned("e2", "e3", "e4"), map[string][]string{"east": {"e2", "e3", "e4"}}},
		{"move a replica out of a shared failure domain", east, assigned("e1", "e2", "e3"), map[string][]string{"east": {"e2", "e3", "e4"}}},
		{"move replicas to the home region one at a time", append(west, east...), assigned("e1", "w1", "e2"), map[string][]string{"east": {"e1", "e2", "e4"}, "west": {"e1", "e4", "w1"}}},
		{"replace one lost VM of two", east[1:], assigned("e1", "e2", "x"), map[string][]string{"east": {"e2", "e4", "x"}}},
		{"replace a VM with an empty disk", restarted, assigned("e1", "e2", "e4"), map[string][]string{"east": {"e1", "e2", "e4"}}},
		{"keep a lost replica without replacement", east[:2], assigned("e1", "e2", "x"), map[string][]string{"east": {"e1", "e2", "x"}}},
		{"remove a surplus replica", east, assigned("e1", "e2", "e3", "e4"), map[string][]string{"east": {"e2", "e3", "e4"}}},
		{"region without VMs", nil, assigned("e1"), map[string][]string{"east": {"e1"}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := map[string][]string{}
			for _, p := range PlanPartitions(test.vms, test.existing) {
				got[p.Name] = replicaVMs(p)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
	plan := PlanPartitions(restarted, assigned("e1", "e2", "e4"))
	qt.Assert(t, plan[0].Replicas[0].NodeID, qt.Equals, "e1#2")
}

// TestPlanConverges guards against plans that move more than one replica of a partition at
// a time, that never converge, or that needlessly converge on VMs of other regions or on
// too few failure domains.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRapidC(t)
		drawVMs := func(label string) (vms []VM) {
			for i := range rapid.IntRange(1, 9).Draw(t, label) {
				domain := rapid.IntRange(1, 6).Draw(t, "domain")
				vm := newTestVM(fmt.Sprintf("vm%d", i), fmt.Sprintf("region%d", domain%3), fmt.Sprintf("d%d", domain), rapid.IntRange(0, 3).Draw(t, "disk") > 0)
				vm.NodeID = fmt.Sprintf("%s#%d", vm.Name, rapid.IntRange(1, 2).Draw(t, "incarnation"))
				vms = append(vms, vm)
			}
			return vms
		}
		plan := PlanPartitions(drawVMs("before"), nil)
		vms := drawVMs("after")
		for step := 0; ; step++ {
			next := PlanPartitions(vms, plan)
			assertOneReplicaMoves(c, plan, next)
			if fmt.Sprint(next) == fmt.Sprint(plan) {
				break
			}
			c.Assert(step < 10, qt.IsTrue, qt.Commentf("still moving: %v", next))
			plan = next
		}
		for _, p := range plan {
			assertConverged(c, p, vms)
		}
	})
}

// assertOneReplicaMoves checks that at most one replica of each existing partition was
// added and at most one removed.
func assertOneReplicaMoves(c *qt.C, before, after []Partition) {
	old := indexByName(before, func(p Partition) string { return p.Name })
	for _, p := range after {
		added := 0
		for _, r := range p.Replicas {
			if !slices.Contains(old[p.Name].Replicas, r) {
				added++
			}
		}
		removed := len(old[p.Name].Replicas) + added - len(p.Replicas)
		c.Assert(len(old[p.Name].Replicas) == 0 || (added <= 1 && removed <= 1), qt.IsTrue, qt.Commentf("%v to %v", old[p.Name], p))
	}
}

// assertConverged checks that the partition has as many replicas in its home region and in
// distinct failure domains as the VMs allow.
func assertConverged(c *qt.C, p Partition, vms []VM) {
	diskCount, homeCount, homeDomains := 0, 0, make(map[string]bool)
	byVM := vmsWithDisk(vms)
	for _, vm := range byVM {
		diskCount++
		if vm.Region == p.Name {
			homeCount++
			homeDomains[vm.FailureDomain] = true
		}
	}
	if !slices.Contains(regionNames(vms), p.Name) || diskCount < ReplicasPerPartition {
		return // the region has no VMs or too few VMs have a disk for a choice
	}
	gotHomeCount, gotHomeDomains := 0, make(map[string]bool)
	for _, r := range p.Replicas {
		c.Assert(byVM[r.VM].NodeID, qt.Equals, r.NodeID)
		if byVM[r.VM].Region == p.Name {
			gotHomeCount++
			gotHomeDomains[byVM[r.VM].FailureDomain] = true
		}
	}
	c.Assert(p.Replicas, qt.HasLen, ReplicasPerPartition)
	c.Assert(gotHomeCount, qt.Equals, min(homeCount, ReplicasPerPartition))
	c.Assert(len(gotHomeDomains) >= min(len(homeDomains), gotHomeCount), qt.IsTrue, qt.Commentf("%v", p))
}
