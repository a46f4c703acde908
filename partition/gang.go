package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// tasksOf returns the tasks of one attempt that have no confirmed end, in task order.
func (l *liveRequest) tasksOf(number int) []*attempt {
	var tasks []*attempt
	for _, a := range l.attempts {
		if a.id.Attempt == number {
			tasks = append(tasks, a)
		}
	}
	return tasks
}

// places returns where tasks were sent.
func places(tasks []*attempt) []taskPlace {
	list := make([]taskPlace, len(tasks))
	for i, a := range tasks {
		list[i] = taskPlace{Worker: a.worker.name, Incarnation: a.incarnation}
	}
	return list
}

// dropTasks forgets all tasks of an attempt.
func (o *owner) dropTasks(now time.Duration, a *attempt) {
	for _, b := range a.live.tasksOf(a.id.Attempt) {
		o.dropAttempt(now, b)
	}
}

// dropUnclaimed forgets an unclaimed task that has certainly ended.
func (o *owner) dropUnclaimed(now time.Duration, a *attempt) {
	o.dropAttempt(now, a)
	o.reconcile(now, a.live)
	o.settleLive(now, a.live)
}

// prepareTaskEnd completes the record of a gang task's end and makes the other tasks
// end too, unless it is done. While the claim is not applied no end of the attempt is
// either, so all its tasks are still listed.
func (o *owner) prepareTaskEnd(now time.Duration, a *attempt, c *endCommand) {
	tasks := a.live.tasksOf(a.id.Attempt)
	if a.live.rec.attempt(a.id.Attempt) == nil {
		c.Assignments = places(tasks)
	}
	for _, b := range tasks {
		switch {
		case b == a || c.End == attemptDone:
		case c.End == attemptWithdrawn:
			o.release(now, b) // nothing was sent
		default:
			o.halt(now, b)
		}
	}
}

// inheritGang lists the tasks of a gang's claimed attempt that are open or lost. If one
// has ended without being done, the others are stopped.
func (o *owner) inheritGang(l *liveRequest, r *attemptRecord) {
	halting := r.isDoomed() || l.cancelWanted
	for i, t := range r.Tasks {
		if t.End != attemptOpen && t.End != attemptLost {
			continue
		}
		a := &attempt{
			live: l, worker: o.worker(t.Worker), incarnation: t.Incarnation,
			id:    api.TaskID{RequestKey: l.key, Attempt: r.Number, Index: i},
			state: attemptUncertain, expires: o.doubtUntil, halting: halting,
		}
		if t.End == attemptLost {
			a.state = attemptGone
		}
		o.addAttempt(a)
	}
}

// gangStatus adds the owner's knowledge of a gang's latest attempt. It is running while
// each task has started and none has ended without being done.
func (o *owner) gangStatus(l *liveRequest, s *api.RequestStatus) {
	number := l.openAttempt()
	if number == 0 {
		if s.State == api.StateQueued {
			s.Reason = o.waitsFor(o.now, l)
		}
		return
	}
	s.State = api.StateClaimed
	tasks, started := l.tasksOf(number), 0
	for _, a := range tasks {
		if a.state == attemptRunning {
			started++
		}
	}
	if r := l.rec.attempt(number); r == nil {
		s.Attempt++
		s.Worker = tasks[0].worker.name
	} else {
		started += r.doneTasks()
	}
	if started == l.rec.Spec.Tasks {
		s.State = api.StateRunning
	}
}

// openAttempt returns the number of the latest attempt with a task that has not ended,
// or 0. Unclaimed tasks do not count.
func (l *liveRequest) openAttempt() int {
	number := 0
	for _, a := range l.attempts {
		if a.state != attemptGone && !a.unclaimed {
			number = max(number, a.id.Attempt)
		}
	}
	return number
}

// doneTasks returns how many tasks of a gang's attempt are done.
func (a *attemptRecord) doneTasks() int {
	n := 0
	for _, t := range a.Tasks {
		if t.End == attemptDone {
			n++
		}
	}
	return n
}
