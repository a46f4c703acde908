package dispatch

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// cluster simulates a cell around a Scheduler: one log, workers, an advisor and a network that
// loses and delays orders, all in simulated time.
type cluster struct {
	rng        *rand.Rand
	now        time.Duration
	events     eventQueue
	lastSerial int
	state      *job.State
	sched      *Scheduler
	follower   *Scheduler // of a replica that follows the log and never leads
	term       uint64
	noLeader   bool // there is no leader now
	// lastCommitAt is when the newest proposed batch is committed. truncatedTerm is the newest term
	// whose last batches were lost.
	lastCommitAt  time.Duration
	truncatedTerm uint64
	workers       map[string]*fakeWorker // by address
	faults        faults
	onLeader      func(*Scheduler) // changes each new leader, if not nil
	// adviceLatency is how long the advisor takes for a call.
	adviceLatency time.Duration
	violations    []string // descriptions of broken rules
	trace         []string // recorded decisions
	// ackedDone holds the tasks with a done end that was acknowledged and is final, lastStart the
	// time of the last start of each task.
	ackedDone map[job.TaskRef]bool
	lastStart map[job.TaskRef]time.Duration
	gangs     map[gangKey][]*fakeRun
	// limits are the limits of accounts of each configuration, and claimedAt when each claim was
	// proposed.
	limits      []limitsInForce
	lastVersion int64 // of the configurations that setLimits has proposed
	claimedAt   map[claimKey]time.Duration
	// slowdown holds the jobs whose tasks take a multiple of what their estimates say.
	slowdown    map[job.ID]float64
	orderByCost bool // Settings.OrderByCost of the leaders
	// work returns the time that a run of a task takes on a worker of speed 1; nil for a random time
	// around the estimate of the step.
	work  func(job.TaskRef) time.Duration
	onEnd func(*fakeRun, job.EndKind) // called when a run ends; may be nil
	// onOrder is called for each action of the scheduler before it is carried out; it returns false
	// to withhold it. May be nil.
	onOrder func(Action) bool
	// spent is the real time that the scheduler took, and startedRuns the number of starts.
	spent       time.Duration
	startedRuns int
}

// faults are the probabilities of injected faults.
type faults struct {
	lostOrder float64 // an order or its answer is lost
	lateOrder float64 // an order gets no answer and is carried out 2 to 12 s later
	failedRun float64 // a run fails
}

// event is a function that is called at a simulated time; serial orders events of the same time.
type event struct {
	at     time.Duration
	serial int
	fn     func()
}

// eventQueue is a heap of events, the earliest first.
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
	c := &cluster{rng: rand.New(rand.NewPCG(seed, 1)), state: job.NewState(), workers: map[string]*fakeWorker{}, faults: f, adviceLatency: 50 * time.Millisecond,
		ackedDone: map[job.TaskRef]bool{}, lastStart: map[job.TaskRef]time.Duration{}, gangs: map[gangKey][]*fakeRun{},
		claimedAt: map[claimKey]time.Duration{}, slowdown: map[job.ID]float64{}}
	c.follower = New(c.settings(), c.state, func(Decision) {})
	c.electLeader()
	c.schedule(0, c.scheduleTicks)
	return c
}

// slowdownOf returns how many times as long as estimated the tasks of a job take.
func (c *cluster) slowdownOf(id job.ID) float64 {
	if factor, ok := c.slowdown[id]; ok {
		return factor
	}
	return 1
}

// schedule calls fn after the simulated time d.
func (c *cluster) schedule(d time.Duration, fn func()) {
	c.lastSerial++
	heap.Push(&c.events, event{c.now + d, c.lastSerial, fn})
}

// run advances the simulated time to until.
func (c *cluster) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.fn()
	}
	c.now = until
}

// recordDecision keeps a decision for the report of a test failure.
func (c *cluster) recordDecision(d Decision) {
	c.trace = append(c.trace, fmt.Sprintf("%v: %s %v run %d %s %s", c.now, d.Event, d.Task, d.Run, d.Worker, d.Reason))
}

