package integration

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a request that is lost, run twice or reported wrongly when a daemon dies while
// the request is in flight. Each daemon is killed in turn, then the owner of each partition.
func TestKilledDaemons(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newServingCluster(c)
	s := cl.startStream(defaultStream(2))
	for _, v := range cl.vms {
		cl.killDuringStream(s, v)
	}
	cl.killDuringStream(s, cl.partitionOwner("north"))
	cl.killDuringStream(s, cl.partitionOwner("south"))
	cl.awaitSent(s, 50)
	cl.verifyOutcomes(s.end())
}

// killDuringStream kills a daemon, waits for requests without it, restarts it and waits until
// it is a voter again, since the loss of a second VM in the meantime would stop the cluster.
func (cl *cluster) killDuringStream(s *requestStream, v *vm) {
	cl.c.Helper()
	cl.awaitSent(s, 30)
	v.kill()
	cl.awaitSent(s, 30)
	v.start()
	took := cl.awaitFormed(formationTimeout)
	cl.c.Logf("%s killed; three voters again %s after its restart", v.name, took.Round(pollInterval))
}
