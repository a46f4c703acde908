package integration

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// freezeLength is longer than the leader lease, an election and a task lease together,
// so that a new owner acts while the old one still believes that it leads.
const freezeDuration = electionLimit + leaseDuration + time.Second

// Guards against an owner that acts on a lease that ended while its process was paused:
// it would place work that its successor has placed too, or report "not run" wrongly.
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

func (cl *cluster) freezeDuringStream(s *requestStream, partition string) {
	cl.c.Helper()
	leader := cl.partitionLeader(partition)
	cl.awaitSent(s, 50)
	leader.freeze()
	end := time.After(freezeDuration) // the length of the fault, not a wait for an effect
	took := waitFor(cl.c, "another owner of "+partition, 2*electionLimit+callTimeout, func() bool {
		for _, v := range cl.vms {
			if v != leader && v.seesOtherOwner(partition, leader.name) {
				return true
			}
		}
		return false
	})
	cl.c.Logf("owner %s of %s frozen; another owner seen after %s", leader.name, partition, took.Round(pollInterval))
	<-end
	leader.resume()
	cl.awaitFormed(formationTimeout)
}

func (v *vm) seesOtherOwner(partition, old string) bool {
	st, err := v.status()
	if err != nil {
		return false
	}
	for _, p := range st.Partitions {
		if p.Partition == partition && p.Leader != "" && p.Leader != old {
			return true
		}
	}
	return false
}
