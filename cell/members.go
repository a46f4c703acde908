package cell

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

// learnerSilenceTimeout is how long a learner may be silent before it is removed from the
// members of the raft group; it rejoins when it returns.
const learnerSilenceTimeout = 20 * time.Second

// selfMember returns the member record of this VM.
func (h *replicaHost) selfMember() *job.Member {
	s := h.node.settings
	return &job.Member{Address: s.Address, NodeID: string(h.group.Node.ID()), FailureDomain: s.FailureDomain, Region: s.Region, PublicAddress: s.PublicAddress}
}

// joinSelf handles the join of this VM itself, without a call over the network.
func (h *replicaHost) joinSelf(args JoinArgs) { h.join(h.node.eventLoop.Now(), args) }

// join records that a VM is alive, registers it if it is a new or changed keeper, and
// returns the leader and the keepers. Only the active leader records anything.
func (h *replicaHost) join(now time.Duration, args JoinArgs) JoinReply {
	if h.isActiveLeader(now) {
		h.lastSeen[args.Address] = now
		if m := args.Keeper; m != nil {
			if old, ok := h.state.Member(m.Address); !ok || old != *m {
				h.propose(nil, job.Op{Member: m})
			}
		}
	}
	reply := JoinReply{Leader: replica.VMName(h.group.Node.Leader())}
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
	h.group.Reconcile(now, h.desiredMembership(now))
}

// desiredMembership returns the membership that the group should reach. Voters whose
// identity is still registered stay, a silent voter is replaced by a keeper that is alive,
// and the remaining keepers are learners.
func (h *replicaHost) desiredMembership(now time.Duration) replica.DesiredMembership {
	current := h.group.Node.Status().Membership
	byNode := map[raft.NodeID]job.Member{}
	registeredAddresses := map[string]bool{}
	h.state.Members(func(m job.Member) {
		byNode[raft.NodeID(m.NodeID)] = m
		registeredAddresses[m.Address] = true
	})
	silence := func(id raft.NodeID) time.Duration {
		at, ok := h.lastSeen[replica.VMName(id)]
		if !ok {
			return now // not heard from since this replica became the leader
		}
		return now - at
	}
	var stayingVoters, silentVoters, candidates []raft.NodeID
	for _, id := range current.Voters {
		switch _, registered := byNode[id]; {
		case !registered && registeredAddresses[replica.VMName(id)]:
			// The VM lost its disk and is registered under another identity.
		case silence(id) < memberSilenceTimeout || !registered:
			stayingVoters = append(stayingVoters, id)
		default:
			silentVoters = append(silentVoters, id)
		}
	}
	for id := range byNode {
		if !slices.Contains(current.Voters, id) && silence(id) < memberSilenceTimeout {
			candidates = append(candidates, id)
		}
	}
	slices.Sort(candidates)
	var desired replica.DesiredMembership
	for _, id := range slices.Concat(stayingVoters, candidates, silentVoters) {
		if len(desired.Voters) < h.node.settings.voterCount() {
			desired.Voters = append(desired.Voters, id)
		}
	}
	for id := range byNode {
		if !slices.Contains(desired.Voters, id) && silence(id) < learnerSilenceTimeout {
			desired.Learners = append(desired.Learners, id)
		}
	}
	slices.Sort(desired.Learners)
	return desired
}
