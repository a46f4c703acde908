package partition

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/oleanderchute/oleanderchute/api"
)

// simClock is a clock with its own origin and rate.
type simClock struct {
	origin time.Duration
	rate   float64
}

func (c simClock) read(now time.Duration) time.Duration {
	return time.Duration(float64(now-c.origin) * c.rate)
}

// simNode is a replica and its embedder.
type simNode struct {
	p           *Partition
	twin        *Partition // gets the same input and must give the same output
	clock       simClock
	applied     int
	pausedUntil time.Duration
	lost        bool // LostOwnership is to be delivered after the pause
}

// sim is the world: replicas, a log with commits in order, workers and a bad network.
type sim struct {
	t       *rapid.T
	rng     *rand.Rand
	now     time.Duration
	timers  timerHeap
	order   uint64
	nodes   []*simNode
	owner   *simNode // nil between owners
	epoch   uint64
	term    uint64 // counts owner changes, also those in progress
	pending []*[]byte
	lastAt  time.Duration
	log     [][]byte
	stale   [][]byte
	ref     *Partition // applies at the moment of the commit
	workers []*modelWorker
	loss    float64
	dup     float64
	slow    float64
	// slowUntil is when a period of late messages before an owner change ends.
	slowUntil time.Duration
	fail      float64
	// refusals and spoiled are the shares of refused dispatches and damaged answers.
	refusals, spoiled float64

	waiter  WaiterID
	waiting map[WaiterID]api.RequestKey
	started map[api.RequestKey]int
	starts  map[api.TaskID]int  // by task; a non-idempotent task by attempt 0 too
	done    map[api.TaskID]bool // tasks that ran to their end
	body    map[api.RequestKey][]byte
	told    map[api.RequestKey]api.State
	// accepted has the keys that were ever recorded.
	accepted map[api.RequestKey]bool
	seen     map[string]int
}

func (s *sim) at(t time.Duration, fn func()) {
	s.order++
	heap.Push(&s.timers, timer{at: max(t, s.now), order: s.order, run: func(time.Duration) { fn() }})
}

func (s *sim) runUntil(t time.Duration) {
	for len(s.timers) > 0 && s.timers[0].at <= t {
		e := heap.Pop(&s.timers).(timer)
		s.now = e.at
		e.run(e.at)
	}
	s.now = t
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }
func (s *sim) upTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

// newClock returns a clock; any two differ by less than 1% in rate.
func (s *sim) newClock() simClock {
	return simClock{origin: s.now - s.upTo(time.Hour), rate: 0.9955 + 0.009*s.rng.Float64()}
}

func (s *sim) delay() time.Duration {
	if s.chance(s.slow) || s.now < s.slowUntil && s.chance(0.8) {
		return s.upTo(5 * time.Second)
	}
	return s.upTo(15 * ms)
}

// send passes a message between a worker and an owner, or loses or doubles it.
func (s *sim) send(w *modelWorker, fn func()) {
	copies := 1
	if s.chance(s.dup) {
		copies = 2
	}
	for range copies {
		if !s.chance(s.loss) {
			s.at(s.now+s.delay(), func() {
				if s.now >= w.cutUntil {
					fn()
				}
			})
		}
	}
}

// call is a call with a deadline; answers may also come late or twice.
func (s *sim) call(w *modelWorker, limit time.Duration, serve func(answer func(any)), done func(any)) {
	answered := false
	s.send(w, func() {
		w.run(func() {
			serve(func(r any) {
				s.send(w, func() {
					if !answered || s.chance(s.dup) {
						answered = true
						done(r)
					}
				})
			})
		})
	})
	s.at(s.now+limit, func() {
		if !answered {
			answered = true
			done(nil)
		}
	})
}

// deliver gives an event to a replica as soon as it runs.
func (s *sim) deliver(n *simNode, e Event) {
	if s.now < n.pausedUntil {
		s.at(n.pausedUntil, func() { s.deliver(n, e) })
		return
	}
	s.wake(n)
	s.feed(n, e)
}

// wake is the check of the leader lease that each action is preceded by.
func (s *sim) wake(n *simNode) {
	if n.lost {
		n.lost = false
		s.feed(n, LostOwnership{})
	}
}

// feed steps a replica.
func (s *sim) feed(n *simNode, e Event) {
	now := n.clock.read(s.now)
	s.act(n, n.p.Step(now, e), n.twin.Step(now, e))
}

func (s *sim) toOwner(e Event) {
	if s.owner != nil {
		s.deliver(s.owner, e)
	}
}

