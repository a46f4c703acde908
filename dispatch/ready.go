package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/shortage"
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
	demand   shortage.Demand
	rank     float64 // among the steps of the same lateness and priority, the lowest first
	// pool is where the step runs, by the configuration at the newest placement attempt.
	pool string
	// retryAt is when the step is tried again after it found too little capacity, and failures how
	// often that happened since something changed for the step.
	retryAt  time.Duration
	failures int
	account  *accountUsage // of its job
	usage    *poolUsage    // of the account in the pool
	// blockedSince is when the limit of the account first blocked the step since a task of it was placed,
	// 0 if it has not.
	blockedSince time.Duration
}

// readySteps returns the ready steps in the order in which they are placed, the most urgent first: by
// lateness, the account's share, priority, rank and deadline. The rank is 0 unless the order follows costs.
// Lateness comes first, so that no job that can be in time goes behind one that cannot.
func (s *Scheduler) readySteps() []*readyStep {
	for id := range s.staleJobs {
		s.refreshReady(id)
	}
	clear(s.staleJobs)
	s.ordered = slices.DeleteFunc(s.ordered, func(r *readyStep) bool { return r.isStale })
	for _, r := range s.ordered {
		r.lateness, r.rank = r.latenessAt(s.wallMillis), 0
	}
	s.updateShares()
	s.knowsLoads = false // unless updateLoads counts them
	if s.ordersByCost() {
		s.updateLoads(s.ordered)
		s.rankSteps(s.ordered)
	}
	slices.SortFunc(s.ordered, comparePlacement)
	return s.ordered
}

// comparePlacement orders steps of which the lateness, the share and the rank are those of one pass.
func comparePlacement(a, b *readyStep) int {
	return cmp.Or(cmp.Compare(a.lateness, b.lateness), boolToInt(a.overShare)-boolToInt(b.overShare), cmp.Compare(a.priority, b.priority), cmp.Compare(a.rank, b.rank),
		cmp.Compare(a.deadlineMillis, b.deadlineMillis), cmp.Compare(a.ref.Job, b.ref.Job),
		cmp.Compare(a.ref.Occurrence, b.ref.Occurrence), cmp.Compare(a.ref.Step, b.ref.Step))
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
				r.retryAt, r.failures, r.blockedSince = old.retryAt, old.failures, old.blockedSince
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
		r := &readyStep{job: j, account: s.accountNamed(j.Account), step: step, state: ss, ref: job.StepRef{Job: j.ID, Occurrence: occurrence, Step: uint16(i)}}
		r.pool = s.poolOf(j)
		r.waiting = s.waitingTasks(r)
		if len(r.waiting) == 0 || step.Gang && len(r.waiting) < step.Count {
			continue
		}
		r.priority, r.releasedMillis = j.Queue.Priority, max(j.AcceptedMillis, j.DueMillis(occurrence))
		r.deadlineMillis = r.releasedMillis + objectiveMillis(&j.Queue, &j.Spec)
		r.remainingMillis = criticalPathMillis(&j.Spec, i)
		r.demand = demandOf(&j.Spec, o, i, len(r.waiting))
		out = append(out, r)
	}
	return out
}

// waitingTasks returns the indexes of the tasks of a step that have no claim, committed or
// proposed, and are not done. A task of which a run that no claim names is being stopped does not wait.
func (s *Scheduler) waitingTasks(r *readyStep) []uint16 {
	var out []uint16
	for i := range r.step.Count {
		ref := job.TaskRef{StepRef: r.ref, Index: uint16(i)}
		if (r.state == nil || r.state.Tasks[i].Phase == job.Waiting) && !s.proposedClaims[ref] && !s.hasUnclaimedRun(ref) {
			out = append(out, uint16(i))
		}
	}
	return out
}

// hasUnclaimedRun reports whether a run of a task that no claim names may still be running.
func (s *Scheduler) hasUnclaimedRun(ref job.TaskRef) bool {
	if s.unclaimedRuns == 0 {
		return false
	}
	for _, c := range s.claimsByJob[ref.Job] {
		if c.isUnclaimed && c.key.task == ref {
			return true
		}
	}
	return false
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
