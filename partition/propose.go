package partition

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// sequenceBits is the width of the counter in sequence numbers; the higher bits hold the
// epoch.
const sequenceBits = 32

// proposer collects commands and groups them into few log entries (group commit).
type proposer struct {
	pending      []cbor.RawMessage
	pendingBytes int // total size of pending in bytes
	sequence     uint64
	// inFlight lists the batches that are proposed and not applied, oldest first.
	inFlight  []batch
	notBefore time.Duration // earliest time of the next proposal
	// fencePending is set if a batch without commands has to be proposed. Once applied, it
	// makes the replicas ignore batches of older epochs.
	fencePending bool
	syncSequence uint64 // sequence number of the last sync
}

// propose queues a command for the next batch.
func (o *owner) propose(c command) {
	data := encode(c)
	o.proposer.pending = append(o.proposer.pending, data)
	o.proposer.pendingBytes += len(data)
}

// flush proposes the pending commands as long as fewer than maxInFlight batches are in
// flight.
func (o *owner) flush(now time.Duration) {
	p := &o.proposer
	if p.fencePending && now >= p.notBefore {
		p.fencePending = false
		o.proposeBatch(nil)
	}
	for len(p.pending) > 0 && len(p.inFlight) < maxInFlight && now >= p.notBefore {
		n := batchLength(p.pending)
		o.proposeBatch(p.pending[:n:n])
		p.pendingBytes -= totalBytes(p.pending[:n])
		p.pending = p.pending[n:]
	}
	if len(p.pending) == 0 {
		p.pending = nil
	}
}

// totalBytes returns the total size of encoded commands in bytes.
func totalBytes(commands []cbor.RawMessage) int {
	size := 0
	for _, c := range commands {
		size += len(c)
	}
	return size
}

// proposeBatch proposes a batch as one log entry.
func (o *owner) proposeBatch(commands []cbor.RawMessage) {
	o.proposer.sequence++
	b := batch{Epoch: o.epoch, Sequence: o.proposer.sequence, Commands: commands}
	o.proposer.inFlight = append(o.proposer.inFlight, b)
	o.emit(Propose{Epoch: o.epoch, Sequence: b.Sequence, Data: encode(b)})
}

// batchLength returns how many commands, at least one, go into the next batch.
func batchLength(commands []cbor.RawMessage) int {
	size := 0
	for i, c := range commands {
		size += len(c)
		if size > targetBatchBytes {
			return max(i, 1)
		}
	}
	return len(commands)
}

// handleBatchApplied removes an applied batch of this epoch from the batches in flight.
func (o *owner) handleBatchApplied(b batch) {
	if b.Epoch != o.epoch {
		return
	}
	o.removeInFlight(b.Sequence)
}

// removeInFlight removes and returns a batch in flight. It returns false if there is none
// with this sequence number.
func (o *owner) removeInFlight(sequence uint64) (batch, bool) {
	for i, b := range o.proposer.inFlight {
		if b.Sequence == sequence {
			o.proposer.inFlight = append(o.proposer.inFlight[:i], o.proposer.inFlight[i+1:]...)
			return b, true
		}
	}
	return batch{}, false
}

// handleProposeFailed puts the commands of a batch back at the front of the queue, to be
// proposed again after proposeRetryInterval. This may change their order, which is safe: an
// end includes its claim, and a claim after the end is ignored.
func (o *owner) handleProposeFailed(now time.Duration, sequence uint64) {
	b, ok := o.removeInFlight(sequence)
	if !ok {
		return
	}
	o.proposer.pending = append(append([]cbor.RawMessage(nil), b.Commands...), o.proposer.pending...)
	o.proposer.pendingBytes += totalBytes(b.Commands)
	o.proposer.fencePending = o.proposer.fencePending || len(b.Commands) == 0
	o.proposer.notBefore = now + proposeRetryInterval
}
