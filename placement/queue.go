package placement

import (
	"container/heap"
	"math/bits"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// maxLanes bounds the lanes of one class of a team, and so the cost of a decision.
// Items beyond it share one lane.
const maxLanes = 64

// laneKey groups items of like size, so that an item that does not fit holds up only
// items of its own size. Sizes are in half powers of two.
type laneKey struct {
	size     [dimCount]uint8
	tasks    uint8
	workload api.Workload
	region   string
	overflow bool
}

// entry is a queued item. It is in exactly one lane.
type entry struct {
	item     *Item
	demand   vector // of one task
	sequence uint64 // order of arrival
	lane     *lane
	previous *entry
	next     *entry

	work         float64 // at arrival; see pool.work
	queuedAt     time.Duration
	blockedSince time.Duration // first failed try as head of its lane; -1 before
	hold         *hold
	notBefore    time.Duration // no try before, even if room is freed
	holdRetryAt  time.Duration // no hold before
	holdLength   time.Duration // of the last hold
}

// total is the demand of all tasks.
func (e *entry) total() vector { return e.demand.times(int64(e.item.Tasks)) }

// lane is a list of entries in order of arrival. Any entry is unlinked in constant time.
type lane struct {
	key     laneKey
	class   *classQueue
	head    *entry
	tail    *entry
	blocked bool
	// retryAt unblocks the lane at that time; 0 if only freed room does.
	retryAt    time.Duration
	generation uint64 // of the freed room at the last try
}

// halfPower returns the position of v on a scale of two steps for each power of two.
func halfPower(v int64) uint8 {
	if v <= 0 {
		return 0
	}
	n := bits.Len64(uint64(v))
	half := 0
	if n > 1 && v>>(n-2)&1 == 1 {
		half = 1
	}
	return uint8(2*n + half)
}

func keyOf(item *Item, demand vector) laneKey {
	k := laneKey{workload: item.Workload, region: item.Region, tasks: halfPower(int64(item.Tasks))}
	for d, v := range demand {
		k.size[d] = halfPower(v)
	}
	return k
}

// push adds e at the end of its lane, which it creates if needed.
func (q *classQueue) push(now time.Duration, e *entry) {
	if q.queued == 0 {
		q.backlogSince, q.queuedWork = now, 0
	}
	e.work = q.team.pool.work(e.item, e.demand)
	q.queuedWork += e.work
	q.team.pool.waiting.add(e.total())
	k := keyOf(e.item, e.demand)
	l := q.lane(k)
	if l == nil && len(q.lanes) >= maxLanes {
		k = laneKey{overflow: true}
		l = q.lane(k)
	}
	if l == nil {
		l = &lane{key: k, class: q}
		q.lanes = append(q.lanes, l)
	}
	e.lane, e.previous = l, l.tail
	if l.tail != nil {
		l.tail.next = e
	} else {
		l.head = e
		q.team.pool.wake()
	}
	l.tail = e
	q.queued++
}

func (q *classQueue) lane(k laneKey) *lane {
	for _, l := range q.lanes {
		if l.key == k {
			return l
		}
	}
	return nil
}

// unlink removes e from its lane, and the lane from its class when it is empty.
func (l *lane) unlink(e *entry) {
	if e.previous != nil {
		e.previous.next = e.next
	} else {
		l.head = e.next
		l.unblock()
	}
	if e.next != nil {
		e.next.previous = e.previous
	} else {
		l.tail = e.previous
	}
	e.previous, e.next = nil, nil
	l.class.queued--
	l.class.queuedWork -= e.work
	l.class.team.pool.waiting.sub(e.total())
	if l.head == nil {
		l.class.removeLane(l)
	}
}

func (q *classQueue) removeLane(l *lane) {
	for i, other := range q.lanes {
		if other == l {
			q.lanes = append(q.lanes[:i], q.lanes[i+1:]...)
			return
		}
	}
}

func (l *lane) unblock() {
	l.blocked, l.retryAt = false, 0
	l.class.team.pool.wake()
}

// deadlineQueue orders entries by deadline. Entries that have left the queue stay until
// they come up or until they are half of it, so that a cancel costs constant time.
type deadlineQueue struct {
	entries deadlineHeap
	stale   int
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

func (d *deadlineQueue) push(e *entry) {
	if e.item.Deadline > 0 {
		heap.Push(&d.entries, e)
	}
}

// left records that e is no longer queued.
func (d *deadlineQueue) left(e *entry) {
	if e.item.Deadline <= 0 {
		return
	}
	d.stale++
	if d.stale*2 <= len(d.entries) || d.stale < 64 {
		return
	}
	kept := d.entries[:0]
	for _, e := range d.entries {
		if e.lane != nil {
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
		if e.lane != nil {
			return e
		}
		d.stale--
	}
	return nil
}
