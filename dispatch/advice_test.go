package dispatch

import (
	"fmt"
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
