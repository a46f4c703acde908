package raft

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// MembershipChangeKind is the type of a membership change.
type MembershipChangeKind uint8

// The kinds of membership change.
const (
	AddLearner MembershipChangeKind = iota + 1
	PromoteLearner
	RemoveMember
)

// voterBufferSize is the capacity of the stack buffers that hold one value per voter. A
// group with more voters costs an allocation.
const voterBufferSize = 9

// MembershipChange adds, promotes or removes one node.
type MembershipChange struct {
	Kind MembershipChangeKind
	ID   NodeID
}

// IsVoter reports whether id is a voter.
func (m Membership) IsVoter(id NodeID) bool { return slices.Contains(m.Voters, id) }

// IsMember reports whether id is a voter or a learner.
func (m Membership) IsMember(id NodeID) bool {
	return m.IsVoter(id) || slices.Contains(m.Learners, id)
}

// quorum returns the number of voters that form a majority.
func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

func (m Membership) clone() Membership {
	return Membership{slices.Clone(m.Voters), slices.Clone(m.Learners)}
}

// members returns all members. They are sorted so that the order of messages is
// deterministic.
func (m Membership) members() []NodeID {
	return slices.Sorted(slices.Values(append(slices.Clone(m.Voters), m.Learners...)))
}

// apply returns the membership after a change.
func (m Membership) apply(c MembershipChange) (Membership, error) {
	next := m.clone()
	isID := func(id NodeID) bool { return id == c.ID }
	switch c.Kind {
	case AddLearner:
		if m.IsMember(c.ID) {
			return m, ErrAlreadyMember
		}
		next.Learners = append(next.Learners, c.ID)
	case PromoteLearner:
		if m.IsVoter(c.ID) || !m.IsMember(c.ID) {
			return m, ErrUnknownMember
		}
		next.Learners = slices.DeleteFunc(next.Learners, isID)
		next.Voters = append(next.Voters, c.ID)
	case RemoveMember:
		if !m.IsMember(c.ID) {
			return m, ErrUnknownMember
		}
		next.Learners = slices.DeleteFunc(next.Learners, isID)
		next.Voters = slices.DeleteFunc(next.Voters, isID)
		if len(next.Voters) == 0 {
			return m, ErrLastVoter
		}
	default:
		return m, ErrInvalidChange
	}
	return next, nil
}

// DecodeMembership decodes the data of an EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, fmt.Errorf("raft: decode membership: %w", err)
	}
	return m, nil
}

func (m Membership) encode() []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("raft: encode membership: %v", err))
	}
	return data
}

// memberships lists the membership of the snapshot and those in the log, by ascending
// index. The last one takes effect as soon as it is in the log, before it is committed.
type memberships []indexedMembership

type indexedMembership struct {
	index uint64
	Membership
}

// atIndex returns the newest membership at or before index.
func (s memberships) atIndex(index uint64) Membership {
	var m Membership
	for _, im := range s {
		if im.index <= index {
			m = im.Membership
		}
	}
	return m
}

// add appends the memberships found in entries.
func (s *memberships) add(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryMembership {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			panic(err) // these entries are written only by this package
		}
		*s = append(*s, indexedMembership{e.Index, m})
	}
}

// truncate removes the memberships from index on.
func (s *memberships) truncate(index uint64) {
	*s = slices.DeleteFunc(*s, func(im indexedMembership) bool { return im.index >= index })
}

// compact replaces all memberships up to index by the one that is valid at index.
func (s *memberships) compact(index uint64) {
	m := s.atIndex(index)
	later := slices.DeleteFunc(*s, func(im indexedMembership) bool { return im.index <= index })
	*s = append(memberships{{index, m}}, later...)
}

// ProposeMembershipChange appends a membership change to the leader's log. The change
// takes effect on the leader immediately and is final when its entry is committed. A
// leader that removes itself steps down when the removal is committed. Errors:
// NotLeaderError, ErrTransferring, ErrTermNotCommitted, ErrChangePending,
// ErrNotCaughtUp, ErrObserver, ErrUnknownMember, ErrAlreadyMember, ErrLastVoter,
// ErrInvalidChange.
func (n *Node) ProposeMembershipChange(now time.Duration, c MembershipChange) error {
	n.advanceTime(now)
	if err := n.checkCanPropose(); err != nil {
		return err
	}
	// Without a committed entry of this term, a change of an earlier term could still be
	// uncommitted on another node. The quorums of two concurrent changes need not overlap.
	if !n.hasCommittedInTerm() {
		return ErrTermNotCommitted
	}
	if n.membershipIndex() > n.log.commit {
		return ErrChangePending
	}
	next, err := n.membership.apply(c)
	if err != nil {
		return err
	}
	if c.Kind == PromoteLearner {
		if err := n.checkPromotable(c.ID); err != nil {
			return err
		}
	}
	n.appendLeaderEntry(EntryMembership, next.encode())
	return nil
}

// checkPromotable returns an error unless the learner has responded within the election
// timeout and holds all entries that were committed one or two heartbeats ago. It must
// also hold the newest membership, since a node that does not know that it is a member
// does not answer vote requests.
func (n *Node) checkPromotable(id NodeID) error {
	p := n.progress[id]
	if p == nil {
		return ErrUnknownMember
	}
	if p.isObserver {
		return ErrObserver
	}
	if p.lastEcho == 0 || n.now-p.lastEcho > n.cfg.ElectionTimeout || p.match < max(n.heartbeatCommits[0], n.membershipIndex()) {
		return ErrNotCaughtUp
	}
	return nil
}

// membershipIndex returns the index of the newest membership, committed or not.
func (n *Node) membershipIndex() uint64 {
	if len(n.memberships) == 0 {
		return 0
	}
	return n.memberships[len(n.memberships)-1].index
}

// activateMembership makes the newest membership in the log the current one.
func (n *Node) activateMembership() {
	n.membership = n.memberships.atIndex(n.log.lastIndex())
	switch n.role {
	case RoleLeader:
		n.updateProgressMembers()
	case RoleFollower, RoleLearner:
		n.role = n.passiveRole()
	}
}

// updateProgressMembers adds and removes progress so that the leader tracks exactly the
// other members.
func (n *Node) updateProgressMembers() {
	for id := range n.progress {
		if !n.membership.IsMember(id) {
			delete(n.progress, id)
		}
	}
	n.progressIDs = slices.DeleteFunc(n.membership.members(), func(id NodeID) bool { return id == n.cfg.ID })
	for _, id := range n.progressIDs {
		if n.progress[id] == nil {
			n.progress[id] = newProgress(n.log.lastIndex()+1, n.now)
		}
	}
}

// passiveRole returns the role of a node that neither leads nor campaigns: follower for
// a voter, else learner.
func (n *Node) passiveRole() Role {
	if n.membership.IsVoter(n.cfg.ID) || n.isCommittedVoter() {
		return RoleFollower
	}
	return RoleLearner
}
