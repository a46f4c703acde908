package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// cluster is a model of a cell around a Scheduler: one log, workers, an advisor and a
// network that loses and delays orders, all in simulated time.
type cluster struct {
	rng     *rand.Rand
	now     time.Duration
	queue   eventQueue
	serial  int
	state   *job.State
	sched   *Scheduler
	term    uint64
	gap     bool // there is no leader
	workers map[string]*fakeWorker
	faults  faults
	broken  []string // rules that were broken
	trace   []string
	// doneNoted are tasks with a done end that binds, lastStart is when each was last started.
	doneNoted map[job.TaskRef]bool
	lastStart map[job.TaskRef]time.Duration
	gangs     map[gangKey][]*fakeRun
}

// faults are probabilities.
type faults struct {
	lost   float64 // an order or its answer gets lost
	late   float64 // an order gets no answer and is carried out 2 to 12 s later
	failed float64 // a run fails
}

type event struct {
	at     time.Duration
	serial int
	fn     func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

func newCluster(seed uint64, f faults) *cluster {
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), state: job.NewState(), workers: map[string]*fakeWorker{}, faults: f,
		doneNoted: map[job.TaskRef]bool{}, lastStart: map[job.TaskRef]time.Duration{}, gangs: map[gangKey][]*fakeRun{}}
	c.lead()
	c.after(0, c.tick)
	return c
}

func (c *cluster) after(d time.Duration, fn func()) {
	c.serial++
	heap.Push(&c.queue, event{c.now + d, c.serial, fn})
}

// run advances the time to until.
func (c *cluster) run(until time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= until {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.fn()
	}
	c.now = until
}

// record keeps what was decided, for the report of a failure.
func (c *cluster) record(d Decision) {
	c.trace = append(c.trace, fmt.Sprintf("%v: %s %v run %d %s %s", c.now, d.Event, d.Task, d.Run, d.Worker, d.Reason))
}

