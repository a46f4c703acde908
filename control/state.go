package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxHistory bounds the history of accepted changes.
const maxHistory = 1000

// State is the control state machine. The goroutine that applies committed entries owns
// it; other goroutines use the Resolver, which is immutable.
type State struct {
	index      uint64 // of the last applied entry
	tables     api.Tables
	resolver   *Resolver
	vms        map[string]VM
	partitions map[string]Partition
	homes      homes
	standing   []warningID // of the tables in force, when they were accepted
	answers    *answerLog
	history    []api.HistoryEntry // oldest first
}

// Result is the outcome of one command. Apply is set for a change of the tables. Err is
// set for a command that was refused without effect.
type Result struct {
	Response *api.ApplyResponse
	// Resent is true when the change id was known and Apply is its first answer.
	Resent bool
	Err    *api.Error
}

// New returns the empty state: version 0, no tables, VMs or partitions.
func New() *State {
	return &State{
		resolver:   NewResolver(api.Tables{}),
		vms:        make(map[string]VM),
		partitions: make(map[string]Partition),
		homes:      newHomes(),
		answers:    newAnswerLog(),
	}
}

// Apply applies one committed command. An entry at or below the last applied index has
// no effect, so entries that a snapshot already holds may be given again.
func (s *State) Apply(index uint64, data []byte) Result {
	if index <= s.index {
		return refused("entry %d is already applied", index)
	}
	s.index = index
	c, err := decodeCommand(data)
	switch {
	case err != nil:
		return refused("%v", err)
	case c.Change != nil:
		return s.applyChange(c.Change)
	case c.RegisterVM != nil:
		return s.registerVM(*c.RegisterVM)
	case c.DeregisterVM != nil:
		return s.removeVM(*c.DeregisterVM)
	default:
		return s.assign(*c.AssignReplicas)
	}
}

func refused(format string, args ...any) Result {
	return Result{Err: api.Errorf(api.CodeBadRequest, format, args...)}
}

func (s *State) registerVM(vm VM) Result {
	if vm.Name == "" || vm.NodeID == "" || vm.Region == "" || vm.FailureDomain == "" {
		return refused("VM %q needs a name, a node, a region and a failure domain", vm.Name)
	}
	// The region names a partition, which operators type as the home of pools.
	if fault := nameFault(vm.Region); fault != "" {
		return refused("region name %q of VM %q %s", vm.Region, vm.Name, fault)
	}
	s.vms[vm.Name] = vm
	return Result{}
}

func (s *State) removeVM(name string) Result {
	if _, ok := s.vms[name]; !ok {
		return refused("no VM %q", name)
	}
	delete(s.vms, name)
	return Result{}
}

func (s *State) assign(p Partition) Result {
	if p.Name == "" || len(p.Replicas) == 0 {
		return refused("partition %q needs a name and at least one replica", p.Name)
	}
	p = clonePartition(p)
	slices.SortFunc(p.Replicas, func(a, b Replica) int { return cmp.Compare(a.VM, b.VM) })
	for i, r := range p.Replicas {
		if r.VM == "" || r.NodeID == "" {
			return refused("partition %q has a replica without VM or node", p.Name)
		}
		if i > 0 && p.Replicas[i-1].VM == r.VM {
			return refused("partition %q has two replicas on VM %q", p.Name, r.VM)
		}
	}
	p.InitialReplicas = slices.Clone(p.Replicas)
	if present, ok := s.partitions[p.Name]; ok {
		p.InitialReplicas = present.InitialReplicas
	}
	s.partitions[p.Name] = p
	return Result{}
}

// Index returns the index of the last applied entry.
func (s *State) Index() uint64 { return s.index }

// Version returns the version of the tables in force; 0 before the first change.
func (s *State) Version() uint64 { return s.tables.Version }

// Tables returns a copy of the tables in force, sorted by name.
func (s *State) Tables() api.Tables { return CloneTables(s.tables) }

// VMs returns the registered VMs, sorted by name. The caller owns the list.
func (s *State) VMs() []VM {
	out := slices.Collect(maps.Values(s.vms))
	slices.SortFunc(out, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Partitions returns the partitions, sorted by name. The caller owns the list.
func (s *State) Partitions() []Partition {
	var out []Partition
	for _, name := range s.partitionNames() {
		out = append(out, clonePartition(s.partitions[name]))
	}
	return out
}

// History returns the accepted changes, newest first. The caller owns the list.
func (s *State) History() []api.HistoryEntry {
	out := slices.Clone(s.history)
	slices.Reverse(out)
	return out
}

// partitionNames is never nil, because nil means unknown partitions to Check.
func (s *State) partitionNames() []string {
	out := slices.AppendSeq(make([]string, 0, len(s.partitions)), maps.Keys(s.partitions))
	slices.Sort(out)
	return out
}
