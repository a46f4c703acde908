package job

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/internal/codec"
)

// State is the replicated state of a cell. It is not safe for concurrent use.
type State struct {
	config     *Config // without content before the first one is applied
	hasConfig  bool
	queues     queueIndex
	accounts   accountIndex
	jobs       map[ID]*Job
	openJobs   map[ID]*Job // the jobs whose outcome is Open
	workers    map[uint32]*Worker
	members    map[string]Member // by address
	lastWorker uint32            // number of the newest worker incarnation
}

// NewState returns an empty state.
func NewState() *State {
	return &State{config: &Config{}, jobs: map[ID]*Job{}, openJobs: map[ID]*Job{}, workers: map[uint32]*Worker{}, members: map[string]Member{}}
}

// Config returns the current configuration, which must not be changed. It is another one after each change, and
// has no content before the first one is applied.
func (s *State) Config() *Config { return s.config }

// HasConfig reports whether a configuration has been applied. Its version may be 0 or negative.
func (s *State) HasConfig() bool { return s.hasConfig }

// Supersedes reports whether a configuration would take effect if it were applied now.
func (s *State) Supersedes(c *Config) bool { return !s.hasConfig || c.Version > s.config.Version }

// Queue returns the queue with the longest prefix of path at a host, or nil.
func (s *State) Queue(host, path string) *Queue { return s.queues.find(host, path) }

// QueueOf returns the queue of the current configuration to which a job belongs, or nil. It is the one at
// the location where the job was submitted, since that is how callers refer to the job, whatever its name.
// If there is none, it is the one with the name that the job's queue had: that queue has been moved.
func (s *State) QueueOf(j *Job) *Queue {
	if q := s.queues.byLocation[j.Queue.Location()]; q != nil {
		return q
	}
	return s.queues.byName[j.Queue.Name]
}

// Job returns a job, or nil.
func (s *State) Job(id ID) *Job { return s.jobs[id] }

// Jobs calls fn for each job, in unspecified order.
func (s *State) Jobs(fn func(*Job)) {
	for _, j := range s.jobs {
		fn(j)
	}
}

// OpenJobs calls fn for each job that has not ended, in unspecified order.
func (s *State) OpenJobs(fn func(*Job)) {
	for _, j := range s.openJobs {
		fn(j)
	}
}

// OpenCount returns the number of jobs that have not ended.
func (s *State) OpenCount() int { return len(s.openJobs) }

// Worker returns a worker incarnation that is not over, or nil.
func (s *State) Worker(number uint32) *Worker { return s.workers[number] }

// Workers calls fn for each worker incarnation that is not over, in unspecified order.
func (s *State) Workers(fn func(*Worker)) {
	for _, w := range s.workers {
		fn(w)
	}
}

// Members calls fn for each member, in unspecified order.
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

// Pool returns a pool of the current configuration, or nil.
func (s *State) Pool(name string) *Pool {
	for i := range s.config.Pools {
		if s.config.Pools[i].Name == name {
			return &s.config.Pools[i]
		}
	}
	return nil
}

// Encode encodes a batch of operations for the log.
func Encode(ops []Op) ([]byte, error) { return codec.EncMode.Marshal(ops) }

// Decode decodes a batch of operations from the log.
func Decode(data []byte) ([]Op, error) {
	var ops []Op
	err := codec.DecMode.Unmarshal(data, &ops)
	return ops, errors.Wrap(err, "decode operations")
}

// Apply applies one operation. An operation that no longer fits the state, such as the end of
// a run that has been replaced, changes nothing.
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
		s.registerWorker(*op.RegisterWorker)
	case op.DeregisterWorker != 0:
		delete(s.workers, op.DeregisterWorker)
	case op.SettleWorkers != nil:
		s.settleWorkers(op.SettleWorkers)
	case op.Config != nil:
		s.setConfig(op.Config)
	case op.Member != nil:
		s.members[op.Member.Address] = *op.Member
	case op.DeleteJobs != nil:
		for _, id := range op.DeleteJobs {
			delete(s.jobs, id)
			delete(s.openJobs, id)
		}
	}
}

func (s *State) setConfig(c *Config) {
	if s.Supersedes(c) {
		s.config, s.hasConfig = c, true
		s.queues, s.accounts = newQueueIndex(s.config.Queues), newAccountIndex(s.config.Accounts)
	}
}

// registerWorker registers a new incarnation of a worker or updates a known one. It ends no other
// incarnation, since anyone may have sent the announcement; DeregisterWorker does. An announcement
// that is older than the incarnation at its address is a delayed one.
func (s *State) registerWorker(w Worker) {
	for n, old := range s.workers {
		if old.SameIncarnation(&w) {
			w.Number = n
			w.Leaving, w.Settled = w.Leaving || old.Leaving, old.Settled
			s.workers[n] = &w
			return
		}
	}
	for _, old := range s.workers {
		if old.Address == w.Address && old.StartedMillis > w.StartedMillis {
			return
		}
	}
	s.lastWorker++
	w.Number, w.Settled = s.lastWorker, false
	s.workers[w.Number] = &w
}

// settleWorkers marks the worker incarnations that are not over as settled.
func (s *State) settleWorkers(numbers []uint32) {
	for _, n := range numbers {
		if w := s.workers[n]; w != nil {
			settled := *w
			settled.Settled = true
			s.workers[n] = &settled
		}
	}
}

func (s *State) submit(o *Submit) {
	if s.jobs[o.ID] != nil {
		return
	}
	if q := s.queues.byName[o.Queue]; q != nil {
		j := &Job{ID: o.ID, Queue: *q, Spec: o.Spec, AcceptedMillis: o.AcceptedMillis, Account: o.Account}
		s.jobs[o.ID], s.openJobs[o.ID] = j, j
	}
}

func (s *State) cancel(o *Cancel) {
	if j := s.jobs[o.ID]; j != nil && j.Outcome == Open {
		s.closeJob(j, Canceled, o.AtMillis)
	}
}

// closeJob ends a job. Its payload is dropped, since no task of it starts again. The tasks
// stay until their workers have reported their ends.
func (s *State) closeJob(j *Job, o Outcome, atMillis int64) {
	delete(s.openJobs, j.ID)
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
	j.Started = j.Started || o.Kind.impliesStarted()
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
	t.releaseRun(o.Run)
}

// releaseRun removes a run that has ended from the task. If the run had a speculative run
// beside it, that one takes its place.
func (t *Task) releaseRun(run uint32) {
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

// taskDone records a done task. One done member makes its whole gang done.
func (s *State) taskDone(j *Job, o *End, step *Step, ss *StepState, t *Task) {
	if j.Outcome != Open {
		t.releaseRun(o.Run)
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
		s.closeJob(j, Completed, o.AtMillis)
		j.Occurrences = nil
	} else {
		delete(j.Occurrences, k)
	}
}

// taskFailed counts a failed run, once for a gang, and fails the job after the last attempt.
// The same end may be applied again by a new leader, or arrive late for a run that was already
// considered lost. Long-running tasks are restarted without a limit.
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
		s.closeJob(j, Failed, o.AtMillis)
	}
}
