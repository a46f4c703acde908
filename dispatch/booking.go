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
	bookFor = 1500 * time.Millisecond
	// bookPart bounds the processors in bookings of a pool, as a part of what its usable
	// workers have: room stands idle until a booking is complete.
	bookPart = 0.2
	// patientFor is how long room stays booked while work that is not preempted has to end.
	patientFor = 4 * time.Second
	// preemptFrom is the least estimated length of the tasks for which others are stopped.
	// For shorter ones the room that ends of themselves bring is there as soon.
	preemptFrom = 2 * time.Second
	// preemptYoung is the age up to which a run without checkpoints is stopped for others;
	// an older one would lose too much.
	preemptYoung = 500 * time.Millisecond
	// patientBookings bounds the steps that wait in this way, as room stands idle for them.
	patientBookings = 2
)

// booking is room on workers that is kept for a step until it comes up.
type booking struct {
	pool    string
	cpu     int64 // thousandths of a core
	until   time.Duration
	patient bool
	workers []*worker
}

// available is the room on a worker that a step may take: what is free, less what is booked
// for other steps.
func (w *worker) available(ref job.StepRef) job.Resources {
	room := w.free()
	for other, r := range w.booked {
		if other != ref {
			room = room.Minus(r)
		}
	}
	return room
}

func (s *Scheduler) dropBooking(ref job.StepRef) {
	b := s.bookings[ref]
	if b == nil {
		return
	}
	for _, w := range b.workers {
		delete(w.booked, ref)
	}
	delete(s.bookings, ref)
}

// dropStaleBookings ends bookings whose time is over or whose job has ended.
func (s *Scheduler) dropStaleBookings() {
	for ref, b := range s.bookings {
		if s.now >= b.until || s.ready[ref.Job] == nil {
			s.dropBooking(ref)
		}
	}
}

// book keeps room for a gang on the workers for which it has tickets and stops less urgent
// tasks there. If there is too little, it may wait for room on all that are granted.
func (s *Scheduler) book(r *readyStep, eligible []*worker) {
	if !r.step.Gang {
		return
	}
	b := s.bookings[r.ref]
	if b != nil && !b.patient {
		return
	}
	if s.mayBook(r) && s.bookRoom(r, eligible, s.yielding, false) {
		if r.step.EstimateMillis >= preemptFrom.Milliseconds() {
			s.preempt(r)
		}
		return
	}
	if b == nil && s.patient() < patientBookings {
		s.bookRoom(r, s.granted(r), s.ending, true)
	}
}

// mayBook reports whether the bookings of a pool are within their bound. The first one may be
// of any size.
func (s *Scheduler) mayBook(r *readyStep) bool {
	booked := int64(0)
	for _, b := range s.bookings {
		if b.pool == r.pool && !b.patient {
			booked += b.cpu
		}
	}
	return float64(booked) <= bookPart*float64(s.capacity[r.pool])
}

func (s *Scheduler) patient() int {
	n := 0
	for _, b := range s.bookings {
		if b.patient {
			n++
		}
	}
	return n
}

// candidate is a worker with the tasks of a step that it could take.
type candidate struct {
	w          *worker
	now, later int
}

// bookRoom books room for all tasks of a gang, on the workers with the most room now, then
// with the most room by the measure given. It books nothing if that is not enough.
func (s *Scheduler) bookRoom(r *readyStep, workers []*worker, room func(*readyStep, *worker) job.Resources, patient bool) bool {
	var list []candidate
	total := 0
	for _, w := range workers {
		c := candidate{w, s.slots(r, w, w.available(r.ref)), s.slots(r, w, room(r, w))}
		if c.later > 0 {
			list = append(list, c)
			total += c.later
		}
	}
	missing := len(r.waiting)
	if total < missing {
		return false
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.now, a.now), cmp.Compare(b.later, a.later))
	})
	s.dropBooking(r.ref)
	b := &booking{pool: r.pool, until: s.now + bookFor, patient: patient}
	if patient {
		b.until = s.now + patientFor
	}
	for _, c := range list {
		if missing <= 0 {
			break
		}
		n := min(c.later, missing)
		missing -= n
		need := job.Resources{}
		for range n {
			need = need.Plus(r.step.Allocation())
		}
		c.w.booked[r.ref] = need
		b.workers = append(b.workers, c.w)
		b.cpu += need.MilliCPU
	}
	s.bookings[r.ref] = b
	s.record(Decision{Event: "room booked", Job: r.ref.Job, Task: job.TaskRef{StepRef: r.ref}, Reason: bookingReason(patient)})
	return true
}

func bookingReason(patient bool) string {
	if patient {
		return "waits for other work to end"
	}
	return "less urgent work yields"
}

// yielding is the room of a worker for a step without the work that can be preempted for it.
func (s *Scheduler) yielding(r *readyStep, w *worker) job.Resources {
	room := w.available(r.ref)
	for _, c := range w.claims {
		if c.isEnding() || s.preemptible(r, c) {
			room = room.Plus(c.reserved())
		}
	}
	return room
}

// ending is the room of a worker for a step once everything that will end there has ended.
func (s *Scheduler) ending(r *readyStep, w *worker) job.Resources {
	room := w.available(r.ref)
	for _, c := range w.claims {
		if c.step != nil && !c.step.LongRunning {
			room = room.Plus(c.reserved())
		}
	}
	return room
}

// preemptible reports whether a run may be stopped for a step: it is less urgent, works by
// itself, and ends anyway.
func (s *Scheduler) preemptible(r *readyStep, c *claim) bool {
	if c.step == nil || c.step.Gang || c.step.LongRunning || c.step.BestEffortCPU || c.phase != claimRunning {
		return false
	}
	if !c.step.Checkpointing && s.now-c.startedAt > preemptYoung {
		return false
	}
	j := s.state.Job(c.key.task.Job)
	return j != nil && j.Queue.Priority > r.job.Queue.Priority
}

// preempt stops as many less urgent runs on the booked workers as the step needs: those that
// lose least, which are those with checkpoints and then the youngest.
func (s *Scheduler) preempt(r *readyStep) {
	for _, w := range s.bookings[r.ref].workers {
		missing := w.booked[r.ref].Minus(w.available(r.ref))
		var victims []*claim
		for _, c := range w.claims {
			switch {
			case c.isEnding():
				missing = missing.Minus(c.reserved())
			case s.preemptible(r, c):
				victims = append(victims, c)
			}
		}
		slices.SortFunc(victims, func(a, b *claim) int {
			return cmp.Or(rankBool(!a.step.Checkpointing)-rankBool(!b.step.Checkpointing), cmp.Compare(b.startedAt, a.startedAt),
				cmp.Compare(a.key.task.String(), b.key.task.String()))
		})
		for _, c := range victims {
			if !anyPositive(missing) {
				break
			}
			missing = missing.Minus(c.reserved())
			s.stop(c, "preempted for "+r.ref.String())
		}
	}
}

func rankBool(b bool) int {
	if b {
		return 1
	}
	return 0
}

func anyPositive(r job.Resources) bool { return r.MilliCPU > 0 || r.MemoryMB > 0 || r.GPU > 0 }
