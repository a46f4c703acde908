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
	holdWait = time.Second
	// holdRetry is the pause after a Hold without an answer.
	holdRetry = 200 * time.Millisecond
	// holdRetryMax is the longest such pause.
	holdRetryMax = time.Second
	// firstHolds bounds the first Holds of a term that are sent in one scan: the answers of
	// hundreds of workers at once keep a small leader from its heartbeats.
	firstHolds = 8
	// freshFor is how old the newest answer of a worker may be for new work to go there.
	freshFor = 2500 * time.Millisecond
	// endsAtOnce is how many ends a worker lists in one answer.
	endsAtOnce = 500
	// vanishAfter is how long a worker without claims may be silent before its life counts
	// as over. Workers announce themselves every few seconds at most.
	vanishAfter = 15 * time.Second
)

// worker is what the leader knows of one life of a worker.
type worker struct {
	life *job.Worker
	// token is the newest clock value of the worker, tokenAt when it was received.
	token   int64
	tokenAt time.Duration
	// leaseEnd is when every lease given so far has ended for certain.
	leaseEnd time.Duration
	used     job.Resources
	fillCPU  int64 // processors that filling tasks ask for, in thousandths
	claims   map[claimKey]*claim
	booked   map[job.StepRef]job.Resources // room kept for steps
	inPass   bool                          // takes new work in the newest pass of decide

	holding  bool // a Hold is under way
	nextHold time.Duration
	failures int           // Holds without an answer in a row
	okAt     time.Duration // newest answer in this term, 0 if none
	heardAt  time.Duration // newest answer or announcement
	sequence uint64        // of the newest announcement
	reported bool          // has listed its tasks in this term
	acked    uint64
	// uncommitted is the number of the newest listed end that is not committed yet, 0 if
	// there is none.
	uncommitted uint64
	leaving     bool
	over        bool // the end of this life is proposed; nothing more is sent to it
	health      health
}

func (s *Scheduler) addWorker(life *job.Worker, leaseEnd time.Duration) *worker {
	w := &worker{life: life, leaseEnd: leaseEnd, claims: map[claimKey]*claim{}, booked: map[job.StepRef]job.Resources{}, heardAt: s.now, leaving: life.Leaving}
	s.workers[life.Number], s.sorted = w, nil
	s.byName[life.Name] = life.Number
	return w
}

// free is the capacity that is not reserved.
func (w *worker) free() job.Resources { return w.life.Capacity.Minus(w.used) }

// usable reports whether new work may go to the worker.
func (s *Scheduler) usable(w *worker) bool {
	return !w.leaving && !w.over && w.reported && w.failures == 0 && s.now-w.okAt < freshFor && w.health.usable(s.now) && w.mayTake() > 0
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
	s.observe(now)
	if !s.leading {
		return false
	}
	w := s.workers[s.byName[a.Worker.Name]]
	if w == nil || !w.life.SameIncarnation(&a.Worker) {
		if w != nil && w.life.StartedMillis > a.Worker.StartedMillis {
			return false // late, of an earlier life
		}
		life := a.Worker
		s.propose(job.Op{RegisterWorker: &life})
		return true
	}
	w.heardAt = s.now
	if a.Sequence < w.sequence {
		return false
	}
	w.sequence = a.Sequence
	changed := a.Worker.Leaving && !w.life.Leaving
	if a.Worker.Leaving {
		w.leaving = true
	}
	if changed {
		life := a.Worker
		s.propose(job.Op{RegisterWorker: &life})
	}
	return changed
}

// Gone takes a worker's word that it ends.
func (s *Scheduler) SignedOff(now time.Duration, name string) {
	s.observe(now)
	if w := s.workers[s.byName[name]]; w != nil {
		s.lifeOver(w, "worker signed off")
	}
}

// lifeOver proposes that a life is over and that its tasks are lost.
func (s *Scheduler) lifeOver(w *worker, reason string) {
	if w.over {
		return
	}
	s.record(Decision{Event: "worker life over", Worker: w.life.Name, Reason: reason, InputAge: s.now - w.okAt})
	s.loseClaims(w)
	s.propose(job.Op{DeregisterWorker: w.life.Number})
	w.over = true
}

