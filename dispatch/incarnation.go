package dispatch

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// Announcement is the message by which a worker registers and reports its attributes.
type Announcement struct {
	Worker      job.Worker
	ClockMillis int64  // the worker's clock
	Sequence    uint64 // increases with each announcement of an incarnation
}

// AnnounceResult is the result of an announcement.
type AnnounceResult uint8

// The results of an announcement.
const (
	AnnouncementNoted    AnnounceResult = iota + 1
	AnnouncementProposed                // an operation has to be committed before the reply
	AnnouncementRefused                 // the configuration has no pool of that name
)

// Announced handles an announcement. It may be delayed or come from something that is no worker, so
// it does not end another incarnation: the worker itself shows which one runs.
func (s *Scheduler) Announced(now time.Duration, a Announcement) AnnounceResult {
	s.advanceClock(now)
	if !s.leading {
		return AnnouncementNoted
	}
	i := slices.IndexFunc(s.byName[a.Worker.Name], func(w *worker) bool { return w.info.SameIncarnation(&a.Worker) })
	if i < 0 {
		return s.announcedNew(a.Worker)
	}
	w := s.byName[a.Worker.Name][i]
	w.lastSeen = s.now
	if a.Sequence < w.announcementSequence {
		return AnnouncementNoted
	}
	w.announcementSequence = a.Sequence
	changed := a.Worker.Leaving && !w.info.Leaving
	if !changed {
		return AnnouncementNoted
	}
	w.isLeaving = true
	s.propose(job.Op{RegisterWorker: &a.Worker})
	return AnnouncementProposed
}

// announcedNew proposes to register an incarnation that is not known.
func (s *Scheduler) announcedNew(info job.Worker) AnnounceResult {
	if s.state.HasConfig() && s.state.Pool(info.Pool) == nil {
		s.record(Decision{Event: "announcement refused", Worker: info.Name, Reason: "no pool " + info.Pool, ConfigVersion: s.state.Config().Version})
		return AnnouncementRefused
	}
	for _, w := range s.workers {
		if w.hasReported && !w.isOver && w.info.StartedMillis > info.StartedMillis && w.info.Conflicts(&info) {
			return AnnouncementNoted // delayed; a later incarnation runs
		}
	}
	s.propose(job.Op{RegisterWorker: &info})
	return AnnouncementProposed
}

// workerApplied updates the soft state from the registered worker incarnations after one of
// them has changed.
func (s *Scheduler) workerApplied(op *job.Worker) {
	s.state.Workers(func(info *job.Worker) {
		if !info.SameIncarnation(op) {
			return
		}
		if w := s.workers[info.Number]; w != nil {
			w.info, w.isLeaving = info, w.isLeaving || info.Leaving
			return
		}
		w := s.addWorker(info, s.now)
		s.record(s.workerDecision("worker registered", w, missingRack(info)))
	})
}

// missingRack says that a worker has no rack: steps that need one rack, or data in one, treat it
// as a rack of its own name, the empty one.
func missingRack(info *job.Worker) string {
	if info.Rack == "" {
		return "without a rack"
	}
	return ""
}

// removeWorker removes an incarnation that is over. Claims on it that were made in the meantime
// end as lost.
func (s *Scheduler) removeWorker(number uint32) {
	w := s.workers[number]
	if w == nil {
		return
	}
	s.loseClaims(w)
	s.confirmSignOff(w)
	delete(s.workers, number)
	s.workersByNumber = nil
	s.byName[w.info.Name] = slices.DeleteFunc(s.byName[w.info.Name], func(other *worker) bool { return other == w })
	if len(s.byName[w.info.Name]) == 0 {
		delete(s.byName, w.info.Name)
	}
	s.updateSuccessors(w.info.Name)
}

// newest returns the incarnation of a name that started last, of those that have reported in this
// term if there are any; nil if the name is not known.
func (s *Scheduler) newest(name string) *worker {
	var found *worker
	for _, w := range s.byName[name] {
		if found == nil || w.hasReported && !found.hasReported ||
			w.hasReported == found.hasReported && w.info.StartedMillis > found.info.StartedMillis {
			found = w
		}
	}
	return found
}

