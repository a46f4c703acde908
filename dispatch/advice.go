package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// askAtMost bounds the workers named in one call; the advisor takes no more.
	maxWorkersPerCall = 100
	// askAtLeast is how many workers are asked about at the least: a call has a fixed part.
	minWorkersAsked = 20
	// quickPart is the size of the calls into which a question is split while most members
	// are free: the answer comes sooner, but the calls take longer together.
	splitCallSize = 30
	// asksInTotal bounds the workers asked about at once for one step.
	maxWorkersAsked = 100
	// queuePart is the part of the members for long calls that one queue may keep busy while
	// calls of others wait.
	maxQueueFraction = 0.75
	// askSurplus is by how much the room that is asked for exceeds what the step needs.
	askedCapacityFactor = 1.3
	// gangReach is how many times over a gang should fit on the workers granted to it when
	// all else there has ended. With fewer it waits long for room, more cost calls.
	gangCapacityFactor = 4
	// renewSurplus is by how much the room on workers whose tickets a gang renews exceeds what
	// it needs: some of it is gone when the answer comes.
	renewedCapacityFactor = 1.5
	// firstGrantRate is assumed of a queue of which nothing is known, grantWeight is the
	// weight of a new answer in the mean.
	initialGrantRate = 0.4
	grantRateWeight  = 0.1
	// ticketMargin is the part of a ticket's life kept for the way of an order to a worker.
	ticketMargin = 150 * time.Millisecond
	// longAsk is the length from which a call counts as long; longAsksKeepFree members are
	// kept free of such calls, so that short ones do not wait behind them.
	longCallMin          = 50 * time.Millisecond
	proxiesForShortCalls = 3
	// askGrace is added to the expected length of a call.
	callTimeoutMargin = 400 * time.Millisecond
	// askPause keeps a step or a member from asking again after a call that failed.
	callRetryDelay = 300 * time.Millisecond
)

// ticket is what the advisor granted for one worker life.
type ticket struct {
	value      string
	validUntil time.Duration
}

// advice is what is known of where a step may run. What the advisor grants does not
// change; only tickets expire.
type advice struct {
	tickets   map[uint32]ticket
	granted   []uint32 // the workers of tickets, in the order of the answers
	denied    map[uint32]bool
	pending   map[uint32]bool // workers named in calls under way
	openCalls int             // calls under way
	retryAt   time.Duration
}

// advisor is a member through which the advisor can be asked, one call at a time.
type advisorProxy struct {
	isBusy  bool
	queue   string // of the call under way
	retryAt time.Duration
}

// ask is a call that waits for a free member.
type advisorCall struct {
	ref            job.StepRef
	queue          string
	workers        []job.Worker
	duration       time.Duration
	priority       int
	deadlineMillis int64
}

// SetAdvisors names the members through which the advisor can be asked.
func (s *Scheduler) SetAdvisorProxies(members []string) {
	next := map[string]*advisorProxy{}
	for _, m := range members {
		if next[m] = s.proxies[m]; next[m] == nil {
			next[m] = &advisorProxy{}
		}
	}
	s.proxies = next
}

// ticketFor returns a valid ticket of a step for a worker.
func (a *advice) ticketFor(number uint32, now time.Duration) (string, bool) {
	t, ok := a.tickets[number]
	return t.value, ok && now < t.validUntil
}

func (s *Scheduler) adviceFor(ref job.StepRef) *advice {
	a := s.advice[ref]
	if a == nil {
		a = &advice{tickets: map[uint32]ticket{}, denied: map[uint32]bool{}, pending: map[uint32]bool{}}
		s.advice[ref] = a
	}
	return a
}

func (s *Scheduler) dropAdvice(id job.ID) {
	for ref := range s.advice {
		if ref.Job == id {
			delete(s.advice, ref)
		}
	}
	s.queuedCalls = slices.DeleteFunc(s.queuedCalls, func(q *advisorCall) bool { return q.ref.Job == id })
}

// dropAsks drops the calls about a step that still wait, since it has all its tasks placed.
func (s *Scheduler) dropQueuedCalls(ref job.StepRef) {
	s.queuedCalls = slices.DeleteFunc(s.queuedCalls, func(q *advisorCall) bool {
		if q.ref != ref {
			return false
		}
		s.adviceFor(ref).finishCall(q.workers)
		return true
	})
}

func (s *Scheduler) dropTicket(c *claim) {
	number := c.worker.info.Number
	if a := s.advice[c.key.task.StepRef]; a != nil {
		delete(a.tickets, number)
		a.granted = slices.DeleteFunc(a.granted, func(n uint32) bool { return n == number })
	}
}

