package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// reservationTTL is the lifetime of a reservation for which runs are preempted: a stop takes
	// up to half a second, and a ticket is valid for about two seconds.
	reservationTTL = 1500 * time.Millisecond
	// maxReservedFraction limits the reserved processors of a pool, as a fraction of the
	// processors of its schedulable workers, since reserved capacity is idle until the
	// reservation is complete.
	maxReservedFraction = 0.2
	// waitingReservationTTL is the lifetime of a reservation that waits for running tasks to end
	// without preempting them.
	waitingReservationTTL = 4 * time.Second
	// endReportMargin is added to the worker's stop timeout to get the time that a preemption
	// takes: the end has to be reported and committed.
	endReportMargin = 200 * time.Millisecond
	// preemptMaxAge is the greatest age at which a run without checkpoints is preempted; an
	// older one would lose too much work.
	preemptMaxAge = 500 * time.Millisecond
	// maxWaitingReservations limits the reservations that wait for running tasks to end, since
	// reserved capacity is idle.
	maxWaitingReservations = 2
)

// reservation is capacity on workers that is kept for a step until enough of it is free.
type reservation struct {
	pool      string
	cpu       int64 // thousandths of a core
	expiresAt time.Duration
	isWaiting bool // waits for running tasks to end without preempting them
	workers   []*worker
}

// available returns the capacity on a worker that a step may take: what is free, minus what is
// reserved for other steps.
func (w *worker) available(ref job.StepRef) job.Resources {
	free := w.free()
	if len(w.reserved) == 0 {
		return free
	}
	for other, r := range w.reserved {
		if other != ref {
			free = free.Minus(r)
		}
	}
	return free
}

// isPreempting reports whether a step holds a reservation for which runs are preempted.
func (s *Scheduler) isPreempting(ref job.StepRef) bool {
	res := s.reservations[ref]
	return res != nil && !res.isWaiting
}

// releaseReservation releases the reservation of a step, if there is one.
func (s *Scheduler) releaseReservation(ref job.StepRef) {
	res := s.reservations[ref]
	if res == nil {
		return
	}
	for _, w := range res.workers {
		delete(w.reserved, ref)
	}
	delete(s.reservations, ref)
}

// releaseStaleReservations releases reservations that have expired or whose job has no step
// left to place.
func (s *Scheduler) releaseStaleReservations() {
	for ref, res := range s.reservations {
		if s.now >= res.expiresAt || s.ready[ref.Job] == nil {
			s.releaseReservation(ref)
		}
	}
}

// reserve reserves capacity for a gang on the workers for which it has valid tickets, and
// preempts less urgent runs there. If that is not enough, it may instead reserve capacity on all
// granted workers and wait for runs there to end.
func (s *Scheduler) reserve(r *readyStep, eligible []*worker) {
	if !r.step.Gang {
		return
	}
	if s.isPreempting(r.ref) {
		return
	}
	if s.canReserve(r) && s.reserveCapacity(r, s.withTicketAt(r, eligible, s.now+s.preemptionDuration()), s.capacityAfterPreemption, false) {
		s.preempt(r)
		return
	}
	if s.reservations[r.ref] == nil && s.waitingReservations() < maxWaitingReservations {
		s.reserveCapacity(r, s.grantedWorkers(r), s.capacityAfterCompletion, true)
	}
}

// preemptionDuration returns the time from the stop of a run until its capacity can be used.
func (s *Scheduler) preemptionDuration() time.Duration {
	return s.settings.StopTimeout + endReportMargin
}

// canReserve reports whether the reservations of a step's pool are within their limit. The first
// reservation of a pool may be of any size.
func (s *Scheduler) canReserve(r *readyStep) bool {
	reserved := int64(0)
	for _, res := range s.reservations {
		if res.pool == r.pool && !res.isWaiting {
			reserved += res.cpu
		}
	}
	return float64(reserved) <= maxReservedFraction*float64(s.cpuCapacity[r.pool])
}

// waitingReservations returns the number of reservations that wait without preempting.
func (s *Scheduler) waitingReservations() int {
	n := 0
	for _, res := range s.reservations {
		if res.isWaiting {
			n++
		}
	}
	return n
}

// reservationCandidate is a worker with the number of a step's tasks that fit there now and
// later, when running tasks have ended.
type reservationCandidate struct {
	w                    *worker
	slotsNow, slotsLater int
}

