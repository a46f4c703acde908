package job

// EndKind tells how a run of a task ended.
type EndKind uint8

// The kinds of end.
const (
	EndDone EndKind = iota + 1
	EndFailed
	EndStopped      // by an order, or because another member of the gang ended
	EndLeaseExpired // the lease ended
	EndLost         // the worker's life ended, or its lease has certainly ended
	EndNotStarted   // the worker refused it or will refuse it
)

// started reports whether an end of this kind proves that the run had started.
func (k EndKind) started() bool {
	return k == EndDone || k == EndFailed || k == EndStopped || k == EndLeaseExpired
}

// String returns the kind as it stands in logs.
func (k EndKind) String() string {
	names := [...]string{"none", "done", "failed", "stopped", "lapsed", "lost", "not_started"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Submit accepts a job.
type Submit struct {
	ID             ID     `cbor:"1,keyasint"`
	Queue          string `cbor:"2,keyasint"`
	Spec           Spec   `cbor:"3,keyasint"`
	AcceptedMillis int64  `cbor:"4,keyasint"`
}

// Cancel cancels a job.
type Cancel struct {
	ID       ID    `cbor:"1,keyasint"`
	AtMillis int64 `cbor:"2,keyasint"`
}

// Claim hands a task to a worker life.
type Claim struct {
	Task        TaskRef `cbor:"1,keyasint"`
	Run         uint32  `cbor:"2,keyasint"`
	Worker      uint32  `cbor:"3,keyasint"`
	Checkpoint  string  `cbor:"4,keyasint,omitempty"` // the checkpoint to resume from
	Speculative bool    `cbor:"5,keyasint,omitempty"` // beside the run that is under way
}

// End ends one run of a task.
type End struct {
	Task       TaskRef `cbor:"1,keyasint"`
	Run        uint32  `cbor:"2,keyasint"`
	Kind       EndKind `cbor:"3,keyasint"`
	Checkpoint string  `cbor:"4,keyasint,omitempty"`
	AtMillis   int64   `cbor:"5,keyasint"`
}

// Op is one operation of a batch; exactly one field is set.
type Op struct {
	Submit           *Submit        `cbor:"1,keyasint,omitempty"`
	Cancel           *Cancel        `cbor:"2,keyasint,omitempty"`
	Claim            *Claim         `cbor:"3,keyasint,omitempty"`
	End              *End           `cbor:"4,keyasint,omitempty"`
	RegisterWorker   *Worker        `cbor:"5,keyasint,omitempty"` // a new life, or a change of a known one
	DeregisterWorker uint32         `cbor:"6,keyasint,omitempty"` // number of a worker life that is over
	Config           *Config        `cbor:"7,keyasint,omitempty"`
	Member           *Member        `cbor:"8,keyasint,omitempty"`
	DeleteJobs       []ID           `cbor:"9,keyasint,omitempty"`  // jobs that ended long ago
	EndsCommitted    *EndsCommitted `cbor:"10,keyasint,omitempty"` // changes nothing in the state
}

// Noted marks, behind the ends that it covers, that all ends of a worker life up to a
// number are in the log.
type EndsCommitted struct {
	Worker uint32 `cbor:"1,keyasint"`
	UpTo   uint64 `cbor:"2,keyasint"`
}
