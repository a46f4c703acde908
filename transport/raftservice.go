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

// RaftBatch carries messages that waited together. Batches on one connection are
// delivered in the order in which they were sent, although net/rpc handles each call
// in its own goroutine.
type RaftBatch struct {
	// Payload is a CBOR array of raft.Message.
	Payload []byte `cbor:"1,keyasint"`

	previousDone <-chan struct{} // closed when the batch before this one has been delivered
	done         chan struct{}
}

// enqueue is called by the goroutine that reads the connection.
func (b *RaftBatch) orderAfter(previousDone <-chan struct{}) <-chan struct{} {
	b.previousDone, b.done = previousDone, make(chan struct{})
	return b.done
}

// Empty is an answer without content.
type Empty struct{}

// RaftService receives batches for RegisterRaft.
type RaftService struct{ deliver func([]raft.Message) }

// RegisterRaft makes a server hand the messages that RaftSenders send it to deliver,
// in order for each sender and lane. Deliver must not block for long and may be called
// from several goroutines.
func RegisterRaft(s *Server, deliver func([]raft.Message)) error {
	return s.Register(raftServiceName, &RaftService{deliver})
}

// Deliver handles one batch.
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
