package raft

import (
	"errors"
	"fmt"
)

// Errors of Propose, ProposeMembership, TransferLeadership and Compact.
var (
	// ErrNotLeader matches every NotLeaderError.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTransferring means that the leader is handing over and takes no proposals.
	ErrTransferring = errors.New("raft: leadership is being transferred")
	// ErrEmptyProposal refuses empty data, which marks the start of a term.
	ErrEmptyProposal = errors.New("raft: proposal without data")
	// ErrChangePending means that the previous membership change is not yet committed.
	ErrChangePending = errors.New("raft: a membership change is pending")
	// ErrTermNotCommitted means that the leader has not yet committed an entry of its
	// term; until then it may not know of an earlier change.
	ErrTermNotCommitted = errors.New("raft: no entry of this term is committed")
	// ErrNotCaughtUp means that the learner or transfer target is too far behind.
	ErrNotCaughtUp = errors.New("raft: member has not caught up")
	// ErrUnknownMember means that the named node is no member of the needed kind.
	ErrUnknownMember = errors.New("raft: no such member")
	// ErrAlreadyMember means that the node to be added is a member.
	ErrAlreadyMember = errors.New("raft: already a member")
	// ErrLastVoter refuses to remove the only voter.
	ErrLastVoter = errors.New("raft: cannot remove the last voter")
	// ErrObserver refuses to promote a node without a disk.
	ErrObserver = errors.New("raft: an observer cannot be promoted")
	// ErrInvalidChange means that the kind of change is unknown.
	ErrInvalidChange = errors.New("raft: invalid membership change")
	// ErrCompacted means that the index is outside of what can be compacted.
	ErrCompacted = errors.New("raft: index is compacted or not yet applied")
)

// NotLeaderError says which node is believed to be the leader; empty if unknown.
type NotLeaderError struct{ Leader NodeID }

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return ErrNotLeader.Error() + ", leader unknown"
	}
	return fmt.Sprintf("%v, leader is %s", ErrNotLeader, e.Leader)
}

// Is makes errors.Is(err, ErrNotLeader) true.
func (e *NotLeaderError) Is(target error) bool { return target == ErrNotLeader }