// replaced notes that the worker has started again under its name, before the new life has
// announced itself. Orders on their way to the old life reach the new one.
func (s *Scheduler) replaced(w *worker) {
	if w.over {
		return
	}
	w.over = true
	s.record(Decision{Event: "worker life over", Worker: w.life.Name, Reason: "started again under its name", InputAge: s.now - w.okAt})
	for _, c := range w.claims {
		if !c.mayStart() {
			s.loseClaim(c)
		}
	}
}

// inherit moves the claims whose starts may still reach the new life of a worker there, and
// stops them, so that the new life refuses a late copy.
func (s *Scheduler) inherit(old, heir *worker) {
	for _, c := range old.claims {
		if c.phase == claimProposed || !c.mayStart() {
			continue
		}
		// The order's lease was counted on the old life's clock, so it may last as long as
		// the worker grants at all.
		heir.leaseEnd = max(heir.leaseEnd, s.now+s.bound(s.settings.MaxLease))
		s.removeClaim(c)
		moved := s.addClaim(c.key.task, c.key.run, heir, c.step, claimSent)
		moved.saved, moved.uncertain = c.saved, true
		s.stop(moved, "its worker started again under its name")
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
	s.proposeEnd(c.key.task, c.key.run, job.EndLost, c.saved)
	s.removeClaim(c)
}

// workerApplied follows the registry of lives.
func (s *Scheduler) workerApplied(op *job.Worker) {
	s.state.Workers(func(life *job.Worker) {
		if !life.SameIncarnation(op) {
			return
		}
		if w := s.workers[life.Number]; w != nil {
			w.life, w.leaving = life, w.leaving || life.Leaving
			return
		}
		old := s.workers[s.byName[life.Name]]
		heir := s.addWorker(life, s.now)
		s.record(Decision{Event: "worker registered", Worker: life.Name})
		if old != nil && old.life.Address == life.Address {
			s.inherit(old, heir)
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
	s.sorted = nil
	if s.byName[w.life.Name] == number {
		delete(s.byName, w.life.Name)
	}
}

// tickWorkers sends the Holds that are due and gives up what has certainly ended.
func (s *Scheduler) tickWorkers() {
	first := firstHolds
	for _, w := range s.workers {
		if w.over {
			if len(w.claims) > 0 && s.now-w.heardAt > vanishAfter {
				s.loseClaims(w)
			}
			continue
		}
		if w.failures > 0 && s.now >= w.leaseEnd && len(w.claims) > 0 {
			s.record(Decision{Event: "worker lost", Worker: w.life.Name, Reason: "no answer until the lease ended", InputAge: s.now - w.okAt})
			s.loseClaims(w)
			s.dirty = true
		}
		if len(w.claims) == 0 && s.now-w.heardAt > vanishAfter {
			s.lifeOver(w, "silent")
			continue
		}
		if w.holding || w.uncommitted > 0 || s.now < w.nextHold {
			continue
		}
		if !w.reported {
			if first == 0 {
				continue
			}
			first--
		}
		s.hold(w)
	}
}

func (s *Scheduler) hold(w *worker) {
	w.holding = true
	wait := holdWait
	if !w.reported || w.failures > 0 {
		wait = 0
	}
	s.actions = append(s.actions, RenewLease{Order: s.order(w), AckedEnd: w.acked, MaxWait: wait})
}

// order fills in what all orders carry and notes how long the lease may last.
func (s *Scheduler) order(w *worker) Order {
	o := Order{Worker: *w.life, FencingToken: s.term}
	if w.token > 0 {
		o.LeaseUntilMillis = w.token + s.lease().Milliseconds()
		w.leaseEnd = max(w.leaseEnd, w.tokenAt+s.leaseBound())
	}
	return o
}

// noteClock takes a clock value from an answer.
func (s *Scheduler) noteClock(w *worker, clock int64) {
	if clock > w.token {
		w.token, w.tokenAt = clock, s.now
	}
}

// Reported takes the answer to a Hold that was sent at the time sent.
func (s *Scheduler) Reported(now time.Duration, number uint32, sent time.Duration, reply Reply, r Report) {
	s.observe(now)
	w := s.workers[number]
	if w == nil || !s.leading {
		return
	}
	w.holding = false
	switch reply {
	case Accepted:
	case RefusedStaleLeader:
		s.deposed(w)
		return
	case OtherIncarnation:
		s.lifeOver(w, "another life has its address")
		return
	default:
		s.holdFailed(w, reply)
		return
	}
	if r.StartedMillis != 0 && r.StartedMillis != w.life.StartedMillis {
		s.replaced(w)
		return
	}
	if w.failures > 0 {
		s.record(Decision{Event: "worker regained", Worker: w.life.Name, InputAge: s.now - w.okAt})
	}
	w.failures, w.okAt, w.heardAt, w.nextHold = 0, s.now, s.now, s.now
	s.noteClock(w, r.ClockMillis)
	s.takeLists(w, sent, r)
	w.reported = true
	s.dirty = true
}

func (s *Scheduler) deposed(w *worker) {
	s.record(Decision{Event: "leadership given up", Worker: w.life.Name, Reason: "worker has seen a newer leader"})
	s.actions = append(s.actions, StepDown{})
}

func (s *Scheduler) holdFailed(w *worker, reply Reply) {
	w.failures++
	w.nextHold = s.now + min(holdRetry<<min(w.failures-1, 4), holdRetryMax)
	if w.failures == 1 {
		s.record(Decision{Event: "worker silent", Worker: w.life.Name, Reason: reply.String(), InputAge: s.now - w.okAt})
	}
}

// takeLists compares what a worker lists with the claims on it.
func (s *Scheduler) takeLists(w *worker, sent time.Duration, r Report) {
	listed := make(map[claimKey]bool, len(r.Running)+len(r.Ended))
	for _, run := range r.Running {
		key := claimKey{run.Task, run.Run}
		listed[key] = true
		s.takeRunning(w, key, run)
	}
	for _, e := range r.Ended {
		listed[claimKey{e.Task, e.Run}] = true
		s.takeEnded(w, e)
	}
	if w.uncommitted > 0 {
		s.propose(job.Op{EndsCommitted: &job.EndsCommitted{Worker: w.life.Number, UpTo: w.uncommitted}})
	}
	if len(r.Ended) >= endsAtOnce {
		return // further ends may wait
	}
	for key, c := range w.claims {
		if !listed[key] && c.knownBefore(sent) {
			s.record(Decision{Event: "run not listed", Job: key.task.Job, Task: key.task, Run: key.run, Worker: w.life.Name, Reason: c.phase.String()})
			s.proposeEnd(key.task, key.run, job.EndNotStarted, c.saved)
			s.removeClaim(c)
		}
	}
}

func (s *Scheduler) takeRunning(w *worker, key claimKey, run RunningTask) {
	c := s.claims[key]
	if c == nil || c.worker != w {
		c = s.addStray(w, key)
	}
	if c.phase == claimSent || c.phase == claimAdopted {
		c.phase, c.confirmedAt = claimRunning, s.now
	}
	c.listed = true
	s.begun[key.task.Job] = true
	if run.Checkpoint != "" {
		c.saved = run.Checkpoint
	}
}

func (s *Scheduler) takeEnded(w *worker, e EndedRun) {
	if e.Number <= w.acked {
		return
	}
	w.uncommitted = max(w.uncommitted, e.Number)
	key := claimKey{e.Task, e.Run}
	c := s.claims[key]
	saved := e.Checkpoint
	if c != nil && c.worker == w {
		if saved == "" {
			saved = c.saved
		}
		s.noteHealth(w, c, e.Kind)
		s.removeClaim(c)
	}
	s.record(Decision{Event: "run ended", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.life.Name, Reason: e.Kind.String()})
	s.proposeEnd(e.Task, e.Run, e.Kind, saved)
}

// endsNoted tells that all ends of a life up to a number are committed.
func (s *Scheduler) endsNoted(n *job.EndsCommitted) {
	w := s.workers[n.Worker]
	if w == nil {
		return
	}
	w.acked = max(w.acked, n.UpTo)
	if w.uncommitted <= w.acked {
		w.uncommitted = 0
	}
}

// sortedWorkers returns the workers by number, so that decisions are repeatable.
func (s *Scheduler) sortedWorkers() []*worker {
	if s.sorted == nil {
		s.sorted = slices.SortedFunc(maps.Values(s.workers), func(a, b *worker) int { return cmp.Compare(a.life.Number, b.life.Number) })
	}
	return s.sorted
}