// traceOf returns the recorded decisions that contain a substring, such as the name of a task.
func (c *cluster) traceOf(substring string) string {
	var out []string
	for _, line := range c.trace {
		if strings.Contains(line, substring) {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n")
}

// openTrace describes the jobs that have not ended, the decisions about them, and the workers.
func (c *cluster) openTrace() string {
	var out strings.Builder
	c.state.OpenJobs(func(j *job.Job) {
		for _, o := range j.Occurrences {
			fmt.Fprintf(&out, "%v: %+v\n", j.ID, o.Steps)
		}
		out.WriteString(c.traceOf(j.ID.String()) + "\n")
	})
	for n, w := range c.sched.workers {
		fmt.Fprintf(&out, "worker %d %s: schedulable %v, over %v, failed renewals %d, %d claims, last seen %v ago\n", n, w.info.Name, c.sched.canSchedule(w), w.isOver,
			w.failedRenewals, len(w.claims), c.now-w.lastSeen)
	}
	return out.String() + c.traceOf("worker")
}

// wallMillis returns the simulated Unix time in milliseconds.
func (c *cluster) wallMillis() int64 { return 1_000_000 + c.now.Milliseconds() }

// reportViolation records a broken rule. format starts with the name of the task, by which the
// test selects the trace that it prints.
func (c *cluster) reportViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

func (c *cluster) settings() Settings {
	return Settings{MaxLease: 10 * time.Second, StopTimeout: 400 * time.Millisecond, EndedJobRetention: time.Hour, OrderByCost: c.orderByCost}
}

// measure calls fn and adds the time that it takes to spent.
func (c *cluster) measure(fn func()) {
	began := time.Now()
	fn()
	c.spent += time.Since(began)
}

// electLeader starts a new leader.
func (c *cluster) electLeader() {
	c.term++
	c.noLeader = false
	c.sched = New(c.settings(), c.state, c.recordDecision)
	c.sched.learned = c.follower.learned.clone() // it has followed the log until now
	if c.onLeader != nil {
		c.onLeader(c.sched)
	}
	c.sched.SetAdvisorProxies([]string{"a", "b", "c", "d", "e"})
	c.sched.BecomeLeader(c.now, c.wallMillis(), c.term)
}

// failover removes the leader for a time. Its uncommitted proposals may be lost.
func (c *cluster) failover(gap time.Duration) {
	c.noLeader = true
	c.sched = New(c.settings(), c.state, func(Decision) {})
	c.schedule(gap, c.electLeader)
}

// scheduleTicks runs the scheduler every 5 ms.
func (c *cluster) scheduleTicks() {
	c.schedule(5*time.Millisecond, c.scheduleTicks)
	c.runScheduler()
}

// runScheduler runs the scheduler and carries out its actions.
func (c *cluster) runScheduler() {
	if c.noLeader {
		return
	}
	c.measure(func() { c.sched.Tick(c.now, c.wallMillis()) })
	for _, a := range c.sched.Actions() {
		if c.onOrder != nil && !c.onOrder(a) {
			continue
		}
		switch a := a.(type) {
		case Propose:
			c.propose(a.Ops)
		case RenewLease:
			c.renewLease(a)
		case Start:
			c.start(a)
		case Stop:
			c.stop(a)
		case Advise:
			c.advise(a)
		case ConfirmSignOff:
			c.confirmSignOff(a.Worker)
		case StepDown:
			c.failover(time.Second)
		}
	}
}

// propose commits a batch after a delay, if the leader is still the same. Batches are committed in
// the order of the log, and one that is lost with its leader takes all later ones with it.
func (c *cluster) propose(ops []job.Op) {
	term := c.term
	c.noteClaims(ops)
	c.lastCommitAt = max(c.lastCommitAt, c.now+time.Duration(5+c.rng.IntN(15))*time.Millisecond)
	c.schedule(c.lastCommitAt-c.now, func() {
		if c.term != term || c.truncatedTerm == term {
			return // a new leader starts only when all surviving entries are applied
		}
		if c.noLeader && c.rng.IntN(2) == 0 {
			c.truncatedTerm = term
			return
		}
		for _, op := range ops {
			c.state.Apply(op)
			c.noteLimits(op)
			c.follower.Applied(c.now, op)
			if !c.noLeader {
				c.measure(func() { c.sched.Applied(c.now, op) })
			}
		}
		c.runScheduler()
	})
}

// oneWayDelay returns a random network delay between the leader and a worker, in one direction.
func (c *cluster) oneWayDelay() time.Duration {
	return time.Duration(1+c.rng.IntN(14)) * time.Millisecond
}

// deliver sends an order to a worker and returns its answer. The incarnation that is at the address when
// the order arrives gets it. execute carries out the order at the worker and passes to reply a function
// that stores the answer, which onAnswer gets as fill. onAnswer is called with false if there is no answer.
func (c *cluster) deliver(o Order, execute func(w *fakeWorker, reply func(func())), onAnswer func(ok bool, fill func())) {
	term, timeout := c.term, 600*time.Millisecond
	isFinished := false
	finish := func(ok bool, fill func()) {
		if isFinished || c.noLeader || c.term != term {
			return
		}
		isFinished = true
		onAnswer(ok, fill)
		c.runScheduler()
	}
	c.schedule(timeout+2*time.Second, func() { finish(false, nil) })
	w := c.workers[o.Worker.Address]
	if w == nil || w.isPartitioned || !w.isUp {
		c.schedule(timeout, func() { finish(false, nil) })
		return
	}
	switch p := c.rng.Float64(); {
	case p < c.faults.lostOrder:
		c.schedule(timeout, func() { finish(false, nil) })
	case p < c.faults.lostOrder+c.faults.lateOrder:
		c.schedule(time.Duration(2000+c.rng.IntN(10000))*time.Millisecond, func() {
			if w := c.workers[o.Worker.Address]; w.isUp && !w.isPartitioned {
				execute(w, func(func()) {})
			}
		})
		c.schedule(timeout, func() { finish(false, nil) })
	default:
		c.schedule(c.oneWayDelay(), func() {
			w := c.workers[o.Worker.Address]
			if !w.isUp || w.isPartitioned {
				return
			}
			execute(w, func(fill func()) {
				c.schedule(c.oneWayDelay(), func() {
					if !w.isPartitioned {
						finish(true, fill)
					}
				})
			})
		})
	}
}

func (c *cluster) renewLease(o RenewLease) {
	requestedAt := c.now
	var reply Reply
	var report Report
	sched := c.sched
	c.deliver(o.Order, func(w *fakeWorker, respond func(func())) {
		w.renewLease(o, func(r Reply, rep Report) { respond(func() { reply, report = r, rep }) })
	}, func(ok bool, fill func()) {
		reply = NoReply
		if ok {
			fill()
		}
		c.measure(func() { sched.Reported(c.now, o, requestedAt, reply, report) })
	})
}

func (c *cluster) start(o Start) {
	sched := c.sched
	c.deliver(o.Order, func(w *fakeWorker, respond func(func())) {
		r := w.start(o)
		c.startedRuns++
		respond(func() { c.measure(func() { sched.Started(c.now, o, r) }) })
	}, func(ok bool, fill func()) {
		if ok {
			fill()
			return
		}
		sched.Started(c.now, o, NoReply)
	})
}

func (c *cluster) stop(o Stop) {
	sched := c.sched
	c.deliver(o.Order, func(w *fakeWorker, respond func(func())) {
		r := w.stop(o)
		respond(func() { sched.Stopped(c.now, o, r) })
	}, func(ok bool, fill func()) {
		if ok {
			fill()
			return
		}
		sched.Stopped(c.now, o, NoReply)
	})
}

// advise grants about two of three workers, and always one certain worker for each job.
func (c *cluster) advise(a Advise) {
	term, sched := c.term, c.sched
	c.schedule(c.adviceLatency, func() {
		if c.noLeader || c.term != term {
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
		c.measure(func() { sched.Advised(c.now, a.Via, a.Step, a.Workers, granted, 2*time.Second, true) })
		c.runScheduler()
	})
}

func (l *learnedClaims) clone() learnedClaims {
	return learnedClaims{maps.Clone(l.at), slices.Clone(l.order), l.restoredAt}
}