// requestAdvice queues calls about a step that lacks valid tickets. Granted workers are
// asked about again once they have the room that is needed; before that, workers about
// which nothing is known.
func (s *Scheduler) requestAdvice(r *readyStep) {
	a := s.adviceFor(r.ref)
	if a.openCalls > 0 || s.now < a.retryAt {
		return
	}
	var list []*worker
	if r.step.Gang {
		if b := s.reservations[r.ref]; b != nil && !b.isWaiting {
			return // it waits for the room
		}
		list = s.renewableWorkersForGang(r, a)
	} else {
		list = s.selectToAsk(r, s.renewableWorkers(r, a), 1)
	}
	if len(list) == 0 && !(r.step.Gang && s.hasEnoughGranted(r)) {
		list = s.selectToAsk(r, s.unaskedWorkers(r, a), s.grantRate(r.job.Queue.Name))
	}
	s.queueCalls(r, a, list)
}

// settle takes a call about the workers that is over or dropped off what is under way.
func (a *advice) finishCall(workers []job.Worker) {
	a.openCalls--
	for _, w := range workers {
		delete(a.pending, w.Number)
	}
}

// expiring returns the workers whose tickets do not hold at a time.
func (a *advice) withoutValidTicket(workers []*worker, at time.Duration) []*worker {
	var out []*worker
	for _, w := range workers {
		if _, valid := a.ticketFor(w.info.Number, at); !valid {
			out = append(out, w)
		}
	}
	return out[:min(len(out), maxWorkersPerCall)]
}

// reaches reports whether the workers granted to a gang suffice: with all else there ended, it
// would fit on them several times over.
func (s *Scheduler) hasEnoughGranted(r *readyStep) bool {
	slots := 0
	for _, w := range s.grantedWorkers(r) {
		slots += s.slots(r, w, s.capacityAfterCompletion(r, w))
	}
	return slots >= gangCapacityFactor*len(r.waiting)
}

// room is a worker with the waiting tasks of a step that fit there once less urgent work has
// been stopped.
type workerSlots struct {
	w     *worker
	slots int
}

// rooms returns the workers that have room for at least a number of tasks of a step.
func (s *Scheduler) workersWithSlots(r *readyStep, workers []*worker, minSlots int) []workerSlots {
	out := make([]workerSlots, 0, len(workers))
	for _, w := range workers {
		if n := s.slots(r, w, s.capacityAfterPreemption(r, w)); n >= minSlots {
			out = append(out, workerSlots{w, n})
		}
	}
	return out
}

