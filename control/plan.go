package control

import (
	"cmp"
	"maps"
	"slices"
)

// ReplicasPerPartition is the number of replicas of a partition group; the group works
// on after the loss of one.
const ReplicasPerPartition = 3

// PlanPartitions returns the partitions that there should be next, sorted by name: one
// for each region that has VMs, named after it, and all existing ones. A new partition
// gets its replicas at once. An existing one differs from its present assignment by at
// most one replica removed and one added; the caller asks again when the group has
// carried that out. A partition of a region without VMs stays as it is, because pools
// refer to it.
//
// A region is planned with the VMs registered so far, so the caller should wait for the
// VMs of the region before it carries out the first plan.
func PlanPartitions(vms []VM, existing []Partition) []Partition {
	next := make(map[string]Partition)
	present := byName(existing, func(p Partition) string { return p.Name })
	for name, p := range present {
		next[name] = clonePartition(p)
	}
	for _, region := range regions(vms) {
		next[region] = planOne(region, vms, present[region])
	}
	out := slices.Collect(maps.Values(next))
	out = slices.DeleteFunc(out, func(p Partition) bool { return len(p.Replicas) == 0 })
	slices.SortFunc(out, func(a, b Partition) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func regions(vms []VM) []string {
	set := make(map[string]bool)
	for _, vm := range vms {
		set[vm.Region] = true
	}
	return slices.Sorted(maps.Keys(set))
}

func planOne(region string, vms []VM, present Partition) Partition {
	p := planner{region: region, vms: diskVMs(vms)}
	if len(present.Replicas) == 0 {
		return Partition{Name: region, Replicas: p.fill(nil)}
	}
	return Partition{Name: region, Replicas: p.step(present.Replicas)}
}

func diskVMs(vms []VM) map[string]VM {
	out := make(map[string]VM)
	for _, vm := range vms {
		if vm.HasDisk {
			out[vm.Name] = vm
		}
	}
	return out
}

// planner chooses the replicas of one partition.
type planner struct {
	region string
	vms    map[string]VM // with a disk, by name
}

// fill adds replicas until there are enough or no VM is left.
func (p planner) fill(replicas []Replica) []Replica {
	for len(replicas) < ReplicasPerPartition {
		vm, ok := p.best(replicas)
		if !ok {
			break
		}
		replicas = append(replicas, Replica{VM: vm.Name, NodeID: vm.NodeID})
	}
	return sortReplicas(replicas)
}

// step makes the most urgent single change: replace a lost replica, add a missing one,
// remove a surplus one, or exchange one for a clearly better VM.
func (p planner) step(replicas []Replica) []Replica {
	replicas = slices.Clone(replicas)
	if i := slices.IndexFunc(replicas, func(r Replica) bool { return !p.isAlive(r) }); i >= 0 {
		return p.replace(replicas, i)
	}
	if len(replicas) < ReplicasPerPartition {
		return p.addOne(replicas)
	}
	if len(replicas) > ReplicasPerPartition {
		return sortReplicas(slices.Delete(replicas, p.worst(replicas), p.worst(replicas)+1))
	}
	return p.improve(replicas)
}

// isAlive reports whether the VM is registered with a disk under the replica's identity.
func (p planner) isAlive(r Replica) bool {
	vm, ok := p.vms[r.VM]
	return ok && vm.NodeID == r.NodeID
}

// replace exchanges a lost replica. It stays in place while no VM can take over, since
// a smaller group would need the agreement of all that remain.
func (p planner) replace(replicas []Replica, lost int) []Replica {
	rest := slices.Delete(slices.Clone(replicas), lost, lost+1)
	if len(rest) >= ReplicasPerPartition {
		return sortReplicas(rest)
	}
	vm, ok := p.best(rest)
	if !ok {
		return sortReplicas(replicas)
	}
	return sortReplicas(append(rest, Replica{VM: vm.Name, NodeID: vm.NodeID}))
}

func (p planner) addOne(replicas []Replica) []Replica {
	if vm, ok := p.best(replicas); ok {
		replicas = append(replicas, Replica{VM: vm.Name, NodeID: vm.NodeID})
	}
	return sortReplicas(replicas)
}

// improve exchanges one replica if that brings it home or into a failure domain of its
// own. Nothing else moves, because each move copies all records.
func (p planner) improve(replicas []Replica) []Replica {
	best, bestScore := replicas, p.score(replicas)
	for i := range replicas {
		rest := slices.Delete(slices.Clone(replicas), i, i+1)
		vm, ok := p.best(rest)
		if !ok {
			continue
		}
		candidate := append(rest, Replica{VM: vm.Name, NodeID: vm.NodeID})
		if s := p.score(candidate); s > bestScore {
			best, bestScore = candidate, s
		}
	}
	return sortReplicas(slices.Clone(best))
}

// score ranks sets of replicas: first by replicas in the home region, then by failure
// domains.
func (p planner) score(replicas []Replica) int {
	home := 0
	domains := make(map[string]bool)
	for _, r := range replicas {
		vm := p.vms[r.VM]
		domains[vm.FailureDomain] = true
		if vm.Region == p.region {
			home++
		}
	}
	return home*(ReplicasPerPartition+1) + len(domains)
}

// best returns the VM to add: of the home region first, then of the failure domain with
// the fewest replicas, then by name.
func (p planner) best(replicas []Replica) (VM, bool) {
	used, perDomain := make(map[string]bool), make(map[string]int)
	for _, r := range replicas {
		used[r.VM] = true
		perDomain[p.vms[r.VM].FailureDomain]++
	}
	var best VM
	found := false
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		vm := p.vms[name]
		if !used[name] && (!found || p.isBetter(vm, best, perDomain)) {
			best, found = vm, true
		}
	}
	return best, found
}

func (p planner) isBetter(a, b VM, perDomain map[string]int) bool {
	if homeA, homeB := a.Region == p.region, b.Region == p.region; homeA != homeB {
		return homeA
	}
	return perDomain[a.FailureDomain] < perDomain[b.FailureDomain]
}

// worst returns the index of the replica whose removal leaves the best set.
func (p planner) worst(replicas []Replica) int {
	worst, bestScore := 0, -1
	for i := range replicas {
		if s := p.score(slices.Delete(slices.Clone(replicas), i, i+1)); s > bestScore {
			worst, bestScore = i, s
		}
	}
	return worst
}

func sortReplicas(replicas []Replica) []Replica {
	slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.VM, b.VM) })
	return replicas
}
