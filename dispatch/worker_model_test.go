package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// fakeWorker simulates one incarnation of a worker as the platform specifies it.
type fakeWorker struct {
	cluster              *cluster
	info                 job.Worker
	isUp, isPartitioned  bool
	clockRate            float64 // rate of its clock relative to the simulated time
	speed                float64 // a run takes its work divided by it
	startedAt            time.Duration
	fencingToken         uint64
	leaseUntilMillis     int64 // end of the lease on its clock
	runs                 map[claimKey]*fakeRun
	lastClosedRun        map[job.TaskRef]uint32 // highest run of each task that was stopped or has ended
	ended                []EndedRun
	lastEnd              uint64 // number of the newest end
	announcementSequence uint64
	answerRenewal        func() // answers the waiting RenewLease
	failsAllRuns         bool
	leaseExpiries        int // number of times that the lease has expired
	isLeaseExpired       bool
	endMarks             map[uint64]endMark // by number of the end
}

// endMark is when a run ended and how often the lease had expired by then. A done end that is
// acknowledged only after the lease expired again is not final: the task may have been placed
// again.
type endMark struct {
	at            time.Duration
	leaseExpiries int
}

// fakeRun is a run of a task on a worker.
type fakeRun struct {
	key    claimKey
	step   *job.Step
	worker *fakeWorker
	isOver bool
	// work is its duration on a worker of speed 1, set when its work begins at beganAt.
	work, beganAt time.Duration
	// doneBefore is the part of the work that earlier runs have done, less what it takes to resume.
	doneBefore time.Duration
}

// gangKey identifies one run of a gang.
type gangKey struct {
	step job.StepRef
	run  uint32
}

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

const (
	// restoreTime is how long a run takes to resume from a checkpoint on a worker of speed 1.
	restoreTime = 600 * time.Millisecond
)

// addWorker starts an incarnation at an address and ends the one that was there.
func (c *cluster) addWorker(name, address string, capacity job.Resources) *fakeWorker {
	startedMillis := 1 + c.now.Milliseconds()
	if old := c.workers[address]; old != nil {
		old.isUp = false
		startedMillis = max(startedMillis, old.info.StartedMillis+1)
	}
	w := &fakeWorker{cluster: c, isUp: true, startedAt: c.now, speed: 1, clockRate: 0.98 + 0.02*rand.New(rand.NewPCG(uint64(c.now), 7)).Float64(),
		runs: map[claimKey]*fakeRun{}, lastClosedRun: map[job.TaskRef]uint32{}, endMarks: map[uint64]endMark{},
		info: job.Worker{Name: name, StartedMillis: startedMillis, Address: address, Pool: "desk", Rack: "r1", Capacity: capacity}}
	c.workers[address] = w
	c.schedule(time.Millisecond, w.announce)
	c.schedule(100*time.Millisecond, w.watchLease)
	return w
}

func (w *fakeWorker) clockMillis() int64 {
	return 1 + int64(float64((w.cluster.now-w.startedAt).Milliseconds())*w.clockRate)
}

// announce announces the worker every 1500 ms.
func (w *fakeWorker) announce() {
	if !w.isUp {
		return
	}
	w.cluster.schedule(1500*time.Millisecond, w.announce)
	w.announcementSequence++
	if !w.isPartitioned && !w.cluster.noLeader {
		w.cluster.sched.Announced(w.cluster.now, Announcement{Worker: w.info, ClockMillis: w.clockMillis(), Sequence: w.announcementSequence})
		w.cluster.runScheduler()
	}
}

// announceForeign announces, three times, an incarnation that does not exist and that has the name
// or the address of a worker, or both. born is relative to the start of the worker.
func (c *cluster) announceForeign(w *fakeWorker, name string, born int64, isElsewhere bool) {
	info := w.info
	info.StartedMillis += born
	if name != "" {
		info.Name = name
	}
	if isElsewhere {
		info.Address = "10.9.9.9:80"
	}
	if info.SameIncarnation(&w.info) {
		return
	}
	for i := range 3 {
		c.schedule(time.Duration(i)*700*time.Millisecond, func() {
			if !c.noLeader {
				c.sched.Announced(c.now, Announcement{Worker: info, ClockMillis: 1, Sequence: uint64(i)})
				c.runScheduler()
			}
		})
	}
}

