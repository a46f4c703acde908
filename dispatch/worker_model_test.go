package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderchute/oleanderchute/job"
)

// fakeWorker is a model of one life of a worker as the platform describes it.
type fakeWorker struct {
	c       *cluster
	life    job.Worker
	up, cut bool
	rate    float64 // of its clock
	born    time.Duration
	fence   uint64
	lease   int64 // on its clock
	runs    map[claimKey]*fakeRun
	closed  map[job.TaskRef]uint32 // highest run stopped or ended
	ended   []EndedRun
	last    uint64
	seq     uint64
	poll    func() // answers the Hold that waits
	failing bool   // fails all that it starts
	lapses  int    // how often the lease has ended
	lapsed  bool
	endedAt map[uint64]endMark
}

// endMark is when a run ended and how often the lease had lapsed by then. A done end that
// is acknowledged only after a lapse does not bind: the task may have been placed again.
type endMark struct {
	at     time.Duration
	lapses int
}

type fakeRun struct {
	key  claimKey
	step *job.Step
	on   *fakeWorker
	over bool
}

// gangKey names one run of a gang.
type gangKey struct {
	step job.StepRef
	run  uint32
}

// gangTimeout is how long a member of a gang waits for the others.
const gangTimeout = 3 * time.Second

// addWorker starts a life at an address; a life that was there is over.
func (c *cluster) addWorker(name, address string, capacity job.Resources) *fakeWorker {
	bornMillis := 1 + c.now.Milliseconds()
	if old := c.workers[address]; old != nil {
		old.up = false
		bornMillis = max(bornMillis, old.life.StartedMillis+1)
	}
	w := &fakeWorker{c: c, up: true, born: c.now, rate: 0.98 + 0.02*rand.New(rand.NewPCG(uint64(c.now), 7)).Float64(),
		runs: map[claimKey]*fakeRun{}, closed: map[job.TaskRef]uint32{}, endedAt: map[uint64]endMark{},
		life: job.Worker{Name: name, StartedMillis: bornMillis, Address: address, Pool: "desk", Rack: "r1", Capacity: capacity}}
	c.workers[address] = w
	c.after(time.Millisecond, w.announce)
	c.after(100*time.Millisecond, w.watchLease)
	return w
}

func (w *fakeWorker) clock() int64 { return 1 + int64(float64((w.c.now-w.born).Milliseconds())*w.rate) }

func (w *fakeWorker) announce() {
	if !w.up {
		return
	}
	w.c.after(1500*time.Millisecond, w.announce)
	w.seq++
	if !w.cut && !w.c.gap {
		w.c.sched.Announced(w.c.now, Announcement{Worker: w.life, ClockMillis: w.clock(), Sequence: w.seq})
		w.c.step()
	}
}

func (w *fakeWorker) watchLease() {
	if !w.up {
		return
	}
	w.c.after(20*time.Millisecond, w.watchLease)
	if over := w.clock() > w.lease; over != w.lapsed {
		w.lapsed = over
		if over {
			w.lapses++
		}
	}
	if w.lapsed {
		for key := range w.runs {
			w.end(key, job.EndLeaseExpired)
		}
	}
}

func (w *fakeWorker) end(key claimKey, kind job.EndKind) {
	r := w.runs[key]
	if r == nil || !w.up {
		return
	}
	r.over = true
	delete(w.runs, key)
	if r.step.Gang && kind != job.EndDone {
		w.c.breakGang(r)
	}
	w.closed[key.task] = max(w.closed[key.task], key.run)
	w.last++
	w.endedAt[w.last] = endMark{w.c.now, w.lapses}
	w.ended = append(w.ended, EndedRun{Number: w.last, Task: key.task, Run: key.run, Kind: kind})
	if w.poll != nil {
		poll := w.poll
		w.poll = nil
		w.c.after(0, poll)
	}
}

// extend takes the end of the lease from an order; it never shortens.
func (w *fakeWorker) extend(until int64) {
	w.lease = max(w.lease, min(until, w.clock()+10_000))
}

func (w *fakeWorker) hold(o RenewLease, respond func(Reply, Report)) {
	if o.Worker.Name != w.life.Name {
		respond(OtherIncarnation, Report{})
		return
	}
	if o.FencingToken < w.fence {
		respond(RefusedStaleLeader, Report{})
		return
	}
	w.fence = o.FencingToken
	w.extend(o.LeaseUntilMillis)
	for len(w.ended) > 0 && w.ended[0].Number <= o.AckedEnd {
		w.noted(w.ended[0])
		w.ended = w.ended[1:]
	}
	answered := false
	answer := func() {
		if answered || !w.up {
			return
		}
		answered = true
		report := Report{StartedMillis: w.life.StartedMillis, ClockMillis: w.clock(), Ended: append([]EndedRun(nil), w.ended...)}
		for key := range w.runs {
			report.Running = append(report.Running, RunningTask{Task: key.task, Run: key.run})
		}
		respond(Accepted, report)
	}
	if len(w.ended) > 0 || o.MaxWait == 0 {
		answer()
		return
	}
	w.poll = answer
	w.c.after(o.MaxWait, answer)
}

