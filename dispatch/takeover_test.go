package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a new leader that asks all workers at once, whose answers keep it from its
// heartbeats until it is deposed.
func TestNewLeaderLimitsFirstLeaseRenewals(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(60, false)
	k.run(2 * time.Second)
	k.lead()
	k.sched.Tick(k.now, k.wall())
	holds := 0
	for _, a := range k.sched.Actions() {
		if h, ok := a.(RenewLease); ok {
			holds++
			k.hold(h)
		}
	}
	c.Assert(holds, qt.Equals, firstHolds)
	k.run(k.now + 500*time.Millisecond)
	for _, w := range k.sched.workers {
		c.Assert(w.reported, qt.IsTrue, qt.Commentf("%s", w.life.Name))
	}
}

// Guards against orders to a worker that is gone, which refuses each connection at once, that
// are repeated every few milliseconds until its lease ends.
func TestRetryDelayOfUnansweredOrdersGrows(t *testing.T) {
	c := qt.New(t)
	var d claim
	total := time.Duration(0)
	for range 10 {
		total += d.nextPause()
	}
	c.Assert(total > taskLease, qt.IsTrue, qt.Commentf("%v", total))
}