// traceOf returns what was decided about a task.
func (c *cluster) traceOf(part string) string {
	var out []string
	for _, line := range c.trace {
		if strings.Contains(line, part) {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}

// openTrace tells how the jobs that have not ended stand and what was decided about them.
func (c *cluster) openTrace() string {
	var out strings.Builder
	c.state.OpenJobs(func(j *job.Job) {
		for _, o := range j.Occurrences {
			fmt.Fprintf(&out, "%v: %+v\n", j.ID, o.Steps)
		}
		out.WriteString(c.traceOf(j.ID.String()) + "\n")
	})
	for n, w := range c.sched.workers {
		fmt.Fprintf(&out, "worker %d %s: usable %v, over %v, failures %d, %d claims, heard %v ago\n", n, w.life.Name, c.sched.usable(w), w.over,
			w.failures, len(w.claims), c.now-w.heardAt)
	}
	return out.String() + c.traceOf("worker")
}

func (c *cluster) wall() int64 { return 1_000_000 + c.now.Milliseconds() }

func (c *cluster) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

func (c *cluster) settings() Settings {
	return Settings{MaxLease: 10 * time.Second, StopTimeout: 400 * time.Millisecond, EndedJobRetention: time.Hour}
}

// lead starts a new leader.
func (c *cluster) lead() {
	c.term++
	c.gap = false
	c.sched = New(c.settings(), c.state, c.record)
	c.sched.SetAdvisorProxies([]string{"a", "b", "c", "d", "e"})
	c.sched.BecomeLeader(c.now, c.wall(), c.term)
}

// failover takes the leader away for a while. What it proposed and was not committed may be
// lost.
func (c *cluster) failover(gap time.Duration) {
	c.gap = true
	c.sched = New(c.settings(), c.state, func(Decision) {})
	c.after(gap, c.lead)
}

func (c *cluster) tick() {
	c.after(5*time.Millisecond, c.tick)
	c.step()
}

// step carries out what the scheduler decided.
func (c *cluster) step() {
	if c.gap {
		return
	}
	c.sched.Tick(c.now, c.wall())
	for _, a := range c.sched.Actions() {
		switch a := a.(type) {
		case Propose:
			c.propose(a.Ops)
		case RenewLease:
			c.hold(a)
		case Start:
			c.start(a)
		case Stop:
			c.stop(a)
		case Advise:
			c.advise(a)
		case StepDown:
			c.failover(time.Second)
		}
	}
}

// propose commits a batch after a while, if the leader is still the same.
func (c *cluster) propose(ops []job.Op) {
	term := c.term
	c.after(time.Duration(5+c.rng.IntN(15))*time.Millisecond, func() {
		if c.term != term {
			return // a new leader leads only when all that lives on is applied
		}
		if c.gap && c.rng.IntN(2) == 0 {
			return // lost with its leader
		}
		for _, op := range ops {
			c.state.Apply(op)
			if !c.gap {
				c.sched.Applied(c.now, op)
			}
		}
		c.step()
	})
}

// way is the time of one way between the leader and a worker.
func (c *cluster) way() time.Duration {
	return time.Duration(1+c.rng.IntN(14)) * time.Millisecond
}

// deliver brings an order to a worker and its answer back; answer is called with false if
// there is none.
func (c *cluster) deliver(o Order, carryOut func(w *fakeWorker, reply func(func())), answered func(ok bool, fill func())) {
	term, timeout := c.term, 600*time.Millisecond
	settled := false
	settle := func(ok bool, fill func()) {
		if settled || c.gap || c.term != term {
			return
		}
		settled = true
		answered(ok, fill)
		c.step()
	}
	c.after(timeout+2*time.Second, func() { settle(false, nil) })
	w := c.workers[o.Worker.Address]
	if w == nil || w.cut || !w.up {
		c.after(timeout, func() { settle(false, nil) })
		return
	}
	switch p := c.rng.Float64(); {
	case p < c.faults.lost:
		c.after(timeout, func() { settle(false, nil) })
	case p < c.faults.lost+c.faults.late:
		c.after(time.Duration(2000+c.rng.IntN(10000))*time.Millisecond, func() {
			if w.up && !w.cut {
				carryOut(w, func(func()) {})
			}
		})
		c.after(timeout, func() { settle(false, nil) })
	default:
		c.after(c.way(), func() {
			if !w.up || w.cut {
				return
			}
			carryOut(w, func(fill func()) {
				c.after(c.way(), func() {
					if !w.cut {
						settle(true, fill)
					}
				})
			})
		})
	}
}

func (c *cluster) hold(o RenewLease) {
	sent := c.now
	var reply Reply
	var report Report
	sched := c.sched
	c.deliver(o.Order, func(w *fakeWorker, respond func(func())) {
		w.hold(o, func(r Reply, rep Report) { respond(func() { reply, report = r, rep }) })
	}, func(ok bool, fill func()) {
		reply = NoReply
		if ok {
			fill()
		}
		sched.Reported(c.now, o.Worker.Number, sent, reply, report)
	})
}

func (c *cluster) start(o Start) {
	sched := c.sched
	c.deliver(o.Order, func(w *fakeWorker, respond func(func())) {
		r, clock := w.start(o)
		respond(func() { sched.Started(c.now, o.Task, o.Run, r, clock) })
	}, func(ok bool, fill func()) {
		if ok {
			fill()
			return
		}
		sched.Started(c.now, o.Task, o.Run, NoReply, 0)
	})
}

func (c *cluster) stop(o Stop) {
	sched := c.sched
	c.deliver(o.Order, func(w *fakeWorker, respond func(func())) {
		r, clock := w.stop(o)
		respond(func() { sched.Stopped(c.now, o.Task, o.Run, r, clock) })
	}, func(ok bool, fill func()) {
		if ok {
			fill()
			return
		}
		sched.Stopped(c.now, o.Task, o.Run, NoReply, 0)
	})
}

// advise grants two workers of three, and one for sure.
func (c *cluster) advise(a Advise) {
	term, sched := c.term, c.sched
	c.after(50*time.Millisecond, func() {
		if c.gap || c.term != term {
			return
		}
		var granted []Ticket
		for _, w := range a.Workers {
			var host uint64
			fmt.Sscanf(w.Address, "10.0.0.%d:", &host)
			if (uint64(a.Step.Job)+host)%3 != 0 || uint64(a.Step.Job)%uint64(len(c.workers)) == host {
				granted = append(granted, Ticket{w.Number, "t"})
			}
		}
		sched.Advised(c.now, a.Via, a.Step, a.Workers, granted, 2*time.Second, true)
		c.step()
	})
}
