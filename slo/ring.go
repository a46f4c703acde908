package slo

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// cell counts the samples of one time bucket.
type cell struct {
	index     int64 // Unix time divided by the ring's step
	good, bad uint64
	hist      *hdrhistogram.Histogram // values in milliseconds; nil without values
}

// ring holds the newest len(cells) time buckets. Buckets are aligned to the Unix epoch,
// so that rings of several VMs merge bucket by bucket.
type ring struct {
	step  time.Duration
	cells []cell
	head  int64 // index of the newest bucket with a sample; 0 if none
}

func newRing(step time.Duration, buckets int) ring {
	return ring{step: step, cells: make([]cell, buckets)}
}

// indexOf returns the bucket of a time.
func (r *ring) indexOf(t time.Time) int64 { return t.UnixMilli() / r.step.Milliseconds() }

// oldest returns the index of the oldest bucket that the ring keeps.
func (r *ring) oldest() int64 { return max(1, r.head-int64(len(r.cells))+1) }

// at returns the bucket for a new sample, or nil if the bucket is older than the ring.
func (r *ring) at(index int64) *cell {
	if index < r.oldest() {
		return nil
	}
	r.head = max(r.head, index)
	c := &r.cells[index%int64(len(r.cells))]
	if c.index != index {
		*c = cell{index: index}
	}
	return c
}

// get returns the bucket at index, empty if it has no samples.
func (r *ring) get(index int64) cell {
	if index < r.oldest() || index > r.head {
		return cell{}
	}
	if c := r.cells[index%int64(len(r.cells))]; c.index == index {
		return c
	}
	return cell{}
}

// live returns the buckets with samples, oldest first.
func (r *ring) live() []cell {
	var out []cell
	for _, c := range r.cells {
		if c.good+c.bad > 0 && c.index >= r.oldest() && c.index <= r.head {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b cell) int { return int(a.index - b.index) })
	return out
}

// merge adds the buckets of another ring of the same step.
func (r *ring) merge(o *ring) {
	for _, c := range o.live() {
		if mine := r.at(c.index); mine != nil {
			mine.add(c)
		}
	}
}

// add adds the samples of another bucket, which stays unchanged.
func (c *cell) add(o cell) {
	c.good = addCount(c.good, o.good)
	c.bad = addCount(c.bad, o.bad)
	if o.hist != nil {
		if c.hist == nil {
			c.hist = newHistogram()
		}
		c.hist.Merge(o.hist)
	}
}

// maxCount bounds the count of one bucket, so that sums over a ring cannot overflow.
const maxCount = 1 << 40

func addCount(a, b uint64) uint64 { return min(a+b, maxCount) }

// dropAfter removes the buckets that are newer than t. Older buckets that those had
// pushed out of the ring count again, unless they were overwritten.
func (r *ring) dropAfter(t time.Time) {
	last := r.indexOf(t)
	if r.head <= last {
		return
	}
	kept := newRing(r.step, len(r.cells))
	for _, c := range r.cells {
		if c.good+c.bad == 0 || c.index > last {
			continue
		}
		if mine := kept.at(c.index); mine != nil {
			*mine = c
		}
	}
	*r = kept
}

// sum returns the samples in the buckets from first to last.
func (r *ring) sum(first, last int64) (good, bad uint64) {
	for i := max(first, r.oldest()); i <= min(last, r.head); i++ {
		c := r.get(i)
		good += c.good
		bad += c.bad
	}
	return good, bad
}