// catchUp applies what is committed.
func (s *sim) catchUp(n *simNode) {
	if s.now < n.pausedUntil {
		s.at(n.pausedUntil, func() { s.catchUp(n) })
		return
	}
	s.wake(n)
	for n.applied < len(s.log) {
		n.applied++
		now, data := n.clock.read(s.now), s.log[n.applied-1]
		s.act(n, n.p.Apply(now, data), n.twin.Apply(now, data))
	}
}

// act carries out actions, which the twin must give too.
func (s *sim) act(n *simNode, actions, twin []Action) {
	if !reflect.DeepEqual(actions, twin) {
		s.fatal("the same input gives other actions: %v, %v", actions, twin)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Propose:
			s.propose(n, a)
		case SendSync:
			w := s.worker(a.Worker)
			s.call(w, 1500*ms, func(answer func(any)) { w.sync(a.Request, answer) }, func(r any) {
				if r == nil {
					s.deliver(n, SyncFailed{Worker: a.Worker, Sequence: a.Sequence})
					return
				}
				s.deliver(n, SyncAnswered{Worker: a.Worker, Sequence: a.Sequence, Response: *r.(*api.SyncResponse)})
			})
		case SendDispatch:
			s.checkDispatch(a)
			w := s.worker(a.Worker)
			s.call(w, time.Second, func(answer func(any)) { answer(w.dispatch(a.Dispatch)) }, func(r any) {
				e := DispatchAnswered{Worker: a.Worker, Task: a.Dispatch.Task}
				e.Response, _ = r.(*api.DispatchResponse)
				s.deliver(n, e)
			})
		case SendRevoke:
			s.command(n, a.Worker, a.Command, true)
		case SendStop:
			s.command(n, a.Worker, a.Command, false)
		case Reply:
			s.checkReply(a)
		case OwnershipDisputed:
			s.fatal("ownership of epoch %d disputed by epoch %d", s.epoch, a.Epoch)
		}
	}
}

func (s *sim) command(n *simNode, name string, c api.TaskCommand, revoke bool) {
	w := s.worker(name)
	s.call(w, time.Second, func(answer func(any)) { answer(w.command(c, revoke)) }, func(r any) {
		e := CommandAnswered{Worker: name, Task: c.Task, Revoke: revoke}
		e.Response, _ = r.(*api.DispatchResponse)
		s.deliver(n, e)
	})
}

func (s *sim) worker(name string) *modelWorker {
	for _, w := range s.workers {
		if w.name == name {
			return w
		}
	}
	s.fatal("no worker %q", name)
	return nil
}

// propose adds to the log; entries commit in order, unless an owner change drops them.
func (s *sim) propose(n *simNode, a Propose) {
	if n != s.owner {
		return
	}
	if s.chance(s.fail) {
		s.at(s.now+s.upTo(20*ms), func() { s.deliver(n, ProposeFailed{Sequence: a.Sequence}) })
		return
	}
	term := s.term
	s.pending = append(s.pending, &a.Data)
	s.lastAt = max(s.lastAt, s.now+s.upTo(20*ms))
	if s.chance(s.slow) {
		s.lastAt += s.upTo(time.Second)
	}
	s.at(s.lastAt, func() {
		if s.term == term {
			s.commit()
		}
	})
}

func (s *sim) commit() {
	data := *s.pending[0]
	s.pending = s.pending[1:]
	s.append(data)
	if s.owner != nil && s.ref.epoch == s.epoch && len(s.stale) > 0 {
		s.append(s.stale[0]) // proposed by a former owner, delayed on the way to the log
		s.stale = s.stale[1:]
	}
	for _, n := range s.nodes {
		if n == s.owner {
			s.catchUp(n)
		} else {
			s.at(s.now+s.upTo(200*ms), func() { s.catchUp(n) })
		}
	}
}

func (s *sim) append(data []byte) {
	s.log = append(s.log, data)
	s.ref.Apply(s.now, data)
	_, commands, _ := decodeBatch(data)
	for _, c := range commands {
		if c.Accept != nil {
			s.accepted[c.Accept.Spec.Key] = true
		}
		if c.Expire != nil {
			s.seen["expired"] += len(c.Expire.Keys)
		}
	}
}

