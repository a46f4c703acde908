package slo

import (
	"encoding/binary"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/pkg/errors"
)

// ErrCorrupt means that encoded data is corrupt or has another format.
var ErrCorrupt = errors.New("service-level data is corrupt")

// formatVersion changes with the meaning of the encoded data.
const formatVersion = 1

// MaxEncodedBytes bounds the data that Decode accepts. The data of MaxObjectives
// objectives with full buckets and histograms is smaller.
const MaxEncodedBytes = 32 << 20

// checksumBytes is the length of the xxhash at the start of the encoded data.
const checksumBytes = 8

// Snapshot is a copy of a Set's samples for Encode.
type Snapshot struct {
	Version int                   `cbor:"1,keyasint"`
	Series  map[string]wireSeries `cbor:"2,keyasint"`
}

// wireSeries holds the non-empty buckets of the minutes, hours and days, in this order.
type wireSeries [][]wireBucket

// wireBucket is the encoded form of a bucket.
type wireBucket struct {
	_     struct{} `cbor:",toarray"`
	Index int64
	Good  uint64
	Bad   uint64
	// Counts holds pairs of a position in the histogram and its count; positions ascend.
	Counts []int64
}

var encMode = codec.DeterministicEncMode

// decMode limits the length of arrays: a histogram has fewer than 2,500 positions.
var decMode = codec.Must(cbor.DecOptions{
	MaxArrayElements: 8192, MaxMapPairs: 4 * MaxObjectives, MaxNestedLevels: 16,
	DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
}.DecMode())

// Snapshot copies the samples of all objectives.
func (s *Set) Snapshot() Snapshot {
	out := Snapshot{}
	for _, id := range s.objectiveIDs {
		out.Add(s, id)
	}
	return out
}

// Add copies the samples of one objective of a Set. The owner of the Set can release its
// lock between calls: a copy takes about 0.6 ms for full histograms, and copying all
// objectives under one lock would block recording for 18 ms.
func (s *Snapshot) Add(from *Set, id string) {
	if s.Series == nil {
		s.Version, s.Series = formatVersion, map[string]wireSeries{}
	}
	var w wireSeries
	for _, r := range from.series[id].rings() {
		buckets := []wireBucket{}
		for _, b := range r.nonEmptyBuckets() {
			buckets = append(buckets, wireBucket{Index: b.index, Good: b.good, Bad: b.bad, Counts: sparseCounts(b.hist)})
		}
		w = append(w, buckets)
	}
	s.Series[id] = w
}

// sparseCounts returns pairs of the position and the count of each non-empty position of
// a histogram.
func sparseCounts(h *hdrhistogram.Histogram) []int64 {
	if h == nil {
		return nil
	}
	var out []int64
	for i, n := range h.Export().Counts {
		if n > 0 {
			out = append(out, int64(i), n)
		}
	}
	return out
}

// Encode returns a checksum followed by CBOR data. The encoding is deterministic.
func (s Snapshot) Encode() ([]byte, error) {
	body, err := encMode.Marshal(s)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return withChecksum(body), nil
}

// withChecksum returns the checksum followed by the body.
func withChecksum(body []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...)
}

// Decode returns the samples of the given objectives and ignores the data of others. It
// returns ErrCorrupt if data was not written by Encode in this format.
func Decode(objectives []Objective, data []byte) (*Set, error) {
	if len(data) < checksumBytes || len(data) > MaxEncodedBytes {
		return nil, errors.Wrapf(ErrCorrupt, "invalid length of %d bytes", len(data))
	}
	body := data[checksumBytes:]
	if binary.BigEndian.Uint64(data) != xxhash.Sum64(body) {
		return nil, errors.Wrap(ErrCorrupt, "checksum mismatch")
	}
	var w Snapshot
	if err := decMode.Unmarshal(body, &w); err != nil {
		return nil, errors.Wrap(ErrCorrupt, err.Error())
	}
	if w.Version != formatVersion {
		return nil, errors.Wrapf(ErrCorrupt, "format %d, expected %d", w.Version, formatVersion)
	}
	s := NewSet(objectives)
	for id, v := range s.series {
		if err := v.load(w.Series[id]); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// load fills an empty series. On an error the series is left partly filled.
func (s *series) load(w wireSeries) error {
	if len(w) == 0 {
		return nil
	}
	rings := s.rings()
	if len(w) != len(rings) {
		return errors.Wrapf(ErrCorrupt, "%d rings, expected %d", len(w), len(rings))
	}
	for i, r := range rings {
		if err := r.load(w[i], r == &s.days); err != nil {
			return err
		}
	}
	return nil
}

// maxIndexTime bounds bucket indexes, so that arithmetic with them cannot overflow.
var maxIndexTime = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// load fills the ring with buckets, which must be in strictly ascending order and span
// no more than the length of the ring. Only buckets of a ring withValues may have counts.
func (r *ring) load(buckets []wireBucket, withValues bool) error {
	if len(buckets) == 0 {
		return nil
	}
	last := buckets[len(buckets)-1].Index
	previous := max(0, last-int64(len(r.buckets)))
	if last > r.indexOf(maxIndexTime) {
		return errors.Wrapf(ErrCorrupt, "invalid bucket index %d", last)
	}
	for _, w := range buckets {
		if w.Index <= previous || w.Good > maxBucketCount || w.Bad > maxBucketCount || w.Good+w.Bad == 0 || len(w.Counts) > 0 && !withValues {
			return errors.Wrapf(ErrCorrupt, "invalid bucket %d", w.Index)
		}
		previous = w.Index
		h, err := histogramFromSparse(w.Counts)
		if err != nil {
			return err
		}
		*r.bucketForSample(w.Index) = bucket{index: w.Index, good: w.Good, bad: w.Bad, hist: h}
	}
	return nil
}

// histogramFromSparse is the inverse of sparseCounts.
func histogramFromSparse(pairs []int64) (*hdrhistogram.Histogram, error) {
	if len(pairs) == 0 {
		return nil, nil
	}
	snap := newHistogram().Export()
	previous := int64(-1)
	for i := 0; i < len(pairs); i += 2 {
		if i+1 == len(pairs) || pairs[i] <= previous || pairs[i] >= int64(len(snap.Counts)) || pairs[i+1] < 1 || pairs[i+1] > maxBucketCount {
			return nil, errors.Wrap(ErrCorrupt, "invalid histogram")
		}
		previous = pairs[i]
		snap.Counts[pairs[i]] = pairs[i+1]
	}
	return hdrhistogram.Import(snap), nil
}
