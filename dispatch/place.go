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

// readyStep is a step with tasks that may start now.
type readyStep struct {
	job     *job.Job
	ref     job.StepRef
	step    *job.Step
	state   *job.StepState
	waiting []uint16
	due     int64 // Unix milliseconds by which its job should be done
}

// decide places what can be placed, the most urgent work first.
func (s *Scheduler) decide() {
	ready := s.readySteps()
	if len(ready) == 0 {
		return
	}
	workers := s.sortedWorkers()
	held := map[uint32]bool{}
	for _, r := range ready {
		s.placeStep(r, workers, held)
	}
}

// readySteps lists the steps whose dependencies are done, by priority and due time.
func (s *Scheduler) readySteps() []*readyStep {
	var out []*readyStep
	s.state.Jobs(func(j *job.Job) {
		if j.Outcome != job.Open {
			return
		}
		for k := range j.Spec.Occurrences() {
			n := uint32(k)
			if j.Finished[n] {
				continue
			}
			if at := j.DueMillis(n); at > 0 && s.wall < at {
				s.wakeAt(at)
				break // later occurrences are due later
			}
			out = s.readyOf(j, n, out)
		}
	})
	slices.SortFunc(out, func(a, b *readyStep) int {
		return cmp.Or(cmp.Compare(a.job.Queue.Priority, b.job.Queue.Priority), cmp.Compare(a.due, b.due),
			cmp.Compare(a.ref.Job, b.ref.Job), cmp.Compare(a.ref.Step, b.ref.Step))
	})
	return out
}

// wakeAt makes the scheduler look again when an occurrence is due.
func (s *Scheduler) wakeAt(int64) { s.dirty = true }

func (s *Scheduler) readyOf(j *job.Job, k uint32, out []*readyStep) []*readyStep {
	o := j.Occurrences[k]
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		var ss *job.StepState
		if o == nil {
			if len(step.After) > 0 {
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
		r.due = max(j.AcceptedMillis, j.DueMillis(k)) + j.Queue.TargetMillis + int64(j.Queue.SlackFactor*float64(chainMillis(&j.Spec)))
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

// chainMillis is the estimated length of a job's longest chain of steps.
func chainMillis(spec *job.Spec) int64 {
	ends := make([]int64, len(spec.Steps))
	longest := int64(0)
	for i, step := range spec.Steps {
		begin := int64(0)
		for _, a := range step.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + step.EstimateMillis
		longest = max(longest, ends[i])
	}
	return longest
}

// placeStep claims workers for the waiting tasks of a step. A step that finds no room
// keeps its workers from less urgent steps of this pass.
func (s *Scheduler) placeStep(r *readyStep, workers []*worker, held map[uint32]bool) {
	eligible := s.eligible(r, workers, held)
	placed := s.assign(r, eligible)
	if r.step.Gang && len(placed) < len(r.waiting) {
		placed = nil
	}
	for i, w := range placed {
		s.claimTask(r, r.waiting[i], w)
	}
	if missing := len(r.waiting) - len(placed); missing > 0 {
		s.reserve(r, eligible, held)
	}
}

// eligible returns the workers that may run the step, with tickets if its queue needs them.
func (s *Scheduler) eligible(r *readyStep, workers []*worker, held map[uint32]bool) []*worker {
	pool := s.poolOf(r.job)
	var out []*worker
	fitting := 0
	for _, w := range workers {
		if w.life.Pool == pool && w.life.HasLabel(r.step.Label) && s.usable(w) && !held[w.life.Number] {
			out = append(out, w)
			if w.free().Fits(r.step.Reserved()) {
				fitting++
			}
		}
	}
	if r.job.Queue.Advisor == nil {
		return out
	}
	a := s.adviceFor(r.ref)
	allowed := slices.DeleteFunc(slices.Clone(out), func(w *worker) bool {
		_, valid := a.ticketFor(w.life.Number, s.now)
		return !valid
	})
	if s.roomFor(r, allowed) < len(r.waiting) && fitting > 0 {
		s.requestAdvice(r, out)
	}
	return allowed
}

// poolOf returns the pool of a job's queue as the configuration has it now.
func (s *Scheduler) poolOf(j *job.Job) string {
	if q := s.state.Queue(j.Queue.Host, j.Queue.Prefix); q != nil && q.Name == j.Queue.Name {
		return q.Pool
	}
	return j.Queue.Pool
}

// roomFor counts how many tasks of a step the workers can take now.
func (s *Scheduler) roomFor(r *readyStep, workers []*worker) int {
	n := 0
	need := r.step.Reserved()
	for _, w := range workers {
		free := w.free()
		for k := s.onWorker(r, w); free.Fits(need) && (r.step.MaxPerWorker == 0 || k < r.step.MaxPerWorker) && n < len(r.waiting); k++ {
			free = free.Minus(need)
			n++
		}
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
	count int
	fills int64
}

func (s *Scheduler) assignAnywhere(r *readyStep, workers []*worker) []*worker {
	rooms := make([]*tentative, 0, len(workers))
	need := r.step.Reserved()
	for _, w := range workers {
		if w.free().Fits(need) {
			rooms = append(rooms, &tentative{w, w.free(), s.onWorker(r, w), w.fillCPU})
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
		if r.step.Fills {
			best.fills += r.step.Need.MilliCPU
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
		if !room.free.Fits(need) || r.step.MaxPerWorker > 0 && room.count >= r.step.MaxPerWorker {
			continue
		}
		score := [3]int64{0, 0, room.free.MilliCPU}
		if r.step.DataRack != "" && room.w.life.Rack != r.step.DataRack {
			score[0] = 1
		}
		if room.w.life.Number == avoid {
			score[1] = 1
		}
		if r.step.Fills {
			score[2] = room.fills - room.free.MilliCPU
		}
		if best == nil || slices.Compare(score[:], bestScore[:]) < 0 {
			best, bestScore = room, score
		}
	}
	return best
}

// reserve keeps the eligible workers with the most room from less urgent steps, as many as
// the step could use.
func (s *Scheduler) reserve(r *readyStep, eligible []*worker, held map[uint32]bool) {
	slices.SortStableFunc(eligible, func(a, b *worker) int {
		return cmp.Compare(b.free().MilliCPU, a.free().MilliCPU)
	})
	for _, w := range eligible[:min(len(eligible), len(r.waiting))] {
		held[w.life.Number] = true
	}
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
	s.propose(job.Op{Claim: &job.Claim{Task: ref, Run: run, Worker: w.life.Number, Saved: saved}})
	s.record(Decision{What: "placed", Job: ref.Job, Task: ref, Run: run, Worker: w.life.Name, Age: s.now - w.okAt,
		Reason: fmt.Sprintf("%d m free", w.free().MilliCPU), Version: s.state.Config().Version})
}

// nextRun returns the number and the checkpoint of a task's next run; the members of a gang
// share both.
func (s *Scheduler) nextRun(r *readyStep, index uint16) (uint32, string) {
	if r.state == nil {
		return 1, ""
	}
	if !r.step.Gang {
		t := &r.state.Tasks[index]
		return max(t.Run, t.Copy) + 1, t.Saved
	}
	run, saved, of := uint32(0), "", uint32(0)
	for i := range r.state.Tasks {
		t := &r.state.Tasks[i]
		run = max(run, t.Run)
		if t.Saved != "" && t.Run >= of {
			saved, of = t.Saved, t.Run
		}
	}
	return run + 1, saved
}

// chainSlack is the time left until a step's job is due.
func (r *readyStep) slack(wall int64) time.Duration {
	return time.Duration(r.due-wall) * time.Millisecond
}