// endIncarnation proposes to deregister a worker incarnation and to end its runs as lost. The caller
// is certain that none of them runs, or can still start.
func (s *Scheduler) endIncarnation(w *worker, reason string) {
	if !w.isOver {
		s.record(s.workerDecision("worker life over", w, reason))
		s.markOver(w)
	}
	s.loseClaims(w)
	s.deregister(w)
}

// markOver records that an incarnation is over.
func (s *Scheduler) markOver(w *worker) {
	w.isOver = true
	s.updateSuccessors(w.info.Name)
}

// deregister proposes to deregister an incarnation that is over, unless some of its claims are on
// its successor.
func (s *Scheduler) deregister(w *worker) {
	if !w.isDeregistered && w.movedClaims == 0 {
		w.isDeregistered = true
		s.propose(job.Op{DeregisterWorker: w.info.Number})
	}
}

// workerRestarted handles a report that shows that the worker has restarted under its name. Orders
// in flight to the old incarnation reach the new one, so the claims whose starts may be among them
// are kept until the new one has reported.
func (s *Scheduler) workerRestarted(w *worker) {
	if w.isOver {
		return
	}
	s.markOver(w)
	s.record(s.workerDecision("worker life over", w, "started again under its name"))
	for _, c := range w.claims {
		if !c.mayStartInSuccessor() {
			s.loseClaim(c)
		}
	}
}

// endEarlierIncarnations ends the incarnations before one that has reported for the first time in
// this term. The report comes from the worker itself, at the address to which it was sent.
func (s *Scheduler) endEarlierIncarnations(w *worker, r Report) {
	for _, old := range s.workers {
		switch {
		case old == w || old.info.StartedMillis >= w.info.StartedMillis || !old.info.Conflicts(w.info):
		case old.info.Name == w.info.Name && old.info.Address == w.info.Address:
			s.workerRestarted(old)
			s.transferClaims(old, w, r)
		default:
			s.endIncarnation(old, "a later incarnation has reported")
		}
	}
}

// transferClaims moves the claims whose starts have reached the new incarnation of a worker to that
// incarnation, and stops their runs there. From the order that its first report answers, it refuses orders
// for the earlier one, so the starts that the report does not list cannot reach it any more.
func (s *Scheduler) transferClaims(old, successor *worker, r Report) {
	listed := r.listed()
	for _, c := range old.claims {
		if c.phase == claimProposed {
			continue
		}
		if !listed[c.key] && !r.isFull() {
			s.loseClaim(c)
			continue
		}
		origin := c.origin
		if origin == nil {
			origin = old
		}
		origin.movedClaims++ // before the claim is removed from it
		s.removeClaim(c)
		moved := s.addClaim(c.key.task, c.key.run, successor, c.step, claimSent)
		moved.checkpoint, moved.startMayArrive, moved.origin, moved.isStartUnknown = c.checkpoint, true, origin, true
		s.sendStop(moved, "its worker started again under its name")
	}
}

// updateSuccessors recomputes, for the incarnations of a name, whether a later one at the same address
// is registered. Orders to either reach the same process, so none are sent to the earlier one: a
// renewal would acknowledge ends of the later one by their numbers. If the later one is false, its
// first renewal shows that.
func (s *Scheduler) updateSuccessors(name string) {
	for _, w := range s.byName[name] {
		hadSuccessor := w.hasSuccessor
		w.hasSuccessor = slices.ContainsFunc(s.byName[name], func(o *worker) bool {
			return o != w && !o.isOver && o.info.Address == w.info.Address && o.info.StartedMillis > w.info.StartedMillis
		})
		if hadSuccessor && !w.hasSuccessor && !w.isOver {
			s.renewGeneration(w) // its process may have got orders to the one that was no successor
		}
	}
}

// extendLeases extends the leases of two incarnations that may be lives of one worker. Orders for the
// earlier one may have reached the later one. Their leases, computed from the clock of the earlier
// one, may last there as long as the longest lease that workers grant.
func (s *Scheduler) extendLeases(a, b *worker) {
	if a.info.Address == b.info.Address {
		end := s.now + s.maxElapsed(s.longestLease())
		a.extendLease(end, leaseOfRestart)
		b.extendLease(end, leaseOfRestart)
	}
}
