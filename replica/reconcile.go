package replica

import (
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/raft"
)

// ReconcileInterval is how often a leader compares the membership it wants with the
// one in force. One change at a time is proposed.
const ReconcileInterval = 200 * time.Millisecond

// VMOf returns the VM name of a node identity.
func VMName(id raft.NodeID) string {
	name, _, _ := strings.Cut(string(id), "#")
	return name
}

// WantedMembers is the membership that a group should reach.
type DesiredMembership struct {
	Voters   []raft.NodeID
	Learners []raft.NodeID
}

// NextChange returns the next single step from have to want: bring in every wanted
// member as a learner, drop learners that are not wanted, then exchange the voters one by
// one. A replaced voter is dropped before its successor is promoted, since a group of
// three with one dead voter and a fourth voter would need three of four; the next voter
// is dropped only after that promotion, so at most one vote is missing at a time.
func NextMembershipChange(have raft.Membership, want DesiredMembership) (raft.MembershipChange, bool) {
	all := slices.Concat(want.Voters, want.Learners)
	for _, id := range all {
		if !have.IsMember(id) {
			return raft.MembershipChange{Kind: raft.AddLearner, ID: id}, true
		}
	}
	for _, id := range have.Learners {
		if !slices.Contains(all, id) {
			return raft.MembershipChange{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	if len(have.Voters) < len(want.Voters) {
		return promotion(have, want)
	}
	for _, id := range have.Voters {
		if !slices.Contains(all, id) && !isLastVoter(have, id) {
			return raft.MembershipChange{Kind: raft.RemoveMember, ID: id}, true
		}
	}
	return promotion(have, want)
}

func promotion(have raft.Membership, want DesiredMembership) (raft.MembershipChange, bool) {
	for _, id := range want.Voters {
		if slices.Contains(have.Learners, id) {
			return raft.MembershipChange{Kind: raft.PromoteLearner, ID: id}, true
		}
	}
	return raft.MembershipChange{}, false
}

func isLastVoter(have raft.Membership, id raft.NodeID) bool {
	return len(have.Voters) == 1 && have.Voters[0] == id
}

// Reconcile proposes the next step if this node leads the group.
func (g *Group) Reconcile(now time.Duration, want DesiredMembership) {
	if !g.IsActiveLeader(now) {
		return
	}
	change, ok := NextMembershipChange(g.Node.Status().Membership, want)
	if !ok {
		return
	}
	if err := g.Node.ProposeMembershipChange(now, change); err != nil {
		g.log.Debug("membership change not proposed yet", zap.Error(err), zap.String("node", string(change.ID)))
		return
	}
	g.log.Info("membership change proposed", zap.String("node", string(change.ID)), zap.Uint8("change", uint8(change.Kind)))
}
