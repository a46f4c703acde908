package integration

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// One-way latencies between VMs. The toxic takes whole milliseconds, so the 1.4 ms between
// failure domains is rounded up to 2 ms.
const (
	domainLatency = 2 * time.Millisecond
	regionLatency = 12 * time.Millisecond
)

// timedChanges is the number of changes whose propagation time is measured.
const timedChanges = 20

// Guards against a change that takes longer than propagationLimit on links with the latencies
// of the users' networks. It also measures requests through a VM of each region.
func TestLatenciesBetweenVMs(t *testing.T) {
	c := qt.New(t)
	cl := newCluster(c)
	version := cl.apply(tables(), 0)
	awaitVersion(c, cl.vms, version, propagationLimit)
	cl.startWorkers()
	cl.delayLinks()
	var propagation, commit []time.Duration
	for i := range timedChanges {
		start := time.Now()
		version = cl.apply(tables(fmt.Sprintf("route-%d", i)), version)
		commit = append(commit, time.Since(start))
		propagation = append(propagation, awaitVersion(c, cl.vms, version, propagationLimit))
	}
	c.Logf("accepted after median %s, max %s; then in force on all VMs after median %s, max %s (%d changes)",
		quantile(commit, 0.5), quantile(commit, 1), quantile(propagation, 0.5), quantile(propagation, 1), timedChanges)
	for _, first := range []int{0, 2} {
		c.Logf("time added through %s to a request of partition north: %s", cl.vms[first].name, cl.timeRequests(first))
	}
}

// delayLinks adds domainLatency to the links within a region and regionLatency to the others.
func (cl *cluster) delayLinks() {
	region := map[string]string{}
	for _, v := range cl.vms {
		region[v.name] = v.region
	}
	for pair, link := range cl.links {
		latency := regionLatency
		if region[pair[0]] == region[pair[1]] {
			latency = domainLatency
		}
		link.delay(cl.c, latency)
	}
}

// timeRequests submits requests one after the other through a VM and returns a summary of the
// time that the system added to them.
func (cl *cluster) timeRequests(first int) string {
	cl.c.Helper()
	const runTime = 10 * time.Millisecond
	caller := cl.caller(first)
	var added []time.Duration
	for n := range timedRequests / 2 {
		r := newRequest("latency", fmt.Sprintf("l%d-%d", first, n), kindNorth, true, program{RunMillis: runTime.Milliseconds(), Answer: "x"})
		start := time.Now()
		st, err := caller.Submit(timeoutContext(cl.c, 15*time.Second), r)
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(st.State, qt.Equals, api.StateDone)
		added = append(added, time.Since(start)-runTime)
	}
	return fmt.Sprintf("median %s, p99 %s (%d non-idempotent requests)", quantile(added, 0.5), quantile(added, 0.99), len(added))
}
