package integration

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/standin"
)

// requestLedger records each submitted request and the response that its caller received. It is
// safe for concurrent use.
type requestLedger struct {
	mu      sync.Mutex
	entries map[api.RequestKey]*ledgerEntry // guarded by mu
}

// ledgerEntry is one submitted request with its expected answer and its response.
type ledgerEntry struct {
	request api.SubmitRequest
	want    []byte // the expected answer; nil for a request that fails
	// firstResponse is the response to the first submission: an outcome, or the last state that the
	// caller saw after the request was accepted.
	firstResponse api.RequestStatus
	took          time.Duration // until the response to the first submission
	err           error         // of the first submission
}

func newRequestLedger() *requestLedger {
	return &requestLedger{entries: map[api.RequestKey]*ledgerEntry{}}
}

// add records a request and the answer that is expected for it.
func (l *requestLedger) add(r api.SubmitRequest, want []byte) *ledgerEntry {
	e := &ledgerEntry{request: r, want: want}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[api.RequestKey{Caller: r.Caller, Key: r.Key}] = e
	return e
}

// recordResponse records the response to the first submission of a request.
func (l *requestLedger) recordResponse(e *ledgerEntry, st api.RequestStatus, took time.Duration, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.firstResponse, e.took, e.err = st, took, err
}

// snapshot returns a copy of the map of entries.
func (l *requestLedger) snapshot() map[api.RequestKey]*ledgerEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[api.RequestKey]*ledgerEntry{}
	for k, e := range l.entries {
		out[k] = e
	}
	return out
}

// outcomeCounts is the number of requests by outcome.
type outcomeCounts struct {
	submitted, done, failed, notRun, unknown int
	resolvedLater                            int // requests whose first response was an error or had no outcome
}

func (o outcomeCounts) String() string {
	return fmt.Sprintf("submitted=%d done=%d failed=%d not_run=%d unknown=%d (resolved later: %d)",
		o.submitted, o.done, o.failed, o.notRun, o.unknown, o.resolvedLater)
}

// outcomeTimeout covers an election, the expiry of the task leases that a lost owner granted,
// and one more attempt.
const outcomeTimeout = 20 * time.Second

// verifyOutcomes polls every request until it has an outcome, compares the outcomes with the
// workers' journals, and logs and returns the counts.
func (cl *cluster) verifyOutcomes(l *requestLedger) outcomeCounts {
	cl.c.Helper()
	var counts outcomeCounts
	outcomes := cl.outcomes(l)
	for key, e := range l.snapshot() {
		counts.submitted++
		if e.err != nil || !e.firstResponse.State.IsOutcome() {
			counts.resolvedLater++
		}
		st := outcomes[key]
		cl.checkOutcomeUnchanged(key, e, st)
		switch st.State {
		case api.StateDone:
			counts.done++
			cl.c.Check(bytes.Equal(st.Answer, e.want), qt.IsTrue, qt.Commentf("%s has a wrong answer (%d bytes, want %d bytes)", key, len(st.Answer), len(e.want)))
		case api.StateFailed:
			counts.failed++
		case api.StateNotRun:
			counts.notRun++
		case api.StateUnknown:
			counts.unknown++
		default:
			cl.c.Errorf("%s has no outcome: %q %s", key, st.State, st.Reason)
		}
	}
	cl.checkJournals(l, outcomes)
	cl.c.Logf("outcomes: %s", counts)
	cl.c.Check(counts.submitted, qt.Equals, counts.done+counts.failed+counts.notRun+counts.unknown)
	return counts
}

// outcomes queries each request by key until it has an outcome. A request that was never
// accepted is resubmitted with the same key, as its caller would do.
func (cl *cluster) outcomes(l *requestLedger) map[api.RequestKey]api.RequestStatus {
	cl.c.Helper()
	var mu sync.Mutex
	out := map[api.RequestKey]api.RequestStatus{}
	ctx := timeoutContext(cl.c, outcomeTimeout)
	caller := cl.caller(1)
	work := make(chan *ledgerEntry)
	var fns []func()
	for range 16 {
		fns = append(fns, func() {
			for e := range work {
				st := pollUntilOutcome(ctx, cl, caller.Outcome, caller.Submit, e)
				mu.Lock()
				out[api.RequestKey{Caller: e.request.Caller, Key: e.request.Key}] = st
				mu.Unlock()
			}
		})
	}
	fns = append(fns, func() {
		for _, e := range l.snapshot() {
			work <- e
		}
		close(work)
	})
	runConcurrently(fns...)
	return out
}

type (
	outcomeFunc = func(context.Context, api.RequestKey, string, time.Duration) (api.RequestStatus, error)
	submitFunc  = func(context.Context, api.SubmitRequest) (api.RequestStatus, error)
)

// pollUntilOutcome queries a request until it has an outcome or ctx ends, and resubmits it if
// it was never accepted.
func pollUntilOutcome(ctx context.Context, cl *cluster, outcome outcomeFunc, submit submitFunc, e *ledgerEntry) api.RequestStatus {
	key := api.RequestKey{Caller: e.request.Caller, Key: e.request.Key}
	for ctx.Err() == nil {
		st, err := outcome(ctx, key, e.request.Kind, 2*time.Second)
		if apiErr, ok := err.(*api.Error); ok && apiErr.Code == api.CodeNotFound {
			if e.err == nil {
				cl.c.Errorf("%s was accepted in state %s and is no longer known", key, e.firstResponse.State)
				return api.RequestStatus{}
			}
			st, err = submit(ctx, e.request)
		}
		if err == nil && st.State.IsOutcome() {
			return st
		}
	}
	return api.RequestStatus{Reason: "no outcome before the deadline"}
}

// checkOutcomeUnchanged checks that an outcome does not change after a caller received it. The
// outcome unknown may still be resolved.
func (cl *cluster) checkOutcomeUnchanged(key api.RequestKey, e *ledgerEntry, st api.RequestStatus) {
	if e.err == nil && e.firstResponse.State.IsFinal() {
		cl.c.Check(st.State, qt.Equals, e.firstResponse.State, qt.Commentf("%s changed its outcome", key))
	}
}

// checkJournals checks the workers' journals for violations and compares them with the outcomes.
func (cl *cluster) checkJournals(l *requestLedger, outcomes map[api.RequestKey]api.RequestStatus) {
	cl.c.Helper()
	nonIdempotent := map[api.RequestKey]bool{}
	for key, e := range l.snapshot() {
		if e.request.NonIdempotent {
			nonIdempotent[key] = true
		}
	}
	var paths []string
	started, ended := map[api.RequestKey]int{}, map[api.RequestKey]int{}
	for _, w := range cl.workers {
		paths = append(paths, w.journalPath)
		for _, e := range w.starts() {
			started[e.Task().RequestKey]++
		}
		for _, e := range w.events(standin.EventEnd) {
			ended[e.Task().RequestKey]++
		}
	}
	violations, err := standin.CheckJournals(nonIdempotent, paths...)
	cl.c.Assert(err, qt.IsNil)
	for _, v := range violations {
		cl.c.Errorf("journals: %s", v)
	}
	for key, st := range outcomes {
		switch {
		case st.State == api.StateNotRun && started[key] > 0:
			cl.c.Errorf("%s is reported as not run (%s) but was started %d times", key, st.Reason, started[key])
		case st.State == api.StateDone && ended[key] == 0:
			cl.c.Errorf("%s is reported as done but has no end event in any journal", key)
		case st.State == api.StateFailed && started[key] == 0:
			cl.c.Errorf("%s is reported as failed (%s) but was never started", key, st.Reason)
		}
	}
}
