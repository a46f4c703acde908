package job

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ID identifies a job. Callers choose it; its text form is 16 lower-case hexadecimal digits.
type ID uint64

const idDigits = 16

// ParseID parses 16 lower-case hexadecimal digits. It returns an error for other spellings
// of the same number, since workers compare task names as text and would take them for
// different tasks.
func ParseID(s string) (ID, error) {
	if len(s) != idDigits || strings.ToLower(s) != s {
		return 0, errors.Errorf("job id %q: want %d lower-case hexadecimal digits", s, idDigits)
	}
	v, err := strconv.ParseUint(s, 16, 64)
	return ID(v), errors.Wrapf(err, "job id %q", s)
}

// String returns the 16 digits.
func (id ID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// StepRef identifies one step of one occurrence of a job.
type StepRef struct {
	Job        ID     `cbor:"1,keyasint"`
	Occurrence uint32 `cbor:"2,keyasint,omitempty"`
	Step       uint16 `cbor:"3,keyasint,omitempty"`
}

// String returns "ID.OCCURRENCE.STEP".
func (r StepRef) String() string {
	return r.Job.String() + "." + strconv.Itoa(int(r.Occurrence)) + "." + strconv.Itoa(int(r.Step))
}

// TaskRef identifies one task of a step.
type TaskRef struct {
	StepRef
	Index uint16 `cbor:"4,keyasint,omitempty"`
}

// String returns "ID.OCCURRENCE.STEP.INDEX".
func (r TaskRef) String() string { return r.StepRef.String() + "." + strconv.Itoa(int(r.Index)) }

// ParseTaskRef parses the result of TaskRef.String.
func ParseTaskRef(s string) (TaskRef, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskRef{}, errors.Errorf("task name %q: want ID.OCCURRENCE.STEP.INDEX", s)
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