// reserveCapacity reserves capacity for all waiting tasks of a gang and reports whether it did.
// It prefers workers on which the most tasks fit now, then those on which the most tasks fit
// into the result of capacity. It reserves nothing if the workers together have too little.
func (s *Scheduler) reserveCapacity(r *readyStep, workers []*worker, capacity func(*readyStep, *worker) job.Resources, isWaiting bool) bool {
	var list []reservationCandidate
	total := 0
	s.examined += 2 * len(workers)
	for _, w := range workers {
		c := reservationCandidate{w, s.slots(r, w, w.available(r.ref)), s.slots(r, w, capacity(r, w))}
		if c.slotsLater > 0 {
			list = append(list, c)
			total += c.slotsLater
		}
	}
	missing := len(r.waiting)
	if total < missing {
		return false
	}
	slices.SortStableFunc(list, func(a, b reservationCandidate) int {
		return cmp.Or(cmp.Compare(b.slotsNow, a.slotsNow), cmp.Compare(b.slotsLater, a.slotsLater))
	})
	s.releaseReservation(r.ref)
	res := &reservation{pool: r.pool, expiresAt: s.now + reservationTTL, isWaiting: isWaiting}
	if isWaiting {
		res.expiresAt = s.now + waitingReservationTTL
	}
	for _, c := range list {
		if missing <= 0 {
			break
		}
		n := min(c.slotsLater, missing)
		missing -= n
		need := job.Resources{}
		for range n {
			need = need.Plus(r.step.Allocation())
		}
		c.w.reserved[r.ref] = need
		res.workers = append(res.workers, c.w)
		res.cpu += need.MilliCPU
	}
	s.reservations[r.ref] = res
	s.record(Decision{Event: "room booked", Job: r.ref.Job, Task: job.TaskRef{StepRef: r.ref}, Reason: reservationReason(isWaiting)})
	return true
}

// reservationReason returns the reason text of the decision about a new reservation.
func reservationReason(isWaiting bool) string {
	if isWaiting {
		return "waits for other work to end"
	}
	return "less urgent work yields"
}

// capacityAfterPreemption returns the capacity that a worker has for a step once its ending runs
// have ended and all runs that the step may preempt are stopped.
func (s *Scheduler) capacityAfterPreemption(r *readyStep, w *worker) job.Resources {
	capacity, lateness := w.available(r.ref), r.latenessAt(s.wallMillis)
	for _, c := range w.claims {
		if c.isEnding() || s.isPreemptible(r, lateness, c) {
			capacity = capacity.Plus(c.allocation())
		}
	}
	return capacity
}

// capacityAfterCompletion returns the capacity that a worker has for a step once all its runs
// except the long-running ones have ended.
func (s *Scheduler) capacityAfterCompletion(r *readyStep, w *worker) job.Resources {
	capacity := w.available(r.ref)
	for _, c := range w.claims {
		if c.step != nil && !c.step.LongRunning {
			capacity = capacity.Plus(c.allocation())
		}
	}
	return capacity
}

// isPreemptible reports whether a run may be stopped for a step with a lateness. The run must be confirmed as
// running and have a less urgent priority, must run independently of others (not in a gang), must
// end by itself (not be long-running or best-effort), and must either have checkpoints or be no
// older than preemptMaxAge. A step that will be late does not stop a run of a job that can be in
// time.
func (s *Scheduler) isPreemptible(r *readyStep, stepLateness lateness, c *claim) bool {
	if c.step == nil || c.step.Gang || c.step.LongRunning || c.step.BestEffortCPU || c.phase != claimRunning {
		return false
	}
	if c.latenessWhenPlaced < stepLateness {
		return false
	}
	if !c.step.Checkpointing && s.now-c.startedAt > preemptMaxAge {
		return false
	}
	return c.poolPriority.priority > r.job.Queue.Priority && c.poolPriority.priority != lowestPriority
}

// preempt stops as many less urgent runs on the reserved workers as the step needs. It stops
// those first that lose the least work: runs with checkpoints, then the youngest.
func (s *Scheduler) preempt(r *readyStep) {
	stepLateness := r.latenessAt(s.wallMillis)
	for _, w := range s.reservations[r.ref].workers {
		missing := w.reserved[r.ref].Minus(w.available(r.ref))
		var victims []*claim
		for _, c := range w.claims {
			switch {
			case c.isEnding():
				missing = missing.Minus(c.allocation())
			case s.isPreemptible(r, stepLateness, c):
				victims = append(victims, c)
			}
		}
		slices.SortFunc(victims, func(a, b *claim) int {
			if s.ordersByCost() {
				if c := cmp.Compare(s.preemptionCost(a), s.preemptionCost(b)); c != 0 {
					return c
				}
			}
			return cmp.Or(boolToInt(!a.step.Checkpointing)-boolToInt(!b.step.Checkpointing), cmp.Compare(b.startedAt, a.startedAt),
				cmp.Compare(a.key.task.String(), b.key.task.String()))
		})
		for _, c := range victims {
			if !anyPositive(missing) {
				break
			}
			missing = missing.Minus(c.allocation())
			s.sendStop(c, "preempted for "+r.ref.String())
		}
	}
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// anyPositive reports whether any of the resources is greater than 0.
func anyPositive(r job.Resources) bool { return r.MilliCPU > 0 || r.MemoryMB > 0 || r.GPU > 0 }
