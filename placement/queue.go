package placement

import (
	"container/heap"
	"math/bits"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxSubqueues bounds the subqueues of one class of a team, and with them the cost of a
// decision. Items that would need a further subqueue share one overflow subqueue.
const maxSubqueues = 64

// subqueueKey groups items of similar size, so that an item that does not fit blocks only
// items of its own size. Sizes are in steps of half a power of two; see sizeStep.
type subqueueKey struct {
	size     [dimCount]uint8
	tasks    uint8
	workload api.Workload
	region   string
	overflow bool
}

// entry is a queued item. It is in exactly one subqueue, and in none after it has left the
// queue.
type entry struct {
	item     *Item
	demand   vector // of one task
	sequence uint64 // order of arrival
	subqueue *subqueue
	previous *entry
	next     *entry

	estimatedWork       float64 // at arrival; see pool.work
	queuedAt            time.Duration
	blockedSince        time.Duration // first failed try as head of its subqueue; -1 before
	reservation         *reservation
	notBefore           time.Duration // earliest next try, even if capacity is freed
	reservationRetryAt  time.Duration // earliest start of the next reservation
	reservationDuration time.Duration // of the last reservation
}

// totalDemand returns the demand of all tasks together.
func (e *entry) totalDemand() vector { return e.demand.times(int64(e.item.Tasks)) }

// subqueue is a linked list of entries in order of arrival. Unlinking an entry takes
// constant time.
type subqueue struct {
	key     subqueueKey
	class   *classQueue
	head    *entry
	tail    *entry
	blocked bool
	// retryAt is when a blocked subqueue may be tried again; 0 means that only freed
	// capacity unblocks it.
	retryAt         time.Duration
	triedGeneration uint64 // pool.freed.generation at the last try
}

// sizeStep returns the position of amount on a scale with two steps per power of two.
func sizeStep(amount int64) uint8 {
	if amount <= 0 {
		return 0
	}
	n := bits.Len64(uint64(amount))
	half := 0
	if n > 1 && amount>>(n-2)&1 == 1 {
		half = 1
	}
	return uint8(2*n + half)
}

// subqueueKeyOf returns the key of the subqueue for the item.
func subqueueKeyOf(item *Item, demand vector) subqueueKey {
	k := subqueueKey{workload: item.Workload, region: item.Region, tasks: sizeStep(int64(item.Tasks))}
	for d, v := range demand {
		k.size[d] = sizeStep(v)
	}
	return k
}

// push appends e to its subqueue, which it creates if needed.
func (q *classQueue) push(now time.Duration, e *entry) {
	if q.queued == 0 {
		q.backlogSince, q.queuedWork = now, 0
	}
	e.estimatedWork = q.team.pool.work(e.item, e.demand)
	q.queuedWork += e.estimatedWork
	q.team.pool.queuedDemand.add(e.totalDemand())
	key := subqueueKeyOf(e.item, e.demand)
	sq := q.findSubqueue(key)
	if sq == nil && len(q.subqueues) >= maxSubqueues {
		key = subqueueKey{overflow: true}
		sq = q.findSubqueue(key)
	}
	if sq == nil {
		sq = &subqueue{key: key, class: q}
		q.subqueues = append(q.subqueues, sq)
	}
	e.subqueue, e.previous = sq, sq.tail
	if sq.tail != nil {
		sq.tail.next = e
	} else {
		sq.head = e
		q.team.pool.requestDecision()
	}
	sq.tail = e
	q.queued++
}

// findSubqueue returns the subqueue with the key, or nil.
func (q *classQueue) findSubqueue(key subqueueKey) *subqueue {
	for _, sq := range q.subqueues {
		if sq.key == key {
			return sq
		}
	}
	return nil
}

// unlink removes e from sq, and sq from its class once it is empty.
func (sq *subqueue) unlink(e *entry) {
	if e.previous != nil {
		e.previous.next = e.next
	} else {
		sq.head = e.next
		sq.unblock()
	}
	if e.next != nil {
		e.next.previous = e.previous
	} else {
		sq.tail = e.previous
	}
	e.previous, e.next = nil, nil
	sq.class.queued--
	sq.class.queuedWork -= e.estimatedWork
	sq.class.team.pool.queuedDemand.sub(e.totalDemand())
	if sq.head == nil {
		sq.class.removeSubqueue(sq)
	}
}

// removeSubqueue removes the empty subqueue sq.
func (q *classQueue) removeSubqueue(sq *subqueue) {
	for i, other := range q.subqueues {
		if other == sq {
			q.subqueues = append(q.subqueues[:i], q.subqueues[i+1:]...)
			return
		}
	}
}

// unblock makes the head of sq ready to be tried.
func (sq *subqueue) unblock() {
	sq.blocked, sq.retryAt = false, 0
	sq.class.team.pool.requestDecision()
}

// deadlineQueue orders entries by deadline. Entries that are no longer queued are stale:
// they stay until they reach the front or make up more than half of the heap, so that
// canceling an item takes amortized constant time.
type deadlineQueue struct {
	entries deadlineHeap
	stale   int // entries that are no longer queued
}

type deadlineHeap []*entry

func (h deadlineHeap) Len() int { return len(h) }
func (h deadlineHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.item.Deadline != b.item.Deadline {
		return a.item.Deadline < b.item.Deadline
	}
	return a.sequence < b.sequence
}
func (h deadlineHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *deadlineHeap) Push(x any)   { *h = append(*h, x.(*entry)) }
func (h *deadlineHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return e
}

// push adds e if it has a deadline.
func (d *deadlineQueue) push(e *entry) {
	if e.item.Deadline > 0 {
		heap.Push(&d.entries, e)
	}
}

// markStale records that e is no longer queued. From 64 stale entries on, it removes them
// once they are more than half of the heap.
func (d *deadlineQueue) markStale(e *entry) {
	if e.item.Deadline <= 0 {
		return
	}
	d.stale++
	if d.stale*2 <= len(d.entries) || d.stale < 64 {
		return
	}
	kept := d.entries[:0]
	for _, e := range d.entries {
		if e.subqueue != nil {
			kept = append(kept, e)
		}
	}
	clear(d.entries[len(kept):])
	d.entries, d.stale = kept, 0
	heap.Init(&d.entries)
}

// pop returns the next queued entry whose deadline is before now, or nil.
func (d *deadlineQueue) pop(now time.Duration) *entry {
	for len(d.entries) > 0 && d.entries[0].item.Deadline < now {
		e := heap.Pop(&d.entries).(*entry)
		if e.subqueue != nil {
			return e
		}
		d.stale--
	}
	return nil
}
