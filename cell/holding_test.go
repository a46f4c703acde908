package cell

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// at returns a time in milliseconds after the start of a test.
func at(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }

// Guards against a call that is sent, held or rejected against the rules: held although its deadline
// cannot be met or the bounds are reached, rejected although it may have been executed, or sent
// ahead of a more urgent held one.
func TestArrivingCall(t *testing.T) {
	for name, test := range map[string]struct {
		held      int // calls that are held already
		heldBytes int // of each of them
		remaining time.Duration
		bytes     int
		hasLeader bool
		isUnclear bool
		want      holdDecision
	}{
		"leader known":                          {0, 0, time.Second, 100, true, false, sendNow},
		"leader known, others held":             {1, 0, time.Second, 100, true, false, hold},
		"no leader":                             {0, 0, time.Second, 100, false, false, hold},
		"leader known, little time":             {0, 0, 1, 100, true, false, sendNow},
		"leader known, no time":                 {0, 0, 0, 100, true, false, rejectDeadline},
		"too little time for a probe":           {0, 0, minRemaining - 1, 100, false, false, rejectDeadline},
		"time for a probe":                      {0, 0, minRemaining, 100, false, false, hold},
		"unclear, too little time":              {0, 0, minRemaining - 1, 100, false, true, rejectDeadline},
		"last place":                            {maxHeldCalls - 1, 0, time.Second, 100, false, false, hold},
		"no place":                              {maxHeldCalls, 0, time.Second, 100, false, false, rejectFull},
		"no place, leader known, others held":   {maxHeldCalls, 0, time.Second, 100, true, false, rejectFull},
		"unclear, no place":                     {maxHeldCalls, 0, time.Second, 100, false, true, hold},
		"memory used up":                        {16, maxHeldBytes / 16, time.Second, 1, false, false, rejectFull},
		"unclear, memory used up":               {16, maxHeldBytes / 16, time.Second, 1, false, true, hold},
		"large call while no others are held":   {0, 0, time.Second, maxHeldBytes, false, false, hold},
		"too large a call for the whole memory": {0, 0, time.Second, maxHeldBytes + 1, false, false, rejectFull},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var h heldCalls
			for range test.held {
				_, d := h.arrive(at(0), at(1000), test.heldBytes, false, false)
				c.Assert(d, qt.Equals, hold)
			}
			_, d := h.arrive(at(0), at(0).Add(test.remaining), test.bytes, test.hasLeader, test.isUnclear)
			c.Assert(d.String(), qt.Equals, test.want.String())
		})
	}
}

// Guards against held calls that are sent in another order than that of the time they have left,
// and against a burst that lets the most urgent wait behind the others at the leader.
func TestHeldCallsAreReleasedByUrgencyAndWithoutABurst(t *testing.T) {
	c := qt.New(t)
	var h heldCalls
	var byUrgency []uint64
	for i := range 3 * releaseWindow {
		id, _ := h.arrive(at(0), at(3000-i), 10, false, false)
		byUrgency = append(byUrgency, id)
	}
	sameDeadline, _ := h.arrive(at(1), at(3000), 10, false, false)
	slices.Reverse(byUrgency) // the last one has the earliest deadline
	byUrgency = append(byUrgency, sameDeadline)

	c.Assert(h.release(at(100), false), qt.HasLen, 0)
	released := h.release(at(100), true)
	c.Assert(released, qt.DeepEquals, byUrgency[:releaseWindow])
	c.Assert(h.release(at(100), true), qt.HasLen, 0)
	for len(released) < len(byUrgency) {
		h.ended()
		next := h.release(at(110), true)
		c.Assert(next, qt.HasLen, 1)
		released = append(released, next...)
	}
	c.Assert(released, qt.DeepEquals, byUrgency)
	c.Assert(h.bytes, qt.Equals, 0)
}

// Guards against held calls that delay new ones after the last held one is sent, and against places
// that stay taken by calls whose callers have gone.
func TestCallsThatLeaveFreeTheirPlaces(t *testing.T) {
	c := qt.New(t)
	var h heldCalls
	var ids []uint64
	for range maxHeldCalls {
		id, _ := h.arrive(at(0), at(1000), 16<<10, false, false)
		ids = append(ids, id)
	}
	for _, id := range ids {
		c.Assert(h.leave(id), qt.IsTrue)
		c.Assert(h.leave(id), qt.IsFalse)
	}
	c.Assert(h.bytes, qt.Equals, 0)
	_, d := h.arrive(at(0), at(1000), 16<<10, true, false)
	c.Assert(d, qt.Equals, sendNow)
}

// Guards against a call without time that is sent after its caller was answered, and keeps a place
// in the window.
func TestReleaseSkipsCallsWithoutTime(t *testing.T) {
	c := qt.New(t)
	var h heldCalls
	late, _ := h.arrive(at(0), at(500), 10, false, false)
	inTime, _ := h.arrive(at(0), at(900), 10, false, false)
	c.Assert(h.release(at(480), true), qt.DeepEquals, []uint64{inTime})
	c.Assert(h.released, qt.Equals, 1)
	c.Assert(h.leave(late), qt.IsFalse)
}

// Guards against callers that are told to return before a leader can be there, all in the same
// second, or after their time although they could return within it.
func TestRetryAfter(t *testing.T) {
	for name, test := range map[string]struct {
		outage, remaining time.Duration
		want              []int // seconds, over all hashes
	}{
		"election":                       {500 * time.Millisecond, 0, []int{1, 2}},
		"all keepers without power, 3 s": {3 * time.Second, 0, []int{1, 2}},
		"all keepers without power, 5 s": {5 * time.Second, 0, []int{2, 3, 4}},
		"a minute":                       {time.Minute, 0, []int{4, 5, 6, 7, 8}},
		"no place, 2.9 s left":           {5 * time.Second, 2900 * time.Millisecond, []int{2}},
		"no place, 1.2 s left":           {500 * time.Millisecond, 1200 * time.Millisecond, []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []int
			for hash := range uint64(100) {
				got = append(got, int(retryAfter(test.outage, test.remaining, hash)/time.Second))
			}
			slices.Sort(got)
			qt.Assert(t, slices.Compact(got), qt.DeepEquals, test.want)
		})
	}
}
