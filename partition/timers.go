package partition

import (
	"container/heap"
	"time"
)

// timer is a call of run at the first Step or Apply at or after the time at.
type timer struct {
	at       time.Duration
	sequence uint64
	run      func(now time.Duration)
}

// timerHeap is a heap of timers, ordered by time, then by creation.
type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}

// after schedules run at the given time.
func (o *owner) after(at time.Duration, run func(now time.Duration)) {
	o.timerSequence++
	heap.Push(&o.timers, timer{at: at, sequence: o.timerSequence, run: run})
}

// runTimers runs the timers that are due.
func (o *owner) runTimers(now time.Duration) {
	for len(o.timers) > 0 && o.timers[0].at <= now {
		heap.Pop(&o.timers).(timer).run(now)
	}
}
