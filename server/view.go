package server

import (
	"maps"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/control"
)

// clusterView is a copy of the control state that request goroutines read without a call to the
// event loop goroutine. It is immutable; the event loop goroutine publishes a new one after each
// change of the control state.
type clusterView struct {
	resolver *control.Resolver
	tables   api.Tables
	history  []api.HistoryEntry
	vms      []control.VM
	// partitions lists the VMs that have a replica of each partition, by partition name.
	partitions map[string][]string
	// addresses holds the peer addresses by VM name.
	addresses map[string]string
}

// buildView returns a view of the control state. Addresses in Settings.Peers apply to VMs that
// have not published one, or to all with Settings.PinPeers.
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

// configLease is how long a VM may act on its tables after the control leader confirmed them.
// It starts when the VM sent the token that the leader echoed.
const configLease = 5 * time.Second

// mayServe reports whether this VM may accept new work: it is not draining, and within the
// lease the control leader has confirmed a commit index that is applied here. The lease is
// compared with the current time at each use, so that a process pause cannot extend it.
func (s *Server) mayServe(now time.Duration) bool {
	return s.configAge(now) <= configLease && !s.draining.Load()
}

// configAge returns the time since the tables were last known to be in force. Before the first
// confirmation it is longer than configLease.
func (s *Server) configAge(now time.Duration) time.Duration {
	at := time.Duration(s.configConfirmedAt.Load())
	if at == 0 {
		return now + configLease + 1
	}
	return now - at
}

// updateConfigConfirmation stores the time of the newest confirmation once its commit index is
// applied.
func (s *Server) updateConfigConfirmation() {
	at, commit := s.control.group.Node.ConfirmedAt()
	if at > 0 && s.control.group.AppliedIndex() >= commit {
		s.configConfirmedAt.Store(int64(at))
	}
}
