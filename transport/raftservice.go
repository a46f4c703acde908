package transport

import (
	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/pkg/errors"
)

const (
	raftServiceName = "Raft"
	raftMethod      = raftServiceName + ".Deliver"
)

// RaftBatch carries queued messages in one call. Batches on one connection are delivered
// in the order in which they were sent, although net/rpc handles each call in its own
// goroutine.
type RaftBatch struct {
	// Payload is a CBOR array of raft.Message.
	Payload []byte `cbor:"1,keyasint"`

	previousDone <-chan struct{} // closed when the batch before this one has been handled; may be nil
	done         chan struct{}   // closed when this batch has been handled
}

// orderAfter makes the delivery of b wait for previousDone, which is nil for the first
// batch of a connection, and returns a channel that is closed when b has been handled.
// It is called by the goroutine that reads the connection.
func (b *RaftBatch) orderAfter(previousDone <-chan struct{}) <-chan struct{} {
	b.previousDone, b.done = previousDone, make(chan struct{})
	return b.done
}

// Empty is a reply without content.
type Empty struct{}

// RaftService is the net/rpc service that RegisterRaft registers.
type RaftService struct{ deliver func([]raft.Message) }

// RegisterRaft makes a server pass the messages that it receives from RaftSenders to
// deliver, in order for each sender and connection. The function deliver must not block
// for long and must be safe for concurrent use.
func RegisterRaft(s *Server, deliver func([]raft.Message)) error {
	return s.Register(raftServiceName, &RaftService{deliver})
}

// Deliver decodes one batch, waits for the previous batch of the connection and passes
// the messages on.
func (s *RaftService) Deliver(b *RaftBatch, _ *Empty) error {
	defer close(b.done)
	var list []raft.Message
	if err := codec.DecMode.Unmarshal(b.Payload, &list); err != nil {
		return errors.Wrap(err, "decode messages")
	}
	if b.previousDone != nil {
		<-b.previousDone
	}
	s.deliver(list)
	return nil
}
