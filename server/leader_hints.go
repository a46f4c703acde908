package server

import "sync"

// leaderHints caches the VM that last answered as the leader of each group. It is safe for
// concurrent use.
type leaderHints struct {
	mu      sync.Mutex
	leaders map[string]string // guarded by mu
}

func newLeaderHints() *leaderHints { return &leaderHints{leaders: make(map[string]string)} }

// get returns the cached leader, or "" if there is none.
func (h *leaderHints) get(group string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaders[group]
}

// set caches the leader of a group; an empty vm deletes the entry.
func (h *leaderHints) set(group, vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if vm == "" {
		delete(h.leaders, group)
		return
	}
	h.leaders[group] = vm
}