// leave makes the worker drain, and sign off after a second. It ends when its sign-off is
// confirmed, or 3 s later without a confirmation. Each sign-off is repeated after a second.
func (w *fakeWorker) leave() {
	if !w.isUp || w.info.Leaving {
		return
	}
	w.info.Leaving = true
	w.cluster.schedule(time.Second, w.signOff)
	w.cluster.schedule(4*time.Second, w.end)
}

func (w *fakeWorker) signOff() {
	if !w.isUp {
		return
	}
	w.cluster.schedule(time.Second, w.signOff)
	if w.isPartitioned || w.cluster.noLeader {
		return
	}
	if !w.cluster.sched.SignedOff(w.cluster.now, w.info.Name) {
		w.cluster.schedule(50*time.Millisecond, func() { w.cluster.confirmSignOff(w.info.Name) })
	}
	w.cluster.runScheduler()
}

// confirmSignOff delivers the confirmation of a worker's sign-off. Every second one is lost.
func (c *cluster) confirmSignOff(name string) {
	for _, w := range c.workers {
		if w.info.Name == name && w.info.Leaving && !w.isPartitioned && c.rng.IntN(2) == 0 {
			c.schedule(c.oneWayDelay(), w.end)
		}
	}
}

// end ends the worker with all its runs. Another one starts at its address later.
func (w *fakeWorker) end() {
	if !w.isUp {
		return
	}
	w.isUp = false
	w.cluster.schedule(2*time.Second, func() {
		if w.cluster.workers[w.info.Address] == w {
			w.cluster.addWorker(w.info.Name+"y", w.info.Address, w.info.Capacity)
		}
	})
}

// watchLease checks the lease every 20 ms and ends all runs while it has expired.
func (w *fakeWorker) watchLease() {
	if !w.isUp {
		return
	}
	w.cluster.schedule(20*time.Millisecond, w.watchLease)
	if over := w.clockMillis() > w.leaseUntilMillis; over != w.isLeaseExpired {
		w.isLeaseExpired = over
		if over {
			w.leaseExpiries++
		}
	}
	if w.isLeaseExpired {
		for key := range w.runs {
			w.endRun(key, job.EndLeaseExpired)
		}
	}
}

// endRun ends a run and answers a waiting RenewLease. It does nothing if the run is not running.
func (w *fakeWorker) endRun(key claimKey, kind job.EndKind) {
	r := w.runs[key]
	if r == nil || !w.isUp {
		return
	}
	r.isOver = true
	if w.cluster.onEnd != nil {
		w.cluster.onEnd(r, kind)
	}
	delete(w.runs, key)
	if r.step.Gang && kind != job.EndDone {
		w.cluster.stopGang(r)
	}
	w.lastClosedRun[key.task] = max(w.lastClosedRun[key.task], key.run)
	w.lastEnd++
	w.endMarks[w.lastEnd] = endMark{w.cluster.now, w.leaseExpiries}
	w.ended = append(w.ended, EndedRun{Number: w.lastEnd, Task: key.task, Run: key.run, Kind: kind, Checkpoint: r.checkpoint(kind)})
	if w.answerRenewal != nil {
		answer := w.answerRenewal
		w.answerRenewal = nil
		w.cluster.schedule(0, answer)
	}
}

// extendLease extends the lease to the end that an order requests; it never shortens the lease.
func (w *fakeWorker) extendLease(until int64) {
	w.leaseUntilMillis = max(w.leaseUntilMillis, min(until, w.clockMillis()+10_000))
}

func (w *fakeWorker) renewLease(o RenewLease, respond func(Reply, Report)) {
	if o.Worker.Name != w.info.Name {
		respond(OtherIncarnation, Report{})
		return
	}
	if o.FencingToken < w.fencingToken {
		respond(RefusedStaleLeader, Report{})
		return
	}
	w.fencingToken = o.FencingToken
	w.extendLease(o.LeaseUntilMillis)
	for len(w.ended) > 0 && w.ended[0].Number <= o.AckedEnd {
		w.checkAckedEnd(w.ended[0])
		w.ended = w.ended[1:]
	}
	answered := false
	answer := func() {
		if answered || !w.isUp {
			return
		}
		answered = true
		report := Report{StartedMillis: w.info.StartedMillis, ClockMillis: w.clockMillis(), Ended: append([]EndedRun(nil), w.ended...)}
		for key := range w.runs {
			report.Running = append(report.Running, RunningTask{Task: key.task, Run: key.run})
		}
		respond(Accepted, report)
	}
	if len(w.ended) > 0 || o.MaxWait == 0 {
		answer()
		return
	}
	w.answerRenewal = answer
	w.cluster.schedule(o.MaxWait, answer)
}

