package partition

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/pkg/errors"
)

// snapshotVersion is the format of snapshots.
const snapshotVersion = 1

// snapshot is the replicated state. Records are in the order of acceptance, so that
// equal replicas give equal bytes.
type snapshot struct {
	Version   int       `cbor:"1,keyasint"`
	NextIndex uint64    `cbor:"2,keyasint"`
	Records   []*record `cbor:"3,keyasint"`
	Epoch     uint64    `cbor:"4,keyasint"`
	// Workers are the announcements by name, in order.
	Workers []api.Announcement `cbor:"5,keyasint,omitempty"`
}

// Snapshot returns the records in CBOR.
func (p *Partition) Snapshot() []byte {
	records := make([]*record, 0, len(p.records))
	for _, r := range p.ordered {
		if !r.dropped {
			records = append(records, r)
		}
	}
	return encode(snapshot{Version: snapshotVersion, NextIndex: p.nextIndex, Records: records, Epoch: p.epoch, Workers: p.announcements()})
}

// announcements lists the announcements of the workers by name.
func (p *Partition) announcements() []api.Announcement {
	names := slices.Sorted(maps.Keys(p.workers))
	out := make([]api.Announcement, 0, len(names))
	for _, name := range names {
		out = append(out, p.workers[name])
	}
	return out
}

// snapshotMode has no bound of its own on the number of records: a snapshot is checked by
// the storage's checksum before it gets here.
var snapshotDecMode = codec.Must(cbor.DecOptions{MaxArrayElements: 1 << 30}.DecMode())

// Restore replaces the records by those of a snapshot. It returns an error and changes
// nothing if data is not a snapshot or this replica is the owner.
func (p *Partition) Restore(data []byte) error {
	if p.owner != nil {
		return errors.New("partition: restore while owner")
	}
	var s snapshot
	if err := snapshotDecMode.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "partition: snapshot")
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
