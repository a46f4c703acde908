package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// bookFor is how long room stays booked for a step: a stop takes up to half a second,
	// and a ticket holds for about two.
	reservationTTL = 1500 * time.Millisecond
	// bookPart bounds the processors in bookings of a pool, as a part of what its usable
	// workers have: room stands idle until a booking is complete.
	maxReservedFraction = 0.2
	// patientFor is how long room stays booked while work that is not preempted has to end.
	waitingReservationTTL = 4 * time.Second
	// preemptFrom is the least estimated length of the tasks for which others are stopped.
	// For shorter ones the room that ends of themselves bring is there as soon.
	preemptMinEstimate = 2 * time.Second
	// preemptYoung is the age up to which a run without checkpoints is stopped for others;
	// an older one would lose too much.
	preemptMaxAge = 500 * time.Millisecond
	// patientBookings bounds the steps that wait in this way, as room stands idle for them.
	maxWaitingReservations = 2
)

// booking is room on workers that is kept for a step until it comes up.
type reservation struct {
	pool      string
	cpu       int64 // thousandths of a core
	until     time.Duration
	isWaiting bool
	workers   []*worker
}

// available is the room on a worker that a step may take: what is free, less what is booked
// for other steps.
func (w *worker) available(ref job.StepRef) job.Resources {
	room := w.free()
	for other, r := range w.reserved {
		if other != ref {
			room = room.Minus(r)
		}
	}
	return room
}

func (s *Scheduler) releaseReservation(ref job.StepRef) {
	b := s.reservations[ref]
	if b == nil {
		return
	}
	for _, w := range b.workers {
		delete(w.reserved, ref)
	}
	delete(s.reservations, ref)
}

// dropStaleBookings ends bookings whose time is over or whose job has ended.
func (s *Scheduler) releaseStaleReservations() {
	for ref, b := range s.reservations {
		if s.now >= b.until || s.ready[ref.Job] == nil {
			s.releaseReservation(ref)
		}
	}
}

// book keeps room for a gang on the workers for which it has tickets and stops less urgent
// tasks there. If there is too little, it may wait for room on all that are granted.
func (s *Scheduler) reserve(r *readyStep, eligible []*worker) {
	if !r.step.Gang {
		return
	}
	b := s.reservations[r.ref]
	if b != nil && !b.isWaiting {
		return
	}
	if s.canReserve(r) && s.reserveCapacity(r, eligible, s.capacityAfterPreemption, false) {
		if r.step.EstimateMillis >= preemptMinEstimate.Milliseconds() {
			s.preempt(r)
		}
		return
	}
	if b == nil && s.waitingReservations() < maxWaitingReservations {
		s.reserveCapacity(r, s.grantedWorkers(r), s.capacityAfterCompletion, true)
	}
}

// mayBook reports whether the bookings of a pool are within their bound. The first one may be
// of any size.
func (s *Scheduler) canReserve(r *readyStep) bool {
	booked := int64(0)
	for _, b := range s.reservations {
		if b.pool == r.pool && !b.isWaiting {
			booked += b.cpu
		}
	}
	return float64(booked) <= maxReservedFraction*float64(s.cpuCapacity[r.pool])
}

func (s *Scheduler) waitingReservations() int {
	n := 0
	for _, b := range s.reservations {
		if b.isWaiting {
			n++
		}
	}
	return n
}

// candidate is a worker with the tasks of a step that it could take.
type reservationCandidate struct {
	w                    *worker
	slotsNow, slotsLater int
}

// bookRoom books room for all tasks of a gang, on the workers with the most room now, then
// with the most room by the measure given. It books nothing if that is not enough.
func (s *Scheduler) reserveCapacity(r *readyStep, workers []*worker, capacity func(*readyStep, *worker) job.Resources, isWaiting bool) bool {
	var list []reservationCandidate
	total := 0
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
	b := &reservation{pool: r.pool, until: s.now + reservationTTL, isWaiting: isWaiting}
	if isWaiting {
		b.until = s.now + waitingReservationTTL
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
		b.workers = append(b.workers, c.w)
		b.cpu += need.MilliCPU
	}
	s.reservations[r.ref] = b
	s.record(Decision{Event: "room booked", Job: r.ref.Job, Task: job.TaskRef{StepRef: r.ref}, Reason: reservationReason(isWaiting)})
	return true
}

func reservationReason(isWaiting bool) string {
	if isWaiting {
		return "waits for other work to end"
	}
	return "less urgent work yields"
}

// yielding is the room of a worker for a step without the work that can be preempted for it.
func (s *Scheduler) capacityAfterPreemption(r *readyStep, w *worker) job.Resources {
	room := w.available(r.ref)
	for _, c := range w.claims {
		if c.isEnding() || s.isPreemptible(r, c) {
			room = room.Plus(c.allocation())
		}
	}
	return room
}

// ending is the room of a worker for a step once everything that will end there has ended.
func (s *Scheduler) capacityAfterCompletion(r *readyStep, w *worker) job.Resources {
	room := w.available(r.ref)
	for _, c := range w.claims {
		if c.step != nil && !c.step.LongRunning {
			room = room.Plus(c.allocation())
		}
	}
	return room
}

// preemptible reports whether a run may be stopped for a step: it is less urgent, works by
// itself, and ends anyway.
func (s *Scheduler) isPreemptible(r *readyStep, c *claim) bool {
	if c.step == nil || c.step.Gang || c.step.LongRunning || c.step.BestEffortCPU || c.phase != claimRunning {
		return false
	}
	if !c.step.Checkpointing && s.now-c.startedAt > preemptMaxAge {
		return false
	}
	j := s.state.Job(c.key.task.Job)
	return j != nil && j.Queue.Priority > r.job.Queue.Priority
}

// preempt stops as many less urgent runs on the booked workers as the step needs: those that
// lose least, which are those with checkpoints and then the youngest.
func (s *Scheduler) preempt(r *readyStep) {
	for _, w := range s.reservations[r.ref].workers {
		missing := w.reserved[r.ref].Minus(w.available(r.ref))
		var victims []*claim
		for _, c := range w.claims {
			switch {
			case c.isEnding():
				missing = missing.Minus(c.allocation())
			case s.isPreemptible(r, c):
				victims = append(victims, c)
			}
		}
		slices.SortFunc(victims, func(a, b *claim) int {
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

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func anyPositive(r job.Resources) bool { return r.MilliCPU > 0 || r.MemoryMB > 0 || r.GPU > 0 }
