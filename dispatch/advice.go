package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// maxWorkersPerCall limits the workers named in one call; the advisor accepts no more.
	maxWorkersPerCall = 100
	// minWorkersAsked is the least number of workers to ask about, if there are as many: each
	// call has a fixed latency, whatever the number of workers.
	minWorkersAsked = 20
	// maxWorkersAsked limits the workers in all calls about one step at a time.
	maxWorkersAsked = 100
	// askedCapacityFactor is the ratio of the tasks that are expected to fit on the workers
	// asked about to the waiting tasks of the step.
	askedCapacityFactor = 1.3
	// gangCapacityFactor is how many times a gang should fit on the workers granted to it when
	// all other runs there have ended. With fewer workers it waits long for capacity; more
	// workers cost calls.
	gangCapacityFactor = 4
	// renewedCapacityFactor is the ratio of the capacity of the workers whose tickets a gang
	// renews to what the gang needs, since some of it is taken before the answer arrives.
	renewedCapacityFactor = 1.5
	// initialGrantRate is the assumed grant rate of a queue without any answers so far.
	// grantRateWeight is the weight of a new answer in the moving average of the rate.
	initialGrantRate = 0.4
	grantRateWeight  = 0.1
	// ticketMargin is subtracted from the validity of a ticket for the time that an order takes
	// to reach the worker.
	ticketMargin = 150 * time.Millisecond
)

// ticket is the advisor's permission to run a step on one worker incarnation.
type ticket struct {
	value      string
	validUntil time.Duration
}

// advice is what is known about the workers on which a step may run. The grants of the advisor do
// not change; only the tickets expire.
type advice struct {
	tickets   map[uint32]ticket
	granted   []uint32        // the workers with tickets, valid or expired, in the order of the answers
	denied    map[uint32]bool // workers that the advisor has not granted
	pending   map[uint32]bool // workers named in queued calls and in calls in flight
	openCalls int             // number of queued calls and calls in flight
}

// ticketFor returns the ticket for a worker and whether it is valid at the time now.
func (a *advice) ticketFor(number uint32, now time.Duration) (string, bool) {
	t, ok := a.tickets[number]
	return t.value, ok && now < t.validUntil
}

// adviceFor returns the advice for a step, creating it if it is absent.
func (s *Scheduler) adviceFor(ref job.StepRef) *advice {
	a := s.advice[ref]
	if a == nil {
		a = &advice{tickets: map[uint32]ticket{}, denied: map[uint32]bool{}, pending: map[uint32]bool{}}
		s.advice[ref] = a
	}
	return a
}

// dropAdvice drops the advice and the queued calls of a job.
func (s *Scheduler) dropAdvice(id job.ID) {
	for ref := range s.advice {
		if ref.Job == id {
			delete(s.advice, ref)
		}
	}
	s.queuedCalls = slices.DeleteFunc(s.queuedCalls, func(call *advisorCall) bool { return call.ref.Job == id })
}

// dropTicket drops the ticket for a claim's worker, which has refused it.
func (s *Scheduler) dropTicket(c *claim) {
	number := c.worker.info.Number
	if a := s.advice[c.key.task.StepRef]; a != nil {
		delete(a.tickets, number)
		a.granted = slices.DeleteFunc(a.granted, func(n uint32) bool { return n == number })
	}
}

// requestAdvice queues calls about a step that lacks valid tickets. It asks about granted workers
// again if they have enough capacity and their tickets have expired, and otherwise about workers
// that it has not asked about.
func (s *Scheduler) requestAdvice(r *readyStep) {
	a := s.adviceFor(r.ref)
	if a.openCalls > 0 {
		return
	}
	var list []*worker
	isRenewal := true
	if r.step.Gang {
		if s.isPreempting(r.ref) {
			return // capacity is already reserved on workers for which it has valid tickets
		}
		list = s.renewableWorkersForGang(r, a)
	} else {
		list = s.selectToAsk(r, s.renewableWorkers(r, a), 1)
	}
	if len(list) == 0 && !(r.step.Gang && s.hasEnoughGranted(r)) {
		isRenewal = false
		list = s.selectToAsk(r, s.unaskedWorkers(r, a), s.grantRate(r.job.Queue.Name))
	}
	s.queueCalls(r, a, list, isRenewal)
}

