package dispatch

import (
	"math"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// failuresToDistrust is the number of failed runs of different jobs, without a done one
	// between them, after which a worker is suspected to fail everything.
	failuresToDistrust = 2
	// distrustFor is the first pause for a suspected worker; it doubles up to distrustMax.
	distrustFor = 2 * time.Second
	distrustMax = 16 * time.Second
	// unhealthyPause keeps new work off a worker that refused an order as unhealthy.
	unhealthyPause = time.Second
	// silencePause keeps new work off a worker that left an order unanswered.
	silencePause = 300 * time.Millisecond
)

// health is what runs and answers have shown of a worker.
type health struct {
	failed   int // failed runs since the last done one
	lastJob  job.ID
	distrust time.Duration // the present pause; 0 while the worker is trusted
	until    time.Duration // no new work before
}

// usable reports whether new work may go to the worker.
func (h *health) usable(now time.Duration) bool { return now >= h.until }

// mayTake returns how many further runs may go to the worker beside those it has. One run
// at a time goes to a worker that was suspected, until one is done.
func (w *worker) mayTake() int {
	if w.health.distrust == 0 {
		return math.MaxInt
	}
	return max(1-len(w.claims), 0)
}

func (h *health) noteUnhealthy(now time.Duration) { h.until = max(h.until, now+unhealthyPause) }

func (h *health) noteSilence(now time.Duration) { h.until = max(h.until, now+silencePause) }

func (h *health) noteDone() { h.failed, h.distrust = 0, 0 }

// noteFailed counts a failed run; runs of one job count once, since it may be the job.
func (h *health) noteFailed(now time.Duration, id job.ID) bool {
	if h.failed > 0 && h.lastJob == id {
		return false
	}
	h.failed++
	h.lastJob = id
	if h.failed < failuresToDistrust {
		return false
	}
	h.distrust = min(max(2*h.distrust, distrustFor), distrustMax)
	h.until = max(h.until, now+h.distrust)
	return true
}

func (s *Scheduler) noteHealth(w *worker, c *claim, kind job.EndKind) {
	switch kind {
	case job.EndDone:
		w.health.noteDone()
	case job.EndFailed:
		s.avoid[c.key.task] = w.life.Number
		if w.health.noteFailed(s.now, c.key.task.Job) {
			s.record(Decision{Event: "worker distrusted", Worker: w.life.Name, Reason: "runs of several jobs failed", InputAge: w.health.distrust})
		}
	}
}