// checkAckedEnd checks that an end is acknowledged only when it is in the log.
func (w *fakeWorker) checkAckedEnd(e EndedRun) {
	if mark := w.endMarks[e.Number]; e.Kind == job.EndDone && mark.leaseExpiries == w.leaseExpiries {
		w.cluster.ackedDone[e.Task] = true
		if w.cluster.lastStart[e.Task] > mark.at {
			w.cluster.reportViolation("%v: started at %v after its done end at %v, which was acknowledged", e.Task, w.cluster.lastStart[e.Task], mark.at)
		}
	}
	j := w.cluster.state.Job(e.Task.Job)
	if e.Kind != job.EndDone || j == nil || j.Outcome != job.Open {
		return
	}
	if _, _, t := j.Task(e.Task); t != nil && t.Phase != job.Done {
		w.cluster.reportViolation("%v run %d: its done end was acknowledged but is not in the log", e.Task, e.Run)
	}
}

func (w *fakeWorker) start(o Start) Reply {
	key := claimKey{o.Task, o.Run}
	if o.Worker.Name != w.info.Name {
		return OtherIncarnation
	}
	switch {
	case o.FencingToken < w.fencingToken:
		return RefusedStaleLeader
	case w.runs[key] != nil:
		w.fencingToken = o.FencingToken
		w.extendLease(o.LeaseUntilMillis)
		return Accepted
	case o.Run <= w.lastClosedRun[o.Task]:
		w.fencingToken = o.FencingToken
		w.extendLease(o.LeaseUntilMillis)
		return RefusedRunEnded
	case o.LeaseUntilMillis < w.clockMillis():
		w.fencingToken = o.FencingToken
		return RefusedLeaseExpired
	}
	w.fencingToken = o.FencingToken
	w.extendLease(o.LeaseUntilMillis)
	w.startRun(o, key)
	return Accepted
}

// startRun starts a run and checks the rules that a start can break.
func (w *fakeWorker) startRun(o Start, key claimKey) {
	j := w.cluster.state.Job(o.Task.Job)
	if j == nil {
		w.cluster.reportViolation("%v: started, but its job was not submitted", o.Task)
		return
	}
	step := &j.Spec.Steps[o.Task.Step]
	w.cluster.checkStart(w, key, j, step)
	r := &fakeRun{key: key, step: step, worker: w}
	w.runs[key] = r
	if step.Gang {
		w.cluster.joinGang(r)
		return
	}
	if step.LongRunning {
		return
	}
	r.work, r.beganAt = w.cluster.workOf(key.task, step), w.cluster.now
	if done, err := time.ParseDuration(o.Checkpoint); err == nil {
		r.doneBefore = done - restoreTime
	}
	length := r.duration()
	kind := job.EndDone
	if w.failsAllRuns || w.cluster.rng.Float64() < w.cluster.faults.failedRun {
		kind, length = job.EndFailed, length/2
	}
	w.cluster.schedule(length, func() {
		if !r.isOver {
			w.endRun(key, kind)
		}
	})
}

// workOf returns the time that a run of a task takes on a worker of speed 1.
func (c *cluster) workOf(ref job.TaskRef, step *job.Step) time.Duration {
	if c.work != nil {
		return c.work(ref)
	}
	return time.Duration(float64(step.EstimateMillis)*(0.5+c.rng.Float64())*c.slowdownOf(ref.Job)) * time.Millisecond
}

// duration returns how long the run takes on its worker. Each run of a task may draw other work than the
// one whose checkpoint it resumes from.
func (r *fakeRun) duration() time.Duration {
	left := r.work - r.doneBefore
	if r.doneBefore != 0 {
		left = max(left, restoreTime)
	}
	return time.Duration(float64(left) / r.worker.speed)
}

