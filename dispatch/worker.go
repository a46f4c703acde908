package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// holdWait is how long the answer to Hold may wait for an end. Two renewals fit into a
	// lease, with time for an election.
	renewWait = time.Second
	// holdRetry is the pause after a Hold without an answer.
	renewRetryMin = 200 * time.Millisecond
	// holdRetryMax is the longest such pause.
	renewRetryMax = time.Second
	// firstHolds bounds the first Holds of a term that are sent in one scan: the answers of
	// hundreds of workers at once keep a small leader from its heartbeats.
	maxFirstRenewals = 8
	// freshFor is how old the newest answer of a worker may be for new work to go there.
	maxAnswerAge = 2500 * time.Millisecond
	// endsAtOnce is how many ends a worker lists in one answer.
	maxEndsPerReport = 500
	// vanishAfter is how long a worker without claims may be silent before its life counts
	// as over. Workers announce themselves every few seconds at most.
	idleWorkerTimeout = 15 * time.Second
)

// worker is what the leader knows of one life of a worker.
type worker struct {
	info *job.Worker
	// token is the newest clock value of the worker, tokenAt when it was received.
	clockMillis     int64
	clockReceivedAt time.Duration
	// leaseEnd is when every lease given so far has ended for certain.
	leaseEnd      time.Duration
	allocated     job.Resources
	bestEffortCPU int64 // processors that filling tasks ask for, in thousandths
	claims        map[claimKey]*claim
	reserved      map[job.StepRef]job.Resources // room kept for steps
	isSchedulable bool                          // takes new work in the newest pass of decide

	isRenewing           bool // a Hold is under way
	nextRenewal          time.Duration
	failedRenewals       int           // Holds without an answer in a row
	reportedAt           time.Duration // newest answer in this term, 0 if none
	lastSeen             time.Duration // newest answer or announcement
	announcementSequence uint64        // of the newest announcement
	hasReported          bool          // has listed its tasks in this term
	ackedEnd             uint64
	// uncommitted is the number of the newest listed end that is not committed yet, 0 if
	// there is none.
	uncommittedEnd uint64
	isLeaving      bool
	isOver         bool // the end of this life is proposed; nothing more is sent to it
	health         health
}

func (s *Scheduler) addWorker(life *job.Worker, leaseEnd time.Duration) *worker {
	w := &worker{info: life, leaseEnd: leaseEnd, claims: map[claimKey]*claim{}, reserved: map[job.StepRef]job.Resources{}, lastSeen: s.now, isLeaving: life.Leaving}
	s.workers[life.Number], s.workersByNumber = w, nil
	s.byName[life.Name] = life.Number
	return w
}

// free is the capacity that is not reserved.
func (w *worker) free() job.Resources { return w.info.Capacity.Minus(w.allocated) }

// usable reports whether new work may go to the worker.
func (s *Scheduler) canSchedule(w *worker) bool {
	return !w.isLeaving && !w.isOver && w.hasReported && w.failedRenewals == 0 && s.now-w.reportedAt < maxAnswerAge && w.health.canSchedule(s.now) && w.maxNewRuns() > 0
}

// Announcement is what a worker says about itself.
type Announcement struct {
	Worker      job.Worker
	ClockMillis int64
	Sequence    uint64 // rises with each announcement of a life
}

// Announced takes an announcement. It reports whether an operation was proposed that has
// to be committed before the announcement is acknowledged.
func (s *Scheduler) Announced(now time.Duration, a Announcement) bool {
	s.advanceClock(now)
	if !s.leading {
		return false
	}
	w := s.workers[s.byName[a.Worker.Name]]
	if w == nil || !w.info.SameIncarnation(&a.Worker) {
		if w != nil && w.info.StartedMillis > a.Worker.StartedMillis {
			return false // late, of an earlier life
		}
		life := a.Worker
		s.propose(job.Op{RegisterWorker: &life})
		return true
	}
	w.lastSeen = s.now
	if a.Sequence < w.announcementSequence {
		return false
	}
	w.announcementSequence = a.Sequence
	changed := a.Worker.Leaving && !w.info.Leaving
	if a.Worker.Leaving {
		w.isLeaving = true
	}
	if changed {
		life := a.Worker
		s.propose(job.Op{RegisterWorker: &life})
	}
	return changed
}

// Gone takes a worker's word that it ends.
func (s *Scheduler) SignedOff(now time.Duration, name string) {
	s.advanceClock(now)
	if w := s.workers[s.byName[name]]; w != nil {
		s.endIncarnation(w, "worker signed off")
	}
}

// lifeOver proposes that a life is over and that its tasks are lost.
func (s *Scheduler) endIncarnation(w *worker, reason string) {
	if w.isOver {
		return
	}
	s.record(Decision{Event: "worker life over", Worker: w.info.Name, Reason: reason, InputAge: s.now - w.reportedAt})
	s.loseClaims(w)
	s.propose(job.Op{DeregisterWorker: w.info.Number})
	w.isOver = true
}

