package control

import (
	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

// snapshotFormat changes when the fields of snapshot change their meaning.
const snapshotFormat = 1

type snapshot struct {
	Format          uint64             `cbor:"1,keyasint"`
	Index           uint64             `cbor:"2,keyasint"`
	Tables          api.Tables         `cbor:"3,keyasint"`
	VMs             []VM               `cbor:"4,keyasint"`
	Partitions      []Partition        `cbor:"5,keyasint"`
	Homes           homes              `cbor:"6,keyasint"`
	Responses       []answer           `cbor:"7,keyasint"`
	History         []api.HistoryEntry `cbor:"8,keyasint"`
	WarningsInForce []warningID        `cbor:"9,keyasint,omitempty"`
}

// Snapshot returns the whole state. Equal states give equal bytes.
func (s *State) Snapshot() []byte {
	return mustEncode(snapshot{
		Format: snapshotFormat, Index: s.index, Tables: s.tables, VMs: s.VMs(), Partitions: s.Partitions(),
		Homes: s.homes, Responses: s.answers.ordered(), History: s.history, WarningsInForce: s.standing,
	})
}

// Restore replaces the state with a snapshot. On an error the state is unchanged.
func (s *State) Restore(data []byte) error {
	var in snapshot
	if err := decMode.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "decode control snapshot")
	}
	if in.Format != snapshotFormat {
		return errors.Errorf("control snapshot has format %d, want %d", in.Format, snapshotFormat)
	}
	next := New()
	next.index, next.history, next.standing = in.Index, in.History, in.WarningsInForce
	next.tables = NormalizeTables(in.Tables)
	next.resolver = NewResolver(next.tables)
	if in.Homes.Pools != nil && in.Homes.Kinds != nil {
		next.homes = in.Homes
	}
	for _, vm := range in.VMs {
		next.vms[vm.Name] = vm
	}
	for _, p := range in.Partitions {
		next.partitions[p.Name] = p
	}
	for _, a := range in.Responses {
		next.answers.add(a.ChangeID, a.Response)
	}
	*s = *next
	return nil
}
