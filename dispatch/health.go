package dispatch

import (
	"math"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// failuresToDistrust is the number of failed runs of different jobs, without a done one
	// between them, after which a worker is suspected to fail everything.
	failuresToQuarantine = 2
	// distrustFor is the first pause for a suspected worker; it doubles up to distrustMax.
	quarantineMin = 2 * time.Second
	quarantineMax = 16 * time.Second
	// unhealthyPause keeps new work off a worker that refused an order as unhealthy.
	unhealthyPause = time.Second
	// silencePause keeps new work off a worker that left an order unanswered.
	noReplyPause = 300 * time.Millisecond
)

// health is what runs and answers have shown of a worker.
type health struct {
	failures     int // failed runs since the last done one
	lastJob      job.ID
	quarantine   time.Duration // the present pause; 0 while the worker is trusted
	blockedUntil time.Duration // no new work before
}

// usable reports whether new work may go to the worker.
func (h *health) canSchedule(now time.Duration) bool { return now >= h.blockedUntil }

// mayTake returns how many further runs may go to the worker beside those it has. One run
// at a time goes to a worker that was suspected, until one is done.
func (w *worker) maxNewRuns() int {
	if w.health.quarantine == 0 {
		return math.MaxInt
	}
	return max(1-len(w.claims), 0)
}

func (h *health) recordUnhealthy(now time.Duration) {
	h.blockedUntil = max(h.blockedUntil, now+unhealthyPause)
}

func (h *health) recordNoReply(now time.Duration) {
	h.blockedUntil = max(h.blockedUntil, now+noReplyPause)
}

func (h *health) recordDone() { h.failures, h.quarantine = 0, 0 }

// noteFailed counts a failed run; runs of one job count once, since it may be the job.
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
