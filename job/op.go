package job

// EndKind is how a run of a task ended.
type EndKind uint8

// The ways in which a run ends.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped      // by a stop order, or because another member of its gang ended
	EndLeaseExpired // the worker stopped it when the lease expired
	EndLost         // the worker's incarnation is over, or the lease has certainly expired
	EndNotStarted   // the worker refused the start, or will refuse it if it arrives
)

// impliesStarted reports whether an end of this kind proves that the run had started.
func (k EndKind) impliesStarted() bool {
	return k == EndDone || k == EndFailed || k == EndStopped || k == EndLeaseExpired
}

// String returns the kind as it appears in logs.
func (k EndKind) String() string {
	names := [...]string{"none", "done", "failed", "stopped", "lapsed", "lost", "not_started"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Formats of operations. A VM announces the newest one that it applies in its Member. An operation of a
// format that some replica does not apply must not be proposed, since the replicas would differ.
const (
	FormatBase       uint32 = iota // VMs of earlier builds announce none
	FormatAnyVersion               // a first Config may have a version below 1
	// NewestFormat is the newest format that this build applies.
	NewestFormat = FormatAnyVersion
)

// Submit adds an accepted job.
type Submit struct {
	ID             ID     `cbor:"1,keyasint"`
	Queue          string `cbor:"2,keyasint"`
	Spec           Spec   `cbor:"3,keyasint"`
	AcceptedMillis int64  `cbor:"4,keyasint"`           // Unix milliseconds
	Account        string `cbor:"5,keyasint,omitempty"` // name of the account that submitted the job, if any
}

// Cancel cancels a job.
type Cancel struct {
	ID       ID    `cbor:"1,keyasint"`
	AtMillis int64 `cbor:"2,keyasint"` // Unix milliseconds
}

// Claim assigns a run of a task to a worker incarnation.
type Claim struct {
	Task        TaskRef `cbor:"1,keyasint"`
	Run         uint32  `cbor:"2,keyasint"`           // number of the run, greater than those of earlier runs of the task
	Worker      uint32  `cbor:"3,keyasint"`           // number of the worker incarnation
	Checkpoint  string  `cbor:"4,keyasint,omitempty"` // checkpoint to resume from
	Speculative bool    `cbor:"5,keyasint,omitempty"` // the run is started in addition to the current one
}

// End records that one run of a task has ended.
type End struct {
	Task       TaskRef `cbor:"1,keyasint"`
	Run        uint32  `cbor:"2,keyasint"`
	Kind       EndKind `cbor:"3,keyasint"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"` // newest checkpoint of the run, empty if there is none
	AtMillis   int64   `cbor:"5,keyasint"`           // Unix milliseconds
}

// Op is one operation of a batch. Exactly one field is set.
type Op struct {
	Submit           *Submit        `cbor:"1,keyasint,omitempty"`
	Cancel           *Cancel        `cbor:"2,keyasint,omitempty"`
	Claim            *Claim         `cbor:"3,keyasint,omitempty"`
	End              *End           `cbor:"4,keyasint,omitempty"`
	RegisterWorker   *Worker        `cbor:"5,keyasint,omitempty"` // a new incarnation, or a change of a known one
	DeregisterWorker uint32         `cbor:"6,keyasint,omitempty"` // number of a worker incarnation that is over
	Config           *Config        `cbor:"7,keyasint,omitempty"`
	Member           *Member        `cbor:"8,keyasint,omitempty"`
	DeleteJobs       []ID           `cbor:"9,keyasint,omitempty"`  // ended jobs whose retention is over
	EndsCommitted    *EndsCommitted `cbor:"10,keyasint,omitempty"` // does not change the state
	SettleWorkers    []uint32       `cbor:"11,keyasint,omitempty"` // numbers of worker incarnations; see Worker.Settled
}

// EndsCommitted marks that all ends reported by a worker incarnation up to a number are in
// the log. It follows the ends that it covers.
type EndsCommitted struct {
	Worker uint32 `cbor:"1,keyasint"` // number of the worker incarnation
	UpTo   uint64 `cbor:"2,keyasint"` // number of the newest committed end
}
