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

// simNode is a replica with its application.
type simNode struct {
	p                *Partition
	duplicate        *Partition // gets the same input and must return the same actions
	clock            simClock
	appliedEntries   int
	pausedUntil      time.Duration
	hasLostOwnership bool // LostOwnership must be delivered after the pause
}

// simulation simulates replicas, a log that commits in order, workers and an unreliable
// network.
type simulation struct {
	t             *rapid.T
	rng           *rand.Rand
	now           time.Duration
	timers        timerHeap
	timerSequence uint64
	nodes         []*simNode
	owner         *simNode // nil while there is no owner
	epoch         uint64
	term          uint64 // counts owner changes, including those in progress
	termStartedAt time.Duration
	pending       []*[]byte
	lastCommitAt  time.Duration
	log           [][]byte
	staleBatches  [][]byte
	reference     *Partition // applies each batch at the time of its commit
	workers       []*modelWorker
	loss          float64
	duplication   float64
	slowness      float64
	// slowUntil is the end of a period of delayed messages before an owner change.
	slowUntil       time.Duration
	proposeFailures float64
	// refusals and corruptAnswers are the shares of refused dispatches and corrupt answers.
	refusals, corruptAnswers float64

	waiter     WaiterID
	waiting    map[WaiterID]api.RequestKey
	started    map[api.RequestKey]int // starts of all tasks by request
	taskStarts map[api.TaskID]int     // starts by task; starts in any attempt are also counted under attempt 0
	done       map[api.TaskID]bool    // tasks that ran to completion
	addressed  map[api.TaskID]string  // the incarnation to which a task was dispatched
	// issuedTokens holds the tokens in the reports of each incarnation.
	issuedTokens map[string]map[int64]bool
	bodies       map[api.RequestKey][]byte
	reported     map[api.RequestKey]api.State
	// accepted holds the keys of all requests that were ever recorded.
	accepted map[api.RequestKey]bool
	counts   map[string]int
}

func (s *simulation) schedule(t time.Duration, fn func()) {
	s.timerSequence++
	heap.Push(&s.timers, timer{at: max(t, s.now), sequence: s.timerSequence, run: func(time.Duration) { fn() }})
}

func (s *simulation) runUntil(t time.Duration) {
	for len(s.timers) > 0 && s.timers[0].at <= t {
		e := heap.Pop(&s.timers).(timer)
		s.now = e.at
		e.run(e.at)
	}
	s.now = t
}

func (s *simulation) chance(p float64) bool { return s.rng.Float64() < p }
func (s *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d) + 1))
}

// newClock returns a clock. The rates of any two clocks differ by less than 1%.
func (s *simulation) newClock() simClock {
	return simClock{origin: s.now - s.randomDuration(time.Hour), rate: 0.9955 + 0.009*s.rng.Float64()}
}

func (s *simulation) delay() time.Duration {
	if s.chance(s.slowness) || s.now < s.slowUntil && s.chance(0.8) {
		return s.randomDuration(5 * time.Second)
	}
	return s.randomDuration(15 * ms)
}

// send delivers a message between a worker and an owner, and may lose or duplicate it.
func (s *simulation) send(w *modelWorker, fn func()) {
	copies := 1
	if s.chance(s.duplication) {
		copies = 2
	}
	for range copies {
		if !s.chance(s.loss) {
			s.schedule(s.now+s.delay(), func() {
				if s.now >= w.partitionedUntil {
					fn()
				}
			})
		}
	}
}

// call makes a call with a deadline. Answers may also arrive late or twice.
func (s *simulation) call(w *modelWorker, limit time.Duration, serve func(answer func(any)), done func(any)) {
	answered := false
	s.send(w, func() {
		w.run(func() {
			serve(func(r any) {
				s.send(w, func() {
					if !answered || s.chance(s.duplication) {
						answered = true
						done(r)
					}
				})
			})
		})
	})
	s.schedule(s.now+limit, func() {
		if !answered {
			answered = true
			done(nil)
		}
	})
}

