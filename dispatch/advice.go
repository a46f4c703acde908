package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// askAtMost bounds the workers named in one call; the advisor takes no more.
	askAtMost = 100
	// askAtLeast is how many workers are asked about at the least: a call has a fixed part.
	askAtLeast = 20
	// quickPart is the size of the calls into which a question is split while most members
	// are free: the answer comes sooner, but the calls take longer together.
	quickPart = 30
	// asksInTotal bounds the workers asked about at once for one step.
	asksInTotal = 100
	// queuePart is the part of the members for long calls that one queue may keep busy while
	// calls of others wait.
	queuePart = 0.75
	// askSurplus is by how much the room that is asked for exceeds what the step needs.
	askSurplus = 1.3
	// gangReach is how many times over a gang should fit on the workers granted to it when
	// all else there has ended. With fewer it waits long for room, more cost calls.
	gangReach = 4
	// renewSurplus is by how much the room on workers whose tickets a gang renews exceeds what
	// it needs: some of it is gone when the answer comes.
	renewSurplus = 1.5
	// firstGrantRate is assumed of a queue of which nothing is known, grantWeight is the
	// weight of a new answer in the mean.
	firstGrantRate = 0.4
	grantWeight    = 0.1
	// ticketMargin is the part of a ticket's life kept for the way of an order to a worker.
	ticketMargin = 150 * time.Millisecond
	// longAsk is the length from which a call counts as long; longAsksKeepFree members are
	// kept free of such calls, so that short ones do not wait behind them.
	longAsk          = 50 * time.Millisecond
	longAsksKeepFree = 3
	// askGrace is added to the expected length of a call.
	askGrace = 400 * time.Millisecond
	// askPause keeps a step or a member from asking again after a call that failed.
	askPause = 300 * time.Millisecond
)

// ticket is what the advisor granted for one worker life.
type ticket struct {
	value string
	until time.Duration
}

// advice is what is known of where a step may run. What the advisor grants does not
// change; only tickets expire.
type advice struct {
	tickets map[uint32]ticket
	granted []uint32 // the workers of tickets, in the order of the answers
	denied  map[uint32]bool
	pending map[uint32]bool // workers named in calls under way
	asking  int             // calls under way
	retryAt time.Duration
}

// advisor is a member through which the advisor can be asked, one call at a time.
type advisor struct {
	busy    bool
	queue   string // of the call under way
	retryAt time.Duration
}

// ask is a call that waits for a free member.
type ask struct {
	ref      job.StepRef
	queue    string
	workers  []job.Worker
	length   time.Duration
	priority int
	due      int64
}

// SetAdvisors names the members through which the advisor can be asked.
func (s *Scheduler) SetAdvisorProxies(members []string) {
	next := map[string]*advisor{}
	for _, m := range members {
		if next[m] = s.advisors[m]; next[m] == nil {
			next[m] = &advisor{}
		}
	}
	s.advisors = next
}

// ticketFor returns a valid ticket of a step for a worker.
func (a *advice) ticketFor(number uint32, now time.Duration) (string, bool) {
	t, ok := a.tickets[number]
	return t.value, ok && now < t.until
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
	s.asks = slices.DeleteFunc(s.asks, func(q *ask) bool { return q.ref.Job == id })
}

// dropAsks drops the calls about a step that still wait, since it has all its tasks placed.
func (s *Scheduler) dropAsks(ref job.StepRef) {
	s.asks = slices.DeleteFunc(s.asks, func(q *ask) bool {
		if q.ref != ref {
			return false
		}
		s.adviceFor(ref).settle(q.workers)
		return true
	})
}

func (s *Scheduler) dropTicket(c *claim) {
	number := c.worker.life.Number
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
	if a.asking > 0 || s.now < a.retryAt {
		return
	}
	var list []*worker
	if r.step.Gang {
		if b := s.bookings[r.ref]; b != nil && !b.patient {
			return // it waits for the room
		}
		list = s.renewableForGang(r, a)
	} else {
		list = s.enough(r, s.renewable(r, a), 1)
	}
	if len(list) == 0 && !(r.step.Gang && s.reaches(r)) {
		list = s.enough(r, s.unknown(r, a), s.grantRate(r.job.Queue.Name))
	}
	s.ask(r, a, list)
}

