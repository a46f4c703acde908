package control

import (
	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

// Change is a change of the tables with what the proposer adds to it, so that every
// replica decides on the same data.
type Change struct {
	Request api.ApplyRequest
	// UnixMillis is the proposer's wall-clock time in milliseconds, for the history.
	UnixMillis int64
	// Workers are the workers known to the proposer, for the warnings in the answer;
	// nil when it knows none of them.
	Workers []WorkerInfo
}

// command is one entry of the control log. Exactly one field is set.
type command struct {
	Change         *changeCommand `cbor:"1,keyasint,omitempty"`
	RegisterVM     *VM            `cbor:"2,keyasint,omitempty"`
	DeregisterVM   *string        `cbor:"3,keyasint,omitempty"`
	AssignReplicas *Partition     `cbor:"4,keyasint,omitempty"`
}

// changeCommand carries either the whole tables or a delta to the base version.
type changeCommand struct {
	ChangeID    string       `cbor:"1,keyasint"`
	BaseVersion uint64       `cbor:"2,keyasint"`
	Operator    string       `cbor:"3,keyasint,omitempty"`
	UnixMillis  int64        `cbor:"4,keyasint"`
	Tables      *api.Tables  `cbor:"5,keyasint,omitempty"`
	Delta       *Delta       `cbor:"6,keyasint,omitempty"`
	Workers     []WorkerInfo `cbor:"7,keyasint"`
}

// EncodeChange encodes a change with the whole tables. State.EncodeChange gives far
// fewer bytes when the proposer has applied the base version.
func EncodeChange(c Change) []byte {
	cmd := newChangeCommand(c)
	tables := NormalizeTables(c.Request.Tables)
	tables.Version = 0
	cmd.Tables = &tables
	return mustEncode(command{Change: cmd})
}

// EncodeChange encodes a change as a delta to the version in force if it is based on
// that version. The delta is sound because Apply carries it out only if the base version
// still stands, and a version is the same tables on every replica.
func (s *State) EncodeChange(c Change) []byte {
	switch {
	case c.Request.BaseVersion > s.tables.Version || !hasUniqueNames(c.Request.Tables):
		return EncodeChange(c)
	case c.Request.BaseVersion < s.tables.Version:
		// The version only grows, so the change is refused whatever its tables are.
		cmd := newChangeCommand(c)
		cmd.Delta, cmd.Workers = &Delta{}, nil
		return mustEncode(command{Change: cmd})
	}
	cmd := newChangeCommand(c)
	delta := Diff(s.tables, c.Request.Tables)
	cmd.Delta = &delta
	return mustEncode(command{Change: cmd})
}

func newChangeCommand(c Change) *changeCommand {
	return &changeCommand{
		ChangeID:    c.Request.ChangeID,
		BaseVersion: c.Request.BaseVersion,
		Operator:    c.Request.Operator,
		UnixMillis:  c.UnixMillis,
		Workers:     SummarizeWorkers(c.Workers),
	}
}

// EncodeRegister encodes the registration of a VM, or its update.
func EncodeRegisterVM(vm VM) []byte { return mustEncode(command{RegisterVM: &vm}) }

// EncodeRemove encodes the removal of a VM by name.
func EncodeDeregisterVM(vm string) []byte { return mustEncode(command{DeregisterVM: &vm}) }

// EncodeAssign encodes the assignment of a partition's replicas.
func EncodeAssignReplicas(p Partition) []byte { return mustEncode(command{AssignReplicas: &p}) }

// decodeCommand returns an error if data is not one whole valid command.
func decodeCommand(data []byte) (command, error) {
	var c command
	if err := decMode.Unmarshal(data, &c); err != nil {
		return command{}, errors.Wrap(err, "decode command")
	}
	set := 0
	for _, present := range []bool{c.Change != nil, c.RegisterVM != nil, c.DeregisterVM != nil, c.AssignReplicas != nil} {
		if present {
			set++
		}
	}
	if set != 1 {
		return command{}, errors.Errorf("command sets %d of its fields, want 1", set)
	}
	if c.Change != nil && (c.Change.Tables == nil) == (c.Change.Delta == nil) {
		return command{}, errors.New("change sets both or neither of tables and delta")
	}
	return c, nil
}
