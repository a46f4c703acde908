package integration

import (
	"sync/atomic"

	"github.com/Shopify/toxiproxy/v2/stream"
	"github.com/Shopify/toxiproxy/v2/toxics"
)

// faultType is the name of the toxic that every proxy carries in both directions.
const faultType = "oleander_fault"

func init() { toxics.Register(faultType, new(faultToxic)) }

// faultToxic drops data without closing the connection. Unlike the timeout toxic it can
// silence the connections that exist now while new ones pass.
type faultToxic struct {
	// silenced counts calls of silence; a connection of an older count is silent.
	silenceCount atomic.Int64
	cut          atomic.Bool
	// budget is how many bytes pass before the connection that uses the last of them is
	// closed; 0 for no limit.
	remainingBytes atomic.Int64
}

// connectionState belongs to one direction of one connection. Once data has been
// dropped, the rest is dropped too, since the stream would have a hole.
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

// pass forwards a chunk, or its beginning if the budget ends in it, and reports whether
// the connection stays open.
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
