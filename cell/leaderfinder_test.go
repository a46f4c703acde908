package cell

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// keeperModel is a keeper as an entry VM sees it at a time.
type keeperModel struct {
	isSilent bool // does not answer, as a frozen VM or one without power
	isDown   bool // refuses connections
	names    string
	replies  time.Duration // the time until it replies
}

// findModel runs the finder in virtual time against keepers whose behaviour depends on the time, as
// the loop of findLeaderPeriodically does while calls are held, until a leader is found. It returns when that was, and
// how many probes were sent.
func findModel(c *qt.C, f *leaderFinder, start, limit int, keeper func(ms int, address string) keeperModel) (foundAt, probes int) {
	now := at(start)
	for f.leader == "" || f.isDoubted {
		ms := int(now.Sub(at(0)) / time.Millisecond)
		c.Assert(ms < limit, qt.IsTrue, qt.Commentf("no leader after %d ms and %d probes", ms, probes))
		address, timeout := f.nextProbe()
		c.Assert(timeout <= probeTimeout, qt.IsTrue)
		probes++
		switch k := keeper(ms, address); {
		case k.isSilent:
			sentAt := now
			now = now.Add(timeout)
			f.timedOut(now, address, sentAt)
		case k.isDown:
			now = now.Add(time.Millisecond)
			f.failed(now, address)
		default:
			now = now.Add(max(k.replies, time.Millisecond))
			f.replied(now, address, k.names)
			f.recordReply(now, []string{"k1", "k2", "k3", "k4", "k5"})
		}
		if f.leader == "" {
			now = now.Add(f.pause())
		}
	}
	return int(now.Sub(at(0)) / time.Millisecond), probes
}

// newFinderWithLeader returns a finder that believes k1 to be the leader at time 0.
func newFinderWithLeader() *leaderFinder {
	f := newLeaderFinder(at(0), []string{"k1", "k2", "k3", "k4", "k5"}, 0)
	f.replied(at(0), "k1", "k1")
	return f
}

// Guards against an entry VM that finds the next leader late, or sends calls to one that does not
// lead, in each pattern of failure. before is the latest time at which it may be found.
func TestLeaderIsFound(t *testing.T) {
	for name, test := range map[string]struct {
		lostAt     int // when a call to k1 has failed, in milliseconds
		keeper     func(ms int, address string) keeperModel
		want       string
		before     int
		mostProbes int
	}{
		// Calls time out 400 ms after the leader has frozen, and the others elect k3 300 ms later. Until then
		// they name k1.
		"a leader that freezes": {400, func(ms int, address string) keeperModel {
			switch {
			case address == "k1":
				return keeperModel{isSilent: true}
			case ms < 600:
				return keeperModel{names: "k1"}
			case ms < 700:
				return keeperModel{}
			}
			return keeperModel{names: "k3"}
		}, "k3", 1000, 20},
		// The processes start 100 ms after power is back at 3,000 ms, and elect k2 420 ms later.
		"all keepers down for three seconds": {400, func(ms int, address string) keeperModel {
			switch {
			case ms < 3000:
				return keeperModel{isSilent: true}
			case ms < 3100:
				return keeperModel{isDown: true}
			case ms < 3520:
				return keeperModel{}
			}
			return keeperModel{names: "k2"}
		}, "k2", 3600, 60},
		"all processes end and return": {10, func(ms int, address string) keeperModel {
			switch {
			case ms < 700:
				return keeperModel{isDown: true}
			case ms < 1100:
				return keeperModel{}
			}
			return keeperModel{names: "k5"}
		}, "k5", 1150, 200},
		// k2 hangs; it is asked in its turn and must not hold up the others.
		"a keeper that hangs during an election": {10, func(ms int, address string) keeperModel {
			switch {
			case address == "k2":
				return keeperModel{isSilent: true}
			case ms < 500:
				return keeperModel{}
			}
			return keeperModel{names: "k4"}
		}, "k4", 1000, 40},
		// k2 is elected at 300 ms and k3 at 350 ms, before k2 has committed its first entry; the others know of k2 for longer.
		"two changes of leader in a row": {10, func(ms int, address string) keeperModel {
			switch {
			case ms < 300:
				return keeperModel{}
			case ms < 350:
				return keeperModel{names: map[string]string{"k2": "", "k4": "k2", "k5": "k2"}[address]}
			case ms < 380 && address != "k2" && address != "k3":
				return keeperModel{names: "k2"}
			}
			return keeperModel{names: "k3"}
		}, "k3", 450, 40},
		// Two former leaders name each other until one of them is elected.
		"keepers that name each other": {10, func(ms int, address string) keeperModel {
			switch {
			case ms >= 1000:
				return keeperModel{names: "k2"}
			case address == "k2":
				return keeperModel{names: "k3"}
			}
			return keeperModel{names: "k2"}
		}, "k2", 1100, 240},
		// The leader replies after 250 ms to everything, which is no reason to send calls elsewhere.
		"a leader that is slow": {400, func(ms int, address string) keeperModel {
			if address == "k1" {
				return keeperModel{names: "k1", replies: 250 * time.Millisecond}
			}
			return keeperModel{names: "k1"}
		}, "k1", 700, 4},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f := newFinderWithLeader()
			f.callSent(at(1))
			f.timedOut(at(test.lostAt), "k1", at(1))
			c.Assert(f.usableLeader(at(test.lostAt)), qt.Equals, "")
			foundAt, probes := findModel(c, f, test.lostAt, test.before, test.keeper)
			c.Logf("found at %d ms after %d probes", foundAt, probes)
			c.Check(f.leader, qt.Equals, test.want)
			c.Check(probes <= test.mostProbes, qt.IsTrue, qt.Commentf("%d probes", probes))
		})
	}
}

