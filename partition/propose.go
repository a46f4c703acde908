package partition

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// sequenceBits is the width of the counter in sequences; the epoch is above it.
const sequenceBits = 32

// proposer collects commands and turns them into few log entries (group commit).
type proposer struct {
	pending  []cbor.RawMessage
	size     int // of pending, in bytes
	sequence uint64
	// inFlight holds the batches that are proposed and not applied, oldest first.
	inFlight  []batch
	notBefore time.Duration
	// fence asks for a batch without commands, which makes the log refuse batches of
	// older epochs.
	fence bool
	syncs uint64 // sequence of the last sync
}

// propose queues a command for the next batch.
func (o *owner) propose(c command) {
	data := encode(c)
	o.log.pending = append(o.log.pending, data)
	o.log.size += len(data)
}

// flush proposes what is pending, in at most maxInFlight batches.
func (o *owner) flush(now time.Duration) {
	g := &o.log
	if g.fence && now >= g.notBefore {
		g.fence = false
		o.proposeBatch(nil)
	}
	for len(g.pending) > 0 && len(g.inFlight) < maxInFlight && now >= g.notBefore {
		n := batchLength(g.pending)
		o.proposeBatch(g.pending[:n:n])
		g.size -= sizeOf(g.pending[:n])
		g.pending = g.pending[n:]
	}
	if len(g.pending) == 0 {
		g.pending = nil
	}
}

// sizeOf returns the size of commands in bytes.
func sizeOf(commands []cbor.RawMessage) int {
	size := 0
	for _, c := range commands {
		size += len(c)
	}
	return size
}

// proposeBatch proposes one log entry.
func (o *owner) proposeBatch(commands []cbor.RawMessage) {
	o.log.sequence++
	b := batch{Epoch: o.epoch, Sequence: o.log.sequence, Commands: commands}
	o.log.inFlight = append(o.log.inFlight, b)
	o.emit(Propose{Epoch: o.epoch, Sequence: b.Sequence, Data: encode(b)})
}

// batchLength returns how many commands go into one batch, at least one.
func batchLength(commands []cbor.RawMessage) int {
	size := 0
	for i, c := range commands {
		size += len(c)
		if size > batchTarget {
			return max(i, 1)
		}
	}
	return len(commands)
}

// committed removes an applied batch from the list in flight.
func (o *owner) committed(b batch) {
	if b.Epoch != o.epoch {
		return
	}
	o.takeInFlight(b.Sequence)
}

// takeInFlight removes and returns a batch in flight.
func (o *owner) takeInFlight(sequence uint64) (batch, bool) {
	for i, b := range o.log.inFlight {
		if b.Sequence == sequence {
			o.log.inFlight = append(o.log.inFlight[:i], o.log.inFlight[i+1:]...)
			return b, true
		}
	}
	return batch{}, false
}

// proposeFailed puts the commands of a batch back in front and tries again later. All
// commands hold in any order: an end carries its claim, and a late claim is ignored.
func (o *owner) proposeFailed(now time.Duration, sequence uint64) {
	b, ok := o.takeInFlight(sequence)
	if !ok {
		return
	}
	o.log.pending = append(append([]cbor.RawMessage(nil), b.Commands...), o.log.pending...)
	o.log.size += sizeOf(b.Commands)
	o.log.fence = o.log.fence || len(b.Commands) == 0
	o.log.notBefore = now + proposeRetry
}
