package job

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/internal/codec"
)

// State is what every replica of a cell holds. It is not safe for concurrent use.
type State struct {
	config  Config
	queues  queueIndex
	jobs    map[ID]*Job
	open    map[ID]*Job // the jobs whose outcome is Open
	workers map[uint32]*Worker
	members map[string]Member // by address
	last    uint32            // number of the newest worker life
}

// NewState returns an empty state.
func NewState() *State {
	return &State{jobs: map[ID]*Job{}, open: map[ID]*Job{}, workers: map[uint32]*Worker{}, members: map[string]Member{}, queues: queueIndex{}}
}

// Config returns the configuration in force; version 0 before the first.
func (s *State) Config() *Config { return &s.config }

// Queue returns the queue of a host and path, or nil.
func (s *State) Queue(host, path string) *Queue { return s.queues.find(host, path) }

// Job returns a job, or nil.
func (s *State) Job(id ID) *Job { return s.jobs[id] }

// Jobs calls fn for each job, in no order.
func (s *State) Jobs(fn func(*Job)) {
	for _, j := range s.jobs {
		fn(j)
	}
}

// OpenJobs calls fn for each job that has not ended, in no order.
func (s *State) OpenJobs(fn func(*Job)) {
	for _, j := range s.open {
		fn(j)
	}
}

// OpenCount returns how many jobs have not ended.
func (s *State) OpenCount() int { return len(s.open) }

// Worker returns a worker life that is not over, or nil.
func (s *State) Worker(number uint32) *Worker { return s.workers[number] }

// Workers calls fn for each worker life, in no order.
func (s *State) Workers(fn func(*Worker)) {
	for _, w := range s.workers {
		fn(w)
	}
}

// Members calls fn for each member, in no order.
func (s *State) Members(fn func(Member)) {
	for _, m := range s.members {
		fn(m)
	}
}

// Member returns the member at an address.
func (s *State) Member(address string) (Member, bool) {
	m, ok := s.members[address]
	return m, ok
}

// Pool returns a pool of the configuration in force, or nil.
func (s *State) Pool(name string) *Pool {
	for i := range s.config.Pools {
		if s.config.Pools[i].Name == name {
			return &s.config.Pools[i]
		}
	}
	return nil
}

// Encode returns a batch for the log.
func Encode(ops []Op) ([]byte, error) { return codec.EncMode.Marshal(ops) }

// Decode reads a batch of the log.
func Decode(data []byte) ([]Op, error) {
	var ops []Op
	err := codec.DecMode.Unmarshal(data, &ops)
	return ops, errors.Wrap(err, "decode operations")
}

// Apply applies one operation. Operations that no longer fit the state, such as the end of
// a run that was replaced, change nothing.
func (s *State) Apply(op Op) {
	switch {
	case op.Submit != nil:
		s.submit(op.Submit)
	case op.Cancel != nil:
		s.cancel(op.Cancel)
	case op.Claim != nil:
		s.claim(op.Claim)
	case op.End != nil:
		s.end(op.End)
	case op.RegisterWorker != nil:
		s.setWorker(*op.RegisterWorker)
	case op.DeregisterWorker != 0:
		delete(s.workers, op.DeregisterWorker)
	case op.Config != nil:
		s.setConfig(*op.Config)
	case op.Member != nil:
		s.members[op.Member.Address] = *op.Member
	case op.DeleteJobs != nil:
		for _, id := range op.DeleteJobs {
			delete(s.jobs, id)
			delete(s.open, id)
		}
	}
}

func (s *State) setConfig(c Config) {
	if c.Version > s.config.Version {
		s.config = c
		s.queues = newQueueIndex(s.config.Queues)
	}
}

// setWorker takes a new life of a worker, which ends earlier lives of its name and at its
// address, or the new particulars of a known life.
func (s *State) setWorker(w Worker) {
	for n, old := range s.workers {
		switch {
		case old.SameIncarnation(&w):
			w.Number = n
			w.Leaving = w.Leaving || old.Leaving
			s.workers[n] = &w
			return
		case old.Name == w.Name || old.Address == w.Address:
			if old.StartedMillis > w.StartedMillis {
				return // a late announcement of an earlier life
			}
		}
	}
	for n, old := range s.workers {
		if old.Name == w.Name || old.Address == w.Address {
			delete(s.workers, n)
		}
	}
	s.last++
	w.Number = s.last
	s.workers[w.Number] = &w
}

