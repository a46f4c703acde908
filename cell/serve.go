package cell

import (
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/replica"
)

// serve serves a call if this replica is the active leader. It calls done exactly once on
// the event loop goroutine, either before it returns or later.
func (h *replicaHost) serve(now time.Duration, c Call, done func(Reply)) {
	if !h.isActiveLeader(now) {
		done(Reply{Code: NotLeader, Leader: replica.VMName(h.group.Node.Leader())})
		return
	}
	switch c.Kind {
	case SubmitJob, QueryJob, CancelJob, CountPending, ExplainJob:
		h.serveCaller(c, done)
	case PutConfig:
		h.putConfig(c.Config, done)
	case GetConfig:
		if !h.state.HasConfig() {
			done(Reply{Code: NoConfig})
			return
		}
		done(Reply{Code: OK, Document: h.state.Config().Document})
	case Announce:
		h.announce(now, c, done)
	case SignOff:
		h.signOff(now, c, done)
	default:
		done(Reply{Code: BadCall, Text: "unknown kind of call"})
	}
}

// serveCaller serves a caller's request about one queue. The queue, the key and the account are those
// of the configuration that this replica has applied, so a change is in force with its commit.
func (h *replicaHost) serveCaller(c Call, done func(Reply)) {
	if !h.state.HasConfig() {
		done(Reply{Code: NoConfig})
		return
	}
	q := h.state.Queue(c.Host, c.Path)
	if q == nil {
		done(Reply{Code: NoQueue})
		return
	}
	account, err := h.authenticate(q, c.Key)
	if err != nil {
		done(Reply{Code: Unauthenticated, Text: err.Error()})
		return
	}
	if c.Kind == CountPending || c.Kind == QueryJob && c.Path == q.Prefix {
		done(Reply{Code: OK, Pending: h.scheduler.PendingJobs(q)})
		return
	}
	if c.Kind == ExplainJob {
		h.explain(q, account, c, done)
		return
	}
	id, err := job.ParseID(strings.TrimPrefix(c.Path, q.Prefix))
	if err != nil {
		done(Reply{Code: BadCall, Text: err.Error()})
		return
	}
	switch c.Kind {
	case SubmitJob:
		h.submit(id, q, account, c, done)
	case CancelJob:
		h.cancel(id, q, account, c, done)
	default:
		h.query(id, q, account, done)
	}
}

// replyOnCommit returns a callback that replies with r if the operation was committed, and
// with Interrupted otherwise.
func replyOnCommit(done func(Reply), r Reply) func(bool) {
	return func(committed bool) {
		if !committed {
			r = Reply{Code: Interrupted}
		}
		done(r)
	}
}

// submission is a call that waits for the Submit of its job to be applied.
type submission struct {
	location job.Location // of the queue that the call selected
	account  string       // of the call's key, empty if the call needed none and has none
	done     func(Reply)
}

// pendingSubmit holds the calls that wait for one Submit.
type pendingSubmit struct {
	submissions []submission
	// then is called after the replies to the submissions.
	then []func()
}

// submit replies when the job is stored.
func (h *replicaHost) submit(id job.ID, q *job.Queue, account string, c Call, done func(Reply)) {
	s := submission{q.Location(), account, done}
	if j := h.state.Job(id); j != nil {
		s.reply(j, h.state.QueueOf(j) == q)
		return
	}
	if err := checkSpec(c); err != nil {
		done(Reply{Code: BadCall, Text: err.Error()})
		return
	}
	// A Submit names its queue, and the name has to be that of the configuration in which it will be applied.
	name := q.Name
	if p := h.proposedConfig; p != nil {
		next := p.QueueAt(q.Location())
		if next == nil {
			h.afterConfig = append(h.afterConfig, func() { h.serve(h.node.eventLoop.Now(), c, done) })
			return
		}
		name = next.Name
	}
	if p := h.submitting[id]; p != nil {
		p.submissions = append(p.submissions, s)
		return
	}
	if reason, exceeds := h.scheduler.ExceedsLimit(c.Spec, account); exceeds {
		done(Reply{Code: LimitExceeded, Text: reason})
		return
	}
	if a := h.scheduler.Admit(q, c.Spec, account); a.Rejected {
		done(h.rejectJob(id, q, a))
		return
	}
	h.submitting[id] = &pendingSubmit{submissions: []submission{s}}
	h.propose(func(committed bool) { h.submitApplied(id, committed) },
		job.Op{Submit: &job.Submit{ID: id, Queue: name, Spec: *c.Spec, AcceptedMillis: time.Now().UnixMilli(), Account: account}})
}

// checkSpec returns an error if a call has no valid job.
func checkSpec(c Call) error {
	if c.Spec == nil {
		return errors.New("the job is missing")
	}
	return c.Spec.Check()
}

// explain replies with what would happen to the call's job if it were submitted now. It changes nothing.
func (h *replicaHost) explain(q *job.Queue, account string, c Call, done func(Reply)) {
	if err := checkSpec(c); err != nil {
		done(Reply{Code: BadCall, Text: err.Error()})
		return
	}
	e := h.scheduler.Explain(q, c.Spec, account)
	done(Reply{Code: OK, Explanation: &e})
}

