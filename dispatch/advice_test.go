package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against one queue whose long calls keep all proxies busy, so that steps of other queues
// wait for a first answer although there is capacity for them.
func TestOneQueueLeavesProxiesToOthers(t *testing.T) {
	c := qt.New(t)
	s := New(Settings{}, newCluster(1, faults{}).state, func(Decision) {})
	s.SetAdvisorProxies([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"})
	for i := range 20 {
		s.queuedCalls = append(s.queuedCalls, &advisorCall{queue: "gangs", urgency: urgency{priority: 1, deadlineMillis: int64(i)}, duration: 800 * time.Millisecond})
	}
	for i := range 6 {
		s.queuedCalls = append(s.queuedCalls, &advisorCall{queue: "batches", urgency: urgency{priority: 2, deadlineMillis: int64(i)}, duration: 150 * time.Millisecond})
	}
	s.sendQueuedCalls()
	sent := map[string]int{}
	for _, proxy := range s.proxies {
		if proxy.call != nil {
			sent[proxy.call.queue]++
		}
	}
	c.Assert(sent["gangs"], qt.Equals, 7)
	c.Assert(sent["batches"] > 0, qt.IsTrue, qt.Commentf("%v", sent))

	s.queuedCalls = append(s.queuedCalls, &advisorCall{queue: "urgent", duration: 20 * time.Millisecond})
	s.sendQueuedCalls()
	for _, call := range s.queuedCalls {
		c.Assert(call.queue, qt.Not(qt.Equals), "urgent")
	}
}

// Guards against proxies that stay idle because the only queue with calls has reached its limit.
func TestOneQueueMayUseAllFreeProxies(t *testing.T) {
	c := qt.New(t)
	s := New(Settings{}, newCluster(1, faults{}).state, func(Decision) {})
	var members []string
	for i := range 10 {
		members = append(members, fmt.Sprint(i))
	}
	s.SetAdvisorProxies(members)
	for range 20 {
		s.queuedCalls = append(s.queuedCalls, &advisorCall{queue: "gangs", duration: 800 * time.Millisecond})
	}
	s.sendQueuedCalls()
	c.Assert(s.freeProxies(), qt.HasLen, proxiesForShortCalls)
}

// Guards against proxies that are busy with calls about steps that are already placed.
func TestPlacedStepDropsQueuedCalls(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(4, true)
	k.run(2 * time.Second)
	ref := job.StepRef{Job: 7}
	s := k.sched
	w := s.workers[1]
	s.queuedCalls = []*advisorCall{{ref: ref, queue: "drafts", workers: []job.Worker{*w.info}}, {ref: job.StepRef{Job: 8}, queue: "drafts"}}
	a := s.adviceFor(ref)
	a.openCalls, a.pending[w.info.Number] = 1, true
	s.dropQueuedCalls(ref)
	c.Assert(s.queuedCalls, qt.HasLen, 1)
	c.Assert(a.openCalls, qt.Equals, 0)
	c.Assert(a.pending, qt.HasLen, 0)
}

// Guards against an overload of the advisor that makes every job late, because the calls about the
// most overdue jobs are sent first.
func TestOverloadedAdvisorServesJobsThatCanBeInTime(t *testing.T) {
	const arrivalInterval, duration = 150 * time.Millisecond, 30 * time.Second
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.adviceLatency = time.Second
	k.setUp(40, true)
	queue := job.Queue{Name: "drafts", Host: "h", Prefix: "/d/", Pool: "desk", MaxAttempts: 4, SlackFactor: 2, TargetMillis: 2000,
		Advisor: &job.AdvisorConfig{DecisionMillis: 980, PerWorkerMillis: 1, TicketValidityMillis: 2000}}
	k.state.Apply(job.Op{Config: &job.Config{Version: 2, Pools: []job.Pool{{Name: "desk"}}, Queues: []job.Queue{queue}}})
	k.run(2 * time.Second)
	for i := range int(duration / arrivalInterval) {
		k.schedule(time.Duration(i)*arrivalInterval, func() { k.submit(job.ID(i+1), newStep(2, 1000, 500)) })
	}
	k.run(k.now + duration + 10*time.Second)
	servedInTime := 0
	k.state.Jobs(func(j *job.Job) {
		if j.Outcome == job.Completed && j.EndedMillis <= j.AcceptedMillis+queue.TargetMillis+500*int64(queue.SlackFactor) {
			servedInTime++
		}
	})
	proxiesForLongCalls := len(k.sched.proxies) - min(proxiesForShortCalls, len(k.sched.proxies)/2)
	servable := proxiesForLongCalls * int(duration/k.adviceLatency) // one call suffices for a job
	c.Assert(servedInTime >= servable/2, qt.IsTrue, qt.Commentf("%d jobs in time, the advisor can serve %d", servedInTime, servable))
}

// newWaitingStep returns a cluster of idle workers, and a waiting step of a new job of the queue
// "drafts".
func newWaitingStep(workers int, id job.ID, step job.Step) (*cluster, *readyStep) {
	k := newCluster(1, faults{})
	k.setUp(workers, true)
	k.run(2 * time.Second)
	k.sched.collectWorkers()
	return k, k.addWaitingStep(id, step)
}

// addWaitingStep submits a job with one step and returns the step.
func (k *cluster) addWaitingStep(id job.ID, step job.Step) *readyStep {
	submit := job.Op{Submit: &job.Submit{ID: id, Queue: "drafts", Spec: job.Spec{Steps: []job.Step{step}}, AcceptedMillis: k.wallMillis()}}
	k.state.Apply(submit)
	k.sched.Applied(k.now, submit)
	for _, r := range k.sched.readySteps() {
		if r.ref.Job == id {
			r.pool = "desk"
			return r
		}
	}
	panic("the step is not ready")
}

// workersAsked queues the calls about a step and returns the numbers of the workers that they name.
func (k *cluster) workersAsked(r *readyStep) map[uint32]bool {
	k.sched.requestAdvice(r)
	asked := map[uint32]bool{}
	for _, call := range k.sched.queuedCalls {
		if call.ref == r.ref {
			for _, w := range call.workers {
				asked[w.Number] = true
			}
		}
	}
	return asked
}

// Guards against asking about workers that are full of less urgent runs for a step that does not
// preempt them.
func TestSingleTasksAskAboutWorkersWithFreeCapacity(t *testing.T) {
	c := qt.New(t)
	k, r := newWaitingStep(20, 7, newStep(2, 2000, 1000))
	batches := job.Queue{Name: "batches", Host: "h", Prefix: "/b/", Pool: "desk", MaxAttempts: 4, Priority: 2}
	k.state.Apply(job.Op{Config: &job.Config{Version: 2, Pools: []job.Pool{{Name: "desk"}}, Queues: []job.Queue{r.job.Queue, batches}}})
	batch := newStep(20, 8000, 60_000)
	batch.Checkpointing = true
	k.state.Apply(job.Op{Submit: &job.Submit{ID: 9, Queue: "batches", Spec: job.Spec{Steps: []job.Step{batch}}, AcceptedMillis: k.wallMillis()}})
	free := map[uint32]bool{}
	for n := uint32(1); n <= 20; n++ {
		if n%2 == 0 {
			free[n] = true
			continue
		}
		k.sched.addClaim(job.TaskRef{StepRef: job.StepRef{Job: 9}, Index: uint16(n - 1)}, 1, k.sched.workers[n], &batch, claimRunning)
	}
	c.Assert(k.workersAsked(r), qt.DeepEquals, free)
}

// Guards against steps that ask about the same workers at the same time, so that all but the first
// find them taken when the answers arrive.
func TestStepsThatAskAtTheSameTimeChooseDifferentWorkers(t *testing.T) {
	c := qt.New(t)
	k, first := newWaitingStep(100, 7, newStep(2, 2000, 1000))
	second := k.addWaitingStep(8, newStep(2, 2000, 1000))
	common := 0
	asked := k.workersAsked(first)
	for number := range k.workersAsked(second) {
		if asked[number] {
			common++
		}
	}
	c.Assert(common <= len(asked)/2, qt.IsTrue, qt.Commentf("%d of %d workers are the same", common, len(asked)))
}

// failCall fails the call that a proxy has in flight.
func (k *cluster) failCall(via string) {
	call := k.sched.proxies[via].call
	k.sched.Advised(k.now, via, call.ref, call.workers, nil, 0, false)
}

// proxiesInUse returns the names of the proxies with a call in flight, sorted.
func (k *cluster) proxiesInUse() []string {
	var names []string
	for name, proxy := range k.sched.proxies {
		if proxy.call != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Guards against urgent jobs that are late because the member that called the advisor for them is
// down, while other members are free.
func TestFailedCallIsRepeatedAtOnceThroughAnotherProxy(t *testing.T) {
	c := qt.New(t)
	k, r := newWaitingStep(20, 7, newStep(2, 2000, 1000))
	k.sched.requestAdvice(r)
	k.sched.sendQueuedCalls()
	c.Assert(k.proxiesInUse(), qt.DeepEquals, []string{"a"})
	k.failCall("a")
	k.sched.requestAdvice(r)
	k.sched.sendQueuedCalls()
	c.Assert(k.proxiesInUse(), qt.DeepEquals, []string{"b"})
}

// Guards against calls through a member that is down at a constant rate.
func TestRetryDelayOfFailingProxyGrows(t *testing.T) {
	c := qt.New(t)
	k, r := newWaitingStep(20, 7, newStep(2, 2000, 1000))
	k.sched.SetAdvisorProxies([]string{"a"})
	previous := time.Duration(0)
	for range 4 {
		k.sched.requestAdvice(r)
		k.sched.sendQueuedCalls()
		c.Assert(k.proxiesInUse(), qt.DeepEquals, []string{"a"})
		k.failCall("a")
		delay := k.sched.proxies["a"].retryAt - k.now
		c.Assert(delay > previous, qt.IsTrue, qt.Commentf("%v after %v", delay, previous))
		c.Assert(delay <= proxyRetryMax, qt.IsTrue)
		previous, k.now = delay, k.now+delay
		k.sched.advanceClock(k.now)
	}
}
