package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// maxReadySteps is the number of ready steps of a job from which on its later occurrences wait, since
// a job may have any number of repetitions that are due at once.
const maxReadySteps = 256

// readyStep is a step whose dependencies are done, with tasks that may start now.
type readyStep struct {
	job      *job.Job
	ref      job.StepRef
	step     *job.Step
	state    *job.StepState // nil before the first claim
	waiting  []uint16       // indexes of the tasks to place
	urgency                 // order in which it is placed
	lateness lateness       // at the start of the newest pass
	isStale  bool           // replaced or no longer ready
	// pool is where the step runs, by the configuration at the newest placement attempt.
	pool string
	// retryAt is when the step is tried again after it found too little capacity, and failures how
	// often that happened since something changed for the step.
	retryAt  time.Duration
	failures int
}

// readySteps returns the ready steps in the order in which they are placed, the most urgent first.
func (s *Scheduler) readySteps() []*readyStep {
	for id := range s.staleJobs {
		s.refreshReady(id)
	}
	clear(s.staleJobs)
	s.ordered = slices.DeleteFunc(s.ordered, func(r *readyStep) bool { return r.isStale })
	for _, r := range s.ordered {
		r.lateness = r.latenessAt(s.wallMillis)
	}
	slices.SortFunc(s.ordered, func(a, b *readyStep) int {
		return cmp.Or(cmp.Compare(a.lateness, b.lateness), a.compareInTime(b.urgency), cmp.Compare(a.ref.Job, b.ref.Job),
			cmp.Compare(a.ref.Occurrence, b.ref.Occurrence), cmp.Compare(a.ref.Step, b.ref.Step))
	})
	return s.ordered
}

// refreshReady rebuilds the list of a job's ready steps.
func (s *Scheduler) refreshReady(id job.ID) {
	previous := s.ready[id]
	delete(s.ready, id)
	for _, r := range previous {
		r.isStale = true
	}
	j := s.openJob(id)
	if j == nil {
		return
	}
	var steps []*readyStep
	for k := range j.Spec.Occurrences() {
		n := uint32(k)
		if j.FinishedOccurrences[n] {
			continue
		}
		if at := j.DueMillis(n); at > s.wallMillis {
			if due := (wakeUp{id, at}); !slices.Contains(s.wakeUps, due) {
				s.wakeUps = append(s.wakeUps, due)
			}
			break // later occurrences are due later
		}
		if steps = s.appendReadySteps(j, n, steps); len(steps) >= maxReadySteps {
			break
		}
	}
	if len(steps) == 0 {
		return
	}
	for _, r := range steps {
		for _, old := range previous {
			if old.ref == r.ref {
				r.retryAt, r.failures = old.retryAt, old.failures
			}
		}
	}
	s.ready[id] = steps
	s.ordered = append(s.ordered, steps...)
}

// wakeUp is a timer for a job with an occurrence that is due later.
type wakeUp struct {
	id       job.ID
	atMillis int64
}

// wakeDue marks the jobs with an occurrence that has become due as stale.
func (s *Scheduler) wakeDue() {
	s.wakeUps = slices.DeleteFunc(s.wakeUps, func(w wakeUp) bool {
		if w.atMillis > s.wallMillis {
			return false
		}
		s.staleJobs[w.id], s.needsPass = true, true
		return true
	})
}

// appendReadySteps appends the ready steps of one occurrence of a job to out. A gang is ready only
// when all its tasks are waiting.
func (s *Scheduler) appendReadySteps(j *job.Job, occurrence uint32, out []*readyStep) []*readyStep {
	o := j.Occurrences[occurrence]
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		var ss *job.StepState
		if o == nil {
			if len(step.DependsOn) > 0 {
				continue
			}
		} else {
			ss = &o.Steps[i]
			if ss.Finished() || !o.Ready(&j.Spec, i) {
				continue
			}
		}
		r := &readyStep{job: j, step: step, state: ss, ref: job.StepRef{Job: j.ID, Occurrence: occurrence, Step: uint16(i)}}
		r.waiting = s.waitingTasks(r)
		if len(r.waiting) == 0 || step.Gang && len(r.waiting) < step.Count {
			continue
		}
		r.priority, r.releasedMillis = j.Queue.Priority, max(j.AcceptedMillis, j.DueMillis(occurrence))
		r.deadlineMillis = r.releasedMillis + j.Queue.TargetMillis + int64(j.Queue.SlackFactor*float64(criticalPathMillis(&j.Spec, 0)))
		r.remainingMillis = criticalPathMillis(&j.Spec, i)
		out = append(out, r)
	}
	return out
}

