package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ID names a job. Callers choose it; it is written as 16 hexadecimal digits.
type ID uint64

const idDigits = 16

// ParseID reads 16 lower-case hexadecimal digits. Other spellings are refused, since a
// worker would know the same task under two names.
func ParseID(s string) (ID, error) {
	if len(s) != idDigits || strings.ToLower(s) != s {
		return 0, errors.Errorf("job id %q: want %d lower-case hexadecimal digits", s, idDigits)
	}
	v, err := strconv.ParseUint(s, 16, 64)
	return ID(v), errors.Wrapf(err, "job id %q", s)
}

// String returns the 16 digits.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// StepRef names one step of one occurrence of a job.
type StepRef struct {
	Job        ID     `cbor:"1,keyasint"`
	Occurrence uint32 `cbor:"2,keyasint,omitempty"`
	Step       uint16 `cbor:"3,keyasint,omitempty"`
}

// String returns "ID.OCCURRENCE.STEP".
func (r StepRef) String() string {
	return r.Job.String() + "." + strconv.Itoa(int(r.Occurrence)) + "." + strconv.Itoa(int(r.Step))
}

// TaskRef names one task.
type TaskRef struct {
	StepRef
	Index uint16 `cbor:"4,keyasint,omitempty"`
}

// String returns "ID.OCCURRENCE.STEP.INDEX".
func (r TaskRef) String() string { return r.StepRef.String() + "." + strconv.Itoa(int(r.Index)) }

// ParseTaskRef reads what TaskRef.String writes.
func ParseTaskRef(s string) (TaskRef, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskRef{}, errors.Errorf("task name %q: want four parts", s)
	}
	id, err := ParseID(parts[0])
	if err != nil {
		return TaskRef{}, err
	}
	var n [3]uint64
	for i, bits := range []int{32, 16, 16} {
		if n[i], err = strconv.ParseUint(parts[i+1], 10, bits); err != nil {
			return TaskRef{}, errors.Wrapf(err, "task name %q", s)
		}
	}
	return TaskRef{StepRef{id, uint32(n[0]), uint16(n[1])}, uint16(n[2])}, nil
}
