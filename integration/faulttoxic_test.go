package integration

import (
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// faultType is the name of the toxic that is installed in both directions of every proxy.
const faultType = "oleander_fault"

func init() { toxics.Register(faultType, new(faultToxic)) }

// faultToxic drops data without closing the connection. Unlike toxiproxy's timeout toxic, it
// can silence the existing connections while new ones work.
type faultToxic struct {
	// silenceCount is the number of silence calls. A connection that was opened at a lower
	// count is silent.
	silenceCount atomic.Int64
	cut          atomic.Bool // drop the data of all connections
	// remainingBytes is how many bytes are forwarded before the connection that carries the
	// last of them is closed; 0 means no limit.
	remainingBytes atomic.Int64
}

// connectionState is the state of one direction of one connection. Once data has been dropped,
// all further data is dropped too, since the stream would otherwise have a gap.
type connectionState struct {
	silenceCount int64
	dropping     bool
}

// NewState implements toxics.StatefulToxic.
func (f *faultToxic) NewState() interface{} {
	return &connectionState{silenceCount: f.silenceCount.Load()}
}

// Pipe implements toxics.Toxic.
func (f *faultToxic) Pipe(stub *toxics.ToxicStub) {
	state := stub.State.(*connectionState)
	for {
		select {
		case <-stub.Interrupt:
			return
		case chunk := <-stub.Input:
			if chunk == nil {
				stub.Close()
				return
			}
			state.dropping = state.dropping || f.cut.Load() || state.silenceCount < f.silenceCount.Load()
			if state.dropping {
				continue
			}
			if !f.forward(stub, chunk) {
				stub.Close()
				return
			}
		}
	}
}

// forward forwards a chunk, or only its beginning if remainingBytes is exhausted within it, and
// reports whether the connection stays open.
func (f *faultToxic) forward(stub *toxics.ToxicStub, chunk *stream.StreamChunk) bool {
	if f.remainingBytes.Load() <= 0 {
		stub.Output <- chunk
		return true
	}
	left := f.remainingBytes.Add(-int64(len(chunk.Data)))
	if left > 0 {
		stub.Output <- chunk
		return true
	}
	f.remainingBytes.Store(0)
	keep := int64(len(chunk.Data)) + left
	if keep > 0 {
		stub.Output <- &stream.StreamChunk{Data: chunk.Data[:keep], Timestamp: chunk.Timestamp}
	}
	return false
}
