package control

import (
	"cmp"
	"maps"
	"slices"
)

// ReplicasPerPartition is the number of replicas of a partition group. With three
// replicas the group tolerates the loss of one.
const ReplicasPerPartition = 3

// PlanPartitions returns the next assignment of replicas to partitions, sorted by
// partition name. There is one partition for each region that has VMs, named after the
// region, and each existing partition is kept. A new partition gets all its replicas in
// one step. For an existing partition, at most one replica is removed and one added; the
// caller plans again once the group has completed that change. A partition of a region
// without VMs is left unchanged, because pools refer to it. A new partition for which no
// VM has a disk is left out.
//
// The plan uses only the VMs that are registered already, so the caller should wait for
// the VMs of a region to register before it carries out the region's first plan.
func PlanPartitions(vms []VM, existing []Partition) []Partition {
	next := make(map[string]Partition)
	current := indexByName(existing, func(p Partition) string { return p.Name })
	for name, p := range current {
		next[name] = clonePartition(p)
	}
	for _, region := range regionNames(vms) {
		next[region] = planPartition(region, vms, current[region])
	}
	out := slices.Collect(maps.Values(next))
	out = slices.DeleteFunc(out, func(p Partition) bool { return len(p.Replicas) == 0 })
	slices.SortFunc(out, func(a, b Partition) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// regionNames returns the sorted names of the regions that have VMs.
func regionNames(vms []VM) []string {
	set := make(map[string]bool)
	for _, vm := range vms {
		set[vm.Region] = true
	}
	return slices.Sorted(maps.Keys(set))
}

// planPartition returns the region's partition with the next assignment of its replicas.
func planPartition(region string, vms []VM, current Partition) Partition {
	p := planner{region: region, vms: vmsWithDisk(vms)}
	if len(current.Replicas) == 0 {
		return Partition{Name: region, Replicas: p.addMissing(nil)}
	}
	return Partition{Name: region, Replicas: p.nextReplicas(current.Replicas)}
}

// vmsWithDisk returns the VMs that have a disk, by name.
func vmsWithDisk(vms []VM) map[string]VM {
	out := make(map[string]VM)
	for _, vm := range vms {
		if vm.HasDisk {
			out[vm.Name] = vm
		}
	}
	return out
}

// planner chooses the replicas of the partition that is named after region.
type planner struct {
	region string
	vms    map[string]VM // with a disk, by name
}

// addMissing adds replicas until there are ReplicasPerPartition or no VM is left.
func (p planner) addMissing(replicas []Replica) []Replica {
	for len(replicas) < ReplicasPerPartition {
		vm, ok := p.bestVM(replicas)
		if !ok {
			break
		}
		replicas = append(replicas, Replica{VM: vm.Name, NodeID: vm.NodeID})
	}
	return sortReplicas(replicas)
}

// nextReplicas returns the replicas after the most urgent single change, in this order of
// precedence: replace a lost replica, add a missing one, remove a surplus one, or move one
// to a VM that improves the score.
func (p planner) nextReplicas(replicas []Replica) []Replica {
	replicas = slices.Clone(replicas)
	if lost := slices.IndexFunc(replicas, func(r Replica) bool { return !p.isAvailable(r) }); lost >= 0 {
		return p.replaceLost(replicas, lost)
	}
	if len(replicas) < ReplicasPerPartition {
		return p.addReplica(replicas)
	}
	if len(replicas) > ReplicasPerPartition {
		return sortReplicas(slices.Delete(replicas, p.surplusIndex(replicas), p.surplusIndex(replicas)+1))
	}
	return p.rebalance(replicas)
}

// isAvailable reports whether the replica's VM is registered with a disk and with the
// replica's node ID.
func (p planner) isAvailable(r Replica) bool {
	vm, ok := p.vms[r.VM]
	return ok && vm.NodeID == r.NodeID
}

// replaceLost replaces the replica at index lost, or removes it if the others suffice. A
// lost replica stays in the group while no VM can replace it, because a smaller group
// would need the agreement of all remaining replicas.
func (p planner) replaceLost(replicas []Replica, lost int) []Replica {
	rest := slices.Delete(slices.Clone(replicas), lost, lost+1)
	if len(rest) >= ReplicasPerPartition {
		return sortReplicas(rest)
	}
	vm, ok := p.bestVM(rest)
	if !ok {
		return sortReplicas(replicas)
	}
	return sortReplicas(append(rest, Replica{VM: vm.Name, NodeID: vm.NodeID}))
}

// addReplica adds one replica, if a VM is left for it.
func (p planner) addReplica(replicas []Replica) []Replica {
	if vm, ok := p.bestVM(replicas); ok {
		replicas = append(replicas, Replica{VM: vm.Name, NodeID: vm.NodeID})
	}
	return sortReplicas(replicas)
}

// rebalance moves one replica to another VM if that raises the score: the replica moves to
// the home region or to a failure domain of its own. It makes no other moves, because each
// move copies all records of the partition.
func (p planner) rebalance(replicas []Replica) []Replica {
	best, bestScore := replicas, p.score(replicas)
	for i := range replicas {
		rest := slices.Delete(slices.Clone(replicas), i, i+1)
		vm, ok := p.bestVM(rest)
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

// score rates a set of replicas, first by the number of replicas in the home region, then
// by the number of distinct failure domains. A higher score is better.
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

// bestVM returns the VM to add to replicas. It prefers VMs of the home region, then of the
// failure domain with the fewest replicas, then the first by name. It returns false if no
// VM is left.
func (p planner) bestVM(replicas []Replica) (VM, bool) {
	used, perDomain := make(map[string]bool), make(map[string]int)
	for _, r := range replicas {
		used[r.VM] = true
		perDomain[p.vms[r.VM].FailureDomain]++
	}
	var best VM
	found := false
	for _, name := range slices.Sorted(maps.Keys(p.vms)) {
		vm := p.vms[name]
		if !used[name] && (!found || p.isPreferred(vm, best, perDomain)) {
			best, found = vm, true
		}
	}
	return best, found
}

// isPreferred reports whether a is a better choice than b for the next replica.
func (p planner) isPreferred(a, b VM, perDomain map[string]int) bool {
	if homeA, homeB := a.Region == p.region, b.Region == p.region; homeA != homeB {
		return homeA
	}
	return perDomain[a.FailureDomain] < perDomain[b.FailureDomain]
}

// surplusIndex returns the index of the replica whose removal leaves the highest score.
func (p planner) surplusIndex(replicas []Replica) int {
	surplus, bestScore := 0, -1
	for i := range replicas {
		if s := p.score(slices.Delete(slices.Clone(replicas), i, i+1)); s > bestScore {
			surplus, bestScore = i, s
		}
	}
	return surplus
}

func sortReplicas(replicas []Replica) []Replica {
	slices.SortFunc(replicas, func(a, b Replica) int { return cmp.Compare(a.VM, b.VM) })
	return replicas
}
