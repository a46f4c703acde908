package cell

import (
	"container/heap"
	"time"
)

const (
	// maxHeldCalls and maxHeldBytes bound the calls that wait for a leader on one VM. An entry VM has
	// 184 MB of memory, and the body of a call is up to 16 KB.
	maxHeldCalls = 1000
	maxHeldBytes = maxHeldCalls * 16 << 10
	// minRemaining is the time that a held call needs once a leader is found: a round trip to the other
	// region (24 ms) and a commit (10 to 40 ms). With less, its outcome would probably be unclear when
	// its time ends, so it is answered before.
	minRemaining = 60 * time.Millisecond
	// releaseWindow is the number of calls that a VM sends at once when it has found a leader. The
	// next ones follow as these are answered, so that a burst does not delay the most urgent.
	releaseWindow = 32
)

// holdDecision is what happens to a call.
type holdDecision uint8

const (
	sendNow holdDecision = iota + 1
	hold
	rejectDeadline // too little of the call's time is left
	rejectFull     // too many calls are held
)

// String returns the label of the decision in metrics.
func (d holdDecision) String() string {
	return [...]string{"none", "send", "hold", "deadline", "full"}[d]
}

// heldCall is a call that waits for a leader.
type heldCall struct {
	id       uint64 // in order of arrival
	deadline time.Time
	bytes    int
}

// heldCalls decides which calls are sent, held or rejected, and in which order the held ones are
// sent: those with the least time left first. It has no input or output, and no clock: times are
// arguments. It is not safe for concurrent use.
type heldCalls struct {
	calls    callHeap
	lastID   uint64
	bytes    int
	released int // calls given out by release that have not ended
}

// arrive decides about a call. isExempt says that the bounds do not apply: an earlier attempt may
// have been executed, so that only a leader can settle its outcome, or the leader was lost when the
// call had just been released. There are never more such calls than were in flight when the leader
// was lost. id names the call if it is held.
func (h *heldCalls) arrive(now, deadline time.Time, bytes int, hasLeader, isExempt bool) (id uint64, d holdDecision) {
	switch {
	case hasLeader && len(h.calls) == 0 && now.Before(deadline):
		return 0, sendNow
	case deadline.Sub(now) < minRemaining:
		return 0, rejectDeadline
	case !isExempt && (len(h.calls) >= maxHeldCalls || h.bytes+bytes > maxHeldBytes):
		return 0, rejectFull
	}
	h.lastID++
	h.bytes += bytes
	heap.Push(&h.calls, heldCall{h.lastID, deadline, bytes})
	return h.lastID, hold
}

// holdUntil returns until when a call with a deadline is held.
func holdUntil(deadline time.Time) time.Time { return deadline.Add(-minRemaining) }

// release returns the calls to be sent now, most urgent first, and removes them. Each must be
// reported by ended when it has been answered.
func (h *heldCalls) release(now time.Time, hasLeader bool) (ids []uint64) {
	for hasLeader && h.released < releaseWindow && len(h.calls) > 0 {
		if h.calls[0].deadline.Sub(now) < minRemaining {
			h.remove(0) // its caller is answered by its own timer
			continue
		}
		ids = append(ids, h.remove(0).id)
		h.released++
	}
	return ids
}

// ended records that a call that release returned has been answered or is held again.
func (h *heldCalls) ended() { h.released-- }

// leave removes a call whose time or caller is gone. It reports whether the call was held.
func (h *heldCalls) leave(id uint64) bool {
	for i := range h.calls {
		if h.calls[i].id == id {
			h.remove(i)
			return true
		}
	}
	return false
}

func (h *heldCalls) remove(i int) heldCall {
	c := heap.Remove(&h.calls, i).(heldCall)
	h.bytes -= c.bytes
	return c
}

// callHeap orders calls by deadline, and calls with the same deadline by arrival.
type callHeap []heldCall

func (q callHeap) Len() int { return len(q) }
func (q callHeap) Less(i, j int) bool {
	if q[i].deadline.Equal(q[j].deadline) {
		return q[i].id < q[j].id
	}
	return q[i].deadline.Before(q[j].deadline)
}
func (q callHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *callHeap) Push(c any) { *q = append(*q, c.(heldCall)) }

// Pop implements heap.Interface.
func (q *callHeap) Pop() any {
	c := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return c
}

const (
	// shortOutage is how long a cell is without a leader after the loss of one keeper: an election
	// takes a second or less, twice that if the first one fails.
	shortOutage = 2 * time.Second
	// maxRetryAfter bounds the time after which a rejected caller is asked to return.
	maxRetryAfter = 4 * time.Second
)

// retryAfter returns when the caller of a rejected call should return, in whole seconds. outage
// is how long no leader has been known and remaining how much of the call's time is left. In the
// first shortOutage a leader is expected within a second; a longer outage is expected to last for
// half as long again as it has lasted. hash spreads the callers over as many seconds more, so that
// they do not all return at once. A caller that could return within its time is not asked to return
// after it.
func retryAfter(outage, remaining time.Duration, hash uint64) time.Duration {
	wait := time.Second
	if outage >= shortOutage {
		wait = min(outage/2, maxRetryAfter).Truncate(time.Second)
	}
	wait += time.Duration(hash%(uint64(wait/time.Second)+1)) * time.Second
	if remaining >= time.Second {
		wait = min(wait, remaining.Truncate(time.Second))
	}
	return wait
}
