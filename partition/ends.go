package partition

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// answerDigest returns the SHA-256 digest of an answer.
func answerDigest(answer []byte) []byte {
	sum := sha256.Sum256(answer)
	return sum[:]
}

// isAnswerIntact reports whether the length and the digest of the answer match. The digest
// may be empty if there is no answer.
func isAnswerIntact(e *api.TaskEnd) bool {
	if len(e.Answer) != e.AnswerLength {
		return false
	}
	if e.AnswerDigest == "" {
		return e.AnswerLength == 0
	}
	return strings.EqualFold(e.AnswerDigest, hex.EncodeToString(answerDigest(e.Answer)))
}

// handleTaskEnd handles a worker's report of an end. It acknowledges the end immediately and
// returns true if there is nothing to record. Otherwise it returns false, and the end is
// acknowledged once its record is committed.
func (o *owner) handleTaskEnd(now time.Duration, w *workerState, e *api.TaskEnd) bool {
	if !isAnswerIntact(e) {
		o.invalidAnswers++ // treated as not received; the worker repeats the report
		return false
	}
	rec, a := o.p.records[e.Task.RequestKey], o.attempts[e.Task]
	if a == nil && e.Kind != api.EndRefused {
		// A refusal of an attempt that is not listed tells nothing about other attempts.
		a = o.adoptEnded(now, w, e.Task)
	}
	if a != nil && a.unclaimed && a.worker == w {
		o.acknowledge(w, e.Task)
		o.removeUnclaimed(now, a)
		return true
	}
	if rec == nil || a == nil || a.worker != w || rec.State.IsFinal() {
		o.acknowledge(w, e.Task)
		if a != nil && a.worker == w && !a.endProposed {
			o.removeAttempt(now, a)
			o.removeIfFinished(now, a.request)
		}
		return true
	}
	if a.endProposed || a.state == stateClaiming {
		return false
	}
	return o.proposeReportedEnd(now, w, a, e)
}

// proposeReportedEnd proposes the record of an end. It acknowledges the end immediately and
// returns true if no record is needed.
func (o *owner) proposeReportedEnd(now time.Duration, w *workerState, a *attempt, e *api.TaskEnd) bool {
	end, reason := recordedEnd(a, w, e)
	if end == attemptLost && a.state == stateLost {
		o.acknowledge(w, e.Task)
		return true
	}
	o.reportOutcome(now, a, end, e)
	a.awaitsAck = true
	w.uncommittedEnds++
	report := *e
	report.Reason = reason
	if len(report.Answer) > api.MaxBodyBytes {
		end, report.Answer = attemptFailed, nil
		report.Reason = "the answer is over 1 MiB"
	}
	o.proposeResult(now, a, &report, end)
	return false
}

// recordedEnd returns how a reported end is recorded, and the reason. A refusal proves that
// the task never ran only if it comes from the addressed incarnation and that incarnation has
// not confirmed the start.
func recordedEnd(a *attempt, w *workerState, e *api.TaskEnd) (attemptEnd, string) {
	switch e.Kind {
	case api.EndDone:
		return attemptDone, ""
	case api.EndFailed:
		return attemptFailed, e.Reason
	case api.EndStopped:
		return attemptStopped, "stopped after it had started: " + e.Reason
	case api.EndRefused:
		if a.incarnation == w.incarnation && !a.confirmed {
			return attemptRefused, "refused by the worker: " + e.Reason
		}
	}
	return attemptLost, "its worker cannot tell whether it ran"
}

// reportOutcome reports to the scheduler how a task ended. It omits tasks that were stopped
// on request, since they say nothing about the reliability of the worker.
func (o *owner) reportOutcome(now time.Duration, a *attempt, end attemptEnd, e *api.TaskEnd) {
	outcome := placement.OutcomeLost
	switch {
	case end == attemptDone:
		outcome = placement.OutcomeSuccess
	case end == attemptFailed || end == attemptRefused:
		outcome = placement.OutcomeFailure
	case a.stopRequested:
		return
	}
	runTime := time.Duration(max(e.RunMillis, 0)) * time.Millisecond
	o.sched.ReportOutcome(now, a.worker.name, a.request.rec.Spec.Kind, outcome, runTime)
}