// settle takes a call about the workers that is over or dropped off what is under way.
func (a *advice) settle(workers []job.Worker) {
	a.asking--
	for _, w := range workers {
		delete(a.pending, w.Number)
	}
}

// expiring returns the workers whose tickets do not hold at a time.
func (a *advice) expiring(workers []*worker, at time.Duration) []*worker {
	var out []*worker
	for _, w := range workers {
		if _, valid := a.ticketFor(w.life.Number, at); !valid {
			out = append(out, w)
		}
	}
	return out[:min(len(out), askAtMost)]
}

// reaches reports whether the workers granted to a gang suffice: with all else there ended, it
// would fit on them several times over.
func (s *Scheduler) reaches(r *readyStep) bool {
	slots := 0
	for _, w := range s.granted(r) {
		slots += s.slots(r, w, s.ending(r, w))
	}
	return slots >= gangReach*len(r.waiting)
}

// room is a worker with the waiting tasks of a step that fit there once less urgent work has
// been stopped.
type room struct {
	w     *worker
	slots int
}

// rooms returns the workers that have room for at least a number of tasks of a step.
func (s *Scheduler) rooms(r *readyStep, workers []*worker, least int) []room {
	out := make([]room, 0, len(workers))
	for _, w := range workers {
		if n := s.slots(r, w, s.yielding(r, w)); n >= least {
			out = append(out, room{w, n})
		}
	}
	return out
}

// enough returns the workers with the most room that can be expected to take the step's
// waiting tasks, given the rate at which they are granted.
func (s *Scheduler) enough(r *readyStep, rooms []room, rate float64) []*worker {
	slices.SortStableFunc(rooms, func(x, y room) int {
		return cmp.Or(cmp.Compare(y.slots, x.slots), cmp.Compare(y.w.free().MilliCPU, x.w.free().MilliCPU))
	})
	expected, need := 0.0, askSurplus*float64(len(r.waiting))
	var out []*worker
	for _, room := range rooms {
		if len(out) >= askAtLeast && expected >= need || len(out) == asksInTotal {
			break
		}
		expected += rate * float64(room.slots)
		out = append(out, room.w)
	}
	return out
}

// ask queues calls about the workers, if any, in equal parts.
func (s *Scheduler) ask(r *readyStep, a *advice, list []*worker) {
	terms := r.job.Queue.Advisor
	size := askAtMost
	if 2*len(s.freeAdvisors()) > len(s.advisors) {
		size = quickPart
	}
	for calls := (len(list) + size - 1) / size; calls > 0; calls-- {
		part := list[:(len(list)+calls-1)/calls]
		list = list[len(part):]
		q := &ask{ref: r.ref, queue: r.job.Queue.Name, priority: r.job.Queue.Priority, due: r.due,
			length: callLength(terms, len(part))}
		for _, w := range part {
			q.workers = append(q.workers, *w.life)
			a.pending[w.life.Number] = true
		}
		a.asking++
		s.asks = append(s.asks, q)
	}
}

func (s *Scheduler) grantRate(queue string) float64 {
	if rate, ok := s.grants[queue]; ok {
		return rate
	}
	return firstGrantRate
}

// noteGrants takes the rate of one answer into the mean of a queue.
func (s *Scheduler) noteGrants(queue string, granted, asked int) {
	if asked > 0 {
		s.grants[queue] = (1-grantWeight)*s.grantRate(queue) + grantWeight*float64(granted)/float64(asked)
	}
}

// renewable returns the granted workers with room and no valid ticket.
func (s *Scheduler) renewable(r *readyStep, a *advice) []room {
	return s.rooms(r, a.expiring(s.granted(r), s.now), 1)
}