// change ends the ownership; some of the uncommitted entries survive. The former owner
// learns of it at once, or after its pause.
func (s *sim) change(to *simNode) {
	s.term++
	term := s.term
	if old := s.owner; old != nil {
		s.owner = nil
		old.lost = true
		if s.now >= old.pausedUntil {
			s.wake(old)
		}
	}
	for keep := s.rng.IntN(len(s.pending) + 1); keep > 0; keep-- {
		s.commit()
	}
	for _, data := range s.pending {
		if s.chance(0.2) {
			s.stale = append(s.stale, *data)
		}
	}
	s.pending = nil
	s.at(s.now+500*ms+s.upTo(time.Second), func() { s.lead(to, term) })
}

func (s *sim) lead(n *simNode, term uint64) {
	if s.term != term {
		return
	}
	if s.now < n.pausedUntil {
		s.at(n.pausedUntil, func() { s.lead(n, term) })
		return
	}
	s.catchUp(n)
	s.epoch++
	s.owner, s.lastAt = n, s.now
	s.feed(n, BecameOwner{Epoch: s.epoch, NowUnixMillis: int64(s.now/ms) + 1})
}

func (s *sim) fatal(format string, args ...any) {
	s.t.Fatalf("at %v: %s", s.now, fmt.Sprintf(format, args...))
}

// checkDispatch: the claim of a non-idempotent request is committed before the dispatch.
func (s *sim) checkDispatch(a SendDispatch) {
	r := s.ref.records[a.Dispatch.Task.RequestKey]
	if r == nil || r.Spec.NonIdempotent && r.attempt(a.Dispatch.Task.Attempt) == nil {
		s.fatal("dispatch of %v before its record", a.Dispatch.Task)
	}
}

// checkStart: one live execution of a task, none of two attempts of a key, one start of
// each non-idempotent task, no start of what did not run, one body for a key, and room on
// the worker.
func (s *sim) checkStart(on *modelWorker, d api.Dispatch) {
	k := d.Task.RequestKey
	for _, w := range s.workers {
		if w.conflicts(d.Task) {
			s.fatal("%v starts on %s while it runs on %s", d.Task, on.name, w.name)
		}
	}
	used := d.Resources
	for _, r := range on.running {
		used = used.Add(r.Resources)
	}
	if !used.Fits(api.Resources{MilliCPU: 2500}) || len(on.running) >= 3 {
		s.fatal("%s is given more than it holds", on.name)
	}
	r := s.ref.records[k]
	if r == nil {
		s.fatal("%v starts without a record", k)
	}
	s.started[k]++
	s.starts[d.Task]++
	s.starts[api.TaskID{RequestKey: k, Index: d.Task.Index}]++
	if r.Spec.NonIdempotent && (s.starts[api.TaskID{RequestKey: k, Index: d.Task.Index}] > 1 || s.started[k] > r.Spec.taskCount()) {
		s.fatal("non-idempotent %v starts twice", k)
	}
	if r.State == api.StateNotRun {
		s.fatal("%v starts after not_run", k)
	}
	if s.body[k] == nil {
		s.body[k] = d.Body
	}
	if !bytes.Equal(s.body[k], d.Body) {
		s.fatal("%v runs with two bodies", k)
	}
	s.seen["start"]++
}

// checkAcknowledged: an end is acknowledged only after its record is committed.
func (s *sim) checkAcknowledged(id api.TaskID) {
	r := s.ref.records[id.RequestKey]
	if r == nil || r.State.IsFinal() {
		return
	}
	a := r.attempt(id.Attempt)
	if a != nil && (a.Tasks == nil && a.End == attemptOpen || a.Tasks != nil && a.Tasks[id.Index].End == attemptOpen) {
		s.fatal("%v acknowledged before its record", id)
	}
}

// checkReply: only committed state is told, a final outcome never changes, and an answer
// is whole.
func (s *sim) checkReply(a Reply) {
	k, ok := s.waiting[a.Waiter]
	if !ok {
		s.fatal("waiter %d is answered twice", a.Waiter)
	}
	delete(s.waiting, a.Waiter)
	if a.Err != nil {
		s.seen[string(a.Err.Code)]++
		return
	}
	s.seen[string(a.Status.State)]++
	r := s.ref.records[k]
	switch {
	case r == nil && !s.accepted[k]:
		s.fatal("%v told as %s without a record", k, a.Status.State)
	case r == nil: // expired since
	case a.Status.State.IsFinal() && r.State != a.Status.State:
		s.fatal("%v told as %s, recorded as %s", k, a.Status.State, r.State)
	case s.told[k].IsFinal() && s.told[k] != a.Status.State && a.Status.State.IsOutcome():
		s.fatal("%v told as %s, before as %s", k, a.Status.State, s.told[k])
	case a.Status.State == api.StateNotRun && s.started[k] > 0:
		s.fatal("%v told as not run after a start", k)
	case a.Status.State == api.StateDone && string(a.Status.Answer) != s.wholeAnswer(k):
		s.fatal("%v told with answer %q", k, a.Status.Answer)
	case a.Status.State == api.StateDone && !s.allDone(k):
		s.fatal("%v told as done, but a task is not", k)
	}
	if !s.told[k].IsFinal() {
		s.told[k] = a.Status.State
	}
}

