package server

// ownerCandidates are the VMs to ask for the leader of a group, each once. A value belongs to
// one call.
type leaderCandidates struct {
	queue []string
	tried map[string]bool
}

// newLeaderCandidates returns the VMs with the likely leader, if not empty, first.
func newLeaderCandidates(likelyLeader string, vms []string) *leaderCandidates {
	c := &leaderCandidates{queue: vms, tried: map[string]bool{}}
	c.pushFront(likelyLeader)
	return c
}

// ownerCandidates returns the VMs to ask for the owner of a partition.
func (s *Server) ownerCandidates(partition string) *leaderCandidates {
	return newLeaderCandidates(s.hints.get(partition), s.view.Load().partitions[partition])
}

// next returns the next VM that was not asked yet, or false if there is none.
func (c *leaderCandidates) next() (string, bool) {
	for len(c.queue) > 0 {
		vm := c.queue[0]
		c.queue = c.queue[1:]
		if !c.tried[vm] {
			c.tried[vm] = true
			return vm, true
		}
	}
	return "", false
}

// pushFront puts a VM that was named as the leader first.
func (c *leaderCandidates) pushFront(vm string) {
	if vm != "" {
		c.queue = append([]string{vm}, c.queue...)
	}
}