// replaced notes that the worker has started again under its name, before the new life has
// announced itself. Orders on their way to the old life reach the new one.
func (s *Scheduler) workerRestarted(w *worker) {
	if w.isOver {
		return
	}
	w.isOver = true
	s.record(Decision{Event: "worker life over", Worker: w.info.Name, Reason: "started again under its name", InputAge: s.now - w.reportedAt})
	for _, c := range w.claims {
		if !c.mayStartInSuccessor() {
			s.loseClaim(c)
		}
	}
}

// inherit moves the claims whose starts may still reach the new life of a worker there, and
// stops them, so that the new life refuses a late copy.
func (s *Scheduler) transferClaims(old, successor *worker) {
	for _, c := range old.claims {
		if c.phase == claimProposed || !c.mayStartInSuccessor() {
			continue
		}
		// The order's lease was counted on the old life's clock, so it may last as long as
		// the worker grants at all.
		successor.leaseEnd = max(successor.leaseEnd, s.now+s.maxElapsed(s.settings.MaxLease))
		s.removeClaim(c)
		moved := s.addClaim(c.key.task, c.key.run, successor, c.step, claimSent)
		moved.checkpoint, moved.startMayArrive = c.checkpoint, true
		s.sendStop(moved, "its worker started again under its name")
	}
}

// loseClaims proposes the end of everything on a worker.
func (s *Scheduler) loseClaims(w *worker) {
	for _, c := range w.claims {
		if c.phase != claimProposed {
			s.loseClaim(c)
		}
	}
}

func (s *Scheduler) loseClaim(c *claim) {
	s.proposeEnd(c.key.task, c.key.run, job.EndLost, c.checkpoint)
	s.removeClaim(c)
}

// workerApplied follows the registry of lives.
func (s *Scheduler) workerApplied(op *job.Worker) {
	s.state.Workers(func(life *job.Worker) {
		if !life.SameIncarnation(op) {
			return
		}
		if w := s.workers[life.Number]; w != nil {
			w.info, w.isLeaving = life, w.isLeaving || life.Leaving
			return
		}
		old := s.workers[s.byName[life.Name]]
		successor := s.addWorker(life, s.now)
		s.record(Decision{Event: "worker registered", Worker: life.Name})
		if old != nil && old.info.Address == life.Address {
			s.transferClaims(old, successor)
		}
	})
	for number := range s.workers {
		if s.state.Worker(number) == nil {
			s.removeWorker(number)
		}
	}
}

// removeWorker drops a life that is over. Claims that were made meanwhile are lost.
func (s *Scheduler) removeWorker(number uint32) {
	w := s.workers[number]
	if w == nil {
		return
	}
	s.loseClaims(w)
	delete(s.workers, number)
	s.workersByNumber = nil
	if s.byName[w.info.Name] == number {
		delete(s.byName, w.info.Name)
	}
}

// tickWorkers sends the Holds that are due and gives up what has certainly ended.
func (s *Scheduler) scanWorkers() {
	first := maxFirstRenewals
	for _, w := range s.workers {
		if w.isOver {
			if len(w.claims) > 0 && s.now-w.lastSeen > idleWorkerTimeout {
				s.loseClaims(w)
			}
			continue
		}
		if w.failedRenewals > 0 && s.now >= w.leaseEnd && len(w.claims) > 0 {
			s.record(Decision{Event: "worker lost", Worker: w.info.Name, Reason: "no answer until the lease ended", InputAge: s.now - w.reportedAt})
			s.loseClaims(w)
			s.needsPass = true
		}
		if len(w.claims) == 0 && s.now-w.lastSeen > idleWorkerTimeout {
			s.endIncarnation(w, "silent")
			continue
		}
		if w.isRenewing || w.uncommittedEnd > 0 || s.now < w.nextRenewal {
			continue
		}
		if !w.hasReported {
			if first == 0 {
				continue
			}
			first--
		}
		s.renewLease(w)
	}
}

func (s *Scheduler) renewLease(w *worker) {
	w.isRenewing = true
	wait := renewWait
	if !w.hasReported || w.failedRenewals > 0 {
		wait = 0
	}
	s.actions = append(s.actions, RenewLease{Order: s.newOrder(w), AckedEnd: w.ackedEnd, MaxWait: wait})
}

// order fills in what all orders carry and notes how long the lease may last.
func (s *Scheduler) newOrder(w *worker) Order {
	o := Order{Worker: *w.info, FencingToken: s.term}
	if w.clockMillis > 0 {
		o.LeaseUntilMillis = w.clockMillis + s.leaseDuration().Milliseconds()
		w.leaseEnd = max(w.leaseEnd, w.clockReceivedAt+s.maxLeaseElapsed())
	}
	return o
}

// noteClock takes a clock value from an answer.
func (s *Scheduler) recordClock(w *worker, clockMillis int64) {
	if clockMillis > w.clockMillis {
		w.clockMillis, w.clockReceivedAt = clockMillis, s.now
	}
}