// finishCall removes a call about the given workers, which was answered, failed or dropped, from
// the open calls.
func (a *advice) finishCall(workers []job.Worker) {
	a.openCalls--
	for _, w := range workers {
		delete(a.pending, w.Number)
	}
}

// withoutValidTicket returns the workers without a ticket that is valid at a time, at most
// maxWorkersPerCall.
func (a *advice) withoutValidTicket(workers []*worker, at time.Duration) []*worker {
	var out []*worker
	for _, w := range workers {
		if _, valid := a.ticketFor(w.info.Number, at); !valid {
			out = append(out, w)
		}
	}
	return out[:min(len(out), maxWorkersPerCall)]
}

// hasEnoughGranted reports whether enough workers are granted to a gang: if all other runs there
// ended, the gang would fit gangCapacityFactor times.
func (s *Scheduler) hasEnoughGranted(r *readyStep) bool {
	slots := 0
	for _, w := range s.grantedWorkers(r) {
		slots += s.slots(r, w, s.capacityAfterCompletion(r, w))
	}
	return slots >= gangCapacityFactor*len(r.waiting)
}

// workerSlots is a worker with the number of waiting tasks of a step that fit there: for a gang
// once less urgent runs have been preempted, for other steps, which do not preempt, now.
type workerSlots struct {
	w     *worker
	slots int
}

// workersWithSlots returns the workers that have capacity for at least minSlots tasks of a step.
func (s *Scheduler) workersWithSlots(r *readyStep, workers []*worker, minSlots int) []workerSlots {
	s.examined += len(workers)
	out := make([]workerSlots, 0, len(workers))
	for _, w := range workers {
		capacity := w.available(r.ref)
		if r.step.Gang {
			capacity = s.capacityAfterPreemption(r, w)
		}
		if n := s.slots(r, w, capacity); n >= minSlots {
			out = append(out, workerSlots{w, n})
		}
	}
	return out
}

// selectToAsk returns the workers with the most slots, as many as are expected to take the step's
// waiting tasks if the fraction rate of them is granted. Among workers with the same number of
// slots, it prefers those of the wanted speed, and then gangs those on which they preempt the least. Other steps choose at random, since
// steps that choose the same workers take them from each other before the answers arrive.
func (s *Scheduler) selectToAsk(r *readyStep, candidates []workerSlots, rate float64) []*worker {
	wanted := s.speedToAsk(r, candidates, rate)
	slices.SortFunc(candidates, func(x, y workerSlots) int {
		if x.slots != y.slots {
			return cmp.Compare(y.slots, x.slots)
		}
		if d := wanted.compare(x.w, y.w); d != 0 {
			return d
		}
		if r.step.Gang {
			return cmp.Or(cmp.Compare(y.w.free().MilliCPU, x.w.free().MilliCPU), cmp.Compare(x.w.info.Number, y.w.info.Number))
		}
		return cmp.Compare(randomRank(r.ref.Job, x.w), randomRank(r.ref.Job, y.w))
	})
	expected, need := 0.0, askedCapacityFactor*float64(len(r.waiting))
	var out []*worker
	for _, candidate := range candidates {
		if len(out) >= minWorkersAsked && expected >= need || len(out) == maxWorkersAsked {
			break
		}
		expected += rate * float64(candidate.slots)
		out = append(out, candidate.w)
	}
	return out
}

