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

// Guards against a request that is lost or run twice when copies of it arrive through several
// VMs, one after the other or concurrently, and against truncated large answers.
func TestRequestsEndToEnd(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	cl := newCluster(c)
	version := cl.apply(tables(), 0)
	awaitVersion(c, cl.vms, version, propagationLimit)
	cl.startWorkers()
	ledger := newRequestLedger()
	entries := cl.entryClients()
	for _, nonIdempotent := range []bool{false, true} {
		for i := range cl.vms {
			cl.checkResend(ledger, entries, i, nonIdempotent)
			cl.checkConcurrent(ledger, entries, i, nonIdempotent)
		}
	}
	cl.checkLargeAnswers(ledger, entries)
	counts := cl.verifyOutcomes(ledger)
	c.Check(counts.done, qt.Equals, counts.submitted)
	cl.checkSingleStarts()
}

// entryClients returns one client for each VM. A client tries no other VM.
func (cl *cluster) entryClients() []*client.Client {
	var out []*client.Client
	for _, v := range cl.vms {
		out = append(out, cl.client(1, v.entryProxy.address))
	}
	return out
}

// kindForIndex returns kindNorth for even and kindSouth for odd numbers.
func kindForIndex(i int) string {
	if i%2 == 0 {
		return kindNorth
	}
	return kindSouth
}

// checkResend submits a request through one VM, then the same request through the two others.
func (cl *cluster) checkResend(ledger *requestLedger, entries []*client.Client, first int, nonIdempotent bool) {
	cl.c.Helper()
	key := fmt.Sprintf("resend-%d-%v", first, nonIdempotent)
	r := newRequest("caller", key, kindForIndex(first), nonIdempotent, program{RunMillis: 50, Answer: key})
	e := ledger.add(r, []byte(key))
	for i := range entries {
		st, err := entries[(first+i)%len(entries)].Submit(timeoutContext(cl.c, 15*time.Second), r)
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(st.State, qt.Equals, api.StateDone)
		cl.c.Assert(string(st.Answer), qt.Equals, key)
		ledger.recordResponse(e, st, 0, nil)
	}
}

// checkConcurrent submits copies of one request through all VMs concurrently.
func (cl *cluster) checkConcurrent(ledger *requestLedger, entries []*client.Client, round int, nonIdempotent bool) {
	cl.c.Helper()
	key := fmt.Sprintf("together-%d-%v", round, nonIdempotent)
	r := newRequest("caller", key, kindForIndex(round), nonIdempotent, program{RunMillis: 100, Answer: key})
	e := ledger.add(r, []byte(key))
	var wg sync.WaitGroup
	for i := range 9 {
		wg.Go(func() {
			st, err := entries[i%len(entries)].Submit(timeoutContext(cl.c, 15*time.Second), r)
			cl.c.Check(err, qt.IsNil)
			cl.c.Check(string(st.Answer), qt.Equals, key)
			ledger.recordResponse(e, st, 0, err)
		})
	}
	wg.Wait()
}

// checkLargeAnswers checks answers of up to api.MaxBodyBytes through each VM.
func (cl *cluster) checkLargeAnswers(ledger *requestLedger, entries []*client.Client) {
	cl.c.Helper()
	for i, size := range []int{1, 64 << 10, api.MaxBodyBytes} {
		for j, entry := range entries {
			key := fmt.Sprintf("large-%d-%d", i, j)
			r := newRequest("caller", key, kindForIndex(j), false, program{AnswerBytes: size})
			want := make([]byte, size)
			for k := range want {
				want[k] = 'a'
			}
			e := ledger.add(r, want)
			st, err := entry.Submit(timeoutContext(cl.c, 15*time.Second), r)
			cl.c.Check(err, qt.IsNil)
			cl.c.Check(len(st.Answer), qt.Equals, size)
			ledger.recordResponse(e, st, 0, err)
		}
	}
}

// checkSingleStarts checks that no request was started more than once. It is for tests in which
// no VM and no worker fails, so that there is no reason for a second attempt.
func (cl *cluster) checkSingleStarts() {
	starts := map[api.RequestKey]int{}
	for _, w := range cl.workers {
		for _, e := range w.starts() {
			starts[e.Task().RequestKey]++
		}
	}
	for key, n := range starts {
		cl.c.Check(n, qt.Equals, 1, qt.Commentf("%s", key))
	}
}