// Reported takes the answer to a Hold that was sent at the time sent.
func (s *Scheduler) Reported(now time.Duration, number uint32, sent time.Duration, reply Reply, r Report) {
	s.advanceClock(now)
	w := s.workers[number]
	if w == nil || !s.leading {
		return
	}
	w.isRenewing = false
	switch reply {
	case Accepted:
	case RefusedStaleLeader:
		s.stepDown(w)
		return
	case OtherIncarnation:
		s.endIncarnation(w, "another life has its address")
		return
	default:
		s.renewalFailed(w, reply)
		return
	}
	if r.StartedMillis != 0 && r.StartedMillis != w.info.StartedMillis {
		s.workerRestarted(w)
		return
	}
	if w.failedRenewals > 0 {
		s.record(Decision{Event: "worker regained", Worker: w.info.Name, InputAge: s.now - w.reportedAt})
	}
	w.failedRenewals, w.reportedAt, w.lastSeen, w.nextRenewal = 0, s.now, s.now, s.now
	s.recordClock(w, r.ClockMillis)
	s.reconcile(w, sent, r)
	w.hasReported = true
	s.needsPass = true
}

func (s *Scheduler) stepDown(w *worker) {
	s.record(Decision{Event: "leadership given up", Worker: w.info.Name, Reason: "worker has seen a newer leader"})
	s.actions = append(s.actions, StepDown{})
}

func (s *Scheduler) renewalFailed(w *worker, reply Reply) {
	w.failedRenewals++
	w.nextRenewal = s.now + min(renewRetryMin<<min(w.failedRenewals-1, 4), renewRetryMax)
	if w.failedRenewals == 1 {
		s.record(Decision{Event: "worker silent", Worker: w.info.Name, Reason: reply.String(), InputAge: s.now - w.reportedAt})
	}
}

// takeLists compares what a worker lists with the claims on it.
func (s *Scheduler) reconcile(w *worker, sent time.Duration, r Report) {
	listed := make(map[claimKey]bool, len(r.Running)+len(r.Ended))
	for _, run := range r.Running {
		key := claimKey{run.Task, run.Run}
		listed[key] = true
		s.reconcileRunning(w, key, run)
	}
	for _, e := range r.Ended {
		listed[claimKey{e.Task, e.Run}] = true
		s.reconcileEnded(w, e)
	}
	if w.uncommittedEnd > 0 {
		s.propose(job.Op{EndsCommitted: &job.EndsCommitted{Worker: w.info.Number, UpTo: w.uncommittedEnd}})
	}
	if len(r.Ended) >= maxEndsPerReport {
		return // further ends may wait
	}
	for key, c := range w.claims {
		if !listed[key] && c.mustBeListedIn(sent) {
			s.record(Decision{Event: "run not listed", Job: key.task.Job, Task: key.task, Run: key.run, Worker: w.info.Name, Reason: c.phase.String()})
			s.proposeEnd(key.task, key.run, job.EndNotStarted, c.checkpoint)
			s.removeClaim(c)
		}
	}
}

func (s *Scheduler) reconcileRunning(w *worker, key claimKey, run RunningTask) {
	c := s.claims[key]
	if c == nil || c.worker != w {
		c = s.addUnclaimedRun(w, key)
	}
	if c.phase == claimSent || c.phase == claimAdopted {
		c.phase, c.confirmedAt = claimRunning, s.now
	}
	c.listed = true
	s.startedJobs[key.task.Job] = true
	if run.Checkpoint != "" {
		c.checkpoint = run.Checkpoint
	}
}

func (s *Scheduler) reconcileEnded(w *worker, e EndedRun) {
	if e.Number <= w.ackedEnd {
		return
	}
	w.uncommittedEnd = max(w.uncommittedEnd, e.Number)
	key := claimKey{e.Task, e.Run}
	c := s.claims[key]
	saved := e.Checkpoint
	if c != nil && c.worker == w {
		if saved == "" {
			saved = c.checkpoint
		}
		s.recordHealth(w, c, e.Kind)
		s.removeClaim(c)
	}
	s.record(Decision{Event: "run ended", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.info.Name, Reason: e.Kind.String()})
	s.proposeEnd(e.Task, e.Run, e.Kind, saved)
}

// endsNoted tells that all ends of a life up to a number are committed.
func (s *Scheduler) endsCommitted(committed *job.EndsCommitted) {
	w := s.workers[committed.Worker]
	if w == nil {
		return
	}
	w.ackedEnd = max(w.ackedEnd, committed.UpTo)
	if w.uncommittedEnd <= w.ackedEnd {
		w.uncommittedEnd = 0
	}
}

// sortedWorkers returns the workers by number, so that decisions are repeatable.
func (s *Scheduler) sortedWorkers() []*worker {
	if s.workersByNumber == nil {
		s.workersByNumber = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.info.Number, b.info.Number) })
	}
	return s.workersByNumber
}