// noted checks that an end is acknowledged only when the log has it.
func (w *fakeWorker) noted(e EndedRun) {
	if mark := w.endedAt[e.Number]; e.Kind == job.EndDone && mark.lapses == w.lapses {
		w.c.doneNoted[e.Task] = true
		if w.c.lastStart[e.Task] > mark.at {
			w.c.breaks("%v: started at %v after its done end at %v, which was acknowledged", e.Task, w.c.lastStart[e.Task], mark.at)
		}
	}
	j := w.c.state.Job(e.Task.Job)
	if e.Kind != job.EndDone || j == nil || j.Outcome != job.Open {
		return
	}
	if _, _, t := j.Task(e.Task); t != nil && t.Phase != job.Done {
		w.c.breaks("%v run %d: its done end was acknowledged and is not in the log", e.Task, e.Run)
	}
}

func (w *fakeWorker) start(o Start) (Reply, int64) {
	key := claimKey{o.Task, o.Run}
	if o.Worker.Name != w.life.Name {
		return OtherIncarnation, 0
	}
	switch {
	case o.FencingToken < w.fence:
		return RefusedStaleLeader, w.clock()
	case w.runs[key] != nil:
		w.fence = o.FencingToken
		w.extend(o.LeaseUntilMillis)
		return Accepted, w.clock()
	case o.Run <= w.closed[o.Task]:
		w.fence = o.FencingToken
		w.extend(o.LeaseUntilMillis)
		return RefusedRunEnded, w.clock()
	case o.LeaseUntilMillis < w.clock():
		w.fence = o.FencingToken
		return RefusedLeaseExpired, w.clock()
	}
	w.fence = o.FencingToken
	w.extend(o.LeaseUntilMillis)
	w.begin(o, key)
	return Accepted, w.clock()
}

// begin starts a run and checks the rules that a start can break.
func (w *fakeWorker) begin(o Start, key claimKey) {
	j := w.c.state.Job(o.Task.Job)
	if j == nil {
		w.c.breaks("%v: started, and nobody submitted its job", o.Task)
		return
	}
	step := &j.Spec.Steps[o.Task.Step]
	w.c.checkStart(w, key, j, step)
	r := &fakeRun{key: key, step: step, on: w}
	w.runs[key] = r
	if step.Gang {
		w.c.joinGang(r)
		return
	}
	length := time.Duration(float64(step.EstimateMillis)*(0.5+w.c.rng.Float64())) * time.Millisecond
	kind := job.EndDone
	if w.failing || w.c.rng.Float64() < w.c.faults.failed {
		kind, length = job.EndFailed, length/2
	}
	w.c.after(length, func() {
		if !r.over {
			w.end(key, kind)
		}
	})
}

// joinGang lets a member wait for the others; the last one starts the work of all.
func (c *cluster) joinGang(r *fakeRun) {
	key := gangKey{r.key.task.StepRef, r.key.run}
	c.gangs[key] = append(c.gangs[key], r)
	members := c.present(key)
	if len(members) < r.step.Count {
		c.after(gangTimeout, func() {
			if len(c.present(key)) < r.step.Count && !r.over {
				r.on.end(r.key, job.EndStopped)
			}
		})
		return
	}
	length := time.Duration(float64(r.step.EstimateMillis)*(0.5+c.rng.Float64())) * time.Millisecond
	kind := job.EndDone
	if c.rng.Float64() < c.faults.failed {
		kind, length = job.EndFailed, length/2
	}
	c.after(length, func() {
		members := c.present(key)
		if len(members) < r.step.Count {
			return
		}
		if kind == job.EndFailed {
			members = members[:1]
		}
		for _, m := range members {
			m.on.end(m.key, kind)
		}
	})
}

// present returns the members of a gang's run that are on workers.
func (c *cluster) present(key gangKey) []*fakeRun {
	var out []*fakeRun
	for _, m := range c.gangs[key] {
		if !m.over && m.on.up {
			out = append(out, m)
		}
	}
	return out
}

// breakGang ends the members of a gang's run that are left after one has ended.
func (c *cluster) breakGang(r *fakeRun) {
	for _, m := range c.present(gangKey{r.key.task.StepRef, r.key.run}) {
		c.after(50*time.Millisecond, func() { m.on.end(m.key, job.EndStopped) })
	}
}

func (w *fakeWorker) stop(o Stop) (Reply, int64) {
	if o.Worker.Name != w.life.Name {
		return OtherIncarnation, 0
	}
	if o.FencingToken < w.fence {
		return RefusedStaleLeader, w.clock()
	}
	w.fence = o.FencingToken
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	key := claimKey{o.Task, o.Run}
	if w.runs[key] != nil {
		w.c.after(time.Duration(w.c.rng.IntN(400))*time.Millisecond, func() { w.end(key, job.EndStopped) })
	}
	return Accepted, w.clock()
}

// checkStart notes the promises that a start breaks.
func (c *cluster) checkStart(w *fakeWorker, key claimKey, j *job.Job, step *job.Step) {
	used := step.Allocation()
	for _, r := range w.runs {
		used = used.Plus(r.step.Allocation())
	}
	if !w.life.Capacity.Fits(used) {
		c.breaks("%v: %v is over the capacity of %s", key.task, used, w.life.Name)
	}
	for _, other := range c.workers {
		for k := range other.runs {
			if other.up && k.task == key.task {
				c.breaks("%v: run %d on %s starts beside run %d on %s", key.task, key.run, w.life.Name, k.run, other.life.Name)
			}
		}
	}
	if o := j.Occurrences[key.task.Occurrence]; o != nil {
		for _, a := range step.DependsOn {
			if !o.Steps[a].Finished() {
				c.breaks("%v: starts before step %d is done", key.task, a)
			}
		}
	}
	if c.doneNoted[key.task] {
		c.breaks("%v: run %d starts after the task's done end was acknowledged", key.task, key.run)
	}
	c.lastStart[key.task] = c.now
}
