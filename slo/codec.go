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

// ErrDamaged means that encoded data cannot be used.
var ErrCorrupt = errors.New("service-level data is damaged")

// formatVersion changes with the meaning of the encoded data.
const formatVersion = 1

// MaxEncodedBytes bounds what Decode accepts. MaxObjectives objectives with full
// buckets and histograms stay below it.
const MaxEncodedBytes = 32 << 20

// checksumBytes is the length of the xxhash at the start of the encoded data.
const checksumBytes = 8

// Snapshot is a copy of a Set's samples for Encode.
type Snapshot struct {
	Version int                   `cbor:"1,keyasint"`
	Series  map[string]wireSeries `cbor:"2,keyasint"`
}

// wireSeries holds the live buckets of the minutes, hours and days.
type wireSeries [][]wireCell

type wireCell struct {
	_     struct{} `cbor:",toarray"`
	Index int64
	Good  uint64
	Bad   uint64
	// Counts are pairs of a position in the histogram and its count.
	Counts []int64
}

var encMode = codec.DeterministicEncMode

// decMode bounds the arrays: a histogram has less than 2,500 positions.
var decMode = codec.Must(cbor.DecOptions{
	MaxArrayElements: 8192, MaxMapPairs: 4 * MaxObjectives, MaxNestedLevels: 16,
	DupMapKey: cbor.DupMapKeyEnforcedAPF, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
}.DecMode())

// Snapshot copies the samples of all objectives.
func (s *Set) Snapshot() Snapshot {
	out := Snapshot{}
	for _, id := range s.ids {
		out.Add(s, id)
	}
	return out
}

// Add copies the samples of one objective of a Set. The owner of the Set needs its lock
// for each call alone: a copy takes about 0.6 ms for full histograms, and all of them
// would hold up recording for 18 ms.
func (s *Snapshot) Add(from *Set, id string) {
	if s.Series == nil {
		s.Version, s.Series = formatVersion, map[string]wireSeries{}
	}
	var w wireSeries
	for _, r := range from.series[id].rings() {
		cells := []wireCell{}
		for _, c := range r.live() {
			cells = append(cells, wireCell{Index: c.index, Good: c.good, Bad: c.bad, Counts: sparse(c.hist)})
		}
		w = append(w, cells)
	}
	s.Series[id] = w
}

func sparse(h *hdrhistogram.Histogram) []int64 {
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

// Encode returns CBOR after a checksum. Equal samples give equal bytes.
func (s Snapshot) Encode() ([]byte, error) {
	body, err := encMode.Marshal(s)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return sealed(body), nil
}

// sealed puts the checksum before the body.
func sealed(body []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(body)), body...)
}

// Decode returns the samples of the given objectives; data of others is ignored. The
// error is ErrDamaged if data was not written by Encode of this format.
func Decode(objectives []Objective, data []byte) (*Set, error) {
	if len(data) < checksumBytes || len(data) > MaxEncodedBytes {
		return nil, errors.Wrapf(ErrCorrupt, "%d B", len(data))
	}
	body := data[checksumBytes:]
	if binary.BigEndian.Uint64(data) != xxhash.Sum64(body) {
		return nil, errors.Wrap(ErrCorrupt, "wrong checksum")
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

// load fills an empty series; it is left partly filled on an error.
func (s *series) load(w wireSeries) error {
	if len(w) == 0 {
		return nil
	}
	rings := s.rings()
	if len(w) != len(rings) {
		return errors.Wrapf(ErrCorrupt, "%d rings", len(w))
	}
	for i, r := range rings {
		if err := r.load(w[i], r == &s.days); err != nil {
			return err
		}
	}
	return nil
}

// maxIndexTime bounds bucket indexes, so that computing with them cannot overflow.
var maxIndexTime = time.Date(9999, 1, 1, 0, 0, 0, 0, time.UTC)

// load takes buckets in strictly ascending order that fit into the ring together.
func (r *ring) load(cells []wireCell, withValues bool) error {
	if len(cells) == 0 {
		return nil
	}
	last := cells[len(cells)-1].Index
	previous := max(0, last-int64(len(r.cells)))
	if last > r.indexOf(maxIndexTime) {
		return errors.Wrapf(ErrCorrupt, "bucket %d", last)
	}
	for _, w := range cells {
		if w.Index <= previous || w.Good > maxCount || w.Bad > maxCount || w.Good+w.Bad == 0 || len(w.Counts) > 0 && !withValues {
			return errors.Wrapf(ErrCorrupt, "bucket %d", w.Index)
		}
		previous = w.Index
		h, err := dense(w.Counts)
		if err != nil {
			return err
		}
		*r.at(w.Index) = cell{index: w.Index, good: w.Good, bad: w.Bad, hist: h}
	}
	return nil
}

// dense is the inverse of sparse.
func dense(pairs []int64) (*hdrhistogram.Histogram, error) {
	if len(pairs) == 0 {
		return nil, nil
	}
	snap := newHistogram().Export()
	previous := int64(-1)
	for i := 0; i < len(pairs); i += 2 {
		if i+1 == len(pairs) || pairs[i] <= previous || pairs[i] >= int64(len(snap.Counts)) || pairs[i+1] < 1 || pairs[i+1] > maxCount {
			return nil, errors.Wrap(ErrCorrupt, "histogram")
		}
		previous = pairs[i]
		snap.Counts[pairs[i]] = pairs[i+1]
	}
	return hdrhistogram.Import(snap), nil
}
