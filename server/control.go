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

// partitionGroupPrefix is the prefix of the group names of partitions.
const partitionGroupPrefix = "partition-"

// partitionGroupName returns the name of the raft group of a partition.
func partitionGroupName(name string) string { return partitionGroupPrefix + name }

// controlReplica is this VM's replica of the control group. It is owned by the event loop
// goroutine.
type controlReplica struct {
	server *Server
	group  *replica.Group
	state  *control.State
	// pending holds the proposals of this VM, by log index, whose entries are not applied yet.
	pending map[uint64]pendingProposal
}

// pendingProposal is a proposal whose entry is not applied yet. If the entry applied at its
// index has another term, the proposal was lost.
type pendingProposal struct {
	term uint64
	// done is called with the result and true, or with false if the proposal was lost.
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

// Restore implements replica.StateMachine.
func (c *controlReplica) Restore(data []byte) error {
	c.server.viewOutdated = true
	if err := c.state.Restore(data); err != nil {
		return err
	}
	c.server.onTablesChanged(c.server.eventLoop.Now())
	return nil
}

// Snapshot implements replica.StateMachine.
func (c *controlReplica) Snapshot() []byte { return c.state.Snapshot() }

// resolveProposal reports the result of an applied entry to the proposal at its index, if any.
func (c *controlReplica) resolveProposal(e raft.Entry, result control.Result) {
	p, ok := c.pending[e.Index]
	if !ok {
		return
	}
	delete(c.pending, e.Index)
	p.done(result, p.term == e.Term)
}

// propose appends a command to the log. done is called with the result and true once the
// command is applied, or with false if another entry takes its index.
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

// proposeInternal proposes a command and ignores its result. Reconciliation proposes the
// command again while it is needed.
func (c *controlReplica) proposeInternal(now time.Duration, data []byte) {
	err := c.propose(now, data, func(control.Result, bool) {})
	if err != nil {
		c.server.log.Debug("internal command not proposed", zap.Error(err))
	}
}

// reconcile changes the membership of the control group to match the registered VMs and
// proposes changed partition assignments. It does nothing if this VM is not the active
// control leader.
func (c *controlReplica) reconcile(now time.Duration) {
	if !c.group.IsActiveLeader(now) {
		return
	}
	c.group.Reconcile(now, c.desiredMembership())
	c.proposeNextAssignment(now)
}

// controlVoterCount is the number of voters of the control group. With 3 voters in 3 failure
// domains, the group tolerates the loss of one domain.
const controlVoterCount = 3

// desiredMembership chooses the voters among the VMs with a disk. It keeps the current voters
// and spreads the others over the failure domains. All other VMs are learners.
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

// chooseVoters returns up to count VMs with a disk. It takes the VMs in current first. Then it
// repeatedly adds the VM whose region has the fewest voters; ties are broken by the fewest
// voters in its failure domain and then by name. With three regions no region holds a
// majority, so changes still commit after the loss of one region.
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

// colocationScore ranks a candidate by the number of chosen voters in its region and then in
// its failure domain. Lower is better.
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

// proposeNextAssignment proposes the first planned assignment that differs from the existing
// ones. Later calls propose the others, so that at most one changes per reconciliation.
func (c *controlReplica) proposeNextAssignment(now time.Duration) {
	existing := c.state.Partitions()
	for _, p := range control.PlanPartitions(c.state.VMs(), existing) {
		if !slices.ContainsFunc(existing, func(e control.Partition) bool { return isSameAssignment(e, p) }) {
			c.proposeInternal(now, control.EncodeAssignReplicas(p))
			return
		}
	}
}

// isSameAssignment reports whether two partitions have the same name and replicas.
func isSameAssignment(a, b control.Partition) bool {
	return a.Name == b.Name && slices.Equal(a.Replicas, b.Replicas)
}

// proposeChange proposes an operator's change and calls done with the response or an error.
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
		done(nil, api.Errorf(api.CodeUnavailable, "the control leader cannot propose the change: %v", err))
	}
}
