package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// attemptTasks returns the tasks of the numbered attempt that have no confirmed end, in task
// order.
func (l *liveRequest) attemptTasks(number int) []*attempt {
	var tasks []*attempt
	for _, a := range l.attempts {
		if a.id.Attempt == number {
			tasks = append(tasks, a)
		}
	}
	return tasks
}

// assignmentsOf returns the workers and incarnations that tasks are assigned to.
func assignmentsOf(tasks []*attempt) []taskAssignment {
	list := make([]taskAssignment, len(tasks))
	for i, a := range tasks {
		list[i] = taskAssignment{Worker: a.worker.name, Incarnation: a.incarnation}
	}
	return list
}

// removeTasks removes all tasks of the attempt that a belongs to.
func (o *owner) removeTasks(now time.Duration, a *attempt) {
	for _, b := range a.request.attemptTasks(a.id.Attempt) {
		o.removeAttempt(now, b)
	}
}

// removeUnclaimed removes an unclaimed task that has certainly ended.
func (o *owner) removeUnclaimed(now time.Duration, a *attempt) {
	o.removeAttempt(now, a)
	o.reconcile(now, a.request)
	o.removeIfFinished(now, a.request)
}

// prepareTaskEnd completes the command that records the end of a gang's task. Unless the task
// is done, it also stops the other tasks. As long as the claim is not applied, no end of the
// attempt is applied either, so all its tasks are still listed.
func (o *owner) prepareTaskEnd(now time.Duration, a *attempt, c *endCommand) {
	tasks := a.request.attemptTasks(a.id.Attempt)
	if a.request.rec.attempt(a.id.Attempt) == nil {
		c.Assignments = assignmentsOf(tasks)
	}
	for _, b := range tasks {
		switch {
		case b == a || c.End == attemptDone:
		case c.End == attemptWithdrawn:
			o.release(now, b) // nothing was sent
		default:
			o.requestStop(now, b)
		}
	}
}

// inheritGang adds the open and lost tasks of a gang's claimed attempt. If one task has ended
// without being done, the others are stopped.
func (o *owner) inheritGang(l *liveRequest, r *attemptRecord) {
	stopping := r.hasUnsuccessfulTask() || l.cancelRequested
	for i, t := range r.Tasks {
		if t.End != attemptOpen && t.End != attemptLost {
			continue
		}
		a := &attempt{
			request: l, worker: o.ensureWorker(t.Worker), incarnation: t.Incarnation,
			id:    api.TaskID{RequestKey: l.key, Attempt: r.Number, Index: i},
			state: stateUncertain, dispatchExpiresAt: o.inheritedLeaseEnd, stopRequested: stopping,
		}
		if t.End == attemptLost {
			a.state = stateLost
		}
		o.addAttempt(a)
	}
}

// gangStatus adds the owner's knowledge of a gang's latest attempt to the status. The gang is
// running while every task has started and none has ended without being done.
func (o *owner) gangStatus(l *liveRequest, s *api.RequestStatus) {
	number := l.latestOpenAttempt()
	if number == 0 {
		if s.State == api.StateQueued {
			s.Reason = o.waitsFor(o.now, l)
		}
		return
	}
	s.State = api.StateClaimed
	tasks, started := l.attemptTasks(number), 0
	for _, a := range tasks {
		if a.state == stateRunning {
			started++
		}
	}
	if r := l.rec.attempt(number); r == nil {
		s.Attempt++
		s.Worker = tasks[0].worker.name
	} else {
		started += r.countDone()
	}
	if started == l.rec.Spec.Tasks {
		s.State = api.StateRunning
	}
}

// latestOpenAttempt returns the number of the latest attempt with a task that has not ended,
// or 0 if there is none. Unclaimed tasks do not count.
func (l *liveRequest) latestOpenAttempt() int {
	number := 0
	for _, a := range l.attempts {
		if a.state != stateLost && !a.unclaimed {
			number = max(number, a.id.Attempt)
		}
	}
	return number
}

// countDone returns the number of tasks of a gang's attempt that are done.
func (a *attemptRecord) countDone() int {
	n := 0
	for _, t := range a.Tasks {
		if t.End == attemptDone {
			n++
		}
	}
	return n
}
