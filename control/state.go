package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxHistory limits the number of accepted changes in the history.
const maxHistory = 1000

// State is the state machine of the control group. It may be used only by the goroutine
// that applies committed entries; other goroutines use the immutable Resolver.
type State struct {
	index           uint64 // log index of the last applied entry
	tables          api.Tables
	resolver        *Resolver
	vms             map[string]VM
	partitions      map[string]Partition
	homes           homes
	warningsInForce []warningID // warnings of the tables in force, as of their acceptance
	responses       *responseCache
	history         []api.HistoryEntry // oldest first
}

// Result is the outcome of one command.
type Result struct {
	// Response is set for a change of the tables with a valid change ID, whether the
	// change was accepted or refused.
	Response *api.ApplyResponse
	// Resent reports whether the change ID was known already, in which case Response is
	// the original response.
	Resent bool
	// Err is set if the command was invalid and had no effect.
	Err *api.Error
}

// New returns an empty state, which has version 0 and no routes, pools, VMs or
// partitions.
func New() *State {
	return &State{
		resolver:   NewResolver(api.Tables{}, nil),
		vms:        make(map[string]VM),
		partitions: make(map[string]Partition),
		homes:      newHomes(),
		responses:  newResponseCache(),
	}
}

// Apply applies one committed command. An entry at or below the last applied index has
// no effect, so entries that a snapshot already includes may be replayed.
func (s *State) Apply(index uint64, data []byte) Result {
	if index <= s.index {
		return refusedResult("entry %d is already applied", index)
	}
	s.index = index
	c, err := decodeCommand(data)
	switch {
	case err != nil:
		return refusedResult("%v", err)
	case c.Change != nil:
		return s.applyChange(c.Change)
	case c.RegisterVM != nil:
		return s.registerVM(*c.RegisterVM)
	case c.DeregisterVM != nil:
		return s.deregisterVM(*c.DeregisterVM)
	default:
		return s.assignReplicas(*c.AssignReplicas)
	}
}

// refusedResult returns the result of a command that is refused without effect.
func refusedResult(format string, args ...any) Result {
	return Result{Err: api.Errorf(api.CodeBadRequest, format, args...)}
}

// registerVM adds a VM or replaces its registration.
func (s *State) registerVM(vm VM) Result {
	if vm.Name == "" || vm.NodeID == "" || vm.Region == "" || vm.FailureDomain == "" {
		return refusedResult("VM %q needs a name, a node ID, a region and a failure domain", vm.Name)
	}
	// The region becomes the name of a partition, which operators write as the home of
	// pools, so it follows the same rules as other names.
	if violation := validateName(vm.Region); violation != "" {
		return refusedResult("region name %q of VM %q %s", vm.Region, vm.Name, violation)
	}
	s.vms[vm.Name] = vm
	return Result{}
}

func (s *State) deregisterVM(name string) Result {
	if _, ok := s.vms[name]; !ok {
		return refusedResult("VM %q is not registered", name)
	}
	delete(s.vms, name)
	return Result{}
}

// assignReplicas sets the replicas of a partition. Its first assignment also sets the
// InitialReplicas.
func (s *State) assignReplicas(p Partition) Result {
	if p.Name == "" || len(p.Replicas) == 0 {
		return refusedResult("partition %q needs a name and at least one replica", p.Name)
	}
	p = clonePartition(p)
	slices.SortFunc(p.Replicas, func(a, b Replica) int { return cmp.Compare(a.VM, b.VM) })
	for i, r := range p.Replicas {
		if r.VM == "" || r.NodeID == "" {
			return refusedResult("partition %q has a replica without a VM or a node ID", p.Name)
		}
		if i > 0 && p.Replicas[i-1].VM == r.VM {
			return refusedResult("partition %q has two replicas on VM %q", p.Name, r.VM)
		}
	}
	p.InitialReplicas = slices.Clone(p.Replicas)
	if existing, ok := s.partitions[p.Name]; ok {
		p.InitialReplicas = existing.InitialReplicas
	}
	s.partitions[p.Name] = p
	return Result{}
}

// Index returns the log index of the last applied entry.
func (s *State) Index() uint64 { return s.index }

// Version returns the version of the tables in force. It is 0 before the first change.
func (s *State) Version() uint64 { return s.tables.Version }

// Tables returns a copy of the tables in force, with routes and pools sorted by name.
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

// partitionNames returns the sorted names of the partitions. The result is never nil,
// because Check treats nil as unknown partitions.
func (s *State) partitionNames() []string {
	out := slices.AppendSeq(make([]string, 0, len(s.partitions)), maps.Keys(s.partitions))
	slices.Sort(out)
	return out
}
