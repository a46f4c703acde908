package partition

import (
	"crypto/sha256"
	"fmt"

	"github.com/oleanderchute/oleanderchute/api"
)

// attemptEnd is the recorded end of an attempt. A larger value is stronger evidence and
// replaces a smaller one; for example, a report replaces the assumption that the attempt was
// lost. The values are stored.
type attemptEnd uint8

const (
	// attemptOpen: the attempt has not ended.
	attemptOpen attemptEnd = iota
	// attemptLost: no report arrived and the attempt can no longer be running.
	attemptLost
	// attemptWithdrawn: claimed, but the owner never sent the dispatch.
	attemptWithdrawn
	// attemptRefused: the worker has not started the attempt and never will.
	attemptRefused
	// attemptStopped: started, then stopped before it completed.
	attemptStopped
	// attemptFailed: the worker reported a failure.
	attemptFailed
	// attemptDone: the worker reported success.
	attemptDone
)

// attemptCounterBits is the width of the per-epoch counter within an attempt number.
const attemptCounterBits = 16

// attemptNumber returns the attempt number of the nth attempt (from 1) in an epoch. It
// includes the epoch because an earlier owner may have dispatched an attempt whose claim did not
// become durable, so that the next owner does not know its number.
func attemptNumber(epoch uint64, n int) int { return int(epoch<<attemptCounterBits) | n }

// attemptEpoch returns the epoch in which the attempt number was assigned.
func attemptEpoch(number int) uint64 { return uint64(number) >> attemptCounterBits }

// attemptRecord is the replicated state of one attempt of a request.
type attemptRecord struct {
	Number      int        `cbor:"1,keyasint"`
	Worker      string     `cbor:"2,keyasint"`
	Incarnation string     `cbor:"3,keyasint"`
	End         attemptEnd `cbor:"4,keyasint,omitempty"`
	// Tasks lists the tasks of a gang in order; it is nil for a single task. For a gang,
	// Worker and Incarnation are those of the first task, and End combines the ends of all.
	Tasks []taskRecord `cbor:"5,keyasint,omitempty"`
	// Reason is why the first task of a gang ended without being done.
	Reason string `cbor:"6,keyasint,omitempty"`
}

// spec describes an accepted request. It never changes, even if the tables do.
type spec struct {
	Key                api.RequestKey `cbor:"1,keyasint"`
	Kind               string         `cbor:"2,keyasint"` // name of the route at the time of the accept
	Pool               string         `cbor:"3,keyasint"`
	Team               string         `cbor:"4,keyasint,omitempty"`
	Class              api.Class      `cbor:"5,keyasint,omitempty"`
	Workload           api.Workload   `cbor:"6,keyasint,omitempty"`
	Resources          api.Resources  `cbor:"7,keyasint"`
	RunTimeMillis      int64          `cbor:"8,keyasint,omitempty"`
	DeadlineMillis     int64          `cbor:"9,keyasint,omitempty"`
	NonIdempotent      bool           `cbor:"10,keyasint,omitempty"`
	Region             string         `cbor:"11,keyasint,omitempty"`
	AcceptedUnixMillis int64          `cbor:"12,keyasint,omitempty"`
	// Digest is the SHA-256 of Kind and body. It shows whether a key is reused for another
	// request.
	Digest []byte `cbor:"13,keyasint"`
	// Tasks is the size of a gang; 0 for a request with one task.
	Tasks int `cbor:"14,keyasint,omitempty"`
	// RequestedKind is the kind as the caller sent it: the name or an alias that the route had then.
	RequestedKind string `cbor:"15,keyasint,omitempty"`
}

// record is the replicated state of one accepted request. It changes only in Apply.
type record struct {
	Spec spec `cbor:"1,keyasint"`
	// Index numbers the records in order of acceptance, from 1.
	Index       uint64          `cbor:"2,keyasint"`
	AcceptEpoch uint64          `cbor:"3,keyasint"`
	Body        []byte          `cbor:"4,keyasint,omitempty"`
	State       api.State       `cbor:"5,keyasint"`
	Reason      string          `cbor:"6,keyasint,omitempty"`
	Attempts    []attemptRecord `cbor:"7,keyasint,omitempty"`
	// Cancelled is set if no further attempt may start.
	Cancelled    bool   `cbor:"8,keyasint,omitempty"`
	Answer       []byte `cbor:"9,keyasint,omitempty"`
	AnswerDigest []byte `cbor:"10,keyasint,omitempty"`
	WaitedMillis int64  `cbor:"11,keyasint,omitempty"`

	dropped bool // deleted from Partition.records and still in Partition.ordered
}

// requestDigest returns the SHA-256 of the kind, with its length, and the body.
func requestDigest(kind string, body []byte) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(kind), kind)
	h.Write(body)
	return h.Sum(nil)
}

// attempt returns the attempt with the given number, or nil.
func (r *record) attempt(number int) *attemptRecord {
	for i := range r.Attempts {
		if r.Attempts[i].Number == number {
			return &r.Attempts[i]
		}
	}
	return nil
}

// hasOpenAttempt reports whether an attempt has been claimed and has not ended.
func (r *record) hasOpenAttempt() bool { return r.countAttempts(attemptOpen) > 0 }

// countAttempts returns the number of attempts with the given end.
func (r *record) countAttempts(end attemptEnd) int {
	n := 0
	for _, a := range r.Attempts {
		if a.End == end {
			n++
		}
	}
	return n
}

// neverRan reports whether it is proven that no attempt has run or will run: every claimed
// attempt was refused, and no attempt can exist without a claim. An idempotent request of an
// older epoch may have been dispatched without a durable claim, so nothing is proven for it.
func (r *record) neverRan(epoch uint64) bool {
	if !r.Spec.NonIdempotent && r.AcceptEpoch != epoch {
		return false
	}
	return r.countAttempts(attemptRefused) == len(r.Attempts)
}
