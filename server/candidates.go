package server

// candidates are the VMs to ask for the leader of a group, each once. A value belongs to
// one call.
type candidates struct {
	queue []string
	tried map[string]bool
}

// newCandidates returns the VMs with the likely leader, if not empty, first.
func newCandidates(likely string, vms []string) *candidates {
	c := &candidates{queue: vms, tried: map[string]bool{}}
	c.hint(likely)
	return c
}

// leaderCandidates returns the VMs to ask for the owner of a partition.
func (s *Server) leaderCandidates(partition string) *candidates {
	return newCandidates(s.hints.get(partition), s.view.Load().partitions[partition])
}

// next returns the next VM that was not asked yet, or false if there is none.
func (c *candidates) next() (string, bool) {
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

// hint puts a VM that was named as the leader first.
func (c *candidates) hint(vm string) {
	if vm != "" {
		c.queue = append([]string{vm}, c.queue...)
	}
}
