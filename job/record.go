package job

import "slices"

// Phase is the state of a task.
type Phase uint8

// The phases of a task.
const (
	Waiting Phase = iota // not assigned to a worker
	Claimed              // assigned to a worker, which may or may not have started it
	Done                 // a run of the task, or of its gang, is done
)

// Task is the replicated state of one task.
type Task struct {
	Phase  Phase  `cbor:"1,keyasint,omitempty"`
	Run    uint32 `cbor:"2,keyasint,omitempty"` // number of the newest run; 0 before the first claim
	Worker uint32 `cbor:"3,keyasint,omitempty"` // number of the worker incarnation of that run
	// FailedRuns holds the numbers of the runs that ended as failed. A run is listed once, even
	// if its end is reported again.
	FailedRuns []uint32 `cbor:"4,keyasint,omitempty"`
	Checkpoint string   `cbor:"5,keyasint,omitempty"` // newest known checkpoint, empty if there is none
	// SpeculativeRun is the number of a second run of the task, which runs in parallel with Run;
	// 0 before the first. SpeculativeWorker is its worker incarnation, 0 if there is no such run
	// now.
	SpeculativeRun    uint32 `cbor:"6,keyasint,omitempty"`
	SpeculativeWorker uint32 `cbor:"7,keyasint,omitempty"`
}

// StepState is the replicated state of one step of one occurrence.
type StepState struct {
	Tasks     []Task `cbor:"1,keyasint"`
	DoneCount int    `cbor:"2,keyasint,omitempty"` // tasks in phase Done
	// FailedRuns holds the numbers of the runs of a gang in which a member ended as failed.
	FailedRuns []uint32 `cbor:"3,keyasint,omitempty"`
}

// Finished reports whether all tasks are done.
func (s *StepState) Finished() bool { return s.DoneCount == len(s.Tasks) }

// Occurrence is the replicated state of one repetition of a job's steps.
type Occurrence struct {
	Steps []StepState `cbor:"1,keyasint"`
}

// newOccurrence returns an occurrence whose tasks all wait.
func newOccurrence(spec *Spec) *Occurrence {
	o := &Occurrence{Steps: make([]StepState, len(spec.Steps))}
	for i := range o.Steps {
		o.Steps[i].Tasks = make([]Task, spec.Steps[i].Count)
	}
	return o
}

// finished reports whether all steps are done.
func (o *Occurrence) finished() bool {
	return !slices.ContainsFunc(o.Steps, func(s StepState) bool { return !s.Finished() })
}

// Ready reports whether all steps on which a step depends are done.
func (o *Occurrence) Ready(spec *Spec, step int) bool {
	for _, a := range spec.Steps[step].DependsOn {
		if !o.Steps[a].Finished() {
			return false
		}
	}
	return true
}

// Outcome is the state of a job as a whole.
type Outcome uint8

// The outcomes of a job.
const (
	Open Outcome = iota
	Completed
	Failed
	Canceled
)

// String returns the outcome as it appears in logs.
func (o Outcome) String() string {
	names := [...]string{"open", "done", "failed", "canceled"}
	if int(o) < len(names) {
		return names[o]
	}
	return "invalid"
}

// Job is the replicated record of an accepted job.
type Job struct {
	ID      ID      `cbor:"1,keyasint"`
	Queue   Queue   `cbor:"2,keyasint"` // as configured when the job was accepted
	Spec    Spec    `cbor:"3,keyasint"`
	Outcome Outcome `cbor:"4,keyasint,omitempty"`
	Started bool    `cbor:"5,keyasint,omitempty"` // a run that had started has ended
	// AcceptedMillis and EndedMillis are Unix times in milliseconds, taken from the clock of the
	// leader that accepted or ended the job.
	AcceptedMillis int64 `cbor:"6,keyasint"`
	EndedMillis    int64 `cbor:"7,keyasint,omitempty"`
	// Occurrences holds the unfinished occurrences by number. One without a claim so far may be
	// absent.
	Occurrences map[uint32]*Occurrence `cbor:"8,keyasint,omitempty"`
	// FinishedOccurrences holds the numbers of the occurrences that are done.
	FinishedOccurrences map[uint32]bool `cbor:"9,keyasint,omitempty"`
	// Account is the name of the account that submitted the job, empty if no key was needed.
	Account string `cbor:"10,keyasint,omitempty"`
}

