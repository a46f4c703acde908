package cell

import (
	"slices"
	"sync"
	"time"
)

// finder knows which VMs to ask for the leader: the one that was named last, then the
// keepers that are known, then the seeds. It is safe for concurrent use.
type finder struct {
	self string

	mu      sync.Mutex
	leader  string // as named last; empty if unknown
	keepers []string
	seeds   []string
	turn    int
	learnt  time.Time // when another VM last answered
}

func newFinder(self string, seeds []string) *finder { return &finder{self: self, seeds: seeds} }

func (f *finder) setSeeds(seeds []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seeds = seeds
}

// next returns the VM to ask: the likely leader, else each known VM in turn.
func (f *finder) next() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader != "" {
		return f.leader
	}
	all := slices.Concat(f.keepers, f.seeds)
	f.turn++
	return all[f.turn%len(all)]
}

// failed forgets a VM that could not be asked as the leader.
func (f *finder) failed(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leader == address {
		f.leader = ""
	}
}

// learn takes what another VM said.
func (f *finder) learn(leader string, keepers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leader = leader
	f.learnt = time.Now()
	if len(keepers) > 0 {
		f.keepers = keepers
	}
}

func (f *finder) known() (leader string, keepers []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, f.keepers
}

// heardSince reports whether another VM has answered within d.
func (f *finder) heardSince(d time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Since(f.learnt) < d
}
