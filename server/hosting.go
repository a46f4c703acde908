package server

import (
	"time"

	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/control"
	"github.com/oleanderchute/oleanderchute/partition"
	"github.com/oleanderchute/oleanderchute/placement"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

// hostPartitions opens the partition groups that this VM is a replica of.
func (s *Server) hostPartitions(now time.Duration) {
	for _, p := range s.control.state.Partitions() {
		if s.partitions[p.Name] == nil && isReplica(p, s.self) {
			if err := s.hostPartition(p); err != nil {
				s.log.Error("partition cannot be opened", zap.String("partition", p.Name), zap.Error(err))
			}
		}
	}
}

func isReplica(p control.Partition, vm control.VM) bool {
	for _, r := range p.Replicas {
		if r.NodeID == vm.NodeID {
			return true
		}
	}
	return false
}

func (s *Server) hostPartition(p control.Partition) error {
	name := groupOfPartition(p.Name)
	st, rec, err := s.openStore(name)
	if err != nil {
		return err
	}
	cfg := s.raftConfig(name)
	if isFirstStart(rec) {
		cfg.Voters = initialVoters(p, s.self)
	}
	if s.settings.Region != p.Name {
		cfg.ElectionDelay = foreignElectionDelay
	}
	h := &hosted{s: s, name: p.Name, waiters: map[partition.WaiterID]chan StatusReply{}}
	h.core = partition.New(partition.Config{Name: p.Name, Seed: cfg.Seed}, func() partition.Scheduler {
		return placement.New(placement.Config{Seed: cfg.Seed, LocalRegion: p.Name})
	})
	h.group = s.openGroup(cfg, st, rec, h)
	s.partitions[p.Name] = h
	return nil
}

// foreignElectionDelay makes replicas outside the home region stand later, so that the
// owner normally sits beside its workers.
const foreignElectionDelay = 700 * time.Millisecond

// initialVoters returns the first members of a partition group if this VM is one of
// them; a later replica starts empty and learns the members from the leader.
func initialVoters(p control.Partition, self control.VM) []raft.NodeID {
	var out []raft.NodeID
	mine := false
	for _, r := range p.InitialReplicas {
		out = append(out, raft.NodeID(r.NodeID))
		mine = mine || r.NodeID == self.NodeID
	}
	if !mine {
		return nil
	}
	return out
}

// reconcilePartitions brings the members of each partition that this VM leads to what
// the control state assigns.
func (s *Server) reconcilePartitions(now time.Duration) {
	for _, p := range s.control.state.Partitions() {
		h := s.partitions[p.Name]
		if h == nil {
			continue
		}
		var want replica.DesiredMembership
		for _, r := range p.Replicas {
			want.Voters = append(want.Voters, raft.NodeID(r.NodeID))
		}
		h.group.Reconcile(now, want)
	}
}
