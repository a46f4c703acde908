package dispatch

import (
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// signOffMargin is added to the worker's stop timeout: if runs are left by then, the sign-off of
// their worker is confirmed without them.
const signOffMargin = 300 * time.Millisecond

// SignedOff handles the message of a worker that it is about to end. Until it has ended, which may
// be seconds later if the reply is lost, its tasks run on. So they are stopped, and their claims
// end like those of any other worker. It reports whether a ConfirmSignOff will follow; there is
// none for a worker that is not known or whose incarnation is over.
func (s *Scheduler) SignedOff(now time.Duration, name string) bool {
	s.advanceClock(now)
	w := s.newest(name)
	if w == nil || w.isOver || !s.leading {
		return false
	}
	w.isLeaving, w.isSignOffConfirmed = true, false
	if w.signedOffAt == 0 {
		w.signedOffAt = s.now
		s.record(Decision{Event: "worker signed off", Worker: name, InputAge: s.now - w.reportedAt})
	}
	if !w.info.Leaving {
		info := *w.info
		info.Leaving = true
		s.propose(job.Op{RegisterWorker: &info})
	}
	for _, c := range w.claims {
		if !c.isEnding() {
			s.sendStop(c, "worker signed off")
		}
	}
	s.scanSignOff(w)
	return true
}

// scanSignOff ends the incarnation of a worker that has signed off once no claim is left on it. If
// claims are left when their runs should have been stopped, it confirms the sign-off without them.
func (s *Scheduler) scanSignOff(w *worker) {
	switch {
	case w.signedOffAt == 0 || w.isOver:
	case len(w.claims) == 0:
		s.endIncarnation(w, "worker signed off")
	case w.info.Leaving && s.now >= w.signedOffAt+s.settings.StopTimeout+signOffMargin:
		s.confirmSignOff(w)
	}
}

// confirmSignOff confirms the sign-off of a worker, unless that has been done or it has not signed
// off. The log says by then that the worker leaves or that its incarnation is over.
func (s *Scheduler) confirmSignOff(w *worker) {
	if w.signedOffAt != 0 && !w.isSignOffConfirmed {
		w.isSignOffConfirmed = true
		s.actions = append(s.actions, ConfirmSignOff{Worker: w.info.Name})
	}
}
