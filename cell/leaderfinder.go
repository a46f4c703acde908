package cell

import (
	"slices"
	"sync"
	"time"
)

// leaderFinder chooses the VM to which calls for the leader are sent: the VM last reported
// as the leader or, if there is none, the known keepers and the seeds in turn. It is safe
// for concurrent use.
type leaderFinder struct {
	self string

	mu          sync.Mutex
	leader      string // as last reported; empty if unknown
	keepers     []string
	seeds       []string
	nextIndex   int
	lastReplyAt time.Time // when another VM last replied
}

func newLeaderFinder(self string, seeds []string) *leaderFinder {
	return &leaderFinder{self: self, seeds: seeds}
}

func (f *leaderFinder) setSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// next returns the address to call: the presumed leader, or else each known VM in turn.
func (f *leaderFinder) next() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader
	}
	all := slices.Concat(f.keepers, f.seeds)
	f.nextIndex++
	return all[f.nextIndex%len(all)]
}

// forgetLeader clears the presumed leader if it is address, after a call to it failed.
func (f *leaderFinder) forgetLeader(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == address {
		f.leader = ""
	}
}

// update records the leader and the keepers that a VM reported. An empty list of
// keepers leaves the known ones unchanged.
func (f *leaderFinder) update(leader string, keepers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = leader
	f.lastReplyAt = time.Now()
	if len(keepers) > 0 {
		f.keepers = keepers
	}
}

// leaderAndKeepers returns the presumed leader, empty if unknown, and the known keepers.
func (f *leaderFinder) leaderAndKeepers() (leader string, keepers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.keepers
}

// repliedWithin reports whether another VM has replied within d.
func (f *leaderFinder) repliedWithin(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.lastReplyAt) < d
}
