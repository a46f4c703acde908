package job

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// newStateWithJob returns a state with one job of one step, all of whose tasks are claimed as run 1.
func newStateWithJob(c *qt.C, step Step, attempts int) (*State, StepRef) {
	s := NewState()
	s.Apply(Op{Config: &Config{Version: 1, Queues: []Queue{{Name: "q", Pool: "p", MaxAttempts: attempts}}, Pools: []Pool{{Name: "p"}}}})
	s.Apply(Op{Submit: &Submit{ID: 5, Queue: "q", Spec: Spec{Steps: []Step{step}}}})
	c.Assert(s.Job(5), qt.IsNotNil)
	ref := StepRef{Job: 5}
	for i := range step.Count {
		s.Apply(Op{Claim: &Claim{Task: TaskRef{ref, uint16(i)}, Run: 1, Worker: 1}})
	}
	return s, ref
}

// Guards against counting a failed end twice when a new leader reports it again, which fails
// the job too early.
func TestFailedEndCountsOnce(t *testing.T) {
	c := qt.New(t)
	s, ref := newStateWithJob(c, Step{Count: 1}, 2)
	end := Op{End: &End{Task: TaskRef{ref, 0}, Run: 1, Kind: EndFailed}}
	s.Apply(end)
	s.Apply(end)
	c.Assert(s.Job(5).Outcome, qt.Equals, Open)
	s.Apply(Op{Claim: &Claim{Task: TaskRef{ref, 0}, Run: 2, Worker: 1}})
	s.Apply(end)
	c.Assert(s.Job(5).Outcome, qt.Equals, Open)
	c.Assert(s.Job(5).Occurrences[0].Steps[0].Tasks[0].Phase, qt.Equals, Claimed)
	s.Apply(Op{End: &End{Task: TaskRef{ref, 0}, Run: 2, Kind: EndFailed}})
	c.Assert(s.Job(5).Outcome, qt.Equals, Failed)
}

// Guards against ignoring a failed end that is reported only after its run was considered
// lost, which allows one attempt too many.
func TestLateFailedEndCounts(t *testing.T) {
	c := qt.New(t)
	s, ref := newStateWithJob(c, Step{Count: 1}, 2)
	s.Apply(Op{End: &End{Task: TaskRef{ref, 0}, Run: 1, Kind: EndLost}})
	s.Apply(Op{Claim: &Claim{Task: TaskRef{ref, 0}, Run: 2, Worker: 2}})
	s.Apply(Op{End: &End{Task: TaskRef{ref, 0}, Run: 1, Kind: EndFailed}})
	s.Apply(Op{End: &End{Task: TaskRef{ref, 0}, Run: 2, Kind: EndFailed}})
	c.Assert(s.Job(5).Outcome, qt.Equals, Failed)
}

// Guards against counting the failed ends of a gang's members as one attempt each.
func TestGangFailsOncePerRun(t *testing.T) {
	c := qt.New(t)
	s, ref := newStateWithJob(c, Step{Count: 3, Gang: true}, 2)
	for i := range 3 {
		s.Apply(Op{End: &End{Task: TaskRef{ref, uint16(i)}, Run: 1, Kind: EndFailed}})
	}
	c.Assert(s.Job(5).Outcome, qt.Equals, Open)
}

// Guards against a gang that stays open after one member is done, although one done member
// makes the whole gang done.
func TestGangIsDoneWhenOneMemberIsDone(t *testing.T) {
	c := qt.New(t)
	s, ref := newStateWithJob(c, Step{Count: 3, Gang: true}, 2)
	s.Apply(Op{End: &End{Task: TaskRef{ref, 1}, Run: 1, Kind: EndDone}})
	c.Assert(s.Job(5).Outcome, qt.Equals, Completed)
}

