package integration

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

const (
	kindRemoved = "withdrawn-guarantee"
	// cutDuration is long enough for the configuration lease to expire and for several seconds
	// after that.
	cutDuration = 2*configLeaseDuration + time.Second
)

// Guards against a region that keeps accepting work, or uses old tables, while it is cut off and
// cannot know which configuration is in force.
func TestRegionsPartitioned(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(c)
	version := cl.apply(tables(kindRemoved), 0)
	awaitVersion(c, cl.vms, version, propagationLimit)
	cl.startWorkers()
	majority, minority := cl.vms[:2], cl.vms[2:]
	links := cl.linksBetween(majority, minority)
	probe := cl.startProbe(minority[0])
	s := cl.startStream(defaultStream(4))
	cl.awaitSent(s, 50)

	cutAt := time.Now()
	for _, link := range links {
		link.cut()
	}
	cutEnd := time.After(cutDuration)
	version = cl.applyThrough(majority, tables(), version)
	appliedAt := time.Now()
	awaitVersion(c, majority, version, propagationLimit)
	cl.checkSouthServed(majority[0])
	<-cutEnd
	for _, link := range links {
		link.heal()
	}
	healedAt := time.Now()
	took := awaitVersion(c, cl.vms, version, propagationLimit)
	served := waitFor(c, "the minority accepts requests again", propagationLimit-took, func() bool { return probe.lastAccepted().After(healedAt) })
	c.Logf("change accepted %s after the cut; after healing in force after %s, minority accepts requests after %s", appliedAt.Sub(cutAt).Round(pollInterval), took.Round(pollInterval), (took + served).Round(pollInterval))
	probe.end()
	probe.check(c, cutAt, healedAt)
	cl.awaitFormed(formationTimeout)
	cl.verifyOutcomes(s.end())
	cl.verifyOutcomes(probe.ledger)
}

// applyThrough applies a change through the given VMs only.
func (cl *cluster) applyThrough(vms []*vm, t api.Tables, base uint64) uint64 {
	cl.c.Helper()
	var addresses []string
	for _, v := range vms {
		addresses = append(addresses, v.httpAddress)
	}
	resp, err := cl.client(24, addresses...).Apply(timeoutContext(cl.c, 15*time.Second), api.ApplyRequest{Operator: "test", BaseVersion: base, Tables: t})
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(resp.Accepted, qt.IsTrue, qt.Commentf("%+v", resp))
	return resp.Version
}

// checkSouthServed checks that the majority accepts work for the partition whose home region is
// cut off, since the partition has its quorum on the majority side.
func (cl *cluster) checkSouthServed(v *vm) {
	cl.c.Helper()
	entry := cl.client(1, v.entryProxy.address)
	waitFor(cl.c, "the north accepts work for the south", 3*electionLimit, func() bool {
		r := newRequest("majority", "k", kindSouth, false, program{Answer: "x"})
		r.WaitMillis = 0
		_, err := entry.Submit(timeoutContext(cl.c, callTimeout*2), r)
		return err == nil
	})
}

// probe submits requests through one VM at a fixed interval and records the result of each.
type probe struct {
	ledger *requestLedger
	stop   chan struct{}
	wg     sync.WaitGroup

	mu      sync.Mutex
	results []probeResult // guarded by mu
}

// probeResult is the result of one probe request. A nil err means that it was accepted.
type probeResult struct {
	kind                string
	sentAt, respondedAt time.Time
	err                 error
}

// probeKinds are the kinds of the probe requests: one of each region, which stay routed, and the
// one that is withdrawn.
var probeKinds = []string{kindNorth, kindRemoved, kindSouth}

func (cl *cluster) startProbe(v *vm) *probe {
	p := &probe{ledger: newRequestLedger(), stop: make(chan struct{})}
	for i, kind := range probeKinds {
		entry := cl.client(1, v.entryProxy.address)
		p.wg.Go(func() { p.run(cl, entry, kind, i) })
	}
	return p
}

// probeInterval and maxProbes, both for each kind, limit the load of a probe.
const (
	probeInterval = 50 * time.Millisecond
	maxProbes     = 600
)

func (p *probe) run(cl *cluster, entry *client.Client, kind string, index int) {
	for n := range maxProbes {
		select {
		case <-p.stop:
			return
		case <-time.After(probeInterval):
		}
		key := fmt.Sprintf("p%d-%d", index, n)
		r := newRequest("probe", key, kind, n%2 == 0, program{Answer: key})
		r.WaitMillis = 0
		result := probeResult{kind: kind, sentAt: time.Now()}
		st, err := entry.Submit(timeoutContext(cl.c, 10*time.Second), r)
		result.respondedAt, result.err = time.Now(), err
		// A request that was certainly not accepted must not become known to the system by a
		// resend, and the outcome of a request of the withdrawn kind cannot be queried later.
		if kind != kindRemoved && (err == nil || !isNotAccepted(err)) {
			p.ledger.recordResponse(p.ledger.add(r, []byte(key)), st, 0, err)
		}
		p.mu.Lock()
		p.results = append(p.results, result)
		p.mu.Unlock()
	}
}

// isNotAccepted reports whether the error proves that this copy of the request was not
// accepted: the entry VM did not forward it, or the owner refused it.
func isNotAccepted(err error) bool {
	e, ok := err.(*api.Error)
	return ok && (e.Code == api.CodeUnavailable || e.NotRun)
}

func (p *probe) end() {
	close(p.stop)
	p.wg.Wait()
}

// lastAccepted returns the send time of the last request that was accepted.
func (p *probe) lastAccepted() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for _, r := range p.results {
		if r.err == nil && r.sentAt.After(last) {
			last = r.sentAt
		}
	}
	return last
}

// check checks that the minority accepted no request after its configuration lease expired, and
// that it refused those sent later as not accepted.
func (p *probe) check(c *qt.C, cutAt, healedAt time.Time) {
	c.Helper()
	acceptanceEnd := cutAt.Add(configLeaseDuration + heartbeatInterval)
	var lastAccepted time.Duration
	refused := 0
	for _, r := range p.results {
		if r.err == nil && r.sentAt.After(cutAt) && r.sentAt.Before(healedAt) {
			lastAccepted = max(lastAccepted, r.sentAt.Sub(cutAt))
		}
		if r.err == nil && r.kind == kindRemoved && r.sentAt.After(acceptanceEnd) {
			c.Errorf("a withdrawn kind was accepted %s after the cut", r.sentAt.Sub(cutAt))
		}
		if r.sentAt.Before(acceptanceEnd) || r.respondedAt.After(healedAt) {
			continue
		}
		refused++
		if !isNotAccepted(r.err) {
			c.Errorf("%s: got %v %s after the cut, want a refusal as not accepted", r.kind, r.err, r.sentAt.Sub(cutAt).Round(time.Millisecond))
		}
	}
	c.Check(lastAccepted <= configLeaseDuration+heartbeatInterval, qt.IsTrue)
	c.Check(refused > 10, qt.IsTrue, qt.Commentf("only %d probes after the lease expired", refused))
	c.Logf("minority: last accepted %s after the cut; %d probes refused after the lease expired", lastAccepted.Round(pollInterval), refused)
}