func (s *State) submit(o *Submit) {
	if s.jobs[o.ID] != nil {
		return
	}
	for i := range s.config.Queues {
		if q := s.config.Queues[i]; q.Name == o.Queue {
			j := &Job{ID: o.ID, Queue: q, Spec: o.Spec, AcceptedMillis: o.AcceptedMillis}
			s.jobs[o.ID], s.open[o.ID] = j, j
			return
		}
	}
}

func (s *State) cancel(o *Cancel) {
	if j := s.jobs[o.ID]; j != nil && j.Outcome == Open {
		s.close(j, Canceled, o.AtMillis)
	}
}

// close ends a job. Its payload is dropped, since no task of it starts again; the tasks
// stay until their workers have listed their ends.
func (s *State) close(j *Job, o Outcome, atMillis int64) {
	delete(s.open, j.ID)
	j.Outcome, j.EndedMillis = o, atMillis
	j.Spec.Payload = ""
}

func (s *State) claim(o *Claim) {
	j := s.jobs[o.Task.Job]
	if j == nil || j.Outcome != Open || int(o.Task.Occurrence) >= j.Spec.Occurrences() || j.FinishedOccurrences[o.Task.Occurrence] {
		return
	}
	j.EnsureOccurrence(o.Task.Occurrence)
	_, _, t := j.Task(o.Task)
	if t == nil || o.Run <= max(t.Run, t.SpeculativeRun) {
		return
	}
	switch {
	case t.Phase == Waiting:
		t.Phase, t.Run, t.Worker = Claimed, o.Run, o.Worker
	case t.Phase == Claimed && o.Speculative && t.SpeculativeWorker == 0:
		t.SpeculativeRun, t.SpeculativeWorker = o.Run, o.Worker
	default:
		return
	}
	if o.Checkpoint != "" {
		t.Checkpoint = o.Checkpoint
	}
}

func (s *State) end(o *End) {
	j := s.jobs[o.Task.Job]
	if j == nil {
		return
	}
	step, ss, t := j.Task(o.Task)
	if t == nil || t.Phase == Done {
		return
	}
	j.Started = j.Started || o.Kind.started()
	if o.Checkpoint != "" && (o.Run == t.Run || o.Run == t.SpeculativeRun) {
		t.Checkpoint = o.Checkpoint
	}
	switch {
	case o.Kind == EndDone && !step.LongRunning:
		s.taskDone(j, o, step, ss, t)
		return
	case o.Kind == EndFailed:
		s.taskFailed(j, o, step, ss, t)
	}
	t.release(o.Run)
}

// release takes a run that has ended off the task.
func (t *Task) release(run uint32) {
	switch {
	case t.Phase != Claimed:
	case run == t.Run && t.SpeculativeWorker != 0:
		t.Run, t.Worker, t.SpeculativeRun, t.SpeculativeWorker = t.SpeculativeRun, t.SpeculativeWorker, t.Run, 0
	case run == t.Run:
		t.Phase = Waiting
	case run == t.SpeculativeRun:
		t.SpeculativeWorker = 0
	}
}

// taskDone notes a done task; the done end of one member stands for its whole gang.
func (s *State) taskDone(j *Job, o *End, step *Step, ss *StepState, t *Task) {
	if j.Outcome != Open {
		t.release(o.Run)
		return
	}
	if step.Gang {
		for i := range ss.Tasks {
			ss.Tasks[i].Phase = Done
		}
		ss.DoneCount = len(ss.Tasks)
	} else {
		t.Phase = Done
		ss.DoneCount++
	}
	k := o.Task.Occurrence
	if !ss.Finished() || !j.Occurrences[k].finished() {
		return
	}
	if j.FinishedOccurrences == nil {
		j.FinishedOccurrences = map[uint32]bool{}
	}
	j.FinishedOccurrences[k] = true
	if len(j.FinishedOccurrences) == j.Spec.Occurrences() {
		s.close(j, Completed, o.AtMillis)
		j.Occurrences = nil
	} else {
		delete(j.Occurrences, k)
	}
}

// taskFailed counts a failed run, once for a gang, and closes the job after the last
// attempt. An end may come again from a new leader, or late for a run that was given up.
// Tasks that last are started again without a limit.
func (s *State) taskFailed(j *Job, o *End, step *Step, ss *StepState, t *Task) {
	if step.LongRunning || j.Outcome != Open || o.Run > max(t.Run, t.SpeculativeRun) {
		return
	}
	failed := &t.FailedRuns
	if step.Gang {
		failed = &ss.FailedRuns
	}
	if !slices.Contains(*failed, o.Run) {
		*failed = append(*failed, o.Run)
	}
	if len(*failed) >= max(j.Queue.MaxAttempts, 1) {
		s.close(j, Failed, o.AtMillis)
	}
}