// DueMillis returns the Unix time in milliseconds at which an occurrence may start, 0 for a job without
// repetitions.
func (j *Job) DueMillis(occurrence uint32) int64 {
	if j.Spec.Repetitions == 0 {
		return 0
	}
	return j.Spec.StartMillis + int64(occurrence)*j.Spec.IntervalMillis
}

// EnsureOccurrence returns the state of an unfinished occurrence, creating it if it is absent.
func (j *Job) EnsureOccurrence(k uint32) *Occurrence {
	o := j.Occurrences[k]
	if o == nil {
		o = newOccurrence(&j.Spec)
		if j.Occurrences == nil {
			j.Occurrences = map[uint32]*Occurrence{}
		}
		j.Occurrences[k] = o
	}
	return o
}

// Task returns the step of a task, the step's state and the task's state. All are nil if the
// job has no unfinished occurrence with this task.
func (j *Job) Task(ref TaskRef) (*Step, *StepState, *Task) {
	o := j.Occurrences[ref.Occurrence]
	if o == nil || int(ref.Step) >= len(o.Steps) || int(ref.Index) >= len(o.Steps[ref.Step].Tasks) {
		return nil, nil, nil
	}
	ss := &o.Steps[ref.Step]
	return &j.Spec.Steps[ref.Step], ss, &ss.Tasks[ref.Index]
}

// IsLongRunning reports whether a step of the job runs until the job is cancelled.
func (j *Job) IsLongRunning() bool {
	return slices.ContainsFunc(j.Spec.Steps, func(s Step) bool { return s.LongRunning })
}

// Worker is one incarnation of a worker: the time from a start of its process to its end, at
// one address.
type Worker struct {
	Number        uint32    `cbor:"1,keyasint"` // unique for each incarnation
	Name          string    `cbor:"2,keyasint"`
	StartedMillis int64     `cbor:"3,keyasint"` // start time on the worker's clock; distinguishes incarnations of one name
	Address       string    `cbor:"4,keyasint"`
	Pool          string    `cbor:"5,keyasint"`
	FailureDomain string    `cbor:"6,keyasint,omitempty"`
	Machine       string    `cbor:"7,keyasint,omitempty"` // machine on which the worker runs
	Labels        []string  `cbor:"8,keyasint,omitempty"` // includes the rack
	Capacity      Resources `cbor:"9,keyasint"`
	Leaving       bool      `cbor:"10,keyasint,omitempty"` // shuts down and accepts no new tasks
	Rack          string    `cbor:"11,keyasint,omitempty"`
	// Settled is set once every lease that orders for earlier incarnations may have got here has
	// expired. Such orders carry times of another clock, so their leases are as long as workers grant.
	Settled bool `cbor:"12,keyasint,omitempty"`
}

// HasLabel reports whether the worker has a label. Every worker has the empty label.
func (w *Worker) HasLabel(l string) bool { return l == "" || slices.Contains(w.Labels, l) }

// SameIncarnation reports whether two announcements come from one incarnation of a worker.
func (w *Worker) SameIncarnation(o *Worker) bool {
	return w.Name == o.Name && w.StartedMillis == o.StartedMillis && w.Address == o.Address
}

// Conflicts reports whether at most one of two incarnations can run now, since they have the same
// name or the same address.
func (w *Worker) Conflicts(o *Worker) bool { return w.Name == o.Name || w.Address == o.Address }

// Member is a VM that holds a replica of the cell.
type Member struct {
	Address       string `cbor:"1,keyasint"` // for calls between VMs
	NodeID        string `cbor:"2,keyasint"` // Raft node ID; a VM with an empty disk gets a new one
	FailureDomain string `cbor:"3,keyasint,omitempty"`
	Region        string `cbor:"4,keyasint,omitempty"`
	// PublicAddress is where operators and workers reach the VM.
	PublicAddress string `cbor:"5,keyasint,omitempty"`
	Format        uint32 `cbor:"6,keyasint,omitempty"` // newest format of operations that the VM applies
}
