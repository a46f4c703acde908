package slo

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// bucket counts the samples of one time interval.
type bucket struct {
	index     int64 // Unix time divided by the bucket width of the ring
	good, bad uint64
	hist      *hdrhistogram.Histogram // values in milliseconds; nil if there are none
}

// ring is a ring buffer of the newest len(buckets) buckets. Buckets are aligned to the
// Unix epoch, so that the rings of several VMs can be merged bucket by bucket.
type ring struct {
	bucketWidth time.Duration
	buckets     []bucket
	newest      int64 // index of the newest bucket with a sample; 0 if there is none
}

func newRing(bucketWidth time.Duration, buckets int) ring {
	return ring{bucketWidth: bucketWidth, buckets: make([]bucket, buckets)}
}

// indexOf returns the index of the bucket that contains t.
func (r *ring) indexOf(t time.Time) int64 { return t.UnixMilli() / r.bucketWidth.Milliseconds() }

// oldest returns the lowest bucket index that the ring keeps.
func (r *ring) oldest() int64 { return max(1, r.newest-int64(len(r.buckets))+1) }

// bucketForSample returns the bucket at index to add samples to. An index newer than all
// others advances the ring. It returns nil if index is older than the ring.
func (r *ring) bucketForSample(index int64) *bucket {
	if index < r.oldest() {
		return nil
	}
	r.newest = max(r.newest, index)
	b := &r.buckets[index%int64(len(r.buckets))]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}

// bucketAt returns a copy of the bucket at index, or an empty one if it has no samples.
func (r *ring) bucketAt(index int64) bucket {
	if index < r.oldest() || index > r.newest {
		return bucket{}
	}
	if b := r.buckets[index%int64(len(r.buckets))]; b.index == index {
		return b
	}
	return bucket{}
}

// nonEmptyBuckets returns the buckets with samples, oldest first.
func (r *ring) nonEmptyBuckets() []bucket {
	var out []bucket
	for _, b := range r.buckets {
		if b.good+b.bad > 0 && b.index >= r.oldest() && b.index <= r.newest {
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b bucket) int { return int(a.index - b.index) })
	return out
}

// merge adds the buckets of another ring with the same bucket width.
func (r *ring) merge(o *ring) {
	for _, b := range o.nonEmptyBuckets() {
		if mine := r.bucketForSample(b.index); mine != nil {
			mine.add(b)
		}
	}
}

// add adds the samples of another bucket, which is not modified.
func (b *bucket) add(o bucket) {
	b.good = addSaturating(b.good, o.good)
	b.bad = addSaturating(b.bad, o.bad)
	if o.hist != nil {
		if b.hist == nil {
			b.hist = newHistogram()
		}
		b.hist.Merge(o.hist)
	}
}

// maxBucketCount bounds the count of one bucket, so that sums over a ring cannot overflow.
const maxBucketCount = 1 << 40

// addSaturating returns a+b, or maxBucketCount if the sum is larger.
func addSaturating(a, b uint64) uint64 { return min(a+b, maxBucketCount) }

// dropAfter removes the buckets that are newer than t. Buckets that had become too old
// because of the removed ones count again, unless they were overwritten.
func (r *ring) dropAfter(t time.Time) {
	last := r.indexOf(t)
	if r.newest <= last {
		return
	}
	kept := newRing(r.bucketWidth, len(r.buckets))
	for _, b := range r.buckets {
		if b.good+b.bad == 0 || b.index > last {
			continue
		}
		if mine := kept.bucketForSample(b.index); mine != nil {
			*mine = b
		}
	}
	*r = kept
}

// sum returns the number of samples in the buckets from first to last, inclusive.
func (r *ring) sum(first, last int64) (good, bad uint64) {
	for i := max(first, r.oldest()); i <= min(last, r.newest); i++ {
		b := r.bucketAt(i)
		good += b.good
		bad += b.bad
	}
	return good, bad
}
