package integration

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// freezeDuration is longer than the leader lease, an election and a task lease together, so
// that a new owner acts while the old one still believes that it is the leader.
const freezeDuration = electionLimit + taskLeaseDuration + time.Second

// Guards against an owner that acts on a leader lease that expired while its process was
// frozen. Such an owner would place work that its successor has placed too, or report "not run"
// wrongly.
func TestFrozenPartitionOwner(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newServingCluster(c)
	s := cl.startStream(defaultStream(3))
	for _, partition := range []string{"north", "south"} {
		cl.freezeDuringStream(s, partition)
	}
	cl.awaitSent(s, 50)
	cl.verifyOutcomes(s.end())
}

// freezeDuringStream freezes the owner of a partition under load and waits for another owner.
func (cl *cluster) freezeDuringStream(s *requestStream, partition string) {
	cl.c.Helper()
	owner := cl.partitionOwner(partition)
	cl.awaitSent(s, 50)
	owner.freeze()
	freezeEnd := time.After(freezeDuration) // the duration of the fault, not a wait for a condition
	took := waitFor(cl.c, "another owner of "+partition, 2*electionLimit+callTimeout, func() bool {
		for _, v := range cl.vms {
			if v != owner && v.reportsOtherOwner(partition, owner.name) {
				return true
			}
		}
		return false
	})
	cl.c.Logf("owner %s of %s frozen; another owner reported after %s", owner.name, partition, took.Round(pollInterval))
	<-freezeEnd
	owner.resume()
	cl.awaitFormed(formationTimeout)
}

// reportsOtherOwner reports whether the VM reports an owner of the partition other than
// previousOwner.
func (v *vm) reportsOtherOwner(partition, previousOwner string) bool {
	st, err := v.status()
	if err != nil {
		return false
	}
	for _, p := range st.Partitions {
		if p.Partition == partition && p.Leader != "" && p.Leader != previousOwner {
			return true
		}
	}
	return false
}