// checkEnd: replicas are equal, and every accepted request has an outcome.
func (s *sim) checkEnd() {
	want := s.ref.Snapshot()
	for _, n := range s.nodes {
		s.catchUp(n)
		if !bytes.Equal(n.p.Snapshot(), want) {
			s.fatal("replicas differ")
		}
	}
	for _, w := range s.workers {
		if len(w.order) > 0 {
			s.fatal("%v still run on %s", w.order, w.name)
		}
	}
	for k, r := range s.ref.records {
		switch {
		case r.State == api.StateDone && !s.allDone(k):
			s.fatal("%v is done, but a task is not", k)
		case !r.State.IsOutcome():
			s.fatal("%v is left %s: %+v, %s", k, r.State, r.Attempts, s.owner.p.Explain(s.owner.clock.read(s.now), k).WaitsFor)
		case r.State == api.StateNotRun && s.started[k] > 0:
			s.fatal("%v is not_run after a start", k)
		case r.State == api.StateUnknown && !s.unresolvable(r):
			s.fatal("%v is unknown though a report could resolve it: %+v", k, r)
		}
	}
}

// unresolvable reports whether no worker can tell what became of a request: its process
// is dead and left no trace, or a former owner may have sent it without a durable claim.
func (s *sim) unresolvable(r *record) bool {
	if r.Spec.isGang() {
		return s.unresolvableGang(r)
	}
	for _, w := range s.workers {
		for id, state := range w.known {
			if id.RequestKey == r.Spec.Key && state == api.DispatchStarted {
				return false
			}
		}
	}
	if !r.Spec.NonIdempotent && r.AcceptEpoch != s.epoch {
		return true
	}
	for _, a := range r.Attempts {
		w := s.worker(a.Worker)
		id := api.TaskID{RequestKey: r.Spec.Key, Attempt: a.Number}
		if a.End == attemptLost && a.Incarnation != w.incarnation && (!w.journal || w.known[id] != api.DispatchStarted) {
			return true
		}
	}
	return false
}

func newSim(t *rapid.T, seen map[string]int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Hour, seen: seen,
		waiting: map[WaiterID]api.RequestKey{}, started: map[api.RequestKey]int{},
		starts: map[api.TaskID]int{}, done: map[api.TaskID]bool{},
		body: map[api.RequestKey][]byte{}, told: map[api.RequestKey]api.State{}, accepted: map[api.RequestKey]bool{},
		loss: rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"),
		dup:  rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "dup"),
		slow: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "slow"),
		fail: 0.02, refusals: 0.05, spoiled: 0.1,
	}
	s.ref = New(Config{}, newFirstFit)
	for range 3 {
		s.nodes = append(s.nodes, &simNode{p: newNode(), twin: newNode(), clock: s.newClock()})
	}
	for i := range 3 {
		w := &modelWorker{s: s, name: fmt.Sprintf("w%d", i), journal: i == 0, known: map[api.TaskID]string{}}
		s.workers = append(s.workers, w)
		w.restart(0)
		s.every(time.Second, func() {
			w.run(func() {
				if s.now-w.lastSync >= time.Second {
					w.announce()
				}
			})
		})
	}
	for _, n := range s.nodes {
		s.every(50*ms, func() {
			if s.now >= n.pausedUntil {
				s.deliver(n, Tick{})
			}
		})
	}
	s.change(s.nodes[0])
	return s
}

func (s *sim) every(d time.Duration, fn func()) {
	s.at(s.now+d, func() { fn(); s.every(d, fn) })
}

// opMix lists the steps in their shares: submits, cancels, and the faults of step.
var opMix = []int{9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 7, 7, 7, 0, 1, 1, 2, 3, 4, 5, 6}