// randomRank returns a number for a job and a worker that is pseudo-random, so that the order of
// the workers differs from job to job, and the same for each call (the finalizer of SplitMix64).
func randomRank(id job.ID, w *worker) uint64 {
	x := uint64(id) ^ uint64(w.info.Number)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// grantRate returns the expected fraction of the workers asked about that the advisor grants to a
// queue.
func (s *Scheduler) grantRate(queue string) float64 {
	if rate, ok := s.grantRates[queue]; ok {
		return rate
	}
	return initialGrantRate
}

// recordGrantRate adds the rate of one answer to the moving average of a queue.
func (s *Scheduler) recordGrantRate(queue string, granted, asked int) {
	if asked > 0 {
		s.grantRates[queue] = (1-grantRateWeight)*s.grantRate(queue) + grantRateWeight*float64(granted)/float64(asked)
	}
}

// renewableWorkers returns the granted workers that have capacity and no valid ticket.
func (s *Scheduler) renewableWorkers(r *readyStep, a *advice) []workerSlots {
	return s.workersWithSlots(r, a.withoutValidTicket(s.grantedWorkers(r), s.now), 1)
}

// renewableWorkersForGang returns the workers whose tickets a gang has to renew so that all the
// tickets that it needs are valid simultaneously when less urgent runs have been preempted. It
// returns none if the granted workers have too little capacity.
func (s *Scheduler) renewableWorkersForGang(r *readyStep, a *advice) []*worker {
	candidates := s.workersWithSlots(r, s.grantedWorkers(r), 1)
	slices.SortStableFunc(candidates, func(x, y workerSlots) int { return cmp.Compare(y.slots, x.slots) })
	total := 0
	var list []*worker
	for _, candidate := range candidates {
		if float64(total) >= renewedCapacityFactor*float64(len(r.waiting)) {
			break
		}
		total += candidate.slots
		list = append(list, candidate.w)
	}
	if total < len(r.waiting) {
		return nil
	}
	return a.withoutValidTicket(list, s.now+callDuration(r.job.Queue.Advisor, len(list))+s.preemptionDuration())
}

// unaskedWorkers returns the workers about which the advisor has not been asked. For a step that
// is not a gang, it returns only those with capacity for a task.
func (s *Scheduler) unaskedWorkers(r *readyStep, a *advice) []workerSlots {
	list := s.labeledWorkers(r)
	if len(a.tickets)+len(a.denied)+len(a.pending) > 0 {
		list = slices.DeleteFunc(list, func(w *worker) bool {
			_, granted := a.tickets[w.info.Number]
			return granted || a.denied[w.info.Number] || a.pending[w.info.Number]
		})
	}
	if r.step.Gang {
		return s.workersWithSlots(r, list, 0)
	}
	return s.workersWithSlots(r, list, 1)
}

// Advised handles the answer to an Advise about the given workers. ok is false if there was no
// answer; validity is how long the tickets are valid, counted from now.
func (s *Scheduler) Advised(now time.Duration, via string, ref job.StepRef, workers []job.Worker, granted []Ticket, validity time.Duration, ok bool) {
	s.advanceClock(now)
	var call *advisorCall
	if proxy := s.proxies[via]; proxy != nil {
		call, proxy.call = proxy.call, nil
		if ok {
			proxy.failedCalls = 0
		} else {
			proxy.retryAt = s.now + min(proxyRetryMin<<min(proxy.failedCalls, 4), proxyRetryMax)
			proxy.failedCalls++
		}
	}
	a := s.advice[ref]
	if a == nil || !s.leading {
		return
	}
	a.finishCall(workers)
	s.retryNow(ref.Job)
	s.recordAdvice(call, ref, via, len(granted), len(workers), ok)
	if !ok {
		return
	}
	if j := s.state.Job(ref.Job); j != nil && len(a.tickets)+len(a.denied) == 0 {
		s.recordGrantRate(j.Queue.Name, len(granted), len(workers))
	}
	for _, w := range workers {
		a.denied[w.Number] = true
	}
	for _, t := range granted {
		delete(a.denied, t.Worker)
		if _, known := a.tickets[t.Worker]; !known {
			a.granted = append(a.granted, t.Worker)
		}
		a.tickets[t.Worker] = ticket{t.Value, s.now + validity - ticketMargin}
	}
}

// recordAdvice records the result of a call. call is nil if the proxy was removed meanwhile.
func (s *Scheduler) recordAdvice(call *advisorCall, ref job.StepRef, via string, granted, asked int, ok bool) {
	d := Decision{Event: "advice", Job: ref.Job, Task: job.TaskRef{StepRef: ref}, Worker: via, Reason: "no answer"}
	if ok {
		d.Reason = fmt.Sprintf("%d of %d workers granted", granted, asked)
	}
	if call != nil {
		d.Queued, d.Took = call.sentAt-call.queuedAt, s.now-call.sentAt
		if call.isRenewal {
			d.Reason += ", renewal"
		}
		d.Reason += ", job was " + call.latenessWhenSent.String()
	}
	s.record(d)
}
