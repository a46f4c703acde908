package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a new leader that sends the first renewal to all workers simultaneously. Their
// answers delay its heartbeats until it loses the leadership.
func TestNewLeaderLimitsFirstLeaseRenewals(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(60, false)
	k.run(2 * time.Second)
	k.electLeader()
	k.sched.Tick(k.now, k.wallMillis())
	renewals := 0
	for _, a := range k.sched.Actions() {
		if renewal, ok := a.(RenewLease); ok {
			renewals++
			k.renewLease(renewal)
		}
	}
	c.Assert(renewals, qt.Equals, maxFirstRenewals)
	k.run(k.now + 500*time.Millisecond)
	for _, w := range k.sched.workers {
		c.Assert(w.hasReported, qt.IsTrue, qt.Commentf("%s", w.info.Name))
	}
}

// Guards against repeating orders to a worker that is gone every few milliseconds until its lease
// expires. Such a worker refuses each connection immediately.
func TestRetryDelayOfUnansweredOrdersGrows(t *testing.T) {
	c := qt.New(t)
	var unanswered claim
	total := time.Duration(0)
	for range 10 {
		total += unanswered.nextRetryDelay()
	}
	c.Assert(total > taskLease, qt.IsTrue, qt.Commentf("%v", total))
}
