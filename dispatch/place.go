package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

func adviceReason(granted, asked int, ok bool) string {
	if !ok {
		return "no answer"
	}
	return fmt.Sprintf("%d of %d workers granted", granted, asked)
}

// placeRetry is how long a step that found no room waits before it is tried again. Room
// comes up with every end, so an earlier try is mostly in vain.
const placeRetry = 25 * time.Millisecond

const (
	// lateFactor times its objective is how long a job is worth something to its caller.
	lateFactor = 3
	// probablyNeeded times its estimate is the time from which a job is expected to be late.
	// Estimates are off by half and more, so one that starts with less is mostly late.
	probablyNeeded = 1.2
)

// readyStep is a step with tasks that may start now.
type readyStep struct {
	job     *job.Job
	ref     job.StepRef
	step    *job.Step
	state   *job.StepState // nil before the first claim
	waiting []uint16
	// submitted and due are when the job was handed in or due to start, and when it should be
	// done, in Unix milliseconds.
	submitted, due int64
	remaining      int64 // estimated milliseconds of the longest chain from this step on
	// pool is where the step runs, as the configuration had it at the newest try.
	pool string
	// retryAt is when the step is tried again after it found no room.
	retryAt time.Duration
}

// decide places what can be placed, the most urgent work first.
func (s *Scheduler) decide() {
	ready := s.readySteps()
	if len(ready) == 0 {
		return
	}
	s.dropStaleBookings()
	s.surveyPools()
	s.keepHeadroom()
	for _, r := range ready {
		s.placeStep(r)
	}
}

// surveyPools lists the workers that take new work in this pass, by pool and number, and sums
// their processors and those that are not reserved.
func (s *Scheduler) surveyPools() {
	s.pools, s.idle, s.capacity = map[string][]*worker{}, map[string]int64{}, map[string]int64{}
	for _, w := range s.sortedWorkers() {
		if w.inPass = s.usable(w); w.inPass {
			pool := w.life.Pool
			s.pools[pool] = append(s.pools[pool], w)
			s.idle[pool] += max(w.free().MilliCPU, 0)
			s.capacity[pool] += w.life.Capacity.MilliCPU
		}
	}
}

// readySteps lists the steps whose dependencies are done, by priority and due time.
func (s *Scheduler) readySteps() []*readyStep {
	for id := range s.touched {
		s.refresh(id)
	}
	clear(s.touched)
	var out []*readyStep
	for _, steps := range s.ready {
		out = append(out, steps...)
	}
	slices.SortFunc(out, func(a, b *readyStep) int {
		return cmp.Or(s.lateRank(a)-s.lateRank(b), cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority), cmp.Compare(a.due, b.due),
			cmp.Compare(a.ref.Job, b.ref.Job), cmp.Compare(a.ref.Step, b.ref.Step))
	})
	return out
}

// lateRank puts jobs that can still be in time before those that are late, whatever their
// priority, and those before jobs that are so late that they are worth nothing to their
// callers any more.
func (s *Scheduler) lateRank(r *readyStep) int {
	objective := r.due - r.submitted
	switch left := r.due - s.wall; {
	case left >= int64(probablyNeeded*float64(r.remaining)):
		return 0
	case left >= -(lateFactor-1)*objective:
		return 1
	}
	return 2
}

// refresh makes the list of a job's ready steps anew.
func (s *Scheduler) refresh(id job.ID) {
	j := s.openJob(id)
	if j == nil {
		delete(s.ready, id)
		return
	}
	var steps []*readyStep
	for k := range j.Spec.Occurrences() {
		n := uint32(k)
		if j.FinishedOccurrences[n] {
			continue
		}
		if at := j.DueMillis(n); at > s.wall {
			if due := (wakeUp{id, at}); !slices.Contains(s.wake, due) {
				s.wake = append(s.wake, due)
			}
			break // later occurrences are due later
		}
		steps = s.readyOf(j, n, steps)
	}
	if len(steps) == 0 {
		delete(s.ready, id)
		return
	}
	for _, r := range steps {
		for _, old := range s.ready[id] {
			if old.ref == r.ref {
				r.retryAt = old.retryAt
			}
		}
	}
	s.ready[id] = steps
}

// wakeUp is a job with an occurrence that is due later.
type wakeUp struct {
	id       job.ID
	atMillis int64
}

// wakeDue refreshes the jobs with an occurrence that has become due.
func (s *Scheduler) wakeDue() {
	s.wake = slices.DeleteFunc(s.wake, func(w wakeUp) bool {
		if w.atMillis > s.wall {
			return false
		}
		s.touched[w.id], s.dirty = true, true
		return true
	})
}

