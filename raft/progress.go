package raft

import "time"

// sendState tells how a leader sends to one member.
type sendState uint8

const (
	probing     sendState = iota // the last common entry is unknown: one append at a time
	replicating                  // appends are sent without waiting for answers
	installing                   // a snapshot is on its way
)

// inflight is one append that has not been acknowledged.
type inflight struct {
	last  uint64
	bytes int
}

// progress is what a leader knows of one member in its own term. The Node owns it.
type progress struct {
	match, next uint64
	state       sendState
	// probeSent is true while a probe with entries waits for its answer.
	probeSent bool
	inflight  []inflight
	bytes     int // sum over inflight
	// snapshotIndex is the snapshot being installed; it is sent again at retryAt, after
	// a wait that doubles each time because a large snapshot may fill a slow link.
	snapshotIndex      uint64
	retryAt, retryWait time.Duration
	// echo is the newest SentAt of the leader that the member returned, since the time
	// when this progress began.
	echo, since time.Duration
	// token is the newest SentAt of the member, within its start tokenStarts.
	token       time.Duration
	tokenStarts uint64
	observer    bool
	factsAt     time.Duration // when the facts are due again
	// sentCommit is the commit index in the last append, skipped the number of rounds of
	// heartbeats since then.
	sentCommit uint64
	skipped    int
}

func newProgress(next uint64, now time.Duration) *progress {
	return &progress{next: next, since: now}
}

// contact is the time from which the leader counts the silence of the member.
func (p *progress) contact() time.Duration { return max(p.echo, p.since) }

// noteTimes takes the time stamps of a response that was received at now.
func (p *progress) noteTimes(m Message, now time.Duration) {
	if m.Echo <= now {
		p.echo = max(p.echo, m.Echo)
	}
	if m.StartCount > p.tokenStarts {
		p.tokenStarts, p.token = m.StartCount, 0
	}
	if m.StartCount == p.tokenStarts {
		p.token = max(p.token, m.SentAt)
	}
	p.observer = m.Observer
}

// sent records an append with entries.
func (p *progress) sent(last uint64, bytes int) {
	if p.state == probing {
		p.probeSent = true
		return
	}
	p.next = last + 1
	p.inflight = append(p.inflight, inflight{last, bytes})
	p.bytes += bytes
}

// mayFill reports whether another append with entries may be sent.
func (p *progress) mayFill(maxBytes int) bool {
	switch p.state {
	case probing:
		return !p.probeSent
	case replicating:
		return p.bytes < maxBytes
	}
	return false
}

// acknowledge records that the member holds the leader's log up to index and reports
// whether that is news.
func (p *progress) acknowledge(index uint64) bool {
	if index < p.match {
		return false
	}
	news := index > p.match
	p.match = index
	p.release(index)
	if p.state == probing || p.state == installing && index >= p.snapshotIndex {
		p.enter(replicating, index+1)
	}
	p.next = max(p.next, index+1)
	return news
}

// release frees the in-flight bytes up to index.
func (p *progress) release(index uint64) {
	k := 0
	for k < len(p.inflight) && p.inflight[k].last <= index {
		p.bytes -= p.inflight[k].bytes
		k++
	}
	p.inflight = p.inflight[k:]
}

func (p *progress) enter(s sendState, next uint64) {
	p.state, p.next, p.probeSent = s, next, false
	p.inflight, p.bytes = nil, 0
}

// startInstall records that a snapshot was sent at now; firstWait is the wait before
// it is sent again.
func (p *progress) startInstall(index uint64, now, firstWait time.Duration) {
	if p.state != installing {
		p.retryWait = firstWait
	} else {
		p.retryWait = min(2*p.retryWait, 16*firstWait)
	}
	p.enter(installing, index+1)
	p.snapshotIndex, p.retryAt = index, now+p.retryWait
}