// submitApplied replies to the calls that wait for a job's Submit, from the state after it.
func (h *replicaHost) submitApplied(id job.ID, committed bool) {
	pending := h.submitting[id]
	delete(h.submitting, id)
	for _, s := range pending.submissions {
		j := h.state.Job(id)
		if !committed || j == nil {
			s.done(Reply{Code: Interrupted})
			continue
		}
		s.reply(j, j.Queue.Location() == s.location)
	}
	for _, fn := range pending.then {
		fn()
	}
}

// reply replies from the stored job with the call's ID, which belongs to the call's queue or to another one.
func (s submission) reply(j *job.Job, isSameQueue bool) {
	switch {
	case !isSameQueue:
		s.done(Reply{Code: Conflict, Text: "this id is in use on another route"})
	case !isVisible(j, s.account):
		s.done(Reply{Code: Conflict, Text: "this id is in use by another account"})
	default:
		s.done(Reply{Code: OK})
	}
}

// jobForCaller returns the job with an ID if callers of the queue and the account may see and change it,
// or nil.
func (h *replicaHost) jobForCaller(id job.ID, q *job.Queue, account string) *job.Job {
	j := h.state.Job(id)
	if j == nil {
		return nil
	}
	reason := ""
	switch {
	case h.state.QueueOf(j) != q:
		reason = "on another route"
	case !isVisible(j, account):
		reason = "of another account"
	default:
		return j
	}
	h.node.log.Info("job hidden from a caller", zap.Stringer("job", id), zap.String("reason", reason), zap.String("route", q.Name),
		zap.String("job_route", j.Queue.Name), zap.Stringer("outcome", j.Outcome), zap.Int64("version", h.state.Config().Version))
	return nil
}

// cancel replies when the job is cancelled or has ended. A cancel that arrives while the job's Submit is not
// applied yet waits for it: the job would be accepted after the reply that there is none.
func (h *replicaHost) cancel(id job.ID, q *job.Queue, account string, c Call, done func(Reply)) {
	if p := h.submitting[id]; p != nil {
		p.then = append(p.then, func() { h.serve(h.node.eventLoop.Now(), c, done) })
		return
	}
	j := h.jobForCaller(id, q, account)
	switch {
	case j == nil:
		done(Reply{Code: NoJob})
	case j.Outcome != job.Open:
		done(Reply{Code: OK})
	default:
		h.propose(replyOnCommit(done, Reply{Code: OK}), job.Op{Cancel: &job.Cancel{ID: id, AtMillis: time.Now().UnixMilli()}})
	}
}

func (h *replicaHost) query(id job.ID, q *job.Queue, account string, done func(Reply)) {
	j := h.jobForCaller(id, q, account)
	if j == nil {
		done(Reply{Code: NoJob})
		return
	}
	done(Reply{Code: OK, Status: statusOf(j, h.scheduler.HasStarted(j))})
}

func statusOf(j *job.Job, hasStarted bool) JobStatus {
	switch {
	case j.Outcome == job.Completed:
		return JobCompleted
	case j.Outcome == job.Failed:
		return JobFailed
	case j.Outcome == job.Canceled:
		return JobCanceled
	case hasStarted:
		return JobRunning
	}
	return JobQueued
}

// putConfig proposes a valid configuration. A version that is not higher than the current
// one changes nothing and is acknowledged anyway.
func (h *replicaHost) putConfig(c *job.Config, done func(Reply)) {
	if c == nil {
		done(Reply{Code: BadCall, Text: "the configuration is missing"})
		return
	}
	if err := c.Check(); err != nil {
		done(Reply{Code: BadCall, Text: err.Error()})
		return
	}
	if !h.state.Supersedes(c) {
		done(Reply{Code: OK})
		return
	}
	if c.Version < 1 {
		if reason := h.cannotApply(job.FormatAnyVersion); reason != "" {
			h.node.log.Info("configuration not accepted yet", zap.Int64("version", c.Version), zap.String("reason", reason))
			done(Reply{Code: NotReady})
			return
		}
	}
	c.NameQueuesUniquely()
	if p := h.proposedConfig; p == nil || c.Version > p.Version {
		h.proposedConfig = c
	}
	h.propose(replyOnCommit(done, Reply{Code: OK}), job.Op{Config: c})
}

func (h *replicaHost) announce(now time.Duration, c Call, done func(Reply)) {
	reply := Reply{Code: OK, PublicAddress: h.node.settings.PublicAddress}
	if c.Announcement == nil {
		done(Reply{Code: BadCall, Text: "the announcement is missing"})
		return
	}
	switch h.scheduler.Announced(now, *c.Announcement) {
	case dispatch.AnnouncementRefused:
		done(Reply{Code: BadCall, Text: "the configuration has no pool " + c.Announcement.Worker.Pool})
	case dispatch.AnnouncementProposed:
		h.propose(replyOnCommit(done, reply))
	default:
		done(reply)
	}
}

// signOff replies when the scheduler has recorded the sign-off, or at once if it does not know the
// incarnation of the worker or that is over.
func (h *replicaHost) signOff(now time.Duration, c Call, done func(Reply)) {
	number := h.scheduler.IncarnationSignedOff(now, c.Worker, c.StartedMillis)
	if number == 0 {
		h.propose(replyOnCommit(done, Reply{Code: OK}))
		return
	}
	h.signOffs[number] = append(h.signOffs[number], done)
}

// confirmSignOff replies to all calls that wait for the sign-off of a worker incarnation.
func (h *replicaHost) confirmSignOff(number uint32, r Reply) {
	waiting := h.signOffs[number]
	delete(h.signOffs, number)
	for _, done := range waiting {
		done(r)
	}
}
