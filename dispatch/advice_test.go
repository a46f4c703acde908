package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
)

// Guards against one queue whose long calls keep all members busy, so that steps of the other
// queues wait for a first answer although there is room for them.
func TestOneQueueLeavesProxiesToOthers(t *testing.T) {
	c := qt.New(t)
	s := New(Settings{}, newCluster(1, faults{}).state, func(Decision) {})
	s.SetAdvisorProxies([]string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m"})
	for i := range 20 {
		s.asks = append(s.asks, &ask{queue: "gangs", priority: 1, due: int64(i), length: 800 * time.Millisecond})
	}
	for i := range 6 {
		s.asks = append(s.asks, &ask{queue: "batches", priority: 2, due: int64(i), length: 150 * time.Millisecond})
	}
	s.sendAsks()
	sent := map[string]int{}
	for _, m := range s.advisors {
		sent[m.queue]++
	}
	c.Assert(sent["gangs"], qt.Equals, 7)
	c.Assert(sent["batches"] > 0, qt.IsTrue, qt.Commentf("%v", sent))

	s.asks = append(s.asks, &ask{queue: "urgent", length: 20 * time.Millisecond})
	s.sendAsks()
	for _, q := range s.asks {
		c.Assert(q.queue, qt.Not(qt.Equals), "urgent")
	}
}

// Guards against members that stand idle because a queue has used its part while nobody else
// has calls.
func TestOneQueueMayUseAllFreeProxies(t *testing.T) {
	c := qt.New(t)
	s := New(Settings{}, newCluster(1, faults{}).state, func(Decision) {})
	var members []string
	for i := range 10 {
		members = append(members, fmt.Sprint(i))
	}
	s.SetAdvisorProxies(members)
	for range 20 {
		s.asks = append(s.asks, &ask{queue: "gangs", length: 800 * time.Millisecond})
	}
	s.sendAsks()
	c.Assert(s.freeAdvisors(), qt.HasLen, longAsksKeepFree)
}

// Guards against members that are kept busy by calls about steps that are placed already.
func TestPlacedStepDropsQueuedCalls(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(4, true)
	k.run(2 * time.Second)
	ref := job.StepRef{Job: 7}
	s := k.sched
	w := s.workers[1]
	s.asks = []*ask{{ref: ref, queue: "drafts", workers: []job.Worker{*w.life}}, {ref: job.StepRef{Job: 8}, queue: "drafts"}}
	a := s.adviceFor(ref)
	a.asking, a.pending[w.life.Number] = 1, true
	s.dropAsks(ref)
	c.Assert(s.asks, qt.HasLen, 1)
	c.Assert(a.asking, qt.Equals, 0)
	c.Assert(a.pending, qt.HasLen, 0)
}
