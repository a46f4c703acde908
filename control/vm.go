package control

// VM is one VM of the cluster as registered in the control log.
type VM struct {
	Name string `cbor:"1,keyasint"`
	// Node is the raft identity: the VM name with the incarnation of its data folder.
	NodeID        string `cbor:"2,keyasint"`
	Region        string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	HasDisk       bool   `cbor:"5,keyasint,omitempty"`
	// PeerAddress is host:port for net/rpc between VMs.
	PeerAddress string `cbor:"6,keyasint,omitempty"`
	// HTTPAddress is host:port for callers, workers and operators.
	HTTPAddress string `cbor:"7,keyasint,omitempty"`
}

// Replica is one member of a partition group. Node differs from the registered node of
// the VM when the VM has come back with an empty disk; the replica is lost then.
type Replica struct {
	VM     string `cbor:"1,keyasint"`
	NodeID string `cbor:"2,keyasint"`
}

// Partition is a unit of ownership with its assigned replicas, sorted by VM name.
type Partition struct {
	Name     string    `cbor:"1,keyasint"`
	Replicas []Replica `cbor:"2,keyasint"`
	// Initial are the replicas of the first assignment, which create the group. They
	// are set by the state machine and never change: a VM that is not among them starts
	// empty and learns the members from the group, also after its own disk was lost.
	InitialReplicas []Replica `cbor:"3,keyasint,omitempty"`
}

func clonePartition(p Partition) Partition {
	p.Replicas = append([]Replica(nil), p.Replicas...)
	p.InitialReplicas = append([]Replica(nil), p.InitialReplicas...)
	return p
}