// renewableForGang returns the workers whose tickets a gang has to renew so that all that it
// needs hold at once when less urgent work has been stopped; none if there is too little room
// on the granted workers.
func (s *Scheduler) renewableForGang(r *readyStep, a *advice) []*worker {
	rooms := s.rooms(r, s.granted(r), 1)
	slices.SortStableFunc(rooms, func(x, y room) int { return cmp.Compare(y.slots, x.slots) })
	total := 0
	var list []*worker
	for _, room := range rooms {
		if float64(total) >= renewSurplus*float64(len(r.waiting)) {
			break
		}
		total += room.slots
		list = append(list, room.w)
	}
	if total < len(r.waiting) {
		return nil
	}
	return a.expiring(list, s.now+callLength(r.job.Queue.Advisor, len(list))+s.settings.StopTimeout)
}

// unknown returns the workers about which the advisor was not asked; for tasks that start
// one by one, those with room.
func (s *Scheduler) unknown(r *readyStep, a *advice) []room {
	list := slices.DeleteFunc(s.labelled(r), func(w *worker) bool {
		_, granted := a.tickets[w.life.Number]
		return granted || a.denied[w.life.Number] || a.pending[w.life.Number]
	})
	if r.step.Gang {
		return s.rooms(r, list, 0)
	}
	return s.rooms(r, list, 1)
}

// callLength is how long the advisor takes for a call about n workers.
func callLength(terms *job.AdvisorConfig, n int) time.Duration {
	return millis(terms.DecisionMillis + terms.PerWorkerMillis*float64(n))
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// sendAsks hands calls to free members, the most urgent first. No queue keeps more than its
// part of the members busy while others have calls that wait.
func (s *Scheduler) sendAsks() {
	if len(s.asks) == 0 {
		return
	}
	slices.SortStableFunc(s.asks, func(x, y *ask) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.due, y.due))
	})
	busy := map[string]int{}
	for _, m := range s.advisors {
		if m.busy {
			busy[m.queue]++
		}
	}
	free := s.freeAdvisors()
	keep := min(longAsksKeepFree, len(s.advisors)/2)
	part := max(int(queuePart*float64(len(s.advisors)-keep)), 1)
	free = s.sendWithin(free, keep, busy, part)
	s.sendWithin(free, keep, busy, len(s.advisors))
}

// sendWithin hands calls to the free members as long as each queue has at most the given
// number of members busy, and long calls leave keep members free. It returns the members
// that are left.
func (s *Scheduler) sendWithin(free []string, keep int, busy map[string]int, most int) []string {
	waiting := s.asks[:0]
	for _, q := range s.asks {
		if len(free) == 0 || q.length > longAsk && len(free) <= keep || busy[q.queue] >= most {
			waiting = append(waiting, q)
			continue
		}
		m := s.advisors[free[0]]
		m.busy, m.queue = true, q.queue
		busy[q.queue]++
		s.actions = append(s.actions, Advise{Via: free[0], Step: q.ref, Workers: q.workers, Timeout: q.length + askGrace})
		free = free[1:]
	}
	s.asks = waiting
	return free
}

func (s *Scheduler) freeAdvisors() []string {
	var free []string
	for name, a := range s.advisors {
		if !a.busy && s.now >= a.retryAt {
			free = append(free, name)
		}
	}
	slices.Sort(free)
	return free
}

// Advised takes the answer to a call about workers. ok is false if there was none; valid
// is how long the tickets hold from when the call was sent back.
func (s *Scheduler) Advised(now time.Duration, via string, ref job.StepRef, workers []job.Worker, granted []Ticket, valid time.Duration, ok bool) {
	s.observe(now)
	if m := s.advisors[via]; m != nil {
		m.busy = false
		if !ok {
			m.retryAt = s.now + askPause
		}
	}
	a := s.advice[ref]
	if a == nil || !s.leading {
		return
	}
	a.settle(workers)
	s.dirty = true
	for _, r := range s.ready[ref.Job] {
		r.retryAt = 0
	}
	s.record(Decision{Event: "advice", Job: ref.Job, Task: job.TaskRef{StepRef: ref}, Worker: via, Reason: adviceReason(len(granted), len(workers), ok)})
	if !ok {
		a.retryAt = s.now + askPause
		return
	}
	if j := s.state.Job(ref.Job); j != nil && len(a.tickets)+len(a.denied) == 0 {
		s.noteGrants(j.Queue.Name, len(granted), len(workers))
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
