package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Apply applies one committed batch; every replica calls it with the same batches in log
// order. Records depend on these batches only. The owner also gets the actions that the
// commit allows. It panics when data is not a batch, since a committed entry that cannot
// be read breaks the replicas' agreement.
func (p *Partition) Apply(now time.Duration, data []byte) []Action {
	b, commands, err := decodeBatch(data)
	if err != nil {
		panic(err)
	}
	if b.Epoch < p.epoch {
		commands = nil
	}
	p.epoch = max(p.epoch, b.Epoch)
	for i := range commands {
		p.applyCommand(b.Epoch, &commands[i])
		if p.owner != nil {
			p.owner.now = now
			p.owner.applied(now, &commands[i])
		}
	}
	if p.owner == nil {
		return nil
	}
	p.owner.committed(b)
	return p.finish(now, false)
}

// applyCommand changes the records. It must not read soft state.
func (p *Partition) applyCommand(epoch uint64, c *command) {
	switch {
	case c.Accept != nil:
		p.applyAccept(epoch, c.Accept)
	case c.Claim != nil:
		p.applyClaim(c.Claim)
	case c.End != nil:
		p.applyEnd(epoch, c.End)
	case c.Cancel != nil:
		p.applyCancel(epoch, c.Cancel)
	case c.Expire != nil:
		p.applyExpire(c.Expire)
	case c.Worker != nil:
		p.applyWorker(c.Worker)
	}
}

func (p *Partition) applyWorker(c *workerCommand) {
	if c.Gone {
		delete(p.workers, c.Announcement.Worker)
		return
	}
	p.workers[c.Announcement.Worker] = c.Announcement
}

func (p *Partition) applyAccept(epoch uint64, c *acceptCommand) {
	if p.records[c.Spec.Key] != nil {
		return
	}
	p.nextIndex++
	r := &record{Spec: c.Spec, Index: p.nextIndex, AcceptEpoch: epoch, Body: c.Body, State: api.StateQueued}
	p.records[c.Spec.Key] = r
	p.ordered = append(p.ordered, r)
}

// applyClaim enters an attempt. A non-idempotent request has at most one attempt that
// was not refused.
func (p *Partition) applyClaim(c *claimCommand) {
	r := p.records[c.Task.RequestKey]
	if r == nil || r.State.IsOutcome() || r.attempt(c.Task.Attempt) != nil {
		return
	}
	if r.Spec.NonIdempotent && r.count(attemptRefused) != len(r.Attempts) {
		return
	}
	if len(r.Attempts) == 0 {
		r.WaitedMillis = c.WaitedMillis
	}
	r.Attempts = append(r.Attempts, attemptRecord{
		Number: c.Task.Attempt, Worker: c.Worker, Incarnation: c.Incarnation, Tasks: taskRecords(c.Assignments),
	})
	r.State = api.StateClaimed
}

// applyEnd enters the end of an attempt and settles the request.
func (p *Partition) applyEnd(epoch uint64, c *endCommand) {
	r := p.records[c.Task.RequestKey]
	if r == nil || r.State.IsFinal() {
		return
	}
	if r.Spec.isGang() {
		r.endTask(epoch, c)
		return
	}
	a := r.attempt(c.Task.Attempt)
	if a == nil {
		r.Attempts = append(r.Attempts, attemptRecord{Number: c.Task.Attempt, Worker: c.Worker, Incarnation: c.Incarnation})
		a = &r.Attempts[len(r.Attempts)-1]
	}
	if c.End <= a.End {
		return
	}
	wasOpen := a.End == attemptOpen
	a.End = c.End
	switch {
	case c.End == attemptDone:
		r.Answer, r.AnswerDigest = c.Answer, c.AnswerDigest
		r.finish(api.StateDone, "")
	case c.End == attemptFailed:
		r.Answer, r.AnswerDigest = c.Answer, c.AnswerDigest
		r.finish(api.StateFailed, c.Reason)
	case c.End == attemptWithdrawn:
		r.remove(c.Task.Attempt)
		r.settle(epoch, c.End, c.Reason, c.MaxAttempts)
	case wasOpen || r.State == api.StateUnknown:
		r.settle(epoch, c.End, c.Reason, c.MaxAttempts)
	}
}

// settle decides the state of a request after an attempt ended without a result.
func (r *record) settle(epoch uint64, end attemptEnd, reason string, maxAttempts int) {
	if r.hasOpen() {
		return
	}
	if end == attemptStopped && r.Spec.NonIdempotent {
		r.finish(api.StateFailed, reason)
		return
	}
	exhausted := len(r.Attempts) >= maxAttempts
	lost := r.Spec.NonIdempotent && r.count(attemptLost) > 0
	if r.Cancelled || exhausted || lost || r.State == api.StateUnknown {
		r.conclude(epoch, reason)
		return
	}
	r.State, r.Reason = api.StateQueued, reason
}

// conclude ends a request that gets no further attempt and has no result.
func (r *record) conclude(epoch uint64, reason string) {
	switch {
	case r.neverRan(epoch):
		r.finish(api.StateNotRun, reason)
	case r.count(attemptStopped) > 0:
		r.finish(api.StateFailed, reason)
	default:
		r.finish(api.StateUnknown, reason+"; it may have run")
	}
}

// finish sets an outcome. The body is dropped, since no attempt needs it any more; the
// digest stays for resends.
func (r *record) finish(state api.State, reason string) {
	r.State, r.Reason, r.Body = state, reason, nil
	if state.IsFinal() {
		r.dropTaskAnswers()
	}
}

// remove drops an attempt that was never dispatched, so that it does not count.
func (r *record) remove(number int) {
	kept := r.Attempts[:0]
	for _, a := range r.Attempts {
		if a.Number != number {
			kept = append(kept, a)
		}
	}
	r.Attempts = kept
}

func (p *Partition) applyCancel(epoch uint64, c *cancelCommand) {
	r := p.records[c.Key]
	if r == nil || r.State.IsOutcome() {
		return
	}
	reason := "cancelled by the caller"
	if c.Expired {
		reason = "the deadline passed before a start was possible"
	}
	r.Cancelled = true
	if c.Idle && !r.hasOpen() {
		r.conclude(epoch, reason)
	}
}

func (p *Partition) applyExpire(c *expireCommand) {
	for _, key := range c.Keys {
		r := p.records[key]
		if r == nil {
			continue
		}
		if c.Unknown && r.State == api.StateUnknown || !c.Unknown && r.State.IsFinal() {
			delete(p.records, key)
			r.dropped = true
			p.dropped++
		}
	}
	if p.dropped > len(p.ordered)/2 {
		p.ordered = slices.DeleteFunc(p.ordered, func(r *record) bool { return r.dropped })
		p.dropped = 0
	}
}
