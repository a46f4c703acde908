package control

import (
	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

// Change is an operator's change of the tables together with the data that the proposer
// adds, so that every replica decides on the same input.
type Change struct {
	Request api.ApplyRequest
	// UnixMillis is the proposer's wall-clock time in Unix milliseconds. It is recorded in
	// the history.
	UnixMillis int64
	// Workers are the workers known to the proposer, used for the warnings in the
	// response. Nil means that the workers are unknown.
	Workers []WorkerInfo
}

// command is one entry of the control group's Raft log. Exactly one field is set.
type command struct {
	Change         *changeCommand `cbor:"1,keyasint,omitempty"`
	RegisterVM     *VM            `cbor:"2,keyasint,omitempty"`
	DeregisterVM   *string        `cbor:"3,keyasint,omitempty"`
	AssignReplicas *Partition     `cbor:"4,keyasint,omitempty"`
}

// changeCommand is the encoded form of a Change. Exactly one of Tables and Delta is set.
// Tables holds the complete new tables; Delta holds the difference from the tables of
// BaseVersion.
type changeCommand struct {
	ChangeID    string       `cbor:"1,keyasint"`
	BaseVersion uint64       `cbor:"2,keyasint"`
	Operator    string       `cbor:"3,keyasint,omitempty"`
	UnixMillis  int64        `cbor:"4,keyasint"`
	Tables      *api.Tables  `cbor:"5,keyasint,omitempty"`
	Delta       *Delta       `cbor:"6,keyasint,omitempty"`
	Workers     []WorkerInfo `cbor:"7,keyasint"`
}

// EncodeChange encodes a change with the complete tables. State.EncodeChange produces a
// much smaller command when the proposer has applied the base version.
func EncodeChange(c Change) []byte {
	cmd := newChangeCommand(c)
	tables := NormalizeTables(c.Request.Tables)
	tables.Version = 0
	cmd.Tables = &tables
	return mustEncode(command{Change: cmd})
}

// EncodeChange encodes a change as a delta if it is based on the version in force, and
// with the complete tables otherwise. The delta is safe because State.Apply accepts it
// only if the base version is still in force, and a version has the same tables on every
// replica.
func (s *State) EncodeChange(c Change) []byte {
	switch {
	case c.Request.BaseVersion > s.tables.Version || !hasUniqueNames(c.Request.Tables):
		return EncodeChange(c)
	case c.Request.BaseVersion < s.tables.Version:
		// Versions only increase, so this change will be refused whatever its tables are.
		// An empty delta keeps the command small.
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

// EncodeRegisterVM encodes the registration of a VM. It replaces an existing registration
// with the same name.
func EncodeRegisterVM(vm VM) []byte { return mustEncode(command{RegisterVM: &vm}) }

// EncodeDeregisterVM encodes the deregistration of the VM with the given name.
func EncodeDeregisterVM(vm string) []byte { return mustEncode(command{DeregisterVM: &vm}) }

// EncodeAssignReplicas encodes the assignment of a partition's replicas. It replaces an
// existing assignment.
func EncodeAssignReplicas(p Partition) []byte { return mustEncode(command{AssignReplicas: &p}) }

// decodeCommand decodes a command. It returns an error unless data is exactly one
// complete and valid command.
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
		return command{}, errors.Errorf("command has %d fields set, want exactly 1", set)
	}
	if c.Change != nil && (c.Change.Tables == nil) == (c.Change.Delta == nil) {
		return command{}, errors.New("change must set exactly one of tables and delta")
	}
	return c, nil
}