// deliver passes an event to a replica as soon as the replica is not paused.
func (s *simulation) deliver(n *simNode, e Event) {
	if s.now < n.pausedUntil {
		s.schedule(n.pausedUntil, func() { s.deliver(n, e) })
		return
	}
	s.checkLeaderLease(n)
	s.step(n, e)
}

// checkLeaderLease simulates the check of the leader lease that precedes each action: it
// delivers a pending LostOwnership.
func (s *simulation) checkLeaderLease(n *simNode) {
	if n.hasLostOwnership {
		n.hasLostOwnership = false
		s.step(n, LostOwnership{})
	}
}

// step passes an event to a replica and performs its actions.
func (s *simulation) step(n *simNode, e Event) {
	now := n.clock.read(s.now)
	s.perform(n, n.p.Step(now, e), n.duplicate.Step(now, e))
}

func (s *simulation) deliverToOwner(e Event) {
	if s.owner != nil {
		s.deliver(s.owner, e)
	}
}

// catchUp applies the committed batches to a replica.
func (s *simulation) catchUp(n *simNode) {
	if s.now < n.pausedUntil {
		s.schedule(n.pausedUntil, func() { s.catchUp(n) })
		return
	}
	s.checkLeaderLease(n)
	for n.appliedEntries < len(s.log) {
		n.appliedEntries++
		now, data := n.clock.read(s.now), s.log[n.appliedEntries-1]
		s.perform(n, n.p.Apply(now, data), n.duplicate.Apply(now, data))
	}
}

