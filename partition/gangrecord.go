package partition

import (
	"encoding/base64"
	"encoding/json"
	"fmt"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
)

// taskAssignment is the worker and incarnation to which a claim assigns one task of a gang.
type taskAssignment struct {
	Worker      string `cbor:"1,keyasint"`
	Incarnation string `cbor:"2,keyasint"`
}

// taskRecord is the replicated state of one task of a gang's attempt.
type taskRecord struct {
	Worker      string     `cbor:"1,keyasint"`
	Incarnation string     `cbor:"2,keyasint"`
	End         attemptEnd `cbor:"3,keyasint,omitempty"`
	// Answer is kept until the request has a final outcome or its attempt can no longer
	// become done.
	Answer []byte `cbor:"4,keyasint,omitempty"`
}

// isGang reports whether the request has more than one task.
func (s *spec) isGang() bool { return s.Tasks > 1 }

// taskCount returns the number of tasks, at least 1.
func (s *spec) taskCount() int { return max(s.Tasks, 1) }

// taskRecords returns the tasks of a newly claimed attempt. It returns nil for a single task.
func taskRecords(assignments []taskAssignment) []taskRecord {
	var tasks []taskRecord
	for _, a := range assignments {
		tasks = append(tasks, taskRecord{Worker: a.Worker, Incarnation: a.Incarnation})
	}
	return tasks
}

// applyTaskEnd records the end of one task of a gang. It updates the state of the request
// once no task of the attempt is open, or immediately if the task failed.
func (r *record) applyTaskEnd(epoch uint64, c *endCommand) {
	a := r.attempt(c.Task.Attempt)
	if c.End == attemptWithdrawn {
		if a != nil {
			r.removeAttempt(c.Task.Attempt)
			r.requeueOrConclude(epoch, c.End, c.Reason, c.MaxAttempts)
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
	a.recordTaskEnd(c)
	switch {
	case c.End == attemptFailed:
		r.setOutcome(api.StateFailed, fmt.Sprintf("task %d failed: %s", c.Task.Index, c.Reason))
	case a.answerSize() > api.MaxBodyBytes:
		r.setOutcome(api.StateFailed, fmt.Sprintf("task %d: the answers of the gang are over 1 MiB as a JSON array", c.Task.Index))
	case a.End == attemptDone:
		r.Answer = a.answer()
		r.AnswerDigest = answerDigest(r.Answer)
		r.setOutcome(api.StateDone, "")
	case wasOpen || r.State == api.StateUnknown:
		r.requeueOrConclude(epoch, a.End, a.Reason, c.MaxAttempts)
	}
}

// recordTaskEnd records the end of one task and updates the end of the attempt.
func (a *attemptRecord) recordTaskEnd(c *endCommand) {
	t := &a.Tasks[c.Task.Index]
	t.End = c.End
	if c.End == attemptDone {
		t.Answer = c.Answer
	} else if a.Reason == "" {
		a.Reason = fmt.Sprintf("task %d: %s", c.Task.Index, c.Reason)
	}
	a.End = a.combinedEnd()
	if a.End == attemptRefused || a.End == attemptStopped {
		a.dropAnswers()
	}
}

// combinedEnd returns the end of a gang's attempt. It is refused only if no task has started,
// and stopped if the end of every task is known, none failed and not all are done.
func (a *attemptRecord) combinedEnd() attemptEnd {
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

// hasUnsuccessfulTask reports whether a task has ended without being done, so that the others
// must end too.
func (a *attemptRecord) hasUnsuccessfulTask() bool {
	for _, t := range a.Tasks {
		if t.End != attemptOpen && t.End != attemptDone {
			return true
		}
	}
	return false
}

// answerSize returns the size in bytes of the gang's answer. Tasks that are not done count
// with an empty answer.
func (a *attemptRecord) answerSize() int {
	const quotesAndComma = 3
	size := 1 // two brackets, minus the comma that the last element lacks
	for _, t := range a.Tasks {
		size += base64.StdEncoding.EncodedLen(len(t.Answer)) + quotesAndComma
	}
	return size
}

// answer returns the tasks' answers as a JSON array of base64 strings.
func (a *attemptRecord) answer() []byte {
	answers := make([]string, len(a.Tasks))
	for i, t := range a.Tasks {
		answers[i] = base64.StdEncoding.EncodeToString(t.Answer)
	}
	data, err := json.Marshal(answers)
	if err != nil {
		panic(errors.Wrap(err, "partition: encode answers of a gang"))
	}
	return data
}

// dropAnswers drops the answers of the individual tasks.
func (a *attemptRecord) dropAnswers() {
	for i := range a.Tasks {
		a.Tasks[i].Answer = nil
	}
}

// dropTaskAnswers drops the answers of the individual tasks of a gang, which are not needed once
// the gang has a final outcome.
func (r *record) dropTaskAnswers() {
	for i := range r.Attempts {
		r.Attempts[i].dropAnswers()
	}
}
