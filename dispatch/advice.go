package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

const (
	// askAtMost and askAtLeast bound the number of workers named in one call: the advisor
	// takes 100, and its time rises with each.
	askAtMost  = 30
	askAtLeast = 20
	// asksAtOnce bounds the calls under way about one step. Tickets of calls made one after
	// the other would not be valid together.
	asksAtOnce = 4
	// askSurplus is by how much the room that is asked for exceeds what the step needs.
	askSurplus = 1.3
	// firstGrantRate is assumed of a queue of which nothing is known, grantWeight is the
	// weight of a new answer in the mean.
	firstGrantRate = 0.4
	grantWeight    = 0.1
	// ticketMargin is the part of a ticket's life kept for the way of an order to a worker.
	ticketMargin = 150 * time.Millisecond
	// longAsk is the length from which a call counts as long; longAsksKeepFree members are
	// kept free of such calls, so that short ones do not wait behind them.
	longAsk          = 200 * time.Millisecond
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
	denied  map[uint32]bool
	pending map[uint32]bool // workers named in calls under way
	asking  int             // calls under way
	retryAt time.Duration
}

// advisor is a member through which the advisor can be asked, one call at a time.
type advisor struct {
	busy    bool
	retryAt time.Duration
}

// ask is a call that waits for a free member.
type ask struct {
	ref      job.StepRef
	workers  []job.Worker
	length   time.Duration
	priority int
	due      int64
}

// SetAdvisors names the members through which the advisor can be asked.
func (s *Scheduler) SetAdvisors(members []string) {
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

func (s *Scheduler) dropTicket(c *claim) {
	if a := s.advice[c.key.task.StepRef]; a != nil {
		delete(a.tickets, c.worker.life.Number)
	}
}

// requestAdvice queues calls about a step that lacks valid tickets. Granted workers are
// asked about again once they have the room that is needed; before that, workers about
// which nothing is known.
func (s *Scheduler) requestAdvice(r *readyStep, workers []*worker) {
	a := s.adviceFor(r.ref)
	if a.asking > 0 || s.now < a.retryAt {
		return
	}
	if list := s.renewable(r, a, workers); len(list) > 0 {
		s.ask(r, a, s.enough(r, list, 1))
		return
	}
	s.ask(r, a, s.enough(r, s.unknown(r, a, workers), s.grantRate(r.job.Queue.Name)))
}

// enough returns the workers with the most room that can be expected to take the step's
// waiting tasks, given the rate at which they are granted.
func (s *Scheduler) enough(r *readyStep, list []*worker, rate float64) []*worker {
	type room struct {
		w     *worker
		slots int
	}
	rooms := make([]room, len(list))
	for i, w := range list {
		rooms[i] = room{w, s.slots(r, w, s.yielding(r, w))}
	}
	slices.SortStableFunc(rooms, func(x, y room) int {
		return cmp.Or(cmp.Compare(y.slots, x.slots), cmp.Compare(y.w.free().MilliCPU, x.w.free().MilliCPU))
	})
	expected, need := 0.0, askSurplus*float64(len(r.waiting))
	var out []*worker
	for _, room := range rooms {
		if len(out) >= askAtLeast && expected >= need || len(out) == askAtMost*asksAtOnce {
			break
		}
		expected += rate * float64(room.slots)
		out = append(out, room.w)
	}
	return out
}

// ask queues calls about the workers, in equal parts.
func (s *Scheduler) ask(r *readyStep, a *advice, list []*worker) {
	terms := r.job.Queue.Advisor
	for calls := (len(list) + askAtMost - 1) / askAtMost; calls > 0; calls-- {
		part := list[:(len(list)+calls-1)/calls]
		list = list[len(part):]
		q := &ask{ref: r.ref, priority: r.job.Queue.Priority, due: r.due,
			length: millis(terms.DecisionMillis + terms.PerWorkerMillis*float64(len(part)))}
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

// renewable returns the granted workers with room and no valid ticket, if all granted ones
// together have the room that the step needs to go on.
func (s *Scheduler) renewable(r *readyStep, a *advice, workers []*worker) []*worker {
	var out []*worker
	room := 0
	for _, w := range workers {
		if _, granted := a.tickets[w.life.Number]; !granted {
			continue
		}
		n := s.slots(r, w, s.yielding(r, w))
		room += n
		if _, valid := a.ticketFor(w.life.Number, s.now); n > 0 && !valid {
			out = append(out, w)
		}
	}
	if room == 0 || r.step.Gang && room < len(r.waiting) {
		return nil
	}
	return out
}

// unknown returns the workers about which the advisor was not asked; for tasks that start
// one by one, those with room.
func (s *Scheduler) unknown(r *readyStep, a *advice, workers []*worker) []*worker {
	var out []*worker
	for _, w := range workers {
		_, granted := a.tickets[w.life.Number]
		if granted || a.denied[w.life.Number] || a.pending[w.life.Number] || !w.life.HasLabel(r.step.Label) {
			continue
		}
		if r.step.Gang || s.slots(r, w, s.yielding(r, w)) > 0 {
			out = append(out, w)
		}
	}
	return out
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// sendAsks hands calls to free members, the most urgent first.
func (s *Scheduler) sendAsks() {
	if len(s.asks) == 0 {
		return
	}
	slices.SortStableFunc(s.asks, func(x, y *ask) int {
		return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.due, y.due))
	})
	free := s.freeAdvisors()
	keep := min(longAsksKeepFree, len(s.advisors)/2)
	var blocked *ask // the most urgent long call that waits
	waiting := s.asks[:0]
	for _, q := range s.asks {
		long := q.length > longAsk
		if long && len(free) <= keep && blocked == nil {
			blocked = q
		}
		// What is kept free of long calls is for calls that are more urgent than those.
		if len(free) == 0 || long && len(free) <= keep || blocked != nil && q.priority >= blocked.priority {
			waiting = append(waiting, q)
			continue
		}
		s.advisors[free[0]].busy = true
		s.actions = append(s.actions, Advise{Via: free[0], Step: q.ref, Workers: q.workers, Timeout: q.length + askGrace})
		free = free[1:]
	}
	s.asks = waiting
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
	a.asking--
	for _, w := range workers {
		delete(a.pending, w.Number)
	}
	s.dirty = true
	for _, r := range s.ready[ref.Job] {
		r.retryAt = 0
	}
	s.record(Decision{What: "advice", Job: ref.Job, Task: job.TaskRef{StepRef: ref}, Worker: via, Reason: adviceReason(len(granted), len(workers), ok)})
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
		a.tickets[t.Worker] = ticket{t.Value, s.now + valid - ticketMargin}
	}
}
