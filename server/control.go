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

// controlGroupName is the name of the control group.
const controlGroupName = "control"

// partitionGroupPrefix goes before a partition's name in the name of its group.
const partitionGroupPrefix = "partition-"

// partitionGroupName returns the name of a partition's group.
func partitionGroupName(name string) string { return partitionGroupPrefix + name }

// controlReplica is this VM's member of the control group. Owned by the control goroutine.
type controlReplica struct {
	server *Server
	group  *replica.Group
	state  *control.State
	// pending holds the proposals of this VM by log index until they are applied.
	pending map[uint64]pendingProposal
}

// pendingProposal waits for its entry; another term at its index means that it is lost.
type pendingProposal struct {
	term uint64
	done func(control.Result, bool)
}

// Apply implements replica.StateMachine.
func (c *controlReplica) Apply(now time.Duration, e raft.Entry) {
	before := c.state.Version()
	result := c.state.Apply(e.Index, e.Data)
	c.resolveProposal(e, result)
	c.server.viewOutdated = true
	if c.state.Version() != before {
		c.server.log.Info("tables changed", zap.Uint64("version", c.state.Version()))
		c.server.onTablesChanged(now)
	}
}

func (c *controlReplica) Restore(data []byte) error {
	c.server.viewOutdated = true
	if err := c.state.Restore(data); err != nil {
		return err
	}
	c.server.onTablesChanged(c.server.loop.Now())
	return nil
}

func (c *controlReplica) Snapshot() []byte { return c.state.Snapshot() }

func (c *controlReplica) resolveProposal(e raft.Entry, result control.Result) {
	p, ok := c.pending[e.Index]
	if !ok {
		return
	}
	delete(c.pending, e.Index)
	p.done(result, p.term == e.Term)
}

// propose adds a command; done is called with the result and true once it is applied,
// or with false when the entry at its index is another one.
func (c *controlReplica) propose(now time.Duration, data []byte, done func(control.Result, bool)) error {
	index, term, err := c.group.Node.Propose(now, data)
	if err != nil {
		return err
	}
	if old, ok := c.pending[index]; ok {
		old.done(control.Result{}, false)
	}
	c.pending[index] = pendingProposal{term: term, done: done}
	return nil
}

// proposeInternal adds a command whose result nobody awaits; the reconciliation
// proposes it again while it is needed.
func (c *controlReplica) proposeInternal(now time.Duration, data []byte) {
	err := c.propose(now, data, func(control.Result, bool) {})
	if err != nil {
		c.server.log.Debug("internal command not proposed", zap.Error(err))
	}
}

// reconcile runs on the control leader: it registers VMs, plans partitions and brings the
// membership of the control group to what is registered.
func (c *controlReplica) reconcile(now time.Duration) {
	if !c.group.IsActiveLeader(now) {
		return
	}
	c.group.Reconcile(now, c.desiredMembership())
	c.proposeNextAssignment(now)
}

// controlVoterCount is the number of voters of the control group: one failure domain of
// three may be lost.
const controlVoterCount = 3

// desiredMembership chooses the voters among VMs with a disk, keeping those that vote now
// and spreading the others over the failure domains; all other VMs follow.
func (c *controlReplica) desiredMembership() replica.DesiredMembership {
	vms := c.state.VMs()
	current := c.group.Node.Status().Membership.Voters
	var desired replica.DesiredMembership
	for _, vm := range chooseVoters(vms, current, controlVoterCount) {
		desired.Voters = append(desired.Voters, raft.NodeID(vm.NodeID))
	}
	for _, vm := range vms {
		if id := raft.NodeID(vm.NodeID); !slices.Contains(desired.Voters, id) {
			desired.Learners = append(desired.Learners, id)
		}
	}
	return desired
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
			if colocationScore(chosen, rest[i]) < colocationScore(chosen, rest[best]) {
				best = i
			}
		}
		chosen = append(chosen, rest[best])
		rest = slices.Delete(rest, best, best+1)
	}
	return chosen
}

// colocationScore ranks a candidate by the voters in its region and then in its failure domain.
func colocationScore(chosen []control.VM, vm control.VM) int {
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

// proposeNextAssignment proposes the assignments that differ from the plan, one at a time.
func (c *controlReplica) proposeNextAssignment(now time.Duration) {
	existing := c.state.Partitions()
	for _, p := range control.PlanPartitions(c.state.VMs(), existing) {
		if !slices.ContainsFunc(existing, func(e control.Partition) bool { return isSameAssignment(e, p) }) {
			c.proposeInternal(now, control.EncodeAssignReplicas(p))
			return
		}
	}
}

func isSameAssignment(a, b control.Partition) bool {
	return a.Name == b.Name && slices.Equal(a.Replicas, b.Replicas)
}

// proposeChange proposes an operator's change; done gets the answer.
func (c *controlReplica) proposeChange(now time.Duration, req api.ApplyRequest, workers []control.WorkerInfo, done func(*api.ApplyResponse, *api.Error)) {
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
