package raft

import (
	"fmt"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// ChangeKind is a kind of membership change.
type MembershipChangeKind uint8

// The kinds of membership change.
const (
	AddLearner MembershipChangeKind = iota + 1
	PromoteLearner
	RemoveMember
)

// maxUsualVoters sizes buffers on the stack; more voters than this cost an allocation.
const maxUsualVoters = 9

// Change is a membership change of one node.
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

// quorum is the number of voters that decide.
func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

func (m Membership) clone() Membership {
	return Membership{slices.Clone(m.Voters), slices.Clone(m.Learners)}
}

// members returns all members, sorted, so that the order of messages is repeatable.
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

// memberships is the membership of the snapshot followed by those of the log, by
// ascending index. The last one is in force as soon as it is in the log.
type memberships []indexedMembership

type indexedMembership struct {
	index uint64
	Membership
}

func (s memberships) at(index uint64) Membership {
	var m Membership
	for _, im := range s {
		if im.index <= index {
			m = im.Membership
		}
	}
	return m
}

// add takes the memberships found in entries.
func (s *memberships) add(entries []Entry) {
	for _, e := range entries {
		if e.Kind != EntryMembership {
			continue
		}
		m, err := DecodeMembership(e.Data)
		if err != nil {
			panic(err) // only leaders of this package write these entries
		}
		*s = append(*s, indexedMembership{e.Index, m})
	}
}

func (s *memberships) truncate(index uint64) {
	*s = slices.DeleteFunc(*s, func(im indexedMembership) bool { return im.index >= index })
}

// compact folds all memberships up to index into one.
func (s *memberships) compact(index uint64) {
	m := s.at(index)
	rest := slices.DeleteFunc(*s, func(im indexedMembership) bool { return im.index <= index })
	*s = append(memberships{{index, m}}, rest...)
}

// ProposeMembership proposes one change and returns once it is in the leader's log;
// it is in force there at once and final when its entry is committed. Errors:
// NotLeaderError, ErrTransferring, ErrTermNotCommitted, ErrChangePending,
// ErrNotCaughtUp, ErrObserver, ErrUnknownMember, ErrAlreadyMember, ErrLastVoter,
// ErrInvalidChange. A leader that removes itself steps down when that is committed.
func (n *Node) ProposeMembershipChange(now time.Duration, c MembershipChange) error {
	n.observe(now)
	if err := n.mayPropose(); err != nil {
		return err
	}
	// Without a committed entry of this term, an uncommitted change of an earlier term
	// could still be around, and two single changes at once need not share a quorum.
	if !n.termCommitted() {
		return ErrTermNotCommitted
	}
	if n.changeIndex() > n.log.commit {
		return ErrChangePending
	}
	next, err := n.membership.apply(c)
	if err != nil {
		return err
	}
	if c.Kind == PromoteLearner {
		if err := n.promotable(c.ID); err != nil {
			return err
		}
	}
	n.appendOwn(EntryMembership, next.encode())
	return nil
}

// promotable checks that the learner holds what was committed one or two heartbeats
// ago and answered within the election timeout. It must hold the newest membership too:
// a node that does not know that it is a member answers no vote request.
func (n *Node) promotable(id NodeID) error {
	p := n.progress[id]
	if p == nil {
		return ErrUnknownMember
	}
	if p.observer {
		return ErrObserver
	}
	if p.echo == 0 || n.now-p.echo > n.cfg.ElectionTimeout || p.match < max(n.commitMarks[0], n.changeIndex()) {
		return ErrNotCaughtUp
	}
	return nil
}

// changeIndex is the index of the newest membership.
func (n *Node) changeIndex() uint64 {
	if len(n.memberships) == 0 {
		return 0
	}
	return n.memberships[len(n.memberships)-1].index
}

// membershipChanged puts the newest membership into force.
func (n *Node) membershipChanged() {
	n.membership = n.memberships.at(n.log.last())
	switch n.role {
	case RoleLeader:
		n.syncProgress()
	case RoleFollower, RoleLearner:
		n.role = n.passiveRole()
	}
}

// syncProgress makes the leader track exactly the other members.
func (n *Node) syncProgress() {
	for id := range n.progress {
		if !n.membership.IsMember(id) {
			delete(n.progress, id)
		}
	}
	n.others = slices.DeleteFunc(n.membership.members(), func(id NodeID) bool { return id == n.cfg.ID })
	for _, id := range n.others {
		if n.progress[id] == nil {
			n.progress[id] = newProgress(n.log.last()+1, n.now)
		}
	}
}

// passiveRole is the role of a node that neither leads nor stands for election.
func (n *Node) passiveRole() Role {
	if n.membership.IsVoter(n.cfg.ID) || n.committedVoter() {
		return RoleFollower
	}
	return RoleLearner
}
