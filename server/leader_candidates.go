package server

// leaderCandidates is the queue of VMs to call in search of the leader of a group. Each VM is
// returned once. A value serves one search.
type leaderCandidates struct {
	queue []string
	tried map[string]bool
}

// newLeaderCandidates returns a queue of vms, with likelyLeader first if it is not empty.
func newLeaderCandidates(likelyLeader string, vms []string) *leaderCandidates {
	c := &leaderCandidates{queue: vms, tried: map[string]bool{}}
	c.pushFront(likelyLeader)
	return c
}

// ownerCandidates returns the VMs that may be the owner of a partition.
func (s *Server) ownerCandidates(partition string) *leaderCandidates {
	return newLeaderCandidates(s.leaders.get(partition), s.view.Load().partitions[partition])
}

// next returns the next VM that was not returned before, or false if there is none.
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

// pushFront puts a VM that another VM named as the leader at the front. It ignores "".
func (c *leaderCandidates) pushFront(vm string) {
	if vm != "" {
		c.queue = append([]string{vm}, c.queue...)
	}
}
