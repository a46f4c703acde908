package server

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

// groupControl is the name of the control group.
const groupControl = "control"

// partitionPrefix goes before a partition's name in the name of its group.
const partitionPrefix = "partition-"

// groupOfPartition returns the name of a partition's group.
func groupOfPartition(name string) string { return partitionPrefix + name }

// controlHost is this VM's member of the control group. Owned by the control goroutine.
type controlHost struct {
	s     *Server
	group *replica.Group
	state *control.State
	// waiting holds the proposals of this VM by log index until they are applied.
	waiting map[uint64]proposal
}

// proposal waits for its entry; another term at its index means that it is lost.
type proposal struct {
	term uint64
	done func(control.Result, bool)
}

// Apply implements replica.StateMachine.
func (c *controlHost) Apply(now time.Duration, e raft.Entry) {
	before := c.state.Version()
	result := c.state.Apply(e.Index, e.Data)
	c.finishProposals(e, result)
	c.s.changed = true
	if c.state.Version() != before {
		c.s.log.Info("tables changed", zap.Uint64("version", c.state.Version()))
		c.s.tablesChanged(now)
	}
}

func (c *controlHost) Restore(data []byte) error {
	c.s.changed = true
	if err := c.state.Restore(data); err != nil {
		return err
	}
	c.s.tablesChanged(c.s.loop.Now())
	return nil
}

func (c *controlHost) Snapshot() []byte { return c.state.Snapshot() }

func (c *controlHost) finishProposals(e raft.Entry, result control.Result) {
	p, ok := c.waiting[e.Index]
	if !ok {
		return
	}
	delete(c.waiting, e.Index)
	p.done(result, p.term == e.Term)
}

// propose adds a command; done is called with the result and true once it is applied,
// or with false when the entry at its index is another one.
func (c *controlHost) propose(now time.Duration, data []byte, done func(control.Result, bool)) error {
	index, term, err := c.group.Node.Propose(now, data)
	if err != nil {
		return err
	}
	if old, ok := c.waiting[index]; ok {
		old.done(control.Result{}, false)
	}
	c.waiting[index] = proposal{term: term, done: done}
	return nil
}

// proposeInternal adds a command whose result nobody awaits; the reconciliation
// proposes it again while it is needed.
func (c *controlHost) proposeInternal(now time.Duration, data []byte) {
	err := c.propose(now, data, func(control.Result, bool) {})
	if err != nil {
		c.s.log.Debug("internal command not proposed", zap.Error(err))
	}
}

// manage runs on the control leader: it registers VMs, plans partitions and brings the
// membership of the control group to what is registered.
func (c *controlHost) manage(now time.Duration) {
	if !c.group.IsActiveLeader(now) {
		return
	}
	c.group.Reconcile(now, c.wantedMembers())
	c.planPartitions(now)
}

// controlVoters is the number of voters of the control group: one failure domain of
// three may be lost.
const controlVoters = 3

// wantedMembers chooses the voters among VMs with a disk, keeping those that vote now
// and spreading the others over the failure domains; all other VMs follow.
func (c *controlHost) wantedMembers() replica.DesiredMembership {
	vms := c.state.VMs()
	current := c.group.Node.Status().Membership.Voters
	var want replica.DesiredMembership
	for _, vm := range chooseVoters(vms, current, controlVoters) {
		want.Voters = append(want.Voters, raft.NodeID(vm.NodeID))
	}
	for _, vm := range vms {
		if id := raft.NodeID(vm.NodeID); !slices.Contains(want.Voters, id) {
			want.Learners = append(want.Learners, id)
		}
	}
	return want
}

// chooseVoters returns up to count VMs with a disk: first those in current, then one after
// the other the VM whose region, then whose failure domain, has the fewest voters, by name.
// With three regions no region holds a majority, so the loss of one stops no change.
func chooseVoters(vms []control.VM, current []raft.NodeID, count int) []control.VM {
	var chosen, rest []control.VM
	for _, vm := range vms {
		switch {
		case !vm.HasDisk:
		case len(chosen) < count && slices.Contains(current, raft.NodeID(vm.NodeID)):
			chosen = append(chosen, vm)
		default:
			rest = append(rest, vm)
		}
	}
	for len(chosen) < count && len(rest) > 0 {
		best := 0
		for i := range rest {
			if crowding(chosen, rest[i]) < crowding(chosen, rest[best]) {
				best = i
			}
		}
		chosen = append(chosen, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return chosen
}

// crowding ranks a candidate by the voters in its region and then in its failure domain.
func crowding(chosen []control.VM, vm control.VM) int {
	region, domain := 0, 0
	for _, c := range chosen {
		if c.Region == vm.Region {
			region++
		}
		if c.FailureDomain == vm.FailureDomain {
			domain++
		}
	}
	return region*(len(chosen)+1) + domain
}

// planPartitions proposes the assignments that differ from the plan, one at a time.
func (c *controlHost) planPartitions(now time.Duration) {
	existing := c.state.Partitions()
	for _, p := range control.PlanPartitions(c.state.VMs(), existing) {
		if !slices.ContainsFunc(existing, func(e control.Partition) bool { return samePartition(e, p) }) {
			c.proposeInternal(now, control.EncodeAssignReplicas(p))
			return
		}
	}
}

func samePartition(a, b control.Partition) bool {
	return a.Name == b.Name && slices.Equal(a.Replicas, b.Replicas)
}

// applyChange proposes an operator's change; done gets the answer.
func (c *controlHost) applyChange(now time.Duration, req api.ApplyRequest, workers []control.WorkerInfo, done func(*api.ApplyResponse, *api.Error)) {
	data := c.state.EncodeChange(control.Change{Request: req, UnixMillis: time.Now().UnixMilli(), Workers: control.SummarizeWorkers(workers)})
	err := c.propose(now, data, func(r control.Result, ok bool) {
		switch {
		case !ok:
			done(nil, api.Errorf(api.CodeUnknownResult, "the control leader changed; send the change again with the same change id"))
		case r.Err != nil:
			done(nil, r.Err)
		default:
			done(r.Response, nil)
		}
	})
	if err != nil {
		done(nil, api.Errorf(api.CodeUnavailable, "the control leader takes no change: %v", err))
	}
}
