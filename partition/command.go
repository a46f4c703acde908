package partition

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/oleanderchute/oleanderchute/api"
	"github.com/pkg/errors"
)

// batch is one log entry.
type batch struct {
	Epoch    uint64 `cbor:"1,keyasint"`
	Sequence uint64 `cbor:"2,keyasint"`
	// Commands are encoded one by one, so that sizes are known before a batch is built.
	Commands []cbor.RawMessage `cbor:"3,keyasint"`
}

// command is one change of records. Exactly one field is set.
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
	// Places are those of a gang's tasks in order, nil for a single task. Task, Worker
	// and Incarnation are then those of the first.
	Assignments []taskPlace `cbor:"5,keyasint,omitempty"`
}

// endCommand records the end of a task, also of one whose claim is not recorded. With
// attemptWithdrawn it ends the whole attempt of a gang.
type endCommand struct {
	Task         api.TaskID `cbor:"1,keyasint"`
	Worker       string     `cbor:"2,keyasint"`
	Incarnation  string     `cbor:"3,keyasint"`
	End          attemptEnd `cbor:"4,keyasint"`
	Reason       string     `cbor:"5,keyasint,omitempty"`
	Answer       []byte     `cbor:"6,keyasint,omitempty"`
	AnswerDigest []byte     `cbor:"7,keyasint,omitempty"`
	// MaxAttempts is the proposer's setting, so that replicas decide alike.
	MaxAttempts int `cbor:"8,keyasint,omitempty"`
	// Places are those of a gang whose claim was not recorded when this was proposed.
	Assignments []taskPlace `cbor:"9,keyasint,omitempty"`
}

// cancelCommand ends a request that has not started, or forbids further attempts.
type cancelCommand struct {
	Key api.RequestKey `cbor:"1,keyasint"`
	// Idle: the proposer has withdrawn the request from its queue and has no attempt
	// of it outstanding.
	Idle bool `cbor:"2,keyasint,omitempty"`
	// Expired: the deadline for the start has passed; otherwise a caller cancelled.
	Expired bool `cbor:"3,keyasint,omitempty"`
}

// expireCommand drops records whose retention has ended.
type expireCommand struct {
	Keys []api.RequestKey `cbor:"1,keyasint"`
	// Unknown selects unknown records; otherwise finished ones are dropped.
	Unknown bool `cbor:"2,keyasint,omitempty"`
}

// workerCommand keeps a worker's announcement for the next owner, or drops it.
type workerCommand struct {
	Announcement api.Announcement `cbor:"1,keyasint"`
	// Gone: the worker has been lost for long; only its name is set.
	Gone bool `cbor:"2,keyasint,omitempty"`
}

// encode returns the CBOR form. Encoding these types cannot fail.
func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		panic(errors.Wrap(err, "partition: encode"))
	}
	return data
}

// decodeBatch decodes a log entry.
func decodeBatch(data []byte) (batch, []command, error) {
	var b batch
	if err := cbor.Unmarshal(data, &b); err != nil {
		return batch{}, nil, errors.Wrap(err, "partition: batch")
	}
	commands := make([]command, len(b.Commands))
	for i, raw := range b.Commands {
		if err := cbor.Unmarshal(raw, &commands[i]); err != nil {
			return batch{}, nil, errors.Wrapf(err, "partition: command %d", i)
		}
	}
	return b, commands, nil
}
