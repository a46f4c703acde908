package control

import (
	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

// snapshotFormat is the version of the snapshot encoding. It must change whenever the
// meaning of a field of snapshot changes.
const snapshotFormat = 1

// snapshot is the encoded form of a State.
type snapshot struct {
	Format          uint64             `cbor:"1,keyasint"`
	Index           uint64             `cbor:"2,keyasint"`
	Tables          api.Tables         `cbor:"3,keyasint"`
	VMs             []VM               `cbor:"4,keyasint"`
	Partitions      []Partition        `cbor:"5,keyasint"`
	Homes           homes              `cbor:"6,keyasint"`
	Responses       []cachedResponse   `cbor:"7,keyasint"`
	History         []api.HistoryEntry `cbor:"8,keyasint"`
	WarningsInForce []warningID        `cbor:"9,keyasint,omitempty"`
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (s *State) Snapshot() []byte {
	return mustEncode(snapshot{
		Format: snapshotFormat, Index: s.index, Tables: s.tables, VMs: s.VMs(), Partitions: s.Partitions(),
		Homes: s.homes, Responses: s.responses.oldestFirst(), History: s.history, WarningsInForce: s.warningsInForce,
	})
}

// Restore replaces the state with the one in a snapshot. If it returns an error, the
// state is unchanged.
func (s *State) Restore(data []byte) error {
	var in snapshot
	if err := decMode.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "decode control snapshot")
	}
	if in.Format != snapshotFormat {
		return errors.Errorf("control snapshot has format %d, want %d", in.Format, snapshotFormat)
	}
	next := New()
	next.index, next.history, next.warningsInForce = in.Index, in.History, in.WarningsInForce
	next.tables = NormalizeTables(in.Tables)
	if in.Homes.Pools != nil && in.Homes.Kinds != nil {
		next.homes = in.Homes
	}
	next.resolver = NewResolver(next.tables, next.homes.Kinds)
	for _, vm := range in.VMs {
		next.vms[vm.Name] = vm
	}
	for _, p := range in.Partitions {
		next.partitions[p.Name] = p
	}
	for _, r := range in.Responses {
		next.responses.add(r.ChangeID, r.Response)
	}
	*s = *next
	return nil
}
