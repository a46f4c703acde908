package dispatch

import (
	"slices"

	"github.com/oleanderchute/oleanderchute/job"
)

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
	wanted := s.speedToSelect(r, candidates)
	var placed []*worker
	for _, index := range r.waiting {
		s.examined += len(candidates)
		best := s.bestCandidate(r, index, candidates, need, wanted)
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
// data, then workers other than the one on which the task failed last, then those of the wanted
// speed, then the one with the least free processors (best fit), or for best-effort tasks the one with the most idle processors.
func (s *Scheduler) bestCandidate(r *readyStep, index uint16, candidates []*placementCandidate, need job.Resources, wanted speedRange) *placementCandidate {
	avoid := s.lastFailedOn[job.TaskRef{StepRef: r.ref, Index: index}]
	var best *placementCandidate
	var bestScore [4]int64
	for _, candidate := range candidates {
		if candidate.runsLeft <= 0 || !candidate.free.Fits(need) || r.step.MaxPerWorker > 0 && candidate.count >= r.step.MaxPerWorker {
			continue
		}
		score := [4]int64{0, 0, wanted.penalty(candidate.w), candidate.free.MilliCPU}
		if r.step.DataRack != "" && candidate.w.info.Rack != r.step.DataRack {
			score[0] = 1
		}
		if candidate.w.info.Number == avoid {
			score[1] = 1
		}
		if r.step.BestEffortCPU {
			score[3] = candidate.bestEffortCPU - candidate.free.MilliCPU
		}
		if best == nil || slices.Compare(score[:], bestScore[:]) < 0 {
			best, bestScore = candidate, score
		}
	}
	return best
}
