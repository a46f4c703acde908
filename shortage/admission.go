package shortage

import "cmp"

// Backlog holds sums over the waiting work of a pool and over its workers, from which the start of a
// new job is estimated without a walk over the backlog. Work is in thousandths of a core times
// milliseconds.
//
// All estimates are optimistic, since a rejection must be right: they leave out running work, work that
// will arrive later, fragmentation of the workers, and memory.
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

// level is the waiting work of one priority.
type level struct {
	priority     int
	inTime, late float64
}

// Reset forgets the waiting work. It keeps the memory.
func (b *Backlog) Reset() {
	b.total.levels = b.total.levels[:0]
	for _, w := range b.accounts {
		w.levels = w.levels[:0]
	}
	b.weights = 0
}

// Add adds the waiting work of a step. account is empty without accounts, weight is the account's.
func (b *Backlog) Add(priority int, isLate bool, work float64, account string, weight float64) {
	b.total.add(priority, isLate, work)
	if weight <= 0 {
		return
	}
	w := b.accounts[account]
	if w == nil {
		if b.accounts == nil {
			b.accounts = map[string]*waiting{}
		}
		w = &waiting{}
		b.accounts[account] = w
	}
	if len(w.levels) == 0 {
		w.weight = weight
		b.weights += weight
	}
	w.add(priority, isLate, work)
}

func (w *waiting) add(priority int, isLate bool, work float64) {
	i := 0
	for i < len(w.levels) && w.levels[i].priority != priority {
		i++
	}
	if i == len(w.levels) {
		w.levels = append(w.levels, level{priority: priority})
	}
	if isLate {
		w.levels[i].late += work
	} else {
		w.levels[i].inTime += work
	}
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
		if x := own.expect(r, b.Capacity*r.Weight/weights); cmp.Compare(x.Start, e.Start) < 0 {
			e = x
		}
	}
	return e
}

// expect estimates when a new job would start at a capacity. While the job can be in time, the work that
// can be in time and is at least as urgent goes first. From then on, the late work that is more urgent goes
// first too. Late work of the same priority does not count: it becomes worthless before the job does.
func (w *waiting) expect(r Request, capacity float64) Expectation {
	inTime, late := 0.0, 0.0
	for _, l := range w.levels {
		if l.priority <= r.Priority {
			inTime += l.inTime
		}
		if l.priority < r.Priority {
			late += l.late
		}
	}
	e := Expectation{Start: inTime / capacity, WorkAhead: inTime}
	if e.Start+r.CriticalPath > r.Objective {
		e = Expectation{Start: (inTime + late) / capacity, WorkAhead: inTime + late}
	}
	e.Excess = e.Start + r.CriticalPath - r.Limit
	return e
}
