package raft

import "time"

// replicationState is the way in which a leader sends entries to one member.
type replicationState uint8

const (
	stateProbe     replicationState = iota // the last common entry is unknown: one append with entries at a time
	stateReplicate                         // appends are pipelined, without waiting for responses
	stateSnapshot                          // a snapshot was sent and is not yet acknowledged
)

// inflightAppend is an append that has not been acknowledged.
type inflightAppend struct {
	last  uint64 // index of its last entry
	bytes int
}

// progress is the replication progress of one member in the leader's term. It is owned by
// the Node.
type progress struct {
	// match is the highest index that the member is known to hold, next the index of the
	// next entry to send.
	match, next uint64
	state       replicationState
	// probeSent is true while a probe with entries awaits its response.
	probeSent     bool
	inflight      []inflightAppend
	inflightBytes int // sum of bytes over inflight
	// snapshotIndex is the index of the snapshot that was sent. The snapshot is sent again
	// at snapshotRetryAt. The wait doubles each time, up to 16 times the first one, because
	// a large snapshot may fill a slow link.
	snapshotIndex                      uint64
	snapshotRetryAt, snapshotRetryWait time.Duration
	// lastEcho is the newest SentAt of the leader that the member has returned.
	// trackedSince is the time when this progress was created.
	lastEcho, trackedSince time.Duration
	// peerSentAt is the newest SentAt of the member among the messages with the StartCount
	// peerStartCount.
	peerSentAt          time.Duration
	peerStartCount      uint64
	isObserver          bool
	observedStatesDueAt time.Duration // when the leader sends its observed states again
	// sentCommit is the commit index in the last append, skippedHeartbeats the number of
	// heartbeat rounds since then in which the member got none.
	sentCommit        uint64
	skippedHeartbeats int
}

func newProgress(next uint64, now time.Duration) *progress {
	return &progress{next: next, trackedSince: now}
}

// lastContact returns the send time of the newest message that the member has answered,
// but at least the time when this progress was created.
func (p *progress) lastContact() time.Duration { return max(p.lastEcho, p.trackedSince) }

// recordTimes records the timestamps of a response that was received at now.
func (p *progress) recordTimes(m Message, now time.Duration) {
	if m.Echo <= now {
		p.lastEcho = max(p.lastEcho, m.Echo)
	}
	if m.StartCount > p.peerStartCount {
		p.peerStartCount, p.peerSentAt = m.StartCount, 0
	}
	if m.StartCount == p.peerStartCount {
		p.peerSentAt = max(p.peerSentAt, m.SentAt)
	}
	p.isObserver = m.Observer
}

// recordSent records that an append with entries was sent.
func (p *progress) recordSent(last uint64, bytes int) {
	if p.state == stateProbe {
		p.probeSent = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, inflightAppend{last, bytes})
	p.inflightBytes += bytes
}

// canSendEntries reports whether flow control allows another append with entries.
func (p *progress) canSendEntries(maxBytes int) bool {
	switch p.state {
	case stateProbe:
		return !p.probeSent
	case stateReplicate:
		return p.inflightBytes < maxBytes
	}
	return false
}

// acknowledge records that the member holds the leader's log up to index. It reports
// whether match has increased.
func (p *progress) acknowledge(index uint64) bool {
	if index < p.match {
		return false
	}
	isNew := index > p.match
	p.match = index
	p.freeInflight(index)
	if p.state == stateProbe || p.state == stateSnapshot && index >= p.snapshotIndex {
		p.becomeState(stateReplicate, index+1)
	}
	p.next = max(p.next, index+1)
	return isNew
}

// freeInflight removes the appends up to index from inflight.
func (p *progress) freeInflight(index uint64) {
	k := 0
	for k < len(p.inflight) && p.inflight[k].last <= index {
		p.inflightBytes -= p.inflight[k].bytes
		k++
	}
	p.inflight = p.inflight[k:]
}

// becomeState changes the replication state and discards the in-flight appends.
func (p *progress) becomeState(s replicationState, next uint64) {
	p.state, p.next, p.probeSent = s, next, false
	p.inflight, p.inflightBytes = nil, 0
}

// recordSnapshotSent records that a snapshot was sent at now. firstWait is the wait
// before it is sent for the second time.
func (p *progress) recordSnapshotSent(index uint64, now, firstWait time.Duration) {
	if p.state != stateSnapshot {
		p.snapshotRetryWait = firstWait
	} else {
		p.snapshotRetryWait = min(2*p.snapshotRetryWait, 16*firstWait)
	}
	p.becomeState(stateSnapshot, index+1)
	p.snapshotIndex, p.snapshotRetryAt = index, now+p.snapshotRetryWait
}