// step does one random thing.
func (s *sim) step(op int) {
	k := api.RequestKey{Caller: "c", Key: fmt.Sprintf("k%d", s.rng.IntN(10)+int(s.waiter)/3)}
	w, n := s.workers[s.rng.IntN(len(s.workers))], s.nodes[s.rng.IntN(len(s.nodes))]
	s.waiter++
	s.seen[fmt.Sprintf("op %d", op)]++
	until := n.clock.read(s.now) + s.upTo(3*time.Second)
	switch op {
	case 0:
		// Often the last messages of the former owner are slow.
		at := s.now + s.upTo(400*ms)
		if s.chance(0.5) {
			s.slowUntil = at
		}
		s.at(at, func() { s.change(n) })
	case 1:
		n.pausedUntil = s.now + s.upTo(4*time.Second)
	case 2:
		w.restart(s.upTo(3 * time.Second))
	case 3:
		w.pausedUntil = s.now + s.upTo(4*time.Second)
	case 4:
		w.cutUntil = s.now + s.upTo(5*time.Second)
	case 5:
		w.leaving = true
		s.at(s.now+3*time.Second, func() { w.restart(s.upTo(time.Second)) })
	case 6:
		if n != s.owner && !n.lost {
			n.p, n.twin = s.restored(n.p), s.restored(n.p)
		}
	case 7:
		s.waiting[s.waiter] = k
		s.toCaller(Cancel{Waiter: s.waiter, WaitUntil: until, Key: k})
	default:
		s.waiting[s.waiter] = k
		e := Submit{Waiter: s.waiter, WaitUntil: until, Route: api.Route{Name: "draft", Pool: "blue"}, NowUnixMillis: int64(s.now / ms)}
		e.Request = api.SubmitRequest{Caller: "c", Key: k.Key, Body: []byte("body"), Resources: api.Resources{MilliCPU: 1000}}
		e.Request.NonIdempotent = len(k.Key)%2 == int(k.Key[len(k.Key)-1])%2
		if n := gangTasks(k); n > 1 {
			e.Route, e.Request.Tasks = api.Route{Name: "train", Pool: "blue", Workload: api.WorkloadGang}, n
		}
		if s.chance(0.2) {
			e.Request.Body = []byte("another")
		}
		if s.chance(0.1) {
			e.Request.DeadlineMillis = 1 + s.rng.Int64N(2000)
		}
		s.toCaller(e)
	}
}

func newNode() *Partition {
	return New(Config{Name: "north", Seed: 7, OutcomeRetention: 20 * time.Second}, newFirstFit)
}

// restored returns a new replica with the snapshot of another.
func (s *sim) restored(from *Partition) *Partition {
	p := newNode()
	if err := p.Restore(from.Snapshot()); err != nil {
		s.fatal("restore: %v", err)
	}
	return p
}

// toCaller gives a caller's event to the owner, or forgets the call if there is none.
func (s *sim) toCaller(e Event) {
	if s.owner == nil {
		delete(s.waiting, s.waiter)
		return
	}
	s.deliver(s.owner, e)
}

// Guards against double execution, lost requests, false outcomes and diverging replicas
// under owner changes, pauses, restarts, and lost, late and doubled messages.
func TestLifeCycleUnderFaults(t *testing.T) {
	parts := make([]map[string]int, 4)
	t.Run("parts", func(t *testing.T) {
		for i := range parts {
			parts[i] = map[string]int{}
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				rapid.Check(t, func(t *rapid.T) { runFaults(t, parts[i]) })
			})
		}
	})
	seen := map[string]int{}
	for _, part := range parts {
		for what, n := range part {
			seen[what] += n
		}
	}
	for _, what := range []string{"start", "end done", "end failed", "end not_run", "end unknown", "expired", "key_reused", "unknown_result",
		"gang done", "gang failed", "gang not_run", "gang unknown", "wait for the gang"} {
		if seen[what] == 0 {
			t.Errorf("no run saw %q", what)
		}
	}
	t.Log(seen)
}

// runFaults does random steps under faults, then checks what is left after a calm time.
func runFaults(t *rapid.T, seen map[string]int) {
	s := newSim(t, seen)
	for _, op := range rapid.SliceOfN(rapid.SampledFrom(opMix), 60, 200).Draw(t, "ops") {
		s.runUntil(s.now + s.upTo(250*ms))
		s.step(op)
	}
	s.loss, s.dup, s.slow, s.fail, s.refusals, s.spoiled = 0, 0, 0, 0, 0, 0
	s.runUntil(s.now + 12*time.Second)
	for _, r := range s.ref.records {
		seen["end "+string(r.State)]++
		if r.Spec.isGang() {
			seen["gang "+string(r.State)]++
		}
	}
	s.runUntil(s.now + 33*time.Second)
	s.checkEnd()
}
