package raft

import (
	"errors"
	"fmt"
)

// Errors returned by Propose, ProposeMembershipChange, TransferLeadership and Compact.
var (
	// ErrNotLeader matches every NotLeaderError.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTransferring means that a leadership transfer is in progress, during which the
	// leader accepts no proposals.
	ErrTransferring = errors.New("raft: leadership is being transferred")
	// ErrEmptyProposal means that the proposal has no data. Empty entries are reserved for
	// the first entry of a term.
	ErrEmptyProposal = errors.New("raft: proposal without data")
	// ErrChangePending means that the previous membership change is not yet committed.
	ErrChangePending = errors.New("raft: a membership change is pending")
	// ErrTermNotCommitted means that the leader has not yet committed an entry of its own
	// term. Until then an earlier membership change may be uncommitted.
	ErrTermNotCommitted = errors.New("raft: no entry of this term is committed")
	// ErrNotCaughtUp means that the learner to be promoted is too far behind the leader.
	ErrNotCaughtUp = errors.New("raft: member has not caught up")
	// ErrUnknownMember means that the node is not a member, or not a member of the kind
	// that the operation needs.
	ErrUnknownMember = errors.New("raft: no such member")
	// ErrAlreadyMember means that the node to be added is already a member.
	ErrAlreadyMember = errors.New("raft: already a member")
	// ErrLastVoter means that the only voter cannot be removed.
	ErrLastVoter = errors.New("raft: cannot remove the last voter")
	// ErrObserver means that a node without a disk cannot be promoted.
	ErrObserver = errors.New("raft: an observer cannot be promoted")
	// ErrInvalidChange means that the kind of the membership change is unknown.
	ErrInvalidChange = errors.New("raft: invalid membership change")
	// ErrCompacted means that the log cannot be compacted at the index.
	ErrCompacted = errors.New("raft: index is compacted or not yet applied")
)

// NotLeaderError is returned by a node that is not the leader. Leader is the leader that
// the node knows of; empty if unknown.
type NotLeaderError struct{ Leader NodeID }

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return ErrNotLeader.Error() + ", leader unknown"
	}
	return fmt.Sprintf("%v, leader is %s", ErrNotLeader, e.Leader)
}

// Is reports true for ErrNotLeader, for errors.Is.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
