package partition

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/oleanderchute/oleanderchute/api"
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
}

// Snapshot returns the records in CBOR.
func (p *Partition) Snapshot() []byte {
	records := make([]*record, 0, len(p.records))
	for _, r := range p.ordered {
		if !r.dropped {
			records = append(records, r)
		}
	}
	return encode(snapshot{Version: snapshotVersion, NextIndex: p.nextIndex, Records: records, Epoch: p.epoch})
}

// Restore replaces the records by those of a snapshot. It returns an error and changes
// nothing if data is not a snapshot or this replica is the owner.
func (p *Partition) Restore(data []byte) error {
	if p.owner != nil {
		return errors.New("partition: restore while owner")
	}
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 30}.DecMode()
	if err != nil {
		return errors.Wrap(err, "partition: decoder")
	}
	var s snapshot
	if err := mode.Unmarshal(data, &s); err != nil {
		return errors.Wrap(err, "partition: snapshot")
	}
	if s.Version != snapshotVersion {
		return errors.Errorf("partition: snapshot version %d, want %d", s.Version, snapshotVersion)
	}
	p.nextIndex, p.epoch = s.NextIndex, s.Epoch
	p.ordered, p.dropped = s.Records, 0
	p.records = make(map[api.RequestKey]*record, len(s.Records))
	for _, r := range s.Records {
		p.records[r.Spec.Key] = r
	}
	return nil
}
