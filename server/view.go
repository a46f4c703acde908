package server

import (
	"maps"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
)

// clusterView is what traffic goroutines read without asking the control goroutine. A view is
// immutable; the control goroutine publishes a new one when the control state changed.
type clusterView struct {
	resolver *control.Resolver
	tables   api.Tables
	history  []api.HistoryEntry
	vms      []control.VM
	// partitions lists the replica VMs of each partition.
	partitions map[string][]string
	// addresses are the peer addresses of the VMs.
	addresses map[string]string
}

// buildView copies the control state for traffic goroutines.
func (s *Server) buildView(state *control.State) *clusterView {
	v := &clusterView{
		resolver: state.Resolver(), tables: state.Tables(), history: state.History(), vms: state.VMs(),
		partitions: map[string][]string{}, addresses: map[string]string{},
	}
	for _, p := range state.Partitions() {
		for _, r := range p.Replicas {
			v.partitions[p.Name] = append(v.partitions[p.Name], r.VM)
		}
	}
	maps.Copy(v.addresses, s.settings.Peers)
	for _, vm := range v.vms {
		if !s.settings.PinPeers || s.settings.Peers[vm.Name] == "" {
			v.addresses[vm.Name] = vm.PeerAddress
		}
	}
	v.addresses[s.settings.VM] = s.settings.PeerAddress
	return v
}

// configLease is how long a VM may act on its tables after the control leader last
// confirmed them, counted from the time the VM sent the echoed token.
const configLease = 5 * time.Second

// mayServe reports whether this VM may take new work: it is not draining, and the
// control leader has confirmed within the lease a commit index that is applied here.
// It compares with the time at each use, so a pause that nobody noticed is covered.
func (s *Server) mayServe(now time.Duration) bool {
	return s.configAge(now) <= configLease && !s.draining.Load()
}

// configAge returns the time since the tables were last known to be those in force.
func (s *Server) configAge(now time.Duration) time.Duration {
	at := time.Duration(s.configConfirmedAt.Load())
	if at == 0 {
		return now + configLease + 1
	}
	return now - at
}

// updateConfigConfirmation records the newest confirmation once its commit index is applied.
func (s *Server) updateConfigConfirmation() {
	at, commit := s.control.group.Node.ConfirmedAt()
	if at > 0 && s.control.group.AppliedIndex() >= commit {
		s.configConfirmedAt.Store(int64(at))
	}
}
