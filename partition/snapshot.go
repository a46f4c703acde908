package partition

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/pkg/errors"
)

// snapshotVersion is the version of the snapshot format.
const snapshotVersion = 1

// snapshot is the encoded replicated state. Records are in order of acceptance, so that equal
// replicas produce equal bytes.
type snapshot struct {
	Version   int       `cbor:"1,keyasint"`
	NextIndex uint64    `cbor:"2,keyasint"`
	Records   []*record `cbor:"3,keyasint"`
	Epoch     uint64    `cbor:"4,keyasint"`
	// Workers are the workers' announcements, sorted by name.
	Workers []api.Announcement `cbor:"5,keyasint,omitempty"`
}

// Snapshot returns the replicated state in CBOR.
func (p *Partition) Snapshot() []byte {
	records := make([]*record, 0, len(p.records))
	for _, r := range p.ordered {
		if !r.dropped {
			records = append(records, r)
		}
	}
	return encode(snapshot{Version: snapshotVersion, NextIndex: p.nextIndex, Records: records, Epoch: p.epoch, Workers: p.announcements()})
}

// announcements returns the announcements of the workers, sorted by name.
func (p *Partition) announcements() []api.Announcement {
	names := slices.Sorted(maps.Keys(p.workers))
	out := make([]api.Announcement, 0, len(names))
	for _, name := range names {
		out = append(out, p.workers[name])
	}
	return out
}

// snapshotDecMode raises the limit on the number of records so far that it has no effect,
// since the storage has already verified the checksum of the snapshot. Like codec.DecMode it
// accepts the text that the encoder accepts.
var snapshotDecMode = codec.Must(cbor.DecOptions{MaxArrayElements: 1 << 30, UTF8: cbor.UTF8DecodeInvalid}.DecMode())

// Restore replaces the replicated state by that of a snapshot. It returns an error and changes
// nothing if data is not a valid snapshot or this replica is the owner.
func (p *Partition) Restore(data []byte) error {
	if p.owner != nil {
		return errors.New("partition: cannot restore a snapshot while owner")
	}
	var s snapshot
	if err := snapshotDecMode.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "partition: decode snapshot")
	}
	if s.Version != snapshotVersion {
		return errors.Errorf("partition: snapshot version %d, want %d", s.Version, snapshotVersion)
	}
	p.nextIndex, p.epoch = s.NextIndex, s.Epoch
	p.ordered, p.droppedCount = s.Records, 0
	p.records = make(map[api.RequestKey]*record, len(s.Records))
	for _, r := range s.Records {
		p.records[r.Spec.Key] = r
	}
	p.workers = make(map[string]api.Announcement, len(s.Workers))
	for _, a := range s.Workers {
		p.workers[a.Worker] = a
	}
	return nil
}
