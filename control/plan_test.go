package control

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func testVM(name, region, domain string, disk bool) VM {
	return VM{Name: name, NodeID: name + "#1", Region: region, FailureDomain: domain, HasDisk: disk}
}

func replicaNames(p Partition) (out []string) {
	for _, r := range p.Replicas {
		out = append(out, r.VM)
	}
	return out
}

func TestPlanPartitions(t *testing.T) {
	east := []VM{testVM("e1", "east", "d1", true), testVM("e2", "east", "d1", true), testVM("e3", "east", "d1", true), testVM("e4", "east", "d2", true)}
	west := []VM{testVM("w1", "west", "d3", true), testVM("w2", "west", "d3", false)}
	returned := slices.Clone(east)
	returned[0].NodeID = "e1#2"
	assigned := func(names ...string) []Partition {
		p := Partition{Name: "east"}
		for _, n := range names {
			p.Replicas = append(p.Replicas, Replica{VM: n, NodeID: n + "#1"})
		}
		return []Partition{p}
	}
	for _, test := range []struct {
		about    string
		vms      []VM
		existing []Partition
		want     map[string][]string
	}{
		{"spread over failure domains", east, nil, map[string][]string{"east": {"e1", "e2", "e4"}}},
		{"other regions only as needed", append(west, east...), nil, map[string][]string{"east": {"e1", "e2", "e4"}, "west": {"e1", "e4", "w1"}}},
		{"too few disks", west, nil, map[string][]string{"west": {"w1"}}},
		{"no disk", west[1:], nil, map[string][]string{}},
		{"keep what is good", east, assigned("e2", "e3", "e4"), map[string][]string{"east": {"e2", "e3", "e4"}}},
		{"leave a crowded failure domain", east, assigned("e1", "e2", "e3"), map[string][]string{"east": {"e2", "e3", "e4"}}},
		{"come home one at a time", append(west, east...), assigned("e1", "w1", "e2"), map[string][]string{"east": {"e1", "e2", "e4"}, "west": {"e1", "e4", "w1"}}},
		{"replace one lost VM of two", east[1:], assigned("e1", "e2", "x"), map[string][]string{"east": {"e2", "e4", "x"}}},
		{"replace a VM with an empty disk", returned, assigned("e1", "e2", "e4"), map[string][]string{"east": {"e1", "e2", "e4"}}},
		{"keep a lost replica without replacement", east[:2], assigned("e1", "e2", "x"), map[string][]string{"east": {"e1", "e2", "x"}}},
		{"remove a surplus replica", east, assigned("e1", "e2", "e3", "e4"), map[string][]string{"east": {"e2", "e3", "e4"}}},
		{"region without VMs", nil, assigned("e1"), map[string][]string{"east": {"e1"}}},
	} {
		t.Run(test.about, func(t *testing.T) {
			got := map[string][]string{}
			for _, p := range PlanPartitions(test.vms, test.existing) {
				got[p.Name] = replicaNames(p)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
	plan := PlanPartitions(returned, assigned("e1", "e2", "e4"))
	qt.Assert(t, plan[0].Replicas[0].NodeID, qt.Equals, "e1#2")
}

// Guards against plans that move more than one replica at a time, that never settle, or
// that settle on foreign VMs or one failure domain without need.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newC(t)
		draw := func(label string) (vms []VM) {
			for i := range rapid.IntRange(1, 9).Draw(t, label) {
				domain := rapid.IntRange(1, 6).Draw(t, "domain")
				vm := testVM(fmt.Sprintf("vm%d", i), fmt.Sprintf("region%d", domain%3), fmt.Sprintf("d%d", domain), rapid.IntRange(0, 3).Draw(t, "disk") > 0)
				vm.NodeID = fmt.Sprintf("%s#%d", vm.Name, rapid.IntRange(1, 2).Draw(t, "incarnation"))
				vms = append(vms, vm)
			}
			return vms
		}
		plan := PlanPartitions(draw("before"), nil)
		vms := draw("after")
		for step := 0; ; step++ {
			next := PlanPartitions(vms, plan)
			checkSteps(c, plan, next)
			if fmt.Sprint(next) == fmt.Sprint(plan) {
				break
			}
			c.Assert(step < 10, qt.IsTrue, qt.Commentf("still moving: %v", next))
			plan = next
		}
		for _, p := range plan {
			checkSettled(c, p, vms)
		}
	})
}

func checkSteps(c *qt.C, before, after []Partition) {
	old := byName(before, func(p Partition) string { return p.Name })
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

// checkSettled compares the plan with the best that the VMs allow.
func checkSettled(c *qt.C, p Partition, vms []VM) {
	disks, home, homeDomains := 0, 0, make(map[string]bool)
	byVM := diskVMs(vms)
	for _, vm := range byVM {
		disks++
		if vm.Region == p.Name {
			home++
			homeDomains[vm.FailureDomain] = true
		}
	}
	if !slices.Contains(regions(vms), p.Name) || disks < ReplicasPerPartition {
		return // nothing to choose from
	}
	gotHome, gotDomains := 0, make(map[string]bool)
	for _, r := range p.Replicas {
		c.Assert(byVM[r.VM].NodeID, qt.Equals, r.NodeID)
		if byVM[r.VM].Region == p.Name {
			gotHome++
			gotDomains[byVM[r.VM].FailureDomain] = true
		}
	}
	c.Assert(p.Replicas, qt.HasLen, ReplicasPerPartition)
	c.Assert(gotHome, qt.Equals, min(home, ReplicasPerPartition))
	c.Assert(len(gotDomains) >= min(len(homeDomains), gotHome), qt.IsTrue, qt.Commentf("%v", p))
}
