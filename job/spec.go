package job

import (
	"github.com/pkg/errors"
)

// Resources are processors in thousandths of a core, memory in MB, and accelerators.
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

// Fits reports whether r has room for o in each dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU >= o.MilliCPU && r.MemoryMB >= o.MemoryMB && r.GPU >= o.GPU
}

// Step is a set of like tasks of a job.
type Step struct {
	Count          int       `cbor:"1,keyasint"`
	TaskResources  Resources `cbor:"2,keyasint"`            // of one task
	EstimateMillis int64     `cbor:"3,keyasint,omitempty"`  // rough length of one task
	DependsOn      []int     `cbor:"4,keyasint,omitempty"`  // earlier steps that must be done first
	Checkpointing  bool      `cbor:"5,keyasint,omitempty"`  // tasks save progress and can resume
	Gang           bool      `cbor:"6,keyasint,omitempty"`  // tasks work only all together
	SameRack       bool      `cbor:"7,keyasint,omitempty"`  // a gang that is slow across racks
	RequiredLabel  string    `cbor:"8,keyasint,omitempty"`  // the worker must have it
	DataRack       string    `cbor:"9,keyasint,omitempty"`  // tasks are slow on other racks
	MaxPerWorker   int       `cbor:"10,keyasint,omitempty"` // tasks of the step on one worker; 0 means any
	Speculative    bool      `cbor:"11,keyasint,omitempty"` // copies of a task may run at once
	LongRunning    bool      `cbor:"12,keyasint,omitempty"` // runs until the job is cancelled
	Image          string    `cbor:"13,keyasint,omitempty"`
	// TailTargetMillis bounds the response time of a lasting task's own users.
	TailLatencyTargetMillis int64 `cbor:"14,keyasint,omitempty"`
	// Fills means that the tasks use what others leave of the processors.
	BestEffortCPU bool `cbor:"15,keyasint,omitempty"`
	// MaxAway is how many tasks of a lasting step may be away through the system's doing;
	// 0 means any.
	MaxUnavailable int `cbor:"16,keyasint,omitempty"`
}

// Reserved is what one task takes from a worker's capacity.
func (s *Step) Allocation() Resources {
	r := s.TaskResources
	if s.BestEffortCPU {
		r.MilliCPU = 0
	}
	return r
}

// Spec is a job as its caller submitted it.
type Spec struct {
	Payload string `cbor:"1,keyasint,omitempty"` // handed to each task
	Steps   []Step `cbor:"2,keyasint"`
	// Repetitions greater than 0 makes the steps run that many times; occurrence K is due
	// at StartMillis + K * IntervalMillis since 1970.
	Repetitions    int   `cbor:"3,keyasint,omitempty"`
	StartMillis    int64 `cbor:"4,keyasint,omitempty"`
	IntervalMillis int64 `cbor:"5,keyasint,omitempty"`
}

// Occurrences is how many times the steps run.
func (s *Spec) Occurrences() int { return max(s.Repetitions, 1) }

// Bounds of a job. Payload is the users' limit; the others keep task names within their
// number ranges and a job within one message.
const (
	maxPayloadBytes = 4000
	maxSteps        = 256
	maxTasks        = 16384
)

// Check refuses a spec that names no work or work that cannot be told apart.
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

func (s *Step) check(number int) error {
	if s.Count < 1 || s.Count > maxTasks {
		return errors.Errorf("step %d: count %d; want 1 to %d", number, s.Count, maxTasks)
	}
	if s.TaskResources.MilliCPU < 0 || s.TaskResources.MemoryMB < 0 || s.TaskResources.GPU < 0 {
		return errors.Errorf("step %d: a resource is negative", number)
	}
	for _, a := range s.DependsOn {
		if a < 0 || a >= number {
			return errors.Errorf("step %d: depends on step %d, which is not an earlier one", number, a)
		}
	}
	return nil
}
