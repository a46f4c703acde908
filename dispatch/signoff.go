package dispatch

import (
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// signOffMargin is added to the worker's stop timeout: if runs are left by then, the sign-off of
// their worker is confirmed without them.
const signOffMargin = 300 * time.Millisecond

// IncarnationSignedOff handles the message of a worker that it is about to end. Until it has ended,
// which may be seconds later if the reply is lost, its tasks run on. So they are stopped, and their
// claims end like those of any other worker. The message may arrive when the worker has started
// again under its name, so it holds for the incarnation that started at startedMillis alone; 0 stands for
// the newest one. It returns the number of the incarnation for which a ConfirmSignOff will follow;
// 0 for one that is not known or is over, which needs none.
func (s *Scheduler) IncarnationSignedOff(now time.Duration, name string, startedMillis int64) uint32 {
	s.advanceClock(now)
	w := s.newest(name)
	if startedMillis != 0 {
		w = s.startedAt(name, startedMillis)
	}
	if w == nil || w.isOver || !s.leading {
		return 0
	}
	w.isLeaving, w.isSignOffConfirmed = true, false
	if w.signedOffAt == 0 {
		w.signedOffAt = s.now
		s.record(s.workerDecision("worker signed off", w, ""))
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
	return w.info.Number
}

// startedAt returns the incarnation of a name that started at a time, nil if it is not known. Of
// several at different addresses it returns one that has reported in this term, if there is one.
func (s *Scheduler) startedAt(name string, startedMillis int64) *worker {
	var found *worker
	for _, w := range s.byName[name] {
		if w.info.StartedMillis == startedMillis && (found == nil || w.hasReported && !found.hasReported) {
			found = w
		}
	}
	return found
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
		s.actions = append(s.actions, ConfirmSignOff{Worker: w.info.Name, Number: w.info.Number})
	}
}