// Guards against calls that are sent to a VM only because another one names it: it may have failed, and
// their outcome would be unclear.
func TestNamedVMIsNotBelievedBeforeItReplies(t *testing.T) {
	c := qt.New(t)
	f := newFinderWithLeader()
	f.failed(at(10), "k1")
	f.replied(at(20), "k2", "k1")
	c.Assert(f.usableLeader(at(20)), qt.Equals, "")
	address, timeout := f.nextProbe()
	c.Assert(address, qt.Equals, "k1")
	c.Assert(timeout, qt.Equals, doubtedProbeTimeout) // it has just failed
	f.timedOut(at(120), "k1", at(20))
	address, _ = f.nextProbe()
	c.Assert(address, qt.Not(qt.Equals), "k1")
}

// Guards against a leader that is given up because of one slow call although it answers others.
func TestSlowCallDoesNotLoseTheLeader(t *testing.T) {
	c := qt.New(t)
	f := newFinderWithLeader()
	f.callSent(at(1000)) // the slow one
	f.callSent(at(1100))
	f.leaderReplied(at(1110), "k1")
	f.callReturned("k1")
	f.timedOut(at(1400), "k1", at(1000))
	f.callReturned("k1")
	c.Assert(f.usableLeader(at(1400)), qt.Equals, "k1")
}

// Guards against calls that are sent to a silent leader for longer than needed to see that it is silent, and
// against a doubt that outlasts the leader's reply.
func TestSilentLeaderIsAskedBeforeMoreCallsAreSent(t *testing.T) {
	c := qt.New(t)
	f := newFinderWithLeader()
	c.Assert(f.usableLeader(at(10_000)), qt.Equals, "k1") // nothing was sent, so it is not silent
	f.callSent(at(10_000))
	c.Assert(f.usableLeader(at(10_150)), qt.Equals, "k1")
	c.Assert(f.usableLeader(at(10_151)), qt.Equals, "")
	address, timeout := f.nextProbe()
	c.Assert(address, qt.Equals, "k1")
	c.Assert(timeout, qt.Equals, attemptTimeout-silenceBeforeDoubt)
	f.replied(at(10_155), "k1", "k1")
	c.Assert(f.usableLeader(at(10_155)), qt.Equals, "k1")
	c.Assert(f.usableLeader(at(10_310)), qt.Equals, "") // the call still has no reply
	f.timedOut(at(10_410), "k1", at(10_310))
	c.Assert(f.leader, qt.Equals, "")
}

// Guards against the reply of a follower that knows of a former leader, received after the leader was found.
func TestLateReplyDoesNotReplaceTheLeader(t *testing.T) {
	c := qt.New(t)
	f := newFinderWithLeader()
	f.replied(at(50), "k2", "k4")
	c.Assert(f.usableLeader(at(50)), qt.Equals, "k1")
	c.Assert(f.isProbeUseful(), qt.IsFalse)
	f.replied(at(60), "k1", "k4") // the leader itself names the next one
	c.Assert(f.usableLeader(at(60)), qt.Equals, "")
	c.Assert(f.isProbeUseful(), qt.IsTrue)
}

// Guards against the late reply of a former leader that was frozen with its clock and still believes in
// its lease: the calls that it would get then have an unclear outcome.
func TestLateReplyOfFormerLeaderDoesNotReplaceTheLeader(t *testing.T) {
	c := qt.New(t)
	f := newFinderWithLeader()
	f.timedOut(at(500), "k1", at(100))
	f.replied(at(600), "k2", "k2")
	f.replied(at(700), "k1", "k1") // to the probe that was sent at 100
	c.Assert(f.usableLeader(at(700)), qt.Equals, "k2")
}

// Guards against a leader that is given up because a call that had less than attemptTimeout left got
// no reply: it is asked first.
func TestCallWithLittleTimeDoesNotLoseTheLeader(t *testing.T) {
	c := qt.New(t)
	f := newFinderWithLeader()
	f.callSent(at(1000))
	recordFailure(f, at(1120), "k1", at(1000), context.DeadlineExceeded)
	f.callReturned("k1")
	c.Assert(f.leader, qt.Equals, "k1")
	c.Assert(f.usableLeader(at(1120)), qt.Equals, "")
	address, _ := f.nextProbe()
	c.Assert(address, qt.Equals, "k1")
	f.replied(at(1150), "k1", "k1")
	c.Assert(f.usableLeader(at(1150)), qt.Equals, "k1")
	f.callSent(at(2000))
	recordFailure(f, at(2400), "k1", at(2000), context.DeadlineExceeded)
	c.Assert(f.leader, qt.Equals, "")
}

// Guards against probes that wait longer and longer for a silent leader that followers still name, while
// the next leader is elected: at most one such probe, of 200 ms, precedes the one to the next leader.
func TestSilentLeaderThatIsStillNamedDelaysTheNextOneLittle(t *testing.T) {
	c := qt.New(t)
	for elected := 400; elected <= 800; elected += 10 { // followers name k1 until their election timeout
		f := newFinderWithLeader()
		f.timedOut(at(400), "k1", at(1))
		foundAt, _ := findModel(c, f, 400, 5000, func(ms int, address string) keeperModel {
			switch {
			case address == "k1":
				return keeperModel{isSilent: true}
			case ms < elected:
				return keeperModel{names: "k1"}
			}
			return keeperModel{names: "k2"}
		})
		const bound = 200 + 5 + 25 // a probe of k1, replies of all within 1 ms each, and a pause
		c.Check(foundAt-elected <= bound, qt.IsTrue, qt.Commentf("elected at %d ms, found at %d ms", elected, foundAt))
	}
}
