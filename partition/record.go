package partition

import (
	"crypto/sha256"
	"fmt"

	"github.com/oleanderchute/oleanderchute/api"
)

// attemptEnd is how an attempt is recorded to have ended. Larger values are stronger
// evidence: a report replaces the assumption that the attempt was lost.
type attemptEnd uint8

const (
	attemptOpen attemptEnd = iota
	// attemptLost: no report came and the attempt cannot be running any more.
	attemptLost
	// attemptWithdrawn: claimed, and its owner knows that it never sent the dispatch.
	attemptWithdrawn
	// attemptRefused: the worker never started it and never will.
	attemptRefused
	// attemptStopped: started, then stopped before its end.
	attemptStopped
	attemptFailed
	attemptDone
)

// numberBits is the width of the per-epoch counter within an attempt number.
const attemptCounterBits = 16

// attemptNumber returns the attempt number for the nth attempt (from 1) in an epoch. The
// epoch is part of it since a claim of a former owner may have been dispatched without
// having become durable, so its number is not known to the next owner.
func attemptNumber(epoch uint64, n int) int { return int(epoch<<attemptCounterBits) | n }

// attemptEpoch returns the epoch in which the attempt number was given out.
func attemptEpoch(number int) uint64 { return uint64(number) >> attemptCounterBits }

// attemptRecord is one claim of a request. Replicated.
type attemptRecord struct {
	Number      int        `cbor:"1,keyasint"`
	Worker      string     `cbor:"2,keyasint"`
	Incarnation string     `cbor:"3,keyasint"`
	End         attemptEnd `cbor:"4,keyasint,omitempty"`
	// Tasks are the tasks of a gang in order, nil for a single task. Worker and
	// Incarnation are then those of the first, and End sums them up.
	Tasks []taskRecord `cbor:"5,keyasint,omitempty"`
	// Reason is why the first task of a gang ended without being done.
	Reason string `cbor:"6,keyasint,omitempty"`
}

// spec is what was accepted; it never changes, also when the tables do.
type spec struct {
	Key                api.RequestKey `cbor:"1,keyasint"`
	Kind               string         `cbor:"2,keyasint"`
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
	// Digest is the SHA-256 of kind and body, by which a reused key is recognized.
	Digest []byte `cbor:"13,keyasint"`
	// Tasks is the size of a gang; 0 for a request with one task.
	Tasks int `cbor:"14,keyasint,omitempty"`
}

// record is the replicated state of one accepted request. It changes only in Apply.
type record struct {
	Spec spec `cbor:"1,keyasint"`
	// Index orders records by acceptance.
	Index       uint64          `cbor:"2,keyasint"`
	AcceptEpoch uint64          `cbor:"3,keyasint"`
	Body        []byte          `cbor:"4,keyasint,omitempty"`
	State       api.State       `cbor:"5,keyasint"`
	Reason      string          `cbor:"6,keyasint,omitempty"`
	Attempts    []attemptRecord `cbor:"7,keyasint,omitempty"`
	// Cancelled: no further attempt may start.
	Cancelled    bool   `cbor:"8,keyasint,omitempty"`
	Answer       []byte `cbor:"9,keyasint,omitempty"`
	AnswerDigest []byte `cbor:"10,keyasint,omitempty"`
	WaitedMillis int64  `cbor:"11,keyasint,omitempty"`

	dropped bool // expired, and still in Partition.ordered
}

// requestDigest returns the SHA-256 of the kind and the body.
func requestDigest(kind string, body []byte) []byte {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(kind), kind)
	h.Write(body)
	return h.Sum(nil)
}

// attempt returns the attempt with the number, or nil.
func (r *record) attempt(number int) *attemptRecord {
	for i := range r.Attempts {
		if r.Attempts[i].Number == number {
			return &r.Attempts[i]
		}
	}
	return nil
}

// hasOpen reports whether an attempt has been claimed and has not ended.
func (r *record) hasOpenAttempt() bool { return r.countAttempts(attemptOpen) > 0 }

// count returns how many attempts have the given end.
func (r *record) countAttempts(end attemptEnd) int {
	n := 0
	for _, a := range r.Attempts {
		if a.End == end {
			n++
		}
	}
	return n
}

// neverRan reports whether there is proof that no attempt has run or will run: each
// claimed one was refused, and none can exist without its claim. An idempotent request
// of an older epoch may have been dispatched without its claim becoming durable.
func (r *record) neverRan(epoch uint64) bool {
	if !r.Spec.NonIdempotent && r.AcceptEpoch != epoch {
		return false
	}
	return r.countAttempts(attemptRefused) == len(r.Attempts)
}
