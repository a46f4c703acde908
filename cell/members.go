package cell

import (
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

const (
	// voterSilenceTimeout is how long a voter may be silent before a keeper that is alive takes
	// its place. VMs send Join every joinInterval.
	voterSilenceTimeout = 2 * time.Second
	// learnerSilenceTimeout is how long a learner may be silent before it is removed from the
	// members of the raft group; it rejoins when it returns.
	learnerSilenceTimeout = 20 * time.Second
)

// selfMember returns the member record of this VM.
func (h *replicaHost) selfMember() *job.Member {
	s := h.node.settings
	return &job.Member{Address: s.Address, NodeID: string(h.group.Node.ID()), FailureDomain: s.FailureDomain, Region: s.Region, PublicAddress: s.PublicAddress,
		Format: job.NewestFormat}
}

// cannotApply returns why an operation of a format must not be proposed, or "" if all replicas apply it.
func (h *replicaHost) cannotApply(format uint32) (reason string) {
	h.state.Members(func(m job.Member) {
		if m.Format < format {
			reason = m.Address + " runs an earlier build"
		}
	})
	if reason != "" {
		return reason
	}
	return h.membershipView(h.node.eventLoop.Now()).unregisteredVoter()
}

// join records that a VM is alive, registers it if it is a new or changed keeper, and
// returns the leader and the keepers. Only the active leader records anything. A leader that may
// not act as one yet, or whose lease has ended, does not name itself.
func (h *replicaHost) join(now time.Duration, args JoinArgs) JoinReply {
	isActive := h.isActiveLeader(now)
	if isActive {
		h.lastSeen[args.Address] = now
		if m := args.Keeper; m != nil {
			if old, ok := h.state.Member(m.Address); !ok || old != *m {
				h.propose(nil, job.Op{Member: m})
			}
		}
	}
	reply := JoinReply{Leader: replica.VMName(h.group.Node.Leader())}
	if h.group.Node.Role() == raft.RoleLeader && !isActive {
		reply.Leader = ""
	}
	h.state.Members(func(m job.Member) { reply.Keepers = append(reply.Keepers, m.Address) })
	return reply
}

// reconcile moves the membership towards the desired one and tells the scheduler which VMs
// can call the advisor.
func (h *replicaHost) reconcile(now time.Duration) {
	h.lastSeen[h.node.settings.Address] = now
	var alive []string
	for address, at := range h.lastSeen {
		if now-at < memberSilenceTimeout {
			alive = append(alive, address)
		}
	}
	slices.Sort(alive)
	h.scheduler.SetAdvisorProxies(alive)
	view := h.membershipView(now)
	h.group.Reconcile(now, view.desired())
	h.tolerance.update(now, h.node, view.missingVoters())
}

// membershipView returns what this leader knows of the members.
func (h *replicaHost) membershipView(now time.Duration) membershipView {
	var registered []job.Member
	h.state.Members(func(m job.Member) { registered = append(registered, m) })
	return newMembershipView(h.group.Node.Status().Membership, registered, h.node.settings.voterCount(), func(id raft.NodeID) time.Duration {
		// Before this replica was the leader, nobody reported to it.
		return now - max(h.lastSeen[replica.VMName(id)], h.leaderSince)
	})
}

// membershipView is what a leader knows of the members of the group.
type membershipView struct {
	current    raft.Membership
	voterCount int                             // number of voters that the group should have
	silence    func(raft.NodeID) time.Duration // for how long a node's VM has been silent
	registered map[raft.NodeID]bool            // the present identities
	addresses  map[string]bool                 // their addresses
}

func newMembershipView(current raft.Membership, registered []job.Member, voterCount int, silence func(raft.NodeID) time.Duration) membershipView {
	v := membershipView{current, voterCount, silence, map[raft.NodeID]bool{}, map[string]bool{}}
	for _, m := range registered {
		v.registered[raft.NodeID(m.NodeID)], v.addresses[m.Address] = true, true
	}
	return v
}

// hasLostDisk reports whether a node's VM is registered under another identity.
func (v membershipView) hasLostDisk(id raft.NodeID) bool {
	return !v.registered[id] && v.addresses[replica.VMName(id)]
}

// desired returns the membership that the group should reach. Voters whose identity is still
// registered stay, a silent voter is replaced by a keeper that is alive, and the remaining
// keepers are learners. A voter that is replaced is no learner while it is silent: it would be
// added again at once, which delays the promotion of its successor.
func (v membershipView) desired() replica.DesiredMembership {
	var stayingVoters, silentVoters, candidates []raft.NodeID
	for _, id := range v.current.Voters {
		switch {
		case v.hasLostDisk(id):
		case v.silence(id) < voterSilenceTimeout:
			stayingVoters = append(stayingVoters, id)
		default:
			silentVoters = append(silentVoters, id)
		}
	}
	for id := range v.registered {
		if !v.current.IsVoter(id) && v.silence(id) < voterSilenceTimeout {
			candidates = append(candidates, id)
		}
	}
	slices.Sort(candidates)
	var desired replica.DesiredMembership
	for _, id := range slices.Concat(stayingVoters, candidates, silentVoters) {
		if len(desired.Voters) < v.voterCount {
			desired.Voters = append(desired.Voters, id)
		}
	}
	for id := range v.registered {
		timeout := learnerSilenceTimeout
		if !v.current.IsMember(id) || v.current.IsVoter(id) {
			timeout = voterSilenceTimeout
		}
		if !slices.Contains(desired.Voters, id) && v.silence(id) < timeout {
			desired.Learners = append(desired.Learners, id)
		}
	}
	slices.Sort(desired.Learners)
	return desired
}

// unregisteredVoter says which voter may still register. One that is silent counts as lost.
func (v membershipView) unregisteredVoter() string {
	for _, id := range v.current.Voters {
		if !v.registered[id] && !v.hasLostDisk(id) && v.silence(id) < voterSilenceTimeout {
			return string(id) + " has not registered"
		}
	}
	return ""
}

// missingVoters returns, sorted, the reasons why the group tolerates fewer losses than it
// should; none if it has its number of voters and all of them are present.
func (v membershipView) missingVoters() []string {
	var reasons []string
	for _, id := range v.current.Voters {
		switch {
		case v.hasLostDisk(id):
			reasons = append(reasons, string(id)+" has lost its disk")
		case v.silence(id) >= voterSilenceTimeout:
			reasons = append(reasons, string(id)+" is silent")
		}
	}
	if n := len(v.current.Voters); n != v.voterCount {
		reasons = append(reasons, fmt.Sprintf("%d voters instead of %d", n, v.voterCount))
	}
	slices.Sort(reasons)
	return reasons
}

// toleranceAlarm reports, while this replica leads, that the group tolerates fewer losses
// than it should.
type toleranceAlarm struct {
	reasons []string
	since   time.Duration // when the first reason appeared, on the event loop's clock
}

// update takes the current reasons, and logs when they change.
func (a *toleranceAlarm) update(now time.Duration, n *Node, reasons []string) {
	if len(reasons) == 0 {
		n.metrics.reducedToleranceSeconds.Set(0)
	} else {
		if len(a.reasons) == 0 {
			a.since = now
		}
		n.metrics.reducedToleranceSeconds.Set(max(now-a.since, time.Millisecond).Seconds())
	}
	if slices.Equal(reasons, a.reasons) {
		return
	}
	a.reasons = reasons
	if len(reasons) == 0 {
		n.log.Info("group tolerates its number of losses again", zap.Duration("after", now-a.since))
		return
	}
	n.log.Warn("group tolerates fewer losses than it should", zap.Strings("reasons", reasons), zap.Duration("for", now-a.since))
}