// checkpoint returns the checkpoint of a run that ends: the work done so far, empty if it has none.
func (r *fakeRun) checkpoint(kind job.EndKind) string {
	if kind == job.EndDone || r.step.Gang || !r.step.Checkpointing {
		return ""
	}
	done := r.doneBefore + time.Duration(float64(r.worker.cluster.now-r.beganAt)*r.worker.speed)
	if done <= 0 {
		return ""
	}
	return done.String()
}

// joinGang adds a member to a run of a gang. The members wait for each other, and the last one
// starts the work of all, which takes as long as that of the slowest member.
func (c *cluster) joinGang(r *fakeRun) {
	key := gangKey{r.key.task.StepRef, r.key.run}
	c.gangs[key] = append(c.gangs[key], r)
	members := c.runningMembers(key)
	if len(members) < r.step.Count {
		c.schedule(gangTimeout, func() {
			if len(c.runningMembers(key)) < r.step.Count && !r.isOver {
				r.worker.endRun(r.key, job.EndStopped)
			}
		})
		return
	}
	common := c.workOf(r.key.task, r.step)
	var length time.Duration
	for _, m := range members {
		if m.work = common; c.work != nil {
			m.work = c.work(m.key.task)
		}
		m.beganAt = c.now
		length = max(length, m.duration())
	}
	kind := job.EndDone
	if c.rng.Float64() < c.faults.failedRun {
		kind, length = job.EndFailed, length/2
	}
	c.schedule(length, func() {
		members := c.runningMembers(key)
		if len(members) < r.step.Count {
			return
		}
		if kind == job.EndFailed {
			members = members[:1]
		}
		for _, m := range members {
			m.worker.endRun(m.key, kind)
		}
	})
}

// runningMembers returns the members of a gang's run that are running.
func (c *cluster) runningMembers(key gangKey) []*fakeRun {
	var out []*fakeRun
	for _, m := range c.gangs[key] {
		if !m.isOver && m.worker.isUp {
			out = append(out, m)
		}
	}
	return out
}

// stopGang ends the remaining members of a gang's run after one has ended.
func (c *cluster) stopGang(r *fakeRun) {
	for _, m := range c.runningMembers(gangKey{r.key.task.StepRef, r.key.run}) {
		c.schedule(50*time.Millisecond, func() { m.worker.endRun(m.key, job.EndStopped) })
	}
}

func (w *fakeWorker) stop(o Stop) Reply {
	if o.Worker.Name != w.info.Name {
		return OtherIncarnation
	}
	if o.FencingToken < w.fencingToken {
		return RefusedStaleLeader
	}
	w.fencingToken = o.FencingToken
	w.lastClosedRun[o.Task] = max(w.lastClosedRun[o.Task], o.Run)
	key := claimKey{o.Task, o.Run}
	if w.runs[key] != nil {
		w.cluster.schedule(time.Duration(w.cluster.rng.IntN(400))*time.Millisecond, func() { w.endRun(key, job.EndStopped) })
	}
	return Accepted
}

// checkStart reports the rules that a start breaks.
func (c *cluster) checkStart(w *fakeWorker, key claimKey, j *job.Job, step *job.Step) {
	used := step.Allocation()
	for _, r := range w.runs {
		used = used.Plus(r.step.Allocation())
	}
	if !w.info.Capacity.Fits(used) {
		c.reportViolation("%v: %v is over the capacity of %s", key.task, used, w.info.Name)
	}
	c.checkLimit(key, j, step)
	for _, other := range c.workers {
		for k := range other.runs {
			if other.isUp && k.task == key.task {
				c.reportViolation("%v: run %d on %s starts beside run %d on %s", key.task, key.run, w.info.Name, k.run, other.info.Name)
			}
		}
	}
	if o := j.Occurrences[key.task.Occurrence]; o != nil {
		for _, a := range step.DependsOn {
			if !o.Steps[a].Finished() {
				c.reportViolation("%v: starts before step %d is done", key.task, a)
			}
		}
	}
	if c.ackedDone[key.task] {
		c.reportViolation("%v: run %d starts after the task's done end was acknowledged", key.task, key.run)
	}
	c.lastStart[key.task] = c.now
}
