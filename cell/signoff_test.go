package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/internal/codec"
	"github.com/oleanderchute/oleanderchute/job"
)

// newSoloLeader returns a host that leads, with the incarnations of the worker "w1" that started at
// the given times registered.
func newSoloLeader(c *qt.C, startedMillis ...int64) *soloHost {
	h := newSoloHost(c, testConfig(1))
	h.scheduler.BecomeLeader(time.Second, 0, 1)
	for _, started := range startedMillis {
		w := job.Worker{Name: "w1", StartedMillis: started, Address: "w1:1", Pool: "desk", Capacity: job.Resources{MilliCPU: 4000, MemoryMB: 4000}}
		h.announce(time.Second, Call{Kind: Announce, Announcement: &Announcement{Worker: w, Sequence: 1}}, func(r Reply) { c.Check(r.Code, qt.Equals, OK) })
		h.commit()
	}
	c.Assert(h.numbers(), qt.HasLen, len(startedMillis))
	return h
}

// commit carries out the scheduler's actions and commits what is proposed.
func (h *soloHost) commit() {
	h.execute(h.scheduler.Actions())
	ops, callbacks := h.pendingOps, h.pendingCallbacks
	h.pendingOps, h.pendingCallbacks = nil, nil
	for _, op := range ops {
		h.apply(op)
		h.scheduler.Applied(time.Second, op)
	}
	for _, done := range callbacks {
		done(true)
	}
	h.execute(h.scheduler.Actions())
}

// numbers returns the numbers of the registered worker incarnations by their start times.
func (h *soloHost) numbers() map[int64]uint32 {
	numbers := map[int64]uint32{}
	h.state.Workers(func(w *job.Worker) { numbers[w.StartedMillis] = w.Number })
	return numbers
}

// Guards against a confirmation for one incarnation of a worker that also answers the sign-off of
// another one, whose runs may not have been stopped yet.
func TestSignOffsOfTwoIncarnationsAreConfirmedSeparately(t *testing.T) {
	c := qt.New(t)
	h := newSoloLeader(c, 5, 9)
	number := h.numbers()[5]
	replies := map[int64][]Code{} // by start time
	for _, startedMillis := range []int64{5, 9, 9} {
		h.signOff(time.Second, Call{Kind: SignOff, Worker: "w1", StartedMillis: startedMillis}, func(r Reply) {
			replies[startedMillis] = append(replies[startedMillis], r.Code)
		})
	}
	c.Assert(replies, qt.HasLen, 0)
	h.execute([]dispatch.Action{dispatch.ConfirmSignOff{Worker: "w1", Number: number}})
	c.Assert(replies, qt.DeepEquals, map[int64][]Code{5: {OK}})
	h.commit()
	c.Assert(replies, qt.DeepEquals, map[int64][]Code{5: {OK}, 9: {OK, OK}})
	c.Assert(h.signOffs, qt.HasLen, 0)
}

// Guards against a sign-off of an incarnation that is not known any more whose caller waits until its deadline.
func TestSignOffOfUnknownIncarnationNeedsNoConfirmation(t *testing.T) {
	c := qt.New(t)
	h := newSoloLeader(c, 9)
	var reply Reply
	h.signOff(time.Second, Call{Kind: SignOff, Worker: "w1", StartedMillis: 5}, func(r Reply) { reply = r })
	h.commit()
	c.Assert(reply.Code, qt.Equals, OK)
	c.Assert(h.numbers(), qt.HasLen, 1)
}

// Guards against sign-offs that are lost, or that cannot be decoded, while the VMs run two versions: an
// earlier one does not know the start time of the worker.
func TestSignOffBetweenVersions(t *testing.T) {
	c := qt.New(t)
	type earlierCall struct {
		Kind   Kind   `cbor:"1,keyasint"`
		Worker string `cbor:"7,keyasint,omitempty"`
	}
	data, err := codec.DeterministicEncMode.Marshal(Call{Kind: SignOff, Worker: "w1", StartedMillis: 9})
	c.Assert(err, qt.IsNil)
	var earlier earlierCall
	c.Assert(codec.DecMode.Unmarshal(data, &earlier), qt.IsNil)
	c.Assert(earlier, qt.Equals, earlierCall{SignOff, "w1"})

	data, err = codec.DeterministicEncMode.Marshal(earlier)
	c.Assert(err, qt.IsNil)
	var call Call
	c.Assert(codec.DecMode.Unmarshal(data, &call), qt.IsNil)
	h := newSoloLeader(c, 9)
	var reply Reply
	h.signOff(time.Second, call, func(r Reply) { reply = r })
	h.commit()
	c.Assert(reply.Code, qt.Equals, OK)
	c.Assert(h.numbers(), qt.HasLen, 0)
}
