package cell

import (
	"slices"
	"time"
)

const (
	// probeTimeout is how long the finder waits for the reply to a probe before it asks another VM.
	probeTimeout = 400 * time.Millisecond
	// doubtedProbeTimeout replaces probeTimeout for a VM that left the last message unanswered, and
	// twice as much for one that left more unanswered. A round trip to the other region takes 24 ms, and
	// a later reply is used too. Longer waits for a failed leader that followers still name would delay
	// the probe that finds the next one.
	doubtedProbeTimeout = 100 * time.Millisecond
	// probeInterval is the pause between probes after a VM has replied that it knows of no leader, and
	// after each VM was asked once. It bounds the load on keepers during an election.
	probeInterval = 25 * time.Millisecond
	// silenceBeforeDoubt is how long the leader may leave all calls unanswered before it is probed and
	// further calls are held. A commit across both regions with slow disks takes about 100 ms. It
	// limits the calls that are sent to a VM that has failed, whose outcome is then unclear.
	silenceBeforeDoubt = 150 * time.Millisecond
)

// leaderFinder decides which VM is believed to be the leader and which VM is asked next. A VM is
// believed to be the leader if it has said so itself and no message to it has failed since; what
// other VMs say only selects the next VM to ask, since they still name a leader that has just
// failed. It has no input or output, and no clock: times are arguments. It is not safe for
// concurrent use.
type leaderFinder struct {
	leader    string // empty if unknown
	isDoubted bool   // the leader has been silent and is asked before more calls are sent to it
	named     string // the leader by the reply of another VM, to be asked next
	keepers   []string
	seeds     []string
	nextIndex int
	// failures is the number of consecutive messages without a reply, by address.
	failures map[string]int
	// probesSincePause counts the probes since the last pause.
	probesSincePause int
	pauseDue         bool

	inFlight        int       // calls sent to the leader that have neither a reply nor failed
	unansweredSince time.Time // since when none of them got a reply
	leaderRepliedAt time.Time // when the leader last replied
	lostAt          time.Time // since when no leader is known
	lastReplyAt     time.Time // when another VM last replied
}

// newLeaderFinder returns a finder that knows of no leader. VMs with different values of first
// ask the known VMs in the same order, but start with different ones.
func newLeaderFinder(now time.Time, seeds []string, first uint64) *leaderFinder {
	return &leaderFinder{seeds: seeds, failures: map[string]int{}, lostAt: now, nextIndex: int(first % uint64(max(len(seeds), 1)))}
}

// usableLeader returns the leader to which calls may be sent, or an empty string. A leader that
// has left all calls unanswered for silenceBeforeDoubt is asked first.
func (f *leaderFinder) usableLeader(now time.Time) string {
	if f.leader != "" && f.inFlight > 0 && now.Sub(f.unansweredSince) > silenceBeforeDoubt {
		f.isDoubted = true
	}
	if f.isDoubted {
		return ""
	}
	return f.leader
}

// callSent records that a call was sent to the leader.
func (f *leaderFinder) callSent(now time.Time) {
	if f.inFlight == 0 {
		f.unansweredSince = now
	}
	f.inFlight++
}

// callReturned records that a call to address has ended, with a reply or without one.
func (f *leaderFinder) callReturned(address string) {
	if address == f.leader && f.inFlight > 0 {
		f.inFlight--
	}
}

// replied records a reply of a VM which names the leader, or an empty string if it knows of none.
// It is ignored unless it is from the believed leader, or no leader is known, or the leader is
// doubted: a late reply may be from a former leader that still believes in its lease.
func (f *leaderFinder) replied(now time.Time, address, leader string) {
	f.failures[address] = 0
	switch {
	case leader == address && (f.leader == "" || f.leader == address || f.isDoubted):
		f.named, f.isDoubted = "", false
		f.unansweredSince, f.leaderRepliedAt = now, now
		if f.leader != address {
			f.leader, f.inFlight = address, 0
		}
	case f.leader == address:
		f.lose(now)
		f.named = leader
	case f.leader == "" || f.isDoubted:
		f.named, f.pauseDue = leader, leader == ""
	}
}

// recordReply records that another VM replied to a Join, and the keepers that it named. An empty
// list leaves the known ones unchanged.
func (f *leaderFinder) recordReply(now time.Time, keepers []string) {
	f.lastReplyAt = now
	if len(keepers) == 0 {
		return
	}
	f.keepers = keepers
	known := f.addresses()
	for address := range f.failures {
		if !slices.Contains(known, address) {
			delete(f.failures, address)
		}
	}
}

// leaderReplied records that the leader has served a call, so it is the leader.
func (f *leaderFinder) leaderReplied(now time.Time, address string) {
	if f.leader == address {
		f.replied(now, address, address)
	}
}

// timedOut records that a message sent to a VM at a time got no reply in time. The leader is
// believed on if it has replied to a later message: the one without a reply is slow.
func (f *leaderFinder) timedOut(now time.Time, address string, sentAt time.Time) {
	if f.leader == address && f.leaderRepliedAt.After(sentAt) {
		return
	}
	f.failed(now, address)
}

// endedEarly records that a message sent to a VM at a time got no reply, but had less than
// attemptTimeout to wait for it. The leader is asked before more calls are sent to it.
func (f *leaderFinder) endedEarly(address string, sentAt time.Time) {
	if f.leader == address && !f.leaderRepliedAt.After(sentAt) {
		f.isDoubted = true
	}
}

// failed records that a VM cannot be reached or has lost the leadership.
func (f *leaderFinder) failed(now time.Time, address string) {
	f.failures[address]++
	if f.named == address {
		f.named = ""
	}
	if f.leader == address {
		f.lose(now)
	}
}

func (f *leaderFinder) lose(now time.Time) {
	f.leader, f.isDoubted, f.named, f.inFlight, f.lostAt = "", false, "", 0, now
	f.probesSincePause, f.pauseDue = 0, false
}

// nextProbe returns the VM to ask and how long to wait before another one is asked: the leader, a
// VM that was named as the leader, or else each known VM in turn.
func (f *leaderFinder) nextProbe() (address string, timeout time.Duration) {
	f.probesSincePause++
	switch {
	case f.leader != "":
		address = f.leader
	case f.named != "":
		address = f.named
	default:
		all := f.addresses()
		f.nextIndex++
		address = all[f.nextIndex%len(all)]
	}
	if f.isDoubted && address == f.leader {
		return address, attemptTimeout - silenceBeforeDoubt // given up no sooner than by a call without a reply
	}
	return address, f.timeoutFor(address)
}

func (f *leaderFinder) timeoutFor(address string) time.Duration {
	switch f.failures[address] {
	case 0:
		return probeTimeout
	case 1:
		return doubtedProbeTimeout
	}
	return 2 * doubtedProbeTimeout
}

// pause returns how long to wait before the next probe.
func (f *leaderFinder) pause() time.Duration {
	if !f.pauseDue && f.probesSincePause < len(f.addresses()) {
		return 0
	}
	f.probesSincePause, f.pauseDue = 0, false
	return probeInterval
}

// isProbeUseful reports whether a VM has been named as the leader and was not asked yet.
func (f *leaderFinder) isProbeUseful() bool { return f.leader == "" && f.named != "" }

// addresses returns the known VMs that may lead.
func (f *leaderFinder) addresses() []string {
	all := slices.Clone(f.keepers)
	for _, seed := range f.seeds {
		if !slices.Contains(all, seed) {
			all = append(all, seed)
		}
	}
	return all
}
