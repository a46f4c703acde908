package bench

import (
	"container/heap"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

const (
	// decideMax is how many items one decision may start.
	decideMax = 8
	// failTime is how long a task runs on a worker that fails everything.
	failTime = 200 * time.Millisecond
	// usageDelay is when after its start the use of a task is reported.
	usageDelay  = time.Second
	maxAttempts = 5
	// tick is the longest time between decisions while work is queued.
	tick = 20 * time.Millisecond
)

// event is a cancel, a usage report or the end of a job.
type event struct {
	at       time.Duration
	sequence int
	kind     eventKind
	job      *jobState
}

type eventKind int

const (
	eventCancel eventKind = iota
	eventUsage
	eventEnd
)

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// jobState is what the driver knows of one arrival.
type jobState struct {
	arrival  *Arrival
	workers  []string
	failing  bool
	started  time.Duration
	attempts int
	state    jobPhase
}

type jobPhase int

const (
	phaseQueued jobPhase = iota
	phaseRunning
	phaseDone
	phaseRefused
	phaseExpired
	phaseCanceled
	phaseFailed
)

// driver feeds one workload to one policy.
type driver struct {
	policy   Policy
	workload *Workload
	jobs     map[api.RequestKey]*jobState
	order    []*jobState
	events   eventHeap
	sequence int
	use      *useMeter
	timing   timing
	queued   int
	tick     time.Duration // of the next decision without an event
}

// Run feeds the workload to the policy and returns what was measured.
func Run(p Policy, w *Workload) *Result {
	d := &driver{policy: p, workload: w, jobs: map[api.RequestKey]*jobState{}, use: newUseMeter(w)}
	for _, worker := range w.Workers {
		p.UpsertWorker(0, worker)
	}
	next := 0
	for {
		now, ok := d.nextTime(next)
		if !ok || now >= w.End {
			break
		}
		d.use.advance(now)
		for ; next < len(w.Arrivals) && w.Arrivals[next].Item.Accepted <= now; next++ {
			d.arrive(now, &w.Arrivals[next])
		}
		for len(d.events) > 0 && d.events[0].at <= now {
			d.handle(now, heap.Pop(&d.events).(event))
		}
		d.decide(now)
		d.tick = now + tick
	}
	d.use.advance(w.End)
	return d.result()
}

// nextTime returns the time of the next arrival or event, on a grid of 1 ms.
func (d *driver) nextTime(next int) (time.Duration, bool) {
	at, ok := time.Duration(0), false
	if next < len(d.workload.Arrivals) {
		at, ok = d.workload.Arrivals[next].Item.Accepted, true
	}
	if len(d.events) > 0 && (!ok || d.events[0].at < at) {
		at, ok = d.events[0].at, true
	}
	if d.queued > 0 && (!ok || d.tick < at) {
		at, ok = d.tick, true
	}
	return (at + time.Millisecond - 1).Truncate(time.Millisecond), ok
}

func (d *driver) schedule(at time.Duration, kind eventKind, j *jobState) {
	d.sequence++
	heap.Push(&d.events, event{at, d.sequence, kind, j})
}

func (d *driver) arrive(now time.Duration, a *Arrival) {
	j := &jobState{arrival: a}
	d.jobs[a.Item.Key] = j
	d.order = append(d.order, j)
	var admission placement.Admission
	d.timing.measure(func() { admission = d.policy.Admit(now, a.Item) })
	if admission.Verdict != placement.Admitted {
		j.state = phaseRefused
		return
	}
	d.timing.measure(func() { d.policy.Enqueue(now, a.Item) })
	d.queued++
	if a.CancelAt > 0 {
		d.schedule(a.CancelAt, eventCancel, j)
	}
}

func (d *driver) handle(now time.Duration, e event) {
	j := e.job
	switch e.kind {
	case eventCancel:
		d.timing.measure(func() {
			if d.policy.Cancel(j.arrival.Item.Key) {
				j.state = phaseCanceled
				d.queued--
			}
		})
	case eventUsage:
		if j.state == phaseRunning {
			d.timing.measure(func() { d.policy.ReportUsage(now, j.arrival.Item.Key, j.arrival.ActualUsage) })
		}
	case eventEnd:
		d.end(now, j)
	}
}

// end releases the tasks of a job and queues it again if it failed.
func (d *driver) end(now time.Duration, j *jobState) {
	item := &j.arrival.Item
	d.use.change(item, -1)
	d.use.changeTrue(j, false)
	d.timing.measure(func() {
		for task, name := range j.workers {
			outcome := placement.OutcomeSuccess
			if d.workload.FailingWorkers[name] {
				outcome = placement.OutcomeFailure
			}
			d.policy.ReportOutcome(now, name, item.Kind, outcome, now-j.started)
			d.policy.Release(now, item.Key, task)
		}
	})
	switch {
	case !j.failing:
		j.state = phaseDone
	case j.attempts >= maxAttempts:
		j.state = phaseFailed
	default:
		j.state = phaseQueued
		d.queued++
		d.timing.measure(func() { d.policy.Enqueue(now, *item) })
	}
}

func (d *driver) decide(now time.Duration) {
	for {
		var decision placement.Decision
		spent := d.timing.measure(func() { decision = d.policy.Decide(now, decideMax) })
		if len(decision.Placements) > 0 {
			d.timing.decisions = append(d.timing.decisions, spent)
		}
		d.timing.placements += len(decision.Placements)
		d.queued -= len(decision.Placements) + len(decision.Expired)
		for _, x := range decision.Expired {
			d.jobs[x.Key].state = phaseExpired
		}
		for _, p := range decision.Placements {
			d.start(now, d.jobs[p.Key], p.Workers)
		}
		if len(decision.Placements) < decideMax {
			return
		}
	}
}

func (d *driver) start(now time.Duration, j *jobState, workers []string) {
	j.state, j.workers, j.started, j.failing = phaseRunning, workers, now, false
	j.attempts++
	for _, name := range workers {
		j.failing = j.failing || d.workload.FailingWorkers[name]
	}
	d.use.change(&j.arrival.Item, 1)
	d.use.changeTrue(j, true)
	run := j.arrival.RunTime
	if j.failing {
		run = failTime
	}
	d.schedule(now+run, eventEnd, j)
	if j.arrival.ActualUsage != (api.Resources{}) && run > usageDelay {
		d.schedule(now+usageDelay, eventUsage, j)
	}
}