// Guards against replicas whose state differs after a snapshot is restored.
func TestRestoreReproducesSnapshottedState(t *testing.T) {
	c := qt.New(t)
	s, ref := newStateWithJob(c, Step{Count: 2}, 2)
	s.Apply(Op{End: &End{Task: TaskRef{ref, 1}, Run: 1, Kind: EndFailed, Checkpoint: "s1"}})
	s.Apply(Op{RegisterWorker: &Worker{Name: "w", StartedMillis: 3, Address: "a:1", Pool: "p"}})
	s.Apply(Op{Member: &Member{Address: "m:1", NodeID: "m:1#x"}})
	other := NewState()
	c.Assert(other.Restore(s.Snapshot()), qt.IsNil)
	c.Assert(other.Snapshot(), qt.HasLen, len(s.Snapshot()))
	c.Assert(other.Job(5), qt.DeepEquals, s.Job(5))
	c.Assert(other.Worker(1), qt.DeepEquals, s.Worker(1))
	c.Assert(other.Config().Version, qt.Equals, int64(1))
}

// workerNames returns the names of the registered incarnations by number.
func workerNames(s *State) map[uint32]string {
	names := map[uint32]string{}
	s.Workers(func(w *Worker) { names[w.Number] = w.Name })
	return names
}

// Guards against a delayed announcement of an earlier incarnation that replaces the current one.
func TestLateAnnouncementOfEarlierIncarnationIsIgnored(t *testing.T) {
	c := qt.New(t)
	s := NewState()
	early := Op{RegisterWorker: &Worker{Name: "w", StartedMillis: 3, Address: "a:1"}}
	s.Apply(early)
	s.Apply(Op{RegisterWorker: &Worker{Name: "w2", StartedMillis: 9, Address: "a:1"}})
	s.Apply(early)
	c.Assert(workerNames(s), qt.DeepEquals, map[uint32]string{1: "w", 2: "w2"})
	s.Apply(Op{DeregisterWorker: 1})
	s.Apply(early)
	c.Assert(workerNames(s), qt.DeepEquals, map[uint32]string{2: "w2"})
}

// Guards against an announcement that ends another incarnation with its name or address. It may
// come from something that is no worker.
func TestRegistrationEndsNoOtherIncarnation(t *testing.T) {
	c := qt.New(t)
	s := NewState()
	s.Apply(Op{RegisterWorker: &Worker{Name: "w", StartedMillis: 3, Address: "a:1"}})
	s.Apply(Op{RegisterWorker: &Worker{Name: "other", StartedMillis: 9, Address: "a:1"}})
	s.Apply(Op{RegisterWorker: &Worker{Name: "w", StartedMillis: 9, Address: "b:1"}})
	s.Apply(Op{RegisterWorker: &Worker{Name: "w", StartedMillis: 9, Address: "a:1"}})
	c.Assert(workerNames(s)[1], qt.Equals, "w")
	c.Assert(s.Worker(1).StartedMillis, qt.Equals, int64(3))
}

// Guards against an incarnation that counts as settled because an earlier one was, and against one that
// loses the mark when it announces itself again.
func TestSettledWorkers(t *testing.T) {
	c := qt.New(t)
	s := NewState()
	first, next := Worker{Name: "w", StartedMillis: 3, Address: "a:1", Settled: true}, Worker{Name: "w", StartedMillis: 9, Address: "a:1"}
	s.Apply(Op{RegisterWorker: &first})
	c.Assert(s.Worker(1).Settled, qt.IsFalse)
	s.Apply(Op{SettleWorkers: []uint32{1, 7}})
	c.Assert(s.Worker(1).Settled, qt.IsTrue)
	first.Leaving, first.Settled = true, false
	s.Apply(Op{RegisterWorker: &first})
	c.Assert(s.Worker(1).Settled, qt.IsTrue)
	s.Apply(Op{RegisterWorker: &next})
	c.Assert(s.Worker(2).Settled, qt.IsFalse)
	restored := NewState()
	c.Assert(restored.Restore(s.Snapshot()), qt.IsNil)
	c.Assert(restored.Worker(1).Settled, qt.IsTrue)
	c.Assert(restored.Worker(2).Settled, qt.IsFalse)
}