// waitingTasks returns the indexes of the tasks of a step that have no claim, committed or
// proposed, and are not done.
func (s *Scheduler) waitingTasks(r *readyStep) []uint16 {
	var out []uint16
	for i := range r.step.Count {
		ref := job.TaskRef{StepRef: r.ref, Index: uint16(i)}
		if (r.state == nil || r.state.Tasks[i].Phase == job.Waiting) && !s.proposedClaims[ref] {
			out = append(out, uint16(i))
		}
	}
	return out
}

// criticalPathMillis returns the estimated duration, in milliseconds, of the longest chain of
// dependent steps among the steps with an index of at least from; 0 means the whole job.
func criticalPathMillis(spec *job.Spec, from int) int64 {
	ends := make([]int64, len(spec.Steps))
	longest := int64(0)
	for i := from; i < len(spec.Steps); i++ {
		begin := int64(0)
		for _, a := range spec.Steps[i].DependsOn {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + spec.Steps[i].EstimateMillis
		longest = max(longest, ends[i])
	}
	return longest
}

// placeStep claims workers for the waiting tasks of a step. A step that finds too little capacity
// reserves it if it is a gang, so that capacity that becomes free does not go to other steps, and
// asks the advisor about more workers if its queue has one.
func (s *Scheduler) placeStep(r *readyStep) {
	if s.now < r.retryAt {
		s.needsPass = true
		return
	}
	r.pool = s.poolOf(r.job)
	eligible := s.eligibleWorkers(r)
	var placed []*worker
	if limit := s.startLimit(r); limit > 0 {
		placed = s.selectWorkers(r, eligible)
		placed = placed[:min(len(placed), limit)]
	}
	if r.step.Gang && len(placed) < len(r.waiting) {
		placed = nil
	}
	if len(placed) > 0 {
		r.failures = 0
		s.releaseReservation(r.ref)
	}
	for i, w := range placed {
		s.claimTask(r, r.waiting[i], w)
	}
	s.cpuBeyondHeadroom[r.pool] -= int64(len(placed)) * r.step.Allocation().MilliCPU
	r.waiting = r.waiting[len(placed):]
	if len(r.waiting) == 0 {
		s.staleJobs[r.ref.Job] = true
		s.dropQueuedCalls(r.ref)
		return
	}
	s.reserve(r, eligible)
	if r.job.Queue.Advisor != nil && s.expectsCapacity(r) {
		s.requestAdvice(r)
	}
	s.delayRetry(r, len(eligible) > 0)
}

// expectsCapacity reports whether idle processors remain after the earlier steps of the pass, and
// subtracts what this step needs. It is true for every gang, since the grants of the advisor do
// not change and can be requested early; the needs of a gang are subtracted only while it has a
// reservation.
func (s *Scheduler) expectsCapacity(r *readyStep) bool {
	idle := s.idleCPU[r.pool]
	if !r.step.Gang || s.reservations[r.ref] != nil {
		s.idleCPU[r.pool] -= r.step.Allocation().MilliCPU * int64(len(r.waiting))
	}
	return r.step.Gang || idle >= r.step.Allocation().MilliCPU
}

// eligibleWorkers returns the workers that may run the step now: those with its label and, if its
// queue has an advisor, a valid ticket.
func (s *Scheduler) eligibleWorkers(r *readyStep) []*worker {
	return s.withTicketAt(r, s.grantedWorkers(r), s.now)
}

// withTicketAt returns the workers for which the step has a ticket that is valid at a time, or all
// of them if its queue has no advisor.
func (s *Scheduler) withTicketAt(r *readyStep, workers []*worker, at time.Duration) []*worker {
	if r.job.Queue.Advisor == nil {
		return workers
	}
	a := s.adviceFor(r.ref)
	s.examined += len(workers)
	var out []*worker
	for _, w := range workers {
		if _, valid := a.ticketFor(w.info.Number, at); valid {
			out = append(out, w)
		}
	}
	return out
}

// grantedWorkers returns the workers that the step may use now or once their tickets are renewed.
func (s *Scheduler) grantedWorkers(r *readyStep) []*worker {
	if r.job.Queue.Advisor == nil {
		return s.labeledWorkers(r)
	}
	granted := s.adviceFor(r.ref).granted
	s.examined += len(granted)
	var out []*worker
	for _, number := range granted {
		if w := s.workers[number]; w != nil && w.isSchedulable && w.info.Pool == r.pool && w.info.HasLabel(r.step.RequiredLabel) {
			out = append(out, w)
		}
	}
	return out
}

// labeledWorkers returns the workers of the step's pool that accept new tasks and have the label
// that it requires.
func (s *Scheduler) labeledWorkers(r *readyStep) []*worker {
	s.examined += len(s.schedulable[r.pool])
	out := make([]*worker, 0, len(s.schedulable[r.pool]))
	for _, w := range s.schedulable[r.pool] {
		if w.info.HasLabel(r.step.RequiredLabel) {
			out = append(out, w)
		}
	}
	return out
}

// poolOf returns the pool of a job's queue in the current configuration, or the one at the time
// the job was accepted if the queue no longer exists.
func (s *Scheduler) poolOf(j *job.Job) string {
	if q := s.state.Queue(j.Queue.Host, j.Queue.Prefix); q != nil && q.Name == j.Queue.Name {
		return q.Pool
	}
	return j.Queue.Pool
}

// slots returns how many waiting tasks of a step fit into the given capacity of a worker.
func (s *Scheduler) slots(r *readyStep, w *worker, capacity job.Resources) int {
	need := r.step.Allocation()
	n, most := 0, min(len(r.waiting), w.maxNewRuns(r.step))
	if !capacity.Fits(need) {
		return 0
	}
	for k := s.tasksOnWorker(r, w); capacity.Fits(need) && (r.step.MaxPerWorker == 0 || k < r.step.MaxPerWorker) && n < most; k++ {
		capacity = capacity.Minus(need)
		n++
	}
	return n
}

// tasksOnWorker returns the number of tasks of a step on a worker. It returns 0 for a step without
// a limit of tasks per worker, which does not need the number.
func (s *Scheduler) tasksOnWorker(r *readyStep, w *worker) int {
	if r.step.MaxPerWorker == 0 {
		return 0
	}
	n := 0
	for key := range w.claims {
		if key.task.StepRef == r.ref {
			n++
		}
	}
	return n
}

// selectWorkers selects a worker for each waiting task, in order, until one finds no capacity.
func (s *Scheduler) selectWorkers(r *readyStep, workers []*worker) []*worker {
	if r.step.SameRack {
		if placed := s.selectInOneRack(r, workers); placed != nil {
			return placed
		}
	}
	return s.selectAnywhere(r, workers)
}

// selectInOneRack selects workers in one rack that has capacity for all waiting tasks. It returns
// nil if there is none.
func (s *Scheduler) selectInOneRack(r *readyStep, workers []*worker) []*worker {
	workersByRack := map[string][]*worker{}
	var racks []string
	for _, w := range workers {
		if workersByRack[w.info.Rack] == nil {
			racks = append(racks, w.info.Rack)
		}
		workersByRack[w.info.Rack] = append(workersByRack[w.info.Rack], w)
	}
	for _, rack := range racks {
		if placed := s.selectAnywhere(r, workersByRack[rack]); len(placed) == len(r.waiting) {
			return placed
		}
	}
	return nil
}

// placementCandidate is a worker with what is left of its capacity while the workers for the tasks
// of one step are selected.
type placementCandidate struct {
	w             *worker
	free          job.Resources
	count         int // tasks of the step on the worker
	runsLeft      int // further runs that the worker may get
	bestEffortCPU int64
}

// selectAnywhere selects a worker for each waiting task, in order, until one finds no capacity.
func (s *Scheduler) selectAnywhere(r *readyStep, workers []*worker) []*worker {
	candidates := make([]*placementCandidate, 0, len(workers))
	need := r.step.Allocation()
	for _, w := range workers {
		if free := w.available(r.ref); free.Fits(need) {
			candidates = append(candidates, &placementCandidate{w, free, s.tasksOnWorker(r, w), w.maxNewRuns(r.step), w.bestEffortCPU})
		}
	}
	s.examined += len(workers)
	var placed []*worker
	for _, index := range r.waiting {
		s.examined += len(candidates)
		best := s.bestCandidate(r, index, candidates, need)
		if best == nil {
			break
		}
		best.free = best.free.Minus(need)
		best.count++
		best.runsLeft--
		if r.step.BestEffortCPU {
			best.bestEffortCPU += r.step.TaskResources.MilliCPU
		}
		placed = append(placed, best.w)
	}
	return placed
}

// bestCandidate selects the worker for one task, or nil. It prefers workers in the rack of the
// data, then workers other than the one on which the task failed last, then the one with the least
// free processors (best fit), or for best-effort tasks the one with the most idle processors.
func (s *Scheduler) bestCandidate(r *readyStep, index uint16, candidates []*placementCandidate, need job.Resources) *placementCandidate {
	avoid := s.lastFailedOn[job.TaskRef{StepRef: r.ref, Index: index}]
	var best *placementCandidate
	var bestScore [3]int64
	for _, candidate := range candidates {
		if candidate.runsLeft <= 0 || !candidate.free.Fits(need) || r.step.MaxPerWorker > 0 && candidate.count >= r.step.MaxPerWorker {
			continue
		}
		score := [3]int64{0, 0, candidate.free.MilliCPU}
		if r.step.DataRack != "" && candidate.w.info.Rack != r.step.DataRack {
			score[0] = 1
		}
		if candidate.w.info.Number == avoid {
			score[1] = 1
		}
		if r.step.BestEffortCPU {
			score[2] = candidate.bestEffortCPU - candidate.free.MilliCPU
		}
		if best == nil || slices.Compare(score[:], bestScore[:]) < 0 {
			best, bestScore = candidate, score
		}
	}
	return best
}

// claimTask allocates capacity on a worker for a task and proposes the claim.
func (s *Scheduler) claimTask(r *readyStep, index uint16, w *worker) {
	ref := job.TaskRef{StepRef: r.ref, Index: index}
	run, checkpoint := s.nextRun(r, index)
	c := s.addClaim(ref, run, w, r.step, claimProposed)
	c.latenessWhenPlaced = r.latenessAt(s.wallMillis)
	if a := s.advice[r.ref]; a != nil {
		c.ticket, _ = a.ticketFor(w.info.Number, s.now)
	}
	s.proposedClaims[ref] = true
	s.propose(job.Op{Claim: &job.Claim{Task: ref, Run: run, Worker: w.info.Number, Checkpoint: checkpoint}})
	s.record(Decision{Event: "placed", Job: ref.Job, Task: ref, Run: run, Worker: w.info.Name, InputAge: s.now - w.reportedAt,
		Reason: fmt.Sprintf("%d m free", w.free().MilliCPU), ConfigVersion: s.state.Config().Version})
}

// nextRun returns the number and the checkpoint of a task's next run. The members of a gang share
// both.
func (s *Scheduler) nextRun(r *readyStep, index uint16) (uint32, string) {
	if r.state == nil {
		return 1, ""
	}
	if !r.step.Gang {
		t := &r.state.Tasks[index]
		return max(t.Run, t.SpeculativeRun) + 1, t.Checkpoint
	}
	run, checkpoint, checkpointRun := uint32(0), "", uint32(0)
	for i := range r.state.Tasks {
		t := &r.state.Tasks[i]
		run = max(run, t.Run)
		if t.Checkpoint != "" && t.Run >= checkpointRun {
			checkpoint, checkpointRun = t.Checkpoint, t.Run
		}
	}
	return run + 1, checkpoint
}
