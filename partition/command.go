package partition

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/internal/codec"
)

// batch is the content of one log entry.
type batch struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	// Commands are encoded individually, so that their sizes are known before a batch is
	// built.
	Commands []cbor.RawMessage `cbor:"3,keyasint"`
}

// command is one change of the replicated state. Exactly one field is set.
type command struct {
	Accept *acceptCommand `cbor:"1,keyasint,omitempty"`
	Claim  *claimCommand  `cbor:"2,keyasint,omitempty"`
	End    *endCommand    `cbor:"3,keyasint,omitempty"`
	Cancel *cancelCommand `cbor:"4,keyasint,omitempty"`
	Expire *expireCommand `cbor:"5,keyasint,omitempty"`
	Worker *workerCommand `cbor:"6,keyasint,omitempty"`
}

// acceptCommand records a request.
type acceptCommand struct {
	Spec spec   `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// claimCommand assigns an attempt to one incarnation of a worker.
type claimCommand struct {
	Task         api.TaskID `cbor:"1,keyasint"`
	Worker       string     `cbor:"2,keyasint"`
	Incarnation  string     `cbor:"3,keyasint"`
	WaitedMillis int64      `cbor:"4,keyasint,omitempty"`
	// Assignments lists the workers of a gang's tasks in task order; it is nil for a single
	// task. For a gang, Task, Worker and Incarnation are those of the first task.
	Assignments []taskAssignment `cbor:"5,keyasint,omitempty"`
}

// endCommand records the end of a task, even if its claim is not recorded. With End
// attemptWithdrawn it ends the whole attempt of a gang.
type endCommand struct {
	Task         api.TaskID `cbor:"1,keyasint"`
	Worker       string     `cbor:"2,keyasint"`
	Incarnation  string     `cbor:"3,keyasint"`
	End          attemptEnd `cbor:"4,keyasint"`
	Reason       string     `cbor:"5,keyasint,omitempty"`
	Answer       []byte     `cbor:"6,keyasint,omitempty"`
	AnswerDigest []byte     `cbor:"7,keyasint,omitempty"`
	// MaxAttempts is the proposer's setting, so that all replicas make the same decision.
	MaxAttempts int `cbor:"8,keyasint,omitempty"`
	// Assignments lists the workers of a gang whose claim was not recorded when the end was
	// proposed.
	Assignments []taskAssignment `cbor:"9,keyasint,omitempty"`
}

// cancelCommand ends a request that has not started, or forbids further attempts of one that
// has.
type cancelCommand struct {
	Key api.RequestKey `cbor:"1,keyasint"`
	// Idle is set if the proposer has removed the request from its queue and has no
	// outstanding attempt of it.
	Idle bool `cbor:"2,keyasint,omitempty"`
	// Expired is set if the deadline for the start has passed; otherwise a caller cancelled
	// the request.
	Expired bool `cbor:"3,keyasint,omitempty"`
}

// expireCommand deletes records whose retention has ended.
type expireCommand struct {
	Keys []api.RequestKey `cbor:"1,keyasint"`
	// Unknown is set if Keys lists records in state unknown; otherwise it lists records with
	// a final outcome.
	Unknown bool `cbor:"2,keyasint,omitempty"`
}

// workerCommand records a worker's announcement for the next owner, or deletes it.
type workerCommand struct {
	Announcement api.Announcement `cbor:"1,keyasint"`
	// Gone is set if the worker has been lost for lostWorkerRetention. Announcement then
	// holds only its name.
	Gone bool `cbor:"2,keyasint,omitempty"`
}

// encode returns v in CBOR. It panics on an error, which the types of this package cannot
// cause.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "partition: encode"))
	}
	return data
}

// decodeBatch decodes a log entry and its commands.
func decodeBatch(data []byte) (batch, []command, error) {
	var b batch
	if err := codec.DecMode.Unmarshal(data, &b); err != nil {
		return batch{}, nil, errors.Wrap(err, "partition: decode batch")
	}
	commands := make([]command, len(b.Commands))
	for i, raw := range b.Commands {
		if err := codec.DecMode.Unmarshal(raw, &commands[i]); err != nil {
			return batch{}, nil, errors.Wrapf(err, "partition: decode command %d", i)
		}
	}
	return b, commands, nil
}
