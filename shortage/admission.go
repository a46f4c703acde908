package shortage

import "slices"

// Backlog holds sums over the waiting work of a pool and over its workers, from which the start of a
// new job is estimated without a walk over the backlog. Work is in thousandths of a core times
// milliseconds.
//
// All estimates are optimistic, since a rejection must be right: they leave out running work, work that
// will arrive later, fragmentation of the workers, and memory, and they count waiting work only until it
// becomes worthless. Without the last of these, a fifth to a third of the jobs that were rejected in a flood
// would have been served, and less value was earned than without admission.
type Backlog struct {
	Capacity float64 // thousandths of a core of all workers of the pool
	total    waiting
	accounts map[string]*waiting
	weights  float64 // sum of the weights of the accounts that have waiting work
}

// waiting is waiting work by priority.
type waiting struct {
	weight float64 // of the account; 0 for the work of all accounts
	levels []level
}

// level is the waiting work of one priority. deadline is the latest deadline of the work that can be in time,
// and worthless the time at which all the work is worthless, in milliseconds from now.
type level struct {
	priority            int
	inTime, late        float64
	deadline, worthless float64
}

// Step is a waiting step. Times are in milliseconds from now.
type Step struct {
	Priority            int
	IsLate              bool
	Work                float64 // of its waiting tasks
	Deadline, Worthless float64 // when its job should be done, and when the result is worth nothing
	Account             string
	Weight              float64 // of the account; 0 without accounts
}

// Reset forgets the waiting work. It keeps the memory, except that of accounts that had no waiting work.
func (b *Backlog) Reset() {
	b.total.levels = b.total.levels[:0]
	for name, w := range b.accounts {
		if len(w.levels) == 0 {
			delete(b.accounts, name)
		}
		w.levels = w.levels[:0]
	}
	b.weights = 0
}

// Add adds a waiting step.
func (b *Backlog) Add(step Step) {
	b.total.add(step)
	if step.Weight <= 0 {
		return
	}
	w := b.accounts[step.Account]
	if w == nil {
		if b.accounts == nil {
			b.accounts = map[string]*waiting{}
		}
		w = &waiting{}
		b.accounts[step.Account] = w
	}
	if len(w.levels) == 0 {
		w.weight = step.Weight
		b.weights += step.Weight
	}
	w.add(step)
}

// add adds a step to the level of its priority. The levels are sorted, the most urgent first.
func (w *waiting) add(step Step) {
	i := 0
	for i < len(w.levels) && w.levels[i].priority < step.Priority {
		i++
	}
	if i == len(w.levels) || w.levels[i].priority != step.Priority {
		w.levels = slices.Insert(w.levels, i, level{priority: step.Priority})
	}
	l := &w.levels[i]
	l.worthless = max(l.worthless, step.Worthless)
	if step.IsLate {
		l.late += step.Work
		return
	}
	l.inTime += step.Work
	l.deadline = max(l.deadline, step.Deadline)
}

// Request is what a new job needs. Times are in milliseconds.
type Request struct {
	Priority     int
	CriticalPath float64
	Objective    float64 // time in which the result has its full value
	Limit        float64 // time after which the result is worth nothing
	Account      string
	Weight       float64 // of the account; 0 without accounts
}

// Expectation is the estimate for a new job. Times are in milliseconds from now.
type Expectation struct {
	Start     float64
	WorkAhead float64 // that the order puts before the job
	Excess    float64 // by which the job would end after its limit; at most 0 if it can be of use
}

// Expect estimates when a new job would start. With accounts, it is the earlier of the estimates from the
// work of all accounts and from the work and the share of the job's own account, since the work of others
// goes first only as far as their shares reach.
func (b *Backlog) Expect(r Request) Expectation {
	if b.Capacity <= 0 {
		return Expectation{Excess: -r.Limit}
	}
	e := b.total.expect(r, b.Capacity)
	if r.Weight > 0 {
		own, weights := b.accounts[r.Account], b.weights
		if own == nil || len(own.levels) == 0 {
			own, weights = &waiting{}, weights+r.Weight
		}
		if x := own.expect(r, b.Capacity*r.Weight/weights); x.Start < e.Start {
			e = x
		}
	}
	return e
}

// expect estimates when a new job would start at a capacity. While the job can be in time, the work that
// can be in time and is at least as urgent goes first, until its own deadline. From then on, all work that is more
// urgent goes first, until it is worthless. Late work of the same priority becomes worthless before the job.
func (w *waiting) expect(r Request, capacity float64) Expectation {
	early, lateStart := Expectation{}, Expectation{}
	for _, l := range w.levels {
		if l.priority > r.Priority {
			break
		}
		early.wait(l.inTime, capacity, l.deadline)
		if l.priority < r.Priority {
			lateStart.wait(l.inTime+l.late, capacity, l.worthless)
		} else {
			lateStart.wait(l.inTime, capacity, l.deadline)
		}
	}
	e := early
	if e.Start+r.CriticalPath > r.Objective {
		e = lateStart
	}
	e.Excess = e.Start + r.CriticalPath - r.Limit
	return e
}

// wait adds work that goes first, but not after a time.
func (e *Expectation) wait(work, capacity, until float64) {
	e.WorkAhead += work
	e.Start = max(e.Start, min(e.Start+work/capacity, until))
}
