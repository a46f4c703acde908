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

// openPartitions opens the groups of the partitions that are assigned to this VM and not open
// yet.
func (s *Server) openPartitions(now time.Duration) {
	for _, p := range s.control.state.Partitions() {
		if s.partitions[p.Name] == nil && hasReplicaOn(p, s.self) {
			if err := s.openPartition(p); err != nil {
				s.log.Error("partition cannot be opened", zap.String("partition", p.Name), zap.Error(err))
			}
		}
	}
}

// hasReplicaOn reports whether a replica of the partition is assigned to the VM.
func hasReplicaOn(p control.Partition, vm control.VM) bool {
	for _, r := range p.Replicas {
		if r.NodeID == vm.NodeID {
			return true
		}
	}
	return false
}

func (s *Server) openPartition(p control.Partition) error {
	name := partitionGroupName(p.Name)
	store, persisted, err := s.openStore(name)
	if err != nil {
		return err
	}
	cfg := s.raftConfig(name)
	if isFirstStart(persisted) {
		cfg.Voters = initialVoters(p, s.self)
	}
	if s.settings.Region != p.Name {
		cfg.ElectionDelay = nonHomeElectionDelay
	}
	r := &partitionReplica{server: s, name: p.Name, waiters: map[partition.WaiterID]chan StatusReply{}}
	r.state = partition.New(partition.Config{Name: p.Name, Seed: cfg.Seed}, func() partition.Scheduler {
		return placement.New(placement.Config{Seed: cfg.Seed, LocalRegion: p.Name})
	})
	r.group = s.openGroup(cfg, store, persisted, r)
	s.partitions[p.Name] = r
	return nil
}

// nonHomeElectionDelay delays the elections of replicas outside the partition's home region,
// so that the owner is normally in the same region as its workers.
const nonHomeElectionDelay = 700 * time.Millisecond

// initialVoters returns the initial members of a partition group if this VM is one of them,
// else nil. A replica that is added later starts empty and gets the membership from the
// leader.
func initialVoters(p control.Partition, self control.VM) []raft.NodeID {
	var out []raft.NodeID
	isMember := false
	for _, r := range p.InitialReplicas {
		out = append(out, raft.NodeID(r.NodeID))
		isMember = isMember || r.NodeID == self.NodeID
	}
	if !isMember {
		return nil
	}
	return out
}

// reconcilePartitions changes the membership of each partition that this VM leads to the
// replicas that the control state assigns.
func (s *Server) reconcilePartitions(now time.Duration) {
	for _, p := range s.control.state.Partitions() {
		r := s.partitions[p.Name]
		if r == nil {
			continue
		}
		var desired replica.DesiredMembership
		for _, assigned := range p.Replicas {
			desired.Voters = append(desired.Voters, raft.NodeID(assigned.NodeID))
		}
		r.group.Reconcile(now, desired)
	}
}