// perform carries out the actions of a replica and checks that its duplicate returned the same
// ones.
func (s *simulation) perform(n *simNode, actions, duplicate []Action) {
	if !reflect.DeepEqual(actions, duplicate) {
		s.fatal("the same input returns different actions: %v and %v", actions, duplicate)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case Propose:
			s.propose(n, a)
		case SendSync:
			s.checkToken(a.Request.EchoIncarnation, a.Request.EchoToken)
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

func (s *simulation) command(n *simNode, name string, c api.TaskCommand, revoke bool) {
	w := s.worker(name)
	s.call(w, time.Second, func(answer func(any)) { answer(w.command(c, revoke)) }, func(r any) {
		e := CommandAnswered{Worker: name, Task: c.Task, Revoke: revoke}
		e.Response, _ = r.(*api.DispatchResponse)
		s.deliver(n, e)
	})
}

func (s *simulation) worker(name string) *modelWorker {
	for _, w := range s.workers {
		if w.name == name {
			return w
		}
	}
	s.fatal("no worker %q", name)
	return nil
}

// propose adds a batch to the log. Batches commit in order, unless an owner change drops them.
func (s *simulation) propose(n *simNode, a Propose) {
	if n != s.owner {
		return
	}
	if s.chance(s.proposeFailures) {
		s.schedule(s.now+s.randomDuration(20*ms), func() { s.deliver(n, ProposeFailed{Sequence: a.Sequence}) })
		return
	}
	term := s.term
	s.pending = append(s.pending, &a.Data)
	s.lastCommitAt = max(s.lastCommitAt, s.now+s.randomDuration(20*ms))
	if s.chance(s.slowness) {
		s.lastCommitAt += s.randomDuration(time.Second)
	}
	s.schedule(s.lastCommitAt, func() {
		if s.term == term {
			s.commit()
		}
	})
}

func (s *simulation) commit() {
	data := *s.pending[0]
	s.pending = s.pending[1:]
	s.append(data)
	if s.owner != nil && s.reference.epoch == s.epoch && len(s.staleBatches) > 0 {
		s.append(s.staleBatches[0]) // proposed by an earlier owner and delayed before it reached the log
		s.staleBatches = s.staleBatches[1:]
	}
	for _, n := range s.nodes {
		if n == s.owner {
			s.catchUp(n)
		} else {
			s.schedule(s.now+s.randomDuration(200*ms), func() { s.catchUp(n) })
		}
	}
}

func (s *simulation) append(data []byte) {
	s.log = append(s.log, data)
	s.reference.Apply(s.now, data)
	_, commands, _ := decodeBatch(data)
	for _, c := range commands {
		if c.Accept != nil {
			s.accepted[c.Accept.Spec.Key] = true
		}
		if c.Expire != nil {
			s.counts["expired"] += len(c.Expire.Keys)
		}
	}
}

// changeOwner ends the ownership and starts that of another replica later. Some of the
// uncommitted entries survive. The previous owner learns of the change immediately, or after its
// pause.
func (s *simulation) changeOwner(to *simNode) {
	s.term++
	s.termStartedAt = s.now
	term := s.term
	if old := s.owner; old != nil {
		s.owner = nil
		old.hasLostOwnership = true
		if s.now >= old.pausedUntil {
			s.checkLeaderLease(old)
		}
	}
	for keep := s.rng.IntN(len(s.pending) + 1); keep > 0; keep-- {
		s.commit()
	}
	for _, data := range s.pending {
		if s.chance(0.2) {
			s.staleBatches = append(s.staleBatches, *data)
		}
	}
	s.pending = nil
	s.schedule(s.now+500*ms+s.randomDuration(time.Second), func() { s.startOwnership(to, term) })
}

func (s *simulation) startOwnership(n *simNode, term uint64) {
	if s.term != term {
		return
	}
	if s.now < n.pausedUntil {
		s.schedule(n.pausedUntil, func() { s.startOwnership(n, term) })
		return
	}
	s.catchUp(n)
	s.epoch++
	s.owner, s.lastCommitAt = n, s.now
	s.step(n, BecameOwner{Epoch: s.epoch, NowUnixMillis: int64(s.now/ms) + 1})
}

func (s *simulation) fatal(format string, args ...any) {
	s.t.Fatalf("at %v: %s", s.now, fmt.Sprintf(format, args...))
}

// checkDispatch checks that a dispatched request is recorded, that the claim of a
// non-idempotent request is committed before the dispatch, and that a task is dispatched to one
// incarnation only.
func (s *simulation) checkDispatch(a SendDispatch) {
	id := a.Dispatch.Task
	r := s.reference.records[id.RequestKey]
	if r == nil || r.Spec.NonIdempotent && r.attempt(id.Attempt) == nil {
		s.fatal("dispatch of %v before its record", id)
	}
	if before := s.addressed[id]; before != "" {
		s.fatal("dispatch of %v to %s after one to %s", id, a.Dispatch.Incarnation, before)
	}
	s.addressed[id] = a.Dispatch.Incarnation
	s.checkToken(a.Dispatch.Incarnation, a.Dispatch.Token)
}

// checkToken checks that a token on which a lease is based was issued by the incarnation that
// the order names.
func (s *simulation) checkToken(incarnation string, token int64) {
	if token != 0 && !s.issuedTokens[incarnation][token] {
		s.fatal("%s has not issued token %d", incarnation, token)
	}
}

// countOrder counts an order that reaches another incarnation than the addressed one, which is
// empty if the owner knew none.
func (s *simulation) countOrder(kind string, w *modelWorker, addressed string) {
	if addressed != "" && addressed != w.incarnation {
		s.counts[kind+" of another incarnation"]++
	}
}

// checkStart checks that a task starts only if neither the task itself nor another attempt of
// its request is running, that each non-idempotent task starts only once, that no request
// starts after its state is not_run, that all tasks of a key have one body, and that the
// worker has enough free capacity.
func (s *simulation) checkStart(on *modelWorker, d api.DispatchRequest) {
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
		s.fatal("%s exceeds its capacity", on.name)
	}
	r := s.reference.records[k]
	if r == nil {
		s.fatal("%v starts without a record", k)
	}
	s.started[k]++
	s.taskStarts[d.Task]++
	s.taskStarts[api.TaskID{RequestKey: k, Index: d.Task.Index}]++
	if r.Spec.NonIdempotent && (s.taskStarts[api.TaskID{RequestKey: k, Index: d.Task.Index}] > 1 || s.started[k] > r.Spec.taskCount()) {
		s.fatal("non-idempotent %v starts twice", k)
	}
	if r.State == api.StateNotRun {
		s.fatal("%v starts after not_run", k)
	}
	if s.bodies[k] == nil {
		s.bodies[k] = d.Body
	}
	if !bytes.Equal(s.bodies[k], d.Body) {
		s.fatal("%v runs with two bodies", k)
	}
	s.counts["start"]++
}

// checkCommand checks that a revoke or a stop names the incarnation to which its task was
// dispatched. A task that was claimed by an earlier owner may never have been dispatched.
func (s *simulation) checkCommand(w *modelWorker, c api.TaskCommand) {
	if id := s.addressed[c.Task]; id != "" && c.Incarnation != id || c.Incarnation == "" {
		s.fatal("command about %v to %s names %q, dispatched to %q", c.Task, w.name, c.Incarnation, id)
	}
}

// checkAcknowledged checks that an end is acknowledged only after its record is committed, and
// only by a sync that names the incarnation to which the task was dispatched, if that is the
// receiver.
func (s *simulation) checkAcknowledged(w *modelWorker, q api.SyncRequest, id api.TaskID) {
	if s.addressed[id] == w.incarnation && q.EchoIncarnation != w.incarnation {
		s.fatal("%v of %s acknowledged by a sync for %s", id, w.incarnation, q.EchoIncarnation)
	}
	r := s.reference.records[id.RequestKey]
	if r == nil || r.State.IsFinal() {
		return
	}
	a := r.attempt(id.Attempt)
	if a != nil && (a.Tasks == nil && a.End == attemptOpen || a.Tasks != nil && a.Tasks[id.Index].End == attemptOpen) {
		s.fatal("%v acknowledged before its record", id)
	}
}

// checkReply checks that replies contain only committed state, that a final outcome never
// changes, and that answers are complete.
func (s *simulation) checkReply(a Reply) {
	k, ok := s.waiting[a.Waiter]
	if !ok {
		s.fatal("waiter %d is answered twice", a.Waiter)
	}
	delete(s.waiting, a.Waiter)
	if a.Err != nil {
		s.counts[string(a.Err.Code)]++
		return
	}
	s.counts[string(a.Status.State)]++
	r := s.reference.records[k]
	switch {
	case r == nil && !s.accepted[k]:
		s.fatal("%v reported as %s without a record", k, a.Status.State)
	case r == nil: // expired in the meantime
	case a.Status.State.IsFinal() && r.State != a.Status.State:
		s.fatal("%v reported as %s, recorded as %s", k, a.Status.State, r.State)
	case s.reported[k].IsFinal() && s.reported[k] != a.Status.State && a.Status.State.IsOutcome():
		s.fatal("%v reported as %s, previously as %s", k, a.Status.State, s.reported[k])
	case a.Status.State == api.StateNotRun && s.started[k] > 0:
		s.fatal("%v reported as not_run after a start", k)
	case a.Status.State == api.StateDone && string(a.Status.Answer) != s.expectedAnswer(k):
		s.fatal("%v reported with answer %q", k, a.Status.Answer)
	case a.Status.State == api.StateDone && !s.allDone(k):
		s.fatal("%v reported as done, but a task is not", k)
	}
	if !s.reported[k].IsFinal() {
		s.reported[k] = a.Status.State
	}
}

// checkEnd checks that all replicas are equal, that no task is running, and that every accepted
// request has a correct outcome.
func (s *simulation) checkEnd() {
	want := s.reference.Snapshot()
	for _, n := range s.nodes {
		s.catchUp(n)
		if !bytes.Equal(n.p.Snapshot(), want) {
			s.fatal("replicas differ")
		}
	}
	for _, w := range s.workers {
		if len(w.order) > 0 {
			s.fatal("%v are still running on %s", w.order, w.name)
		}
	}
	for k, r := range s.reference.records {
		switch {
		case r.State == api.StateDone && !s.allDone(k):
			s.fatal("%v is done, but a task is not", k)
		case !r.State.IsOutcome():
			s.fatal("%v is still %s: %+v, waits for %s", k, r.State, r.Attempts, s.owner.p.Explain(s.owner.clock.read(s.now), k).WaitsFor)
		case r.State == api.StateNotRun && s.started[k] > 0:
			s.fatal("%v is not_run after a start", k)
		case r.State == api.StateUnknown && !s.unresolvable(r):
			s.fatal("%v is unknown though a report could resolve it: %+v", k, r)
		}
	}
}

// unresolvable reports whether no worker can tell how a request ended: the process that ran it
// has ended without a journal entry, or an earlier owner may have dispatched it without a durable
// claim.
func (s *simulation) unresolvable(r *record) bool {
	if r.Spec.isGang() {
		return s.unresolvableGang(r)
	}
	for _, w := range s.workers {
		for id, state := range w.taskStates {
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
		if a.End == attemptLost && a.Incarnation != w.incarnation && (!w.journal || w.taskStates[id] != api.DispatchStarted) {
			return true
		}
	}
	return false
}

func newSimulation(t *rapid.T, seen map[string]int) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Hour, counts: seen,
		waiting: map[WaiterID]api.RequestKey{}, started: map[api.RequestKey]int{},
		taskStarts: map[api.TaskID]int{}, done: map[api.TaskID]bool{},
		addressed: map[api.TaskID]string{}, issuedTokens: map[string]map[int64]bool{},
		bodies: map[api.RequestKey][]byte{}, reported: map[api.RequestKey]api.State{}, accepted: map[api.RequestKey]bool{},
		loss:            rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"),
		duplication:     rapid.SampledFrom([]float64{0, 0.1}).Draw(t, "dup"),
		slowness:        rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "slow"),
		proposeFailures: 0.02, refusals: 0.05, corruptAnswers: 0.1,
	}
	s.reference = New(Config{}, newFirstFitScheduler)
	for range 3 {
		s.nodes = append(s.nodes, &simNode{p: newReplica(), duplicate: newReplica(), clock: s.newClock()})
	}
	for i := range 3 {
		w := &modelWorker{sim: s, name: fmt.Sprintf("w%d", i), journal: i == 0, taskStates: map[api.TaskID]string{}}
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
	s.changeOwner(s.nodes[0])
	return s
}

