package job

import "slices"

// Phase tells how a task stands.
type Phase uint8

// The phases of a task.
const (
	Waiting Phase = iota // not on any worker
	Claimed              // handed to a worker, which may or may not have started it
	Done
)

// Task is the replicated state of one task.
type Task struct {
	Phase  Phase  `cbor:"1,keyasint,omitempty"`
	Run    uint32 `cbor:"2,keyasint,omitempty"` // number of the newest start; 0 before the first
	Worker uint32 `cbor:"3,keyasint,omitempty"` // number of the worker life of that start
	// Failed numbers the runs that ended as failed; an end may be reported again.
	FailedRuns []uint32 `cbor:"4,keyasint,omitempty"`
	Checkpoint string   `cbor:"5,keyasint,omitempty"` // newest checkpoint that is known
	// Copy is a second run beside Run, 0 if there is none; CopyWorker is where.
	SpeculativeRun    uint32 `cbor:"6,keyasint,omitempty"`
	SpeculativeWorker uint32 `cbor:"7,keyasint,omitempty"`
}

// StepState is the replicated state of one step of one occurrence.
type StepState struct {
	Tasks     []Task `cbor:"1,keyasint"`
	DoneCount int    `cbor:"2,keyasint,omitempty"` // tasks in phase Done
	// Failed numbers the runs of a gang in which a member ended as failed.
	FailedRuns []uint32 `cbor:"3,keyasint,omitempty"`
}

// Finished reports whether all tasks are done.
func (s *StepState) Finished() bool { return s.DoneCount == len(s.Tasks) }

// Occurrence is the replicated state of one run through the steps.
type Occurrence struct {
	Steps []StepState `cbor:"1,keyasint"`
}

func newOccurrence(spec *Spec) *Occurrence {
	o := &Occurrence{Steps: make([]StepState, len(spec.Steps))}
	for i := range o.Steps {
		o.Steps[i].Tasks = make([]Task, spec.Steps[i].Count)
	}
	return o
}

func (o *Occurrence) finished() bool {
	return !slices.ContainsFunc(o.Steps, func(s StepState) bool { return !s.Finished() })
}

// Ready reports whether all steps before step are done.
func (o *Occurrence) Ready(spec *Spec, step int) bool {
	for _, a := range spec.Steps[step].DependsOn {
		if !o.Steps[a].Finished() {
			return false
		}
	}
	return true
}

// Outcome is how a job as a whole stands.
type Outcome uint8

// The outcomes of a job.
const (
	Open Outcome = iota
	Completed
	Failed
	Canceled
)

// String returns the outcome as it stands in logs.
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
	Queue   Queue   `cbor:"2,keyasint"` // as it was when the job was accepted
	Spec    Spec    `cbor:"3,keyasint"`
	Outcome Outcome `cbor:"4,keyasint,omitempty"`
	Started bool    `cbor:"5,keyasint,omitempty"` // a run of a task has ended that had started
	// AcceptedMillis and EndedMillis are the accepting and the ending leader's time of day.
	AcceptedMillis int64 `cbor:"6,keyasint"`
	EndedMillis    int64 `cbor:"7,keyasint,omitempty"`
	// Open occurrences by number; one that was not claimed yet may be absent.
	Occurrences map[uint32]*Occurrence `cbor:"8,keyasint,omitempty"`
	// Finished numbers the occurrences that are done.
	FinishedOccurrences map[uint32]bool `cbor:"9,keyasint,omitempty"`
}

// DueMillis returns when an occurrence is due, 0 for a job without due times.
func (j *Job) DueMillis(occurrence uint32) int64 {
	if j.Spec.Repetitions == 0 {
		return 0
	}
	return j.Spec.StartMillis + int64(occurrence)*j.Spec.IntervalMillis
}

// Occurrence returns the state of an open occurrence, making it if it is new.
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

// Task returns the state of a task, or nil if the job has no such task that is open.
func (j *Job) Task(ref TaskRef) (*Step, *StepState, *Task) {
	o := j.Occurrences[ref.Occurrence]
	if o == nil || int(ref.Step) >= len(o.Steps) || int(ref.Index) >= len(o.Steps[ref.Step].Tasks) {
		return nil, nil, nil
	}
	ss := &o.Steps[ref.Step]
	return &j.Spec.Steps[ref.Step], ss, &ss.Tasks[ref.Index]
}

// Lasting reports whether a step runs until the job is cancelled.
func (j *Job) IsLongRunning() bool {
	return slices.ContainsFunc(j.Spec.Steps, func(s Step) bool { return s.LongRunning })
}

// Worker is one life of a worker: from its start to its end at one address.
type Worker struct {
	Number        uint32    `cbor:"1,keyasint"` // unique for each life
	Name          string    `cbor:"2,keyasint"`
	StartedMillis int64     `cbor:"3,keyasint"` // the worker's own start time; tells lives of one name apart
	Address       string    `cbor:"4,keyasint"`
	Pool          string    `cbor:"5,keyasint"`
	FailureDomain string    `cbor:"6,keyasint,omitempty"` // failure domain
	Machine       string    `cbor:"7,keyasint,omitempty"`
	Labels        []string  `cbor:"8,keyasint,omitempty"` // Rack included
	Capacity      Resources `cbor:"9,keyasint"`
	Leaving       bool      `cbor:"10,keyasint,omitempty"`
	Rack          string    `cbor:"11,keyasint,omitempty"`
}

// HasLabel reports whether the worker has a label; every worker has the empty one.
func (w *Worker) HasLabel(l string) bool { return l == "" || slices.Contains(w.Labels, l) }

// SameLife reports whether two announcements come from one life of a worker.
func (w *Worker) SameIncarnation(o *Worker) bool {
	return w.Name == o.Name && w.StartedMillis == o.StartedMillis && w.Address == o.Address
}

// Member is a VM that holds a replica.
type Member struct {
	Address       string `cbor:"1,keyasint"` // for calls between VMs
	NodeID        string `cbor:"2,keyasint"` // raft identity; a new one for each life of the disk
	FailureDomain string `cbor:"3,keyasint,omitempty"`
	Region        string `cbor:"4,keyasint,omitempty"`
	// Public is where operators and workers reach the VM.
	PublicAddress string `cbor:"5,keyasint,omitempty"`
}
