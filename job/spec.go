package job

import (
	"github.com/pkg/errors"
)

// Resources is an amount of processor time in thousandths of a core, memory in MB, and GPUs
// (accelerators).
type Resources struct {
	MilliCPU int64 `cbor:"1,keyasint,omitempty"`
	MemoryMB int64 `cbor:"2,keyasint,omitempty"`
	GPU      int64 `cbor:"3,keyasint,omitempty"`
}

// Plus returns r + o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Minus returns r - o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Fits reports whether o fits into r in each dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU >= o.MilliCPU && r.MemoryMB >= o.MemoryMB && r.GPU >= o.GPU
}

// Step is a set of tasks of a job that have the same requirements.
type Step struct {
	Count          int       `cbor:"1,keyasint"`
	TaskResources  Resources `cbor:"2,keyasint"`            // requested by one task
	EstimateMillis int64     `cbor:"3,keyasint,omitempty"`  // estimated duration of one task
	DependsOn      []int     `cbor:"4,keyasint,omitempty"`  // indexes of earlier steps that must be done first
	Checkpointing  bool      `cbor:"5,keyasint,omitempty"`  // tasks save progress and can resume
	Gang           bool      `cbor:"6,keyasint,omitempty"`  // tasks only make progress while all of them run
	SameRack       bool      `cbor:"7,keyasint,omitempty"`  // gang that runs slowly when it spans racks
	RequiredLabel  string    `cbor:"8,keyasint,omitempty"`  // label that the worker must have; empty for any worker
	DataRack       string    `cbor:"9,keyasint,omitempty"`  // rack of the input data; tasks run more slowly elsewhere
	MaxPerWorker   int       `cbor:"10,keyasint,omitempty"` // limit of the step's tasks on one worker; 0 means no limit
	Speculative    bool      `cbor:"11,keyasint,omitempty"` // a second run of a task may be started in parallel
	LongRunning    bool      `cbor:"12,keyasint,omitempty"` // tasks run until the job is cancelled
	Image          string    `cbor:"13,keyasint,omitempty"`
	// TailLatencyTargetMillis is the upper bound for the response times that a long-running task
	// gives its own users.
	TailLatencyTargetMillis int64 `cbor:"14,keyasint,omitempty"`
	// BestEffortCPU means that the tasks have no processors allocated and use what other tasks
	// leave idle.
	BestEffortCPU bool `cbor:"15,keyasint,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step the system itself may have stopped
	// at a time; 0 means no limit.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Allocation returns what one task takes from a worker's capacity.
func (s *Step) Allocation() Resources {
	r := s.TaskResources
	if s.BestEffortCPU {
		r.MilliCPU = 0
	}
	return r
}

// Spec is a job as its caller submitted it.
type Spec struct {
	Payload string `cbor:"1,keyasint,omitempty"` // passed to each task
	Steps   []Step `cbor:"2,keyasint"`
	// Repetitions greater than 0 makes the steps run that many times. Occurrence K is due at
	// StartMillis + K * IntervalMillis, in Unix milliseconds (since 1970).
	Repetitions    int   `cbor:"3,keyasint,omitempty"`
	StartMillis    int64 `cbor:"4,keyasint,omitempty"`
	IntervalMillis int64 `cbor:"5,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (s *Spec) Occurrences() int { return max(s.Repetitions, 1) }

// Limits of a job. The payload limit is promised to users; the others keep the step and task
// indexes within their integer types and a job within one message.
const (
	maxPayloadBytes = 4000
	maxSteps        = 256
	maxTasks        = 16384
)

// Check returns an error if the payload, the number of steps or the number of tasks is out of
// bounds, the repetitions or a resource is negative, or a step depends on a step that is not an earlier one.
func (s *Spec) Check() error {
	switch {
	case len(s.Payload) > maxPayloadBytes:
		return errors.Errorf("payload of %d bytes; at most %d", len(s.Payload), maxPayloadBytes)
	case len(s.Steps) == 0 || len(s.Steps) > maxSteps:
		return errors.Errorf("%d steps; want 1 to %d", len(s.Steps), maxSteps)
	case s.Repetitions < 0:
		return errors.Errorf("repetitions %d is negative", s.Repetitions)
	}
	total := 0
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
		total += s.Steps[i].Count
	}
	if total > maxTasks {
		return errors.Errorf("%d tasks; at most %d", total, maxTasks)
	}
	return nil
}

// check returns an error if the step with the given index is invalid.
func (s *Step) check(index int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return errors.Errorf("step %d: count %d; want 1 to %d", index, s.Count, maxTasks)
	}
	if s.TaskResources.MilliCPU < 0 || s.TaskResources.MemoryMB < 0 || s.TaskResources.GPU < 0 {
		return errors.Errorf("step %d: negative resources %+v", index, s.TaskResources)
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= index {
			return errors.Errorf("step %d: depends on step %d, which is not an earlier one", index, a)
		}
	}
	return nil
}