func (s *simulation) every(d time.Duration, fn func()) {
	s.schedule(s.now+d, func() { fn(); s.every(d, fn) })
}

// weightedOps lists the operations of randomStep, each as often as its weight: submits (9),
// cancels (7), faults (0 to 6), and several faults around one restart (8).
var weightedOps = []int{9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 9, 7, 7, 7, 0, 1, 1, 2, 3, 8, 4, 5, 6}

// randomStep performs an operation of weightedOps.
func (s *simulation) randomStep(op int) {
	k := api.RequestKey{Caller: "c", Key: fmt.Sprintf("k%d", s.rng.IntN(10)+int(s.waiter)/3)}
	w, n := s.workers[s.rng.IntN(len(s.workers))], s.nodes[s.rng.IntN(len(s.nodes))]
	s.waiter++
	s.counts[fmt.Sprintf("op %d", op)]++
	until := n.clock.read(s.now) + s.randomDuration(3*time.Second)
	switch op {
	case 0:
		// Delay the last messages of the previous owner in half of the cases.
		at := s.now + s.randomDuration(400*ms)
		if s.chance(0.5) {
			s.slowUntil = at
		}
		s.schedule(at, func() { s.changeOwner(n) })
	case 1:
		n.pausedUntil = s.now + s.randomDuration(4*time.Second)
	case 2:
		w.restart(s.randomDuration(3 * time.Second))
	case 3:
		w.pausedUntil = s.now + s.randomDuration(4*time.Second)
	case 4:
		s.cutOff(w)
	case 5:
		w.leaving = true
		s.schedule(s.now+3*time.Second, func() { w.restart(s.randomDuration(time.Second)) })
	case 6:
		if n != s.owner && !n.hasLostOwnership {
			n.p, n.duplicate = s.restoredReplica(n.p), s.restoredReplica(n.p)
		}
	case 7:
		s.waiting[s.waiter] = k
		s.deliverCall(Cancel{Waiter: s.waiter, WaitUntil: until, Key: k})
	case 8:
		s.restartBesideOwnerChange(w, n)
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
		s.deliverCall(e)
	}
}

