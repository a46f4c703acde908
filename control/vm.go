package control

// VM is a VM of the cluster as registered in the control group.
type VM struct {
	Name string `cbor:"1,keyasint"`
	// NodeID is the VM's Raft node ID: the VM name and the incarnation of its data folder.
	NodeID        string `cbor:"2,keyasint"`
	Region        string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	// HasDisk reports whether the VM has a data folder, so that it can hold replicas of
	// partitions and vote in the control group.
	HasDisk bool `cbor:"5,keyasint,omitempty"`
	// PeerAddress is the host:port of the VM's net/rpc server for other VMs.
	PeerAddress string `cbor:"6,keyasint,omitempty"`
	// HTTPAddress is the host:port of the VM's HTTP server for callers, workers and
	// operators.
	HTTPAddress string `cbor:"7,keyasint,omitempty"`
}

// Replica is a member of a partition group. If NodeID differs from the registered NodeID
// of the VM, the VM has restarted with an empty disk and the replica is lost.
type Replica struct {
	VM     string `cbor:"1,keyasint"`
	NodeID string `cbor:"2,keyasint"`
}

// Partition is a unit of ownership, with its assigned replicas sorted by VM name.
type Partition struct {
	Name     string    `cbor:"1,keyasint"`
	Replicas []Replica `cbor:"2,keyasint"`
	// InitialReplicas are the replicas of the first assignment, which bootstrap the
	// group. The state machine sets them and they never change: any other replica,
	// including one whose VM has lost its disk, starts empty and learns the members
	// from the group.
	InitialReplicas []Replica `cbor:"3,keyasint,omitempty"`
}

func clonePartition(p Partition) Partition {
	p.Replicas = append([]Replica(nil), p.Replicas...)
	p.InitialReplicas = append([]Replica(nil), p.InitialReplicas...)
	return p
}
