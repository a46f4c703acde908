package server

import "sync"

// leaderHints remembers the VM that last acted as the leader of each group.
type leaderHints struct {
	mu      sync.Mutex
	leaders map[string]string // guarded by mu
}

func newLeaderHints() *leaderHints { return &leaderHints{leaders: make(map[string]string)} }

func (h *leaderHints) get(group string) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaders[group]
}

func (h *leaderHints) set(group, vm string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if vm == "" {
		delete(h.leaders, group)
		return
	}
	h.leaders[group] = vm
}