// cutOff loses the messages of a worker for a while.
func (s *simulation) cutOff(w *modelWorker) {
	if s.now-w.restartedAt < 3*time.Second && w.restartedAt < s.termStartedAt {
		s.counts["restart, new owner, partition"]++
	}
	w.partitionedUntil = s.now + s.randomDuration(5*time.Second)
}

// restartBesideOwnerChange restarts a worker once or twice, changes the owner and cuts the worker
// off, all within about 3 s and with late messages in half of the cases.
func (s *simulation) restartBesideOwnerChange(w *modelWorker, n *simNode) {
	if s.chance(0.5) {
		s.slowUntil = s.now + s.randomDuration(time.Second)
	}
	w.restart(s.randomDuration(700 * ms))
	if s.chance(0.3) {
		s.schedule(s.now+s.randomDuration(1500*ms), func() { w.restart(s.randomDuration(700 * ms)) })
	}
	changeAt := s.now + s.randomDuration(2*time.Second)
	s.schedule(changeAt, func() { s.changeOwner(n) })
	s.schedule(changeAt+s.randomDuration(time.Second), func() { s.cutOff(w) })
}

func newReplica() *Partition {
	return New(Config{Name: "north", Seed: 7, OutcomeRetention: 20 * time.Second}, newFirstFitScheduler)
}

