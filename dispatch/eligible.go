package dispatch

import (
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// eligibleWorkers returns the workers that may run the step now: those with its label and, if its
// queue has an advisor, a valid ticket.
func (s *Scheduler) eligibleWorkers(r *readyStep) []*worker {
	return s.withTicketAt(r, s.grantedWorkers(r), s.now)
}

// withTicketAt returns the workers for which the step has a ticket that is valid at a time, or all
// of them if its queue has no advisor.
func (s *Scheduler) withTicketAt(r *readyStep, workers []*worker, at time.Duration) []*worker {
	if r.job.Queue.Advisor == nil {
		return workers
	}
	a := s.adviceFor(r.ref)
	s.examined += len(workers)
	var out []*worker
	for _, w := range workers {
		if _, valid := a.ticketFor(w.info.Number, at); valid {
			out = append(out, w)
		}
	}
	return out
}

// grantedWorkers returns the workers that the step may use now or once their tickets are renewed.
func (s *Scheduler) grantedWorkers(r *readyStep) []*worker {
	if r.job.Queue.Advisor == nil {
		return s.labeledWorkers(r)
	}
	granted := s.adviceFor(r.ref).granted
	s.examined += len(granted)
	var out []*worker
	for _, number := range granted {
		if w := s.workers[number]; w != nil && w.isSchedulable && w.info.Pool == r.pool && w.info.HasLabel(r.step.RequiredLabel) {
			out = append(out, w)
		}
	}
	return out
}

// labeledWorkers returns the workers of the step's pool that accept new tasks and have the label
// that it requires.
func (s *Scheduler) labeledWorkers(r *readyStep) []*worker {
	s.examined += len(s.schedulable[r.pool])
	out := make([]*worker, 0, len(s.schedulable[r.pool]))
	for _, w := range s.schedulable[r.pool] {
		if w.info.HasLabel(r.step.RequiredLabel) {
			out = append(out, w)
		}
	}
	return out
}

// poolOf returns the pool of the queue to which a job belongs, or that of its queue at the time the job was
// accepted if there is none any more.
func (s *Scheduler) poolOf(j *job.Job) string {
	if q := s.state.QueueOf(j); q != nil {
		return q.Pool
	}
	return j.Queue.Pool
}