func (s *Scheduler) readyOf(j *job.Job, k uint32, out []*readyStep) []*readyStep {
	o := j.Occurrences[k]
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
		r := &readyStep{job: j, step: step, state: ss, ref: job.StepRef{Job: j.ID, Occurrence: k, Step: uint16(i)}}
		r.waiting = s.waitingTasks(r)
		if len(r.waiting) == 0 || step.Gang && len(r.waiting) < step.Count {
			continue
		}
		r.submitted = max(j.AcceptedMillis, j.DueMillis(k))
		r.due = r.submitted + j.Queue.TargetMillis + int64(j.Queue.SlackFactor*float64(chainMillis(&j.Spec, 0)))
		r.remaining = chainMillis(&j.Spec, i)
		out = append(out, r)
	}
	return out
}

// waitingTasks returns the tasks of a step that no run or proposal holds.
func (s *Scheduler) waitingTasks(r *readyStep) []uint16 {
	var out []uint16
	for i := range r.step.Count {
		ref := job.TaskRef{StepRef: r.ref, Index: uint16(i)}
		if (r.state == nil || r.state.Tasks[i].Phase == job.Waiting) && !s.proposed[ref] {
			out = append(out, uint16(i))
		}
	}
	return out
}

// chainMillis is the estimated length of a job's longest chain of steps from step from on;
// 0 means the whole job.
func chainMillis(spec *job.Spec, from int) int64 {
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

// placeStep claims workers for the waiting tasks of a step. A step that finds no room books
// it, so that it does not go to others as it comes up.
func (s *Scheduler) placeStep(r *readyStep) {
	if s.now < r.retryAt {
		s.dirty = true
		return
	}
	r.pool = s.poolOf(r.job)
	eligible := s.eligible(r)
	placed := s.assign(r, eligible)
	placed = placed[:min(len(placed), s.mayStart(r))]
	if r.step.Gang && len(placed) < len(r.waiting) {
		placed = nil
	}
	if len(placed) > 0 {
		s.dropBooking(r.ref)
	}
	for i, w := range placed {
		s.claimTask(r, r.waiting[i], w)
	}
	s.spare[r.pool] -= int64(len(placed)) * r.step.Allocation().MilliCPU
	r.waiting = r.waiting[len(placed):]
	if len(r.waiting) == 0 {
		s.touched[r.ref.Job] = true
		s.dropAsks(r.ref)
		return
	}
	r.retryAt, s.dirty = s.now+placeRetry, true
	s.book(r, eligible)
	if r.job.Queue.Advisor != nil && s.expectsRoom(r) {
		s.requestAdvice(r)
	}
}

// expectsRoom reports whether the idle processors are more than what the steps before this
// one in the pass can use, and counts this one in. A gang is asked about in any case, since
// what is granted does not change; what it needs counts only while room is booked for it.
func (s *Scheduler) expectsRoom(r *readyStep) bool {
	left := s.idle[r.pool]
	if !r.step.Gang || s.bookings[r.ref] != nil {
		s.idle[r.pool] -= r.step.Allocation().MilliCPU * int64(len(r.waiting))
	}
	return r.step.Gang || left >= r.step.Allocation().MilliCPU
}

// eligible returns the workers that may run the step now, with valid tickets if its queue
// needs them.
func (s *Scheduler) eligible(r *readyStep) []*worker {
	if r.job.Queue.Advisor == nil {
		return s.labelled(r)
	}
	a := s.adviceFor(r.ref)
	return slices.DeleteFunc(s.granted(r), func(w *worker) bool {
		_, valid := a.ticketFor(w.life.Number, s.now)
		return !valid
	})
}

// granted returns the workers that the step may use, now or with a renewed ticket.
func (s *Scheduler) granted(r *readyStep) []*worker {
	if r.job.Queue.Advisor == nil {
		return s.labelled(r)
	}
	var out []*worker
	for _, number := range s.adviceFor(r.ref).granted {
		if w := s.workers[number]; w != nil && w.inPass && w.life.Pool == r.pool && w.life.HasLabel(r.step.RequiredLabel) {
			out = append(out, w)
		}
	}
	return out
}

// labelled returns the workers of the step's pool that take new work and have its label.
func (s *Scheduler) labelled(r *readyStep) []*worker {
	var out []*worker
	for _, w := range s.pools[r.pool] {
		if w.life.HasLabel(r.step.RequiredLabel) {
			out = append(out, w)
		}
	}
	return out
}

// poolOf returns the pool of a job's queue as the configuration has it now.
func (s *Scheduler) poolOf(j *job.Job) string {
	if q := s.state.Queue(j.Queue.Host, j.Queue.Prefix); q != nil && q.Name == j.Queue.Name {
		return q.Pool
	}
	return j.Queue.Pool
}

// slots counts the tasks of a step that fit into room on a worker.
func (s *Scheduler) slots(r *readyStep, w *worker, room job.Resources) int {
	need := r.step.Allocation()
	n, most := 0, min(len(r.waiting), w.mayTake())
	for k := s.onWorker(r, w); room.Fits(need) && (r.step.MaxPerWorker == 0 || k < r.step.MaxPerWorker) && n < most; k++ {
		room = room.Minus(need)
		n++
	}
	return n
}

// onWorker counts the tasks of a step on a worker.
func (s *Scheduler) onWorker(r *readyStep, w *worker) int {
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

// assign chooses a worker for each waiting task, in order, as far as there is room.
func (s *Scheduler) assign(r *readyStep, workers []*worker) []*worker {
	if r.step.SameRack {
		if placed := s.assignInRack(r, workers); placed != nil {
			return placed
		}
	}
	return s.assignAnywhere(r, workers)
}

// assignInRack looks for one rack that takes all tasks.
func (s *Scheduler) assignInRack(r *readyStep, workers []*worker) []*worker {
	racks := map[string][]*worker{}
	var names []string
	for _, w := range workers {
		if racks[w.life.Rack] == nil {
			names = append(names, w.life.Rack)
		}
		racks[w.life.Rack] = append(racks[w.life.Rack], w)
	}
	for _, name := range names {
		if placed := s.assignAnywhere(r, racks[name]); len(placed) == len(r.waiting) {
			return placed
		}
	}
	return nil
}

// tentative is a worker with the room that is left during one assignment.
type tentative struct {
	w     *worker
	free  job.Resources
	count int // tasks of the step on the worker
	left  int // further runs that it may take
	fills int64
}

func (s *Scheduler) assignAnywhere(r *readyStep, workers []*worker) []*worker {
	rooms := make([]*tentative, 0, len(workers))
	need := r.step.Allocation()
	for _, w := range workers {
		if free := w.available(r.ref); free.Fits(need) {
			rooms = append(rooms, &tentative{w, free, s.onWorker(r, w), w.mayTake(), w.fillCPU})
		}
	}
	var placed []*worker
	for _, index := range r.waiting {
		best := s.bestRoom(r, index, rooms, need)
		if best == nil {
			break
		}
		best.free = best.free.Minus(need)
		best.count++
		best.left--
		if r.step.BestEffortCPU {
			best.fills += r.step.TaskResources.MilliCPU
		}
		placed = append(placed, best.w)
	}
	return placed
}

// bestRoom picks a worker for one task: on the data's rack first, away from the worker on
// which the task failed, then the tightest fit, or for filling tasks the most idle one.
func (s *Scheduler) bestRoom(r *readyStep, index uint16, rooms []*tentative, need job.Resources) *tentative {
	avoid := s.avoid[job.TaskRef{StepRef: r.ref, Index: index}]
	var best *tentative
	var bestScore [3]int64
	for _, room := range rooms {
		if room.left <= 0 || !room.free.Fits(need) || r.step.MaxPerWorker > 0 && room.count >= r.step.MaxPerWorker {
			continue
		}
		score := [3]int64{0, 0, room.free.MilliCPU}
		if r.step.DataRack != "" && room.w.life.Rack != r.step.DataRack {
			score[0] = 1
		}
		if room.w.life.Number == avoid {
			score[1] = 1
		}
		if r.step.BestEffortCPU {
			score[2] = room.fills - room.free.MilliCPU
		}
		if best == nil || slices.Compare(score[:], bestScore[:]) < 0 {
			best, bestScore = room, score
		}
	}
	return best
}

// claimTask reserves the room and proposes the claim.
func (s *Scheduler) claimTask(r *readyStep, index uint16, w *worker) {
	ref := job.TaskRef{StepRef: r.ref, Index: index}
	run, saved := s.nextRun(r, index)
	c := s.addClaim(ref, run, w, r.step, claimProposed)
	if a := s.advice[r.ref]; a != nil {
		c.ticket, _ = a.ticketFor(w.life.Number, s.now)
	}
	s.proposed[ref] = true
	s.propose(job.Op{Claim: &job.Claim{Task: ref, Run: run, Worker: w.life.Number, Checkpoint: saved}})
	s.record(Decision{Event: "placed", Job: ref.Job, Task: ref, Run: run, Worker: w.life.Name, InputAge: s.now - w.okAt,
		Reason: fmt.Sprintf("%d m free", w.free().MilliCPU), ConfigVersion: s.state.Config().Version})
}

// nextRun returns the number and the checkpoint of a task's next run; the members of a gang
// share both.
func (s *Scheduler) nextRun(r *readyStep, index uint16) (uint32, string) {
	if r.state == nil {
		return 1, ""
	}
	if !r.step.Gang {
		t := &r.state.Tasks[index]
		return max(t.Run, t.SpeculativeRun) + 1, t.Checkpoint
	}
	run, saved, of := uint32(0), "", uint32(0)
	for i := range r.state.Tasks {
		t := &r.state.Tasks[i]
		run = max(run, t.Run)
		if t.Checkpoint != "" && t.Run >= of {
			saved, of = t.Checkpoint, t.Run
		}
	}
	return run + 1, saved
}