// restoredReplica returns a new replica restored from a snapshot of another.
func (s *simulation) restoredReplica(from *Partition) *Partition {
	p := newReplica()
	if err := p.Restore(from.Snapshot()); err != nil {
		s.fatal("restore: %v", err)
	}
	return p
}

// deliverCall passes a caller's event to the owner, or drops the call if there is no owner.
func (s *simulation) deliverCall(e Event) {
	if s.owner == nil {
		delete(s.waiting, s.waiter)
		return
	}
	s.deliver(s.owner, e)
}

// Guards against double execution, lost requests, wrong outcomes and diverging replicas under
// owner changes, pauses, restarts, and lost, delayed and duplicated messages.
func TestLifeCycleUnderFaults(t *testing.T) {
	parts := make([]map[string]int, 4)
	t.Run("parts", func(t *testing.T) {
		for i := range parts {
			parts[i] = map[string]int{}
			t.Run(fmt.Sprint(i), func(t *testing.T) {
				t.Parallel()
				rapid.Check(t, func(t *rapid.T) { runWithFaults(t, parts[i]) })
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
		"gang done", "gang failed", "gang not_run", "gang unknown", "wait for the gang", "restart, new owner, partition",
		"dispatch of another incarnation", "revoke of another incarnation", "stop of another incarnation",
		"sync of another incarnation", "acknowledgement of another incarnation"} {
		if seen[what] == 0 {
			t.Errorf("no run saw %q", what)
		}
	}
	t.Log(seen)
}

// runWithFaults performs random steps under faults, then checks the state after a period
// without faults.
func runWithFaults(t *rapid.T, seen map[string]int) {
	s := newSimulation(t, seen)
	for _, op := range rapid.SliceOfN(rapid.SampledFrom(weightedOps), 60, 200).Draw(t, "ops") {
		s.runUntil(s.now + s.randomDuration(250*ms))
		s.randomStep(op)
	}
	s.loss, s.duplication, s.slowness, s.proposeFailures, s.refusals, s.corruptAnswers = 0, 0, 0, 0, 0, 0
	s.runUntil(s.now + 12*time.Second)
	for _, r := range s.reference.records {
		seen["end "+string(r.State)]++
		if r.Spec.isGang() {
			seen["gang "+string(r.State)]++
		}
	}
	s.runUntil(s.now + 33*time.Second)
	s.checkEnd()
}