// enough returns the workers with the most room that can be expected to take the step's
// waiting tasks, given the rate at which they are granted.
func (s *Scheduler) selectToAsk(r *readyStep, candidates []workerSlots, rate float64) []*worker {
	slices.SortStableFunc(candidates, func(x, y workerSlots) int {
		return cmp.Or(cmp.Compare(y.slots, x.slots), cmp.Compare(y.w.free().MilliCPU, x.w.free().MilliCPU))
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

// ask queues calls about the workers, if any, in equal parts.
func (s *Scheduler) queueCalls(r *readyStep, a *advice, list []*worker) {
	advisor := r.job.Queue.Advisor
	size := maxWorkersPerCall
	if 2*len(s.freeProxies()) > len(s.proxies) {
		size = splitCallSize
	}
	for calls := (len(list) + size - 1) / size; calls > 0; calls-- {
		part := list[:(len(list)+calls-1)/calls]
		list = list[len(part):]
		q := &advisorCall{ref: r.ref, queue: r.job.Queue.Name, priority: r.job.Queue.Priority, deadlineMillis: r.deadlineMillis,
			duration: callDuration(advisor, len(part))}
		for _, w := range part {
			q.workers = append(q.workers, *w.info)
			a.pending[w.info.Number] = true
		}
		a.openCalls++
		s.queuedCalls = append(s.queuedCalls, q)
	}
}

func (s *Scheduler) grantRate(queue string) float64 {
	if rate, ok := s.grantRates[queue]; ok {
		return rate
	}
	return initialGrantRate
}

// noteGrants takes the rate of one answer into the mean of a queue.
func (s *Scheduler) recordGrantRate(queue string, granted, asked int) {
	if asked > 0 {
		s.grantRates[queue] = (1-grantRateWeight)*s.grantRate(queue) + grantRateWeight*float64(granted)/float64(asked)
	}
}

// renewable returns the granted workers with room and no valid ticket.
func (s *Scheduler) renewableWorkers(r *readyStep, a *advice) []workerSlots {
	return s.workersWithSlots(r, a.withoutValidTicket(s.grantedWorkers(r), s.now), 1)
}

// renewableForGang returns the workers whose tickets a gang has to renew so that all that it
// needs hold at once when less urgent work has been stopped; none if there is too little room
// on the granted workers.
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
	return a.withoutValidTicket(list, s.now+callDuration(r.job.Queue.Advisor, len(list))+s.settings.StopTimeout)
}

// unknown returns the workers about which the advisor was not asked; for tasks that start
// one by one, those with room.
func (s *Scheduler) unaskedWorkers(r *readyStep, a *advice) []workerSlots {
	list := slices.DeleteFunc(s.labeledWorkers(r), func(w *worker) bool {
		_, granted := a.tickets[w.info.Number]
		return granted || a.denied[w.info.Number] || a.pending[w.info.Number]
	})
	if r.step.Gang {
		return s.workersWithSlots(r, list, 0)
	}
	return s.workersWithSlots(r, list, 1)
}

// callLength is how long the advisor takes for a call about n workers.
func callDuration(advisor *job.AdvisorConfig, n int) time.Duration {
	return millis(advisor.DecisionMillis + advisor.PerWorkerMillis*float64(n))
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// sendAsks hands calls to free members, the most urgent first. No queue keeps more than its
// part of the members busy while others have calls that wait.
func (s *Scheduler) sendQueuedCalls() {
	if len(s.queuedCalls) == 0 {
		return
	}
	slices.SortStableFunc(s.queuedCalls, func(x, y *advisorCall) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.deadlineMillis, y.deadlineMillis))
	})
	busy := map[string]int{}
	for _, m := range s.proxies {
		if m.isBusy {
			busy[m.queue]++
		}
	}
	free := s.freeProxies()
	reserved := min(proxiesForShortCalls, len(s.proxies)/2)
	queueLimit := max(int(maxQueueFraction*float64(len(s.proxies)-reserved)), 1)
	free = s.sendCallsUpTo(free, reserved, busy, queueLimit)
	s.sendCallsUpTo(free, reserved, busy, len(s.proxies))
}

// sendWithin hands calls to the free members as long as each queue has at most the given
// number of members busy, and long calls leave keep members free. It returns the members
// that are left.
func (s *Scheduler) sendCallsUpTo(free []string, reserved int, busy map[string]int, queueLimit int) []string {
	waiting := s.queuedCalls[:0]
	for _, q := range s.queuedCalls {
		if len(free) == 0 || q.duration > longCallMin && len(free) <= reserved || busy[q.queue] >= queueLimit {
			waiting = append(waiting, q)
			continue
		}
		m := s.proxies[free[0]]
		m.isBusy, m.queue = true, q.queue
		busy[q.queue]++
		s.actions = append(s.actions, Advise{Via: free[0], Step: q.ref, Workers: q.workers, Timeout: q.duration + callTimeoutMargin})
		free = free[1:]
	}
	s.queuedCalls = waiting
	return free
}

func (s *Scheduler) freeProxies() []string {
	var free []string
	for name, a := range s.proxies {
		if !a.isBusy && s.now >= a.retryAt {
			free = append(free, name)
		}
	}
	slices.Sort(free)
	return free
}

// Advised takes the answer to a call about workers. ok is false if there was none; valid
// is how long the tickets hold from when the call was sent back.
func (s *Scheduler) Advised(now time.Duration, via string, ref job.StepRef, workers []job.Worker, granted []Ticket, valid time.Duration, ok bool) {
	s.advanceClock(now)
	if m := s.proxies[via]; m != nil {
		m.isBusy = false
		if !ok {
			m.retryAt = s.now + callRetryDelay
		}
	}
	a := s.advice[ref]
	if a == nil || !s.leading {
		return
	}
	a.finishCall(workers)
	s.needsPass = true
	for _, r := range s.ready[ref.Job] {
		r.retryAt = 0
	}
	s.record(Decision{Event: "advice", Job: ref.Job, Task: job.TaskRef{StepRef: ref}, Worker: via, Reason: adviceReason(len(granted), len(workers), ok)})
	if !ok {
		a.retryAt = s.now + callRetryDelay
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
		a.tickets[t.Worker] = ticket{t.Value, s.now + valid - ticketMargin}
	}
}
