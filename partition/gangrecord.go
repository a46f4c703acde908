package partition

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
)

// taskPlace is where one task of a gang is claimed to run.
type taskPlace struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// taskRecord is one task of a gang's attempt. Replicated.
type taskRecord struct {
	Worker      string     `cbor:"1,keyasint"`
	Incarnation string     `cbor:"2,keyasint"`
	End         attemptEnd `cbor:"3,keyasint,omitempty"`
	// Answer is kept until the request has a final outcome or its attempt cannot become
	// done any more.
	Answer []byte `cbor:"4,keyasint,omitempty"`
}

// isGang reports whether the request has more than one task.
func (s *spec) isGang() bool { return s.Tasks > 1 }

// taskCount returns the number of tasks, at least 1.
func (s *spec) taskCount() int { return max(s.Tasks, 1) }

// taskRecords returns the tasks of a newly claimed attempt, nil for a single task.
func taskRecords(places []taskPlace) []taskRecord {
	var tasks []taskRecord
	for _, p := range places {
		tasks = append(tasks, taskRecord{Worker: p.Worker, Incarnation: p.Incarnation})
	}
	return tasks
}

// endTask enters the end of one task of a gang and settles the request once no task of
// the attempt is open, or at once if the task failed.
func (r *record) endTask(epoch uint64, c *endCommand) {
	a := r.attempt(c.Task.Attempt)
	if c.End == attemptWithdrawn {
		if a != nil {
			r.remove(c.Task.Attempt)
			r.settle(epoch, c.End, c.Reason, c.MaxAttempts)
		}
		return
	}
	if a == nil && len(c.Assignments) == r.Spec.Tasks {
		r.Attempts = append(r.Attempts, attemptRecord{
			Number: c.Task.Attempt, Worker: c.Assignments[0].Worker, Incarnation: c.Assignments[0].Incarnation,
			Tasks: taskRecords(c.Assignments),
		})
		a = &r.Attempts[len(r.Attempts)-1]
	}
	if a == nil || c.Task.Index < 0 || c.Task.Index >= len(a.Tasks) || c.End <= a.Tasks[c.Task.Index].End {
		return
	}
	wasOpen := a.End == attemptOpen
	a.endTask(c)
	switch {
	case c.End == attemptFailed:
		r.finish(api.StateFailed, fmt.Sprintf("task %d failed: %s", c.Task.Index, c.Reason))
	case a.answerSize() > api.MaxBodyBytes:
		r.finish(api.StateFailed, fmt.Sprintf("task %d: the answers of the gang are over 1 MiB as a JSON array", c.Task.Index))
	case a.End == attemptDone:
		r.Answer = a.answer()
		r.AnswerDigest = digestOf(r.Answer)
		r.finish(api.StateDone, "")
	case wasOpen || r.State == api.StateUnknown:
		r.settle(epoch, a.End, a.Reason, c.MaxAttempts)
	}
}

// endTask enters the end of one task.
func (a *attemptRecord) endTask(c *endCommand) {
	t := &a.Tasks[c.Task.Index]
	t.End = c.End
	if c.End == attemptDone {
		t.Answer = c.Answer
	} else if a.Reason == "" {
		a.Reason = fmt.Sprintf("task %d: %s", c.Task.Index, c.Reason)
	}
	a.End = a.sumUp()
	if a.End == attemptRefused || a.End == attemptStopped {
		a.dropAnswers()
	}
}

// sumUp returns the end of a gang's attempt. It is refused only if no task has started,
// and stopped if it is known of each task what became of it, but not all are done.
func (a *attemptRecord) sumUp() attemptEnd {
	var ends [attemptDone + 1]int
	for _, t := range a.Tasks {
		ends[t.End]++
	}
	for _, end := range []attemptEnd{attemptOpen, attemptFailed, attemptLost} {
		if ends[end] > 0 {
			return end
		}
	}
	for _, end := range []attemptEnd{attemptRefused, attemptDone} {
		if ends[end] == len(a.Tasks) {
			return end
		}
	}
	return attemptStopped
}

// isDoomed reports whether a task has ended without being done, so that the others have
// to end too.
func (a *attemptRecord) isDoomed() bool {
	for _, t := range a.Tasks {
		if t.End != attemptOpen && t.End != attemptDone {
			return true
		}
	}
	return false
}

// answerSize returns the size in bytes of the gang's answer, with those of the tasks
// that are not done counted as empty.
func (a *attemptRecord) answerSize() int {
	const quotesAndComma = 3
	size := 1 // two brackets, less the comma that the last element lacks
	for _, t := range a.Tasks {
		size += base64.StdEncoding.EncodedLen(len(t.Answer)) + quotesAndComma
	}
	return size
}

// answer returns the JSON array of the tasks' answers as base64 strings.
func (a *attemptRecord) answer() []byte {
	answers := make([]string, len(a.Tasks))
	for i, t := range a.Tasks {
		answers[i] = base64.StdEncoding.EncodeToString(t.Answer)
	}
	data, err := json.Marshal(answers)
	if err != nil {
		panic(errors.Wrap(err, "partition: encode strings"))
	}
	return data
}

func (a *attemptRecord) dropAnswers() {
	for i := range a.Tasks {
		a.Tasks[i].Answer = nil
	}
}

// dropTaskAnswers drops the answers of single tasks of a gang, which its outcome does
// not need any more.
func (r *record) dropTaskAnswers() {
	for i := range r.Attempts {
		r.Attempts[i].dropAnswers()
	}
}
