package bench

import (
	"container/heap"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

const (
	// maxPlacementsPerDecision limits the items that one call of Policy.Decide may start.
	maxPlacementsPerDecision = 8
	// failingRunTime is how long a task runs before it fails on a failing worker.
	failingRunTime = 200 * time.Millisecond
	// usageReportDelay is the time from the start of a job to the report of its usage.
	usageReportDelay = time.Second
	// maxAttempts is the number of failed attempts after which a job is given up.
	maxAttempts = 5
	// maxDecisionInterval is the longest time between decisions while work is queued.
	maxDecisionInterval = 20 * time.Millisecond
)

// event is the cancellation, a usage report or the end of a job.
type event struct {
	at       time.Duration
	sequence int // order of events with the same time
	kind     eventKind
	job      *jobState
}

type eventKind int

const (
	eventCancel eventKind = iota
	eventUsageReport
	eventEnd
)

// eventHeap implements heap.Interface, ordered by time and then by sequence.
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

// jobState is the state of one arrival in the simulation.
type jobState struct {
	arrival   *Arrival
	workers   []string      // by task, of the latest attempt
	willFail  bool          // the latest attempt has a task on a failing worker
	startedAt time.Duration // of the latest attempt
	attempts  int
	phase     jobPhase
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

// simulation is one run of a workload under a policy, as a discrete-event simulation.
type simulation struct {
	policy        Policy
	workload      *Workload
	jobs          map[api.RequestKey]*jobState
	jobsByArrival []*jobState
	events        eventHeap
	sequence      int // of the latest event
	usage         *usageMeter
	timing        timing
	queued        int
	nextDecision  time.Duration // when to decide if no event comes before
}

// Run simulates the workload under the policy and returns the measurements.
func Run(p Policy, w *Workload) *Result {
	s := &simulation{policy: p, workload: w, jobs: map[api.RequestKey]*jobState{}, usage: newUsageMeter(w)}
	for _, worker := range w.Workers {
		p.UpsertWorker(0, worker)
	}
	nextArrival := 0
	for {
		now, ok := s.nextTime(nextArrival)
		if !ok || now >= w.End {
			break
		}
		s.usage.advance(now)
		for ; nextArrival < len(w.Arrivals) && w.Arrivals[nextArrival].Item.Accepted <= now; nextArrival++ {
			s.handleArrival(now, &w.Arrivals[nextArrival])
		}
		for len(s.events) > 0 && s.events[0].at <= now {
			s.handleEvent(now, heap.Pop(&s.events).(event))
		}
		s.decide(now)
		s.nextDecision = now + maxDecisionInterval
	}
	s.usage.advance(w.End)
	return s.result()
}

// nextTime returns the time of the next arrival, event or, while work is queued, decision,
// rounded up to 1 ms. nextArrival is an index in the workload's arrivals. The result is
// false if nothing is left to simulate.
func (s *simulation) nextTime(nextArrival int) (time.Duration, bool) {
	at, ok := time.Duration(0), false
	if nextArrival < len(s.workload.Arrivals) {
		at, ok = s.workload.Arrivals[nextArrival].Item.Accepted, true
	}
	if len(s.events) > 0 && (!ok || s.events[0].at < at) {
		at, ok = s.events[0].at, true
	}
	if s.queued > 0 && (!ok || s.nextDecision < at) {
		at, ok = s.nextDecision, true
	}
	return (at + time.Millisecond - 1).Truncate(time.Millisecond), ok
}

func (s *simulation) schedule(at time.Duration, kind eventKind, j *jobState) {
	s.sequence++
	heap.Push(&s.events, event{at, s.sequence, kind, j})
}

func (s *simulation) handleArrival(now time.Duration, a *Arrival) {
	j := &jobState{arrival: a}
	s.jobs[a.Item.Key] = j
	s.jobsByArrival = append(s.jobsByArrival, j)
	var admission placement.Admission
	s.timing.measure(func() { admission = s.policy.Admit(now, a.Item) })
	if admission.Verdict != placement.Admitted {
		j.phase = phaseRefused
		return
	}
	s.timing.measure(func() { s.policy.Enqueue(now, a.Item) })
	s.queued++
	if a.CancelAt > 0 {
		s.schedule(a.CancelAt, eventCancel, j)
	}
}

func (s *simulation) handleEvent(now time.Duration, e event) {
	j := e.job
	switch e.kind {
	case eventCancel:
		s.timing.measure(func() {
			if s.policy.Cancel(j.arrival.Item.Key) {
				j.phase = phaseCanceled
				s.queued--
			}
		})
	case eventUsageReport:
		if j.phase == phaseRunning {
			s.timing.measure(func() { s.policy.ReportUsage(now, j.arrival.Item.Key, j.arrival.ActualUsage) })
		}
	case eventEnd:
		s.endJob(now, j)
	}
}

// endJob reports the outcome of each task of a job and releases it. A failed job is queued
// again until it has used all attempts.
func (s *simulation) endJob(now time.Duration, j *jobState) {
	item := &j.arrival.Item
	s.usage.adjust(item, -1)
	s.usage.adjustActual(j, false)
	s.timing.measure(func() {
		for task, name := range j.workers {
			outcome := placement.OutcomeSuccess
			if s.workload.FailingWorkers[name] {
				outcome = placement.OutcomeFailure
			}
			s.policy.ReportOutcome(now, name, item.Kind, outcome, now-j.startedAt)
			s.policy.Release(now, item.Key, task)
		}
	})
	switch {
	case !j.willFail:
		j.phase = phaseDone
	case j.attempts >= maxAttempts:
		j.phase = phaseFailed
	default:
		j.phase = phaseQueued
		s.queued++
		s.timing.measure(func() { s.policy.Enqueue(now, *item) })
	}
}

// decide calls the policy until it starts fewer items than it may.
func (s *simulation) decide(now time.Duration) {
	for {
		var decision placement.Decision
		elapsed := s.timing.measure(func() { decision = s.policy.Decide(now, maxPlacementsPerDecision) })
		if len(decision.Placements) > 0 {
			s.timing.decisions = append(s.timing.decisions, elapsed)
		}
		s.timing.placements += len(decision.Placements)
		s.queued -= len(decision.Placements) + len(decision.Expired)
		for _, x := range decision.Expired {
			s.jobs[x.Key].phase = phaseExpired
		}
		for _, p := range decision.Placements {
			s.startJob(now, s.jobs[p.Key], p.Workers)
		}
		if len(decision.Placements) < maxPlacementsPerDecision {
			return
		}
	}
}

func (s *simulation) startJob(now time.Duration, j *jobState, workers []string) {
	j.phase, j.workers, j.startedAt, j.willFail = phaseRunning, workers, now, false
	j.attempts++
	for _, name := range workers {
		j.willFail = j.willFail || s.workload.FailingWorkers[name]
	}
	s.usage.adjust(&j.arrival.Item, 1)
	s.usage.adjustActual(j, true)
	run := j.arrival.RunTime
	if j.willFail {
		run = failingRunTime
	}
	s.schedule(now+run, eventEnd, j)
	if j.arrival.ActualUsage != (api.Resources{}) && run > usageReportDelay {
		s.schedule(now+usageReportDelay, eventUsageReport, j)
	}
}
