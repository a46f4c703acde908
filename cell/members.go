package cell

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

// dropLearnerAfter is how long a learner may be silent before it is taken off the log's
// members; it joins again when it returns.
const dropLearnerAfter = 20 * time.Second

// self describes this VM as a member.
func (h *host) self() *job.Member {
	s := h.n.settings
	return &job.Member{Address: s.Address, NodeID: string(h.group.Node.ID()), FailureDomain: s.FailureDomain, Region: s.Region, PublicAddress: s.PublicAddress}
}

// joinSelf is join for this VM's own word, given when it leads.
func (h *host) joinSelf(args JoinArgs) { h.join(h.n.loop.Now(), args) }

// join notes a VM and tells it of the leader and the keepers.
func (h *host) join(now time.Duration, args JoinArgs) JoinReply {
	if h.leads(now) {
		h.seen[args.Address] = now
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

// reconcile moves the membership to what is wanted and tells the scheduler which VMs can
// ask the advisor.
func (h *host) reconcile(now time.Duration) {
	h.seen[h.n.settings.Address] = now
	var alive []string
	for address, at := range h.seen {
		if now-at < memberSilence {
			alive = append(alive, address)
		}
	}
	slices.Sort(alive)
	h.sched.SetAdvisorProxies(alive)
	h.group.Reconcile(now, h.wanted(now))
}

// wanted is the membership that the group should reach: voters that are members with this
// identity stay; a silent one is exchanged for a keeper that is there; others follow.
func (h *host) wanted(now time.Duration) replica.DesiredMembership {
	current := h.group.Node.Status().Membership
	byNode := map[raft.NodeID]job.Member{}
	known := map[string]bool{}
	h.state.Members(func(m job.Member) {
		byNode[raft.NodeID(m.NodeID)] = m
		known[m.Address] = true
	})
	silent := func(id raft.NodeID) time.Duration {
		at, ok := h.seen[replica.VMName(id)]
		if !ok {
			return now
		}
		return now - at
	}
	var present, quiet, spare []raft.NodeID
	for _, id := range current.Voters {
		switch _, registered := byNode[id]; {
		case !registered && known[replica.VMName(id)]:
			// The disk was lost; the VM is a member under another identity.
		case silent(id) < memberSilence || !registered:
			present = append(present, id)
		default:
			quiet = append(quiet, id)
		}
	}
	for id := range byNode {
		if !slices.Contains(current.Voters, id) && silent(id) < memberSilence {
			spare = append(spare, id)
		}
	}
	slices.Sort(spare)
	var want replica.DesiredMembership
	for _, id := range slices.Concat(present, spare, quiet) {
		if len(want.Voters) < h.n.settings.voters() {
			want.Voters = append(want.Voters, id)
		}
	}
	for id := range byNode {
		if !slices.Contains(want.Voters, id) && silent(id) < dropLearnerAfter {
			want.Learners = append(want.Learners, id)
		}
	}
	slices.Sort(want.Learners)
	return want
}
