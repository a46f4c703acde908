package dispatch

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a task that is placed again by a new leader while it runs on an incarnation that nobody knows
// of: its worker has started again, taken a start for the previous incarnation and been cut off, and then the
// leader is lost.
func TestNewLeaderWaitsForStartThatAnUnknownIncarnationTook(t *testing.T) {
	c := qt.New(t)
	reached, broken := 0, 0
	for seed := range uint64(20) {
		k, _, next := newClusterRestartedAtPlacement(c, seed, 20*time.Second, newStep(1, 1000, 20_000))
		k.cutOff(next.info.Address, 2*time.Millisecond) // its first announcement is lost
		k.run(k.now + 2*time.Millisecond)
		for end := k.now + 50*time.Millisecond; len(next.runs) == 0 && k.now < end; {
			k.run(k.now + time.Millisecond)
		}
		if len(next.runs) > 0 {
			reached++
		}
		k.cutOff(next.info.Address, 15*time.Second)
		k.failover(500 * time.Millisecond)
		k.run(k.now + 60*time.Second)
		if len(k.violations) > 0 {
			broken++
		}
		c.Check(k.violations, qt.HasLen, 0, qt.Commentf("seed %d: %s", seed, k.traceOf("")))
	}
	fmt.Println("reached", reached, "broken", broken)
	c.Assert(reached > 0, qt.IsTrue)
}

// Guards against a task that is placed again while it runs on an incarnation that nobody knows of: a repeated
// start was late, the run that a report had listed ended with its incarnation, and the late copy started it
// again in the next one, which was then cut off.
func TestLateCopyOfAListedStartIsWaitedFor(t *testing.T) {
	c := qt.New(t)
	k := newCluster(1, faults{})
	k.setUp(2, false)
	k.run(20 * time.Second)
	var withheld *Start
	k.onOrder = func(a Action) bool {
		if start, ok := a.(Start); ok && withheld == nil {
			withheld = &start
			k.schedule(600*time.Millisecond, func() { k.sched.Started(k.now, start, NoReply) }) // it is held up on its way
			return false
		}
		return true
	}
	k.submit(1, newStep(1, 1000, 20_000))
	k.run(k.now + 3*time.Second) // the repeated start runs and is listed
	key := claimKey{withheld.Task, withheld.Run}
	claim := k.sched.claims[key]
	c.Assert(claim, qt.IsNotNil)
	c.Assert(claim.isListed && claim.startMayArrive, qt.IsTrue)
	next := k.workers[withheld.Worker.Address].restart()
	next.isPartitioned = true
	k.run(k.now + 500*time.Millisecond)
	c.Assert(next.start(*withheld), qt.Equals, Accepted) // 3.5 s after it was sent
	k.cutOff(next.info.Address, 15*time.Second)
	k.run(k.now + 60*time.Second)
	c.Assert(k.violations, qt.HasLen, 0, qt.Commentf("%s", k.traceOf("")))
}
