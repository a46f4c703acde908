package replica

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/raft"
)

// ReconcileInterval is the interval at which a leader compares the desired membership with
// the current one. Each time it proposes at most one change.
const ReconcileInterval = 200 * time.Millisecond

// VMName returns the VM name in a node ID.
func VMName(id raft.NodeID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}

// DesiredMembership is the membership that a group should have.
type DesiredMembership struct {
	Voters   []raft.NodeID
	Learners []raft.NodeID
}

// NextMembershipChange returns the next single change that leads from current to desired,
// or false if there is none. It first adds every desired member as a learner, then removes
// learners that are not desired, and then replaces the voters. A voter that is desired as a
// learner is removed, and then added again.
//
// A voter is removed before its successor is promoted: if one of three voters has failed, a
// fourth voter would raise the quorum to three of four. Only a removal that would leave fewer
// voters than a majority of the desired number waits for a promotion, since the remaining
// ones would tolerate too few failures if the removed ones were healthy.
func NextMembershipChange(current raft.Membership, desired DesiredMembership) (raft.MembershipChange, bool) {
	desiredMembers := slices.Concat(desired.Voters, desired.Learners)
	for _, id := range desiredMembers {
		if !current.IsMember(id) {
			return raft.MembershipChange{Kind: raft.AddLearner, ID: id}, true
		}
	}
	for _, id := range current.Learners {
		if !slices.Contains(desiredMembers, id) {
			return raft.MembershipChange{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	if len(current.Voters) > len(desired.Voters)/2+1 {
		for _, id := range current.Voters {
			if !slices.Contains(desired.Voters, id) {
				return raft.MembershipChange{Kind: raft.RemoveMember, ID: id}, true
			}
		}
	}
	return nextPromotion(current, desired)
}

// nextPromotion returns the promotion of the first desired voter that is a learner, or
// false if there is none.
func nextPromotion(current raft.Membership, desired DesiredMembership) (raft.MembershipChange, bool) {
	for _, id := range desired.Voters {
		if slices.Contains(current.Learners, id) {
			return raft.MembershipChange{Kind: raft.PromoteLearner, ID: id}, true
		}
	}
	return raft.MembershipChange{}, false
}

// Reconcile proposes the next change towards the desired membership if this node is the
// active leader of the group.
func (g *Group) Reconcile(now time.Duration, desired DesiredMembership) {
	if !g.IsActiveLeader(now) {
		return
	}
	change, ok := NextMembershipChange(g.Node.Status().Membership, desired)
	if !ok {
		return
	}
	if err := g.Node.ProposeMembershipChange(now, change); err != nil {
		g.log.Debug("membership change not proposed yet", zap.Error(err), zap.String("node", string(change.ID)))
		return
	}
	g.log.Info("membership change proposed", zap.String("node", string(change.ID)), zap.Uint8("change", uint8(change.Kind)))
}
