package dispatch

import (
	"math"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// failuresToQuarantine is the number of failed runs of different jobs, without a done run
	// between them, after which a worker is quarantined, as it probably fails every run.
	failuresToQuarantine = 2
	// quarantineMin is the first duration of a quarantine. It doubles with each further failure
	// up to quarantineMax.
	quarantineMin = 2 * time.Second
	quarantineMax = 16 * time.Second
	// unhealthyPause is how long no tasks are placed on a worker that has refused an order as
	// unhealthy.
	unhealthyPause = time.Second
	// noReplyPause is how long no tasks are placed on a worker that has not replied to an order.
	noReplyPause = 300 * time.Millisecond
)

// health tracks the failed runs and the unanswered or refused orders of a worker.
type health struct {
	failures     int // failed runs since the last done one; consecutive ones of a job count once
	lastJob      job.ID
	quarantine   time.Duration // duration of the newest quarantine; 0 if a run was done since
	blockedUntil time.Duration // no tasks are placed before this time
}

// canSchedule reports whether new tasks may be placed on the worker.
func (h *health) canSchedule(now time.Duration) bool { return now >= h.blockedUntil }

// maxNewRuns returns how many runs of a step may be placed on the worker in addition to its present
// ones. A worker that was quarantined gets one run at a time until a run is done, or the members of
// one gang, which are done or fail as one.
func (w *worker) maxNewRuns(step *job.Step) int {
	switch {
	case w.health.quarantine == 0:
		return math.MaxInt
	case len(w.claims) > 0:
		return 0
	case step.Gang:
		return math.MaxInt
	}
	return 1
}

// acceptsRuns reports whether the quarantine of the worker, if it is in one, allows another run.
func (w *worker) acceptsRuns() bool { return w.health.quarantine == 0 || len(w.claims) == 0 }

func (h *health) recordUnhealthy(now time.Duration) {
	h.blockedUntil = max(h.blockedUntil, now+unhealthyPause)
}

func (h *health) recordNoReply(now time.Duration) {
	h.blockedUntil = max(h.blockedUntil, now+noReplyPause)
}

func (h *health) recordDone() { h.failures, h.quarantine = 0, 0 }

// recordFailed counts a failed run and reports whether the worker is quarantined for it.
// Consecutive failed runs of one job count once, since the job may be the cause.
func (h *health) recordFailed(now time.Duration, id job.ID) bool {
	if h.failures > 0 && h.lastJob == id {
		return false
	}
	h.failures++
	h.lastJob = id
	if h.failures < failuresToQuarantine {
		return false
	}
	h.quarantine = min(max(2*h.quarantine, quarantineMin), quarantineMax)
	h.blockedUntil = max(h.blockedUntil, now+h.quarantine)
	return true
}

// recordHealth updates a worker's health from the end of a run.
func (s *Scheduler) recordHealth(w *worker, c *claim, kind job.EndKind) {
	switch kind {
	case job.EndDone:
		w.health.recordDone()
	case job.EndFailed:
		s.lastFailedOn[c.key.task] = w.info.Number
		if w.health.recordFailed(s.now, c.key.task.Job) {
			s.record(Decision{Event: "worker distrusted", Worker: w.info.Name, Reason: "runs of several jobs failed", InputAge: w.health.quarantine})
		}
	}
}
