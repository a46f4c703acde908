package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

const (
	requestKind = "drafting"
	// steadyShare is the part of the capacity that the steady load asks for.
	steadyLoadFactor = 0.6
	// floodFactor is how many times the capacity a flood asks for.
	floodFactor = 10
	// maxOtherCalls and maxFloodCalls bound the calls in flight. They are apart, so that
	// the flood does not delay the submission of other work in this process.
	maxOtherCalls = 1000
	maxFloodCalls = 1500
	// otherWait is how long calls of other teams wait for an outcome; floodWait is short,
	// so that flood calls make room for new ones.
	otherWait = 4 * time.Second
	floodWait = 500 * time.Millisecond
	// deadline of every request. A flood without deadlines would be queued up to the
	// bound of its class, which is 8 h for low work.
	requestDeadline = 3 * time.Second
)

// stream is one team's work of one class at a fixed rate.
type stream struct {
	team  string
	class api.Class
	rate  float64 // requests per second
	flood bool
}

// steady is the mixed load of the other teams.
func (o options) steadyStreams() []stream {
	rate := o.tasksPerSecond() * steadyLoadFactor
	return []stream{
		{team: "blue", class: api.ClassUrgent, rate: rate * 0.1},
		{team: "blue", class: api.ClassNormal, rate: rate * 0.3},
		{team: "green", class: api.ClassNormal, rate: rate * 0.3},
		{team: "green", class: api.ClassLow, rate: rate * 0.2},
		{team: "white", class: api.ClassUrgent, rate: rate * 0.1},
	}
}

func (o options) floodStream(class api.Class) stream {
	return stream{team: "red", class: class, rate: o.tasksPerSecond() * floodFactor, flood: true}
}

// result is one request as its caller saw it.
type result struct {
	stream  stream
	key     api.RequestKey
	status  api.RequestStatus // zero after an error
	err     *api.Error        // nil unless refused or uncertain
	latency time.Duration
}

// recorder collects results of one phase and counts requests that were due but not
// submitted, because too many calls were in flight.
type recorder struct {
	mu      sync.Mutex
	results []result // guarded by mu
	skipped map[bool]int
}

func (r *recorder) add(x result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results = append(r.results, x)
}

func (r *recorder) addSkipped(flood bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.skipped[flood]++
}

// drive submits all streams for one window and waits for the calls in flight.
func (b *testbed) runStreams(ctx context.Context, phase string, streams []stream) *recorder {
	rec := &recorder{skipped: map[bool]int{}}
	inFlight := map[bool]chan struct{}{false: make(chan struct{}, maxOtherCalls), true: make(chan struct{}, maxFloodCalls)}
	var wg sync.WaitGroup
	for _, s := range streams {
		wg.Go(func() { b.runStream(ctx, phase, s, inFlight[s.flood], rec) })
	}
	wg.Wait()
	return rec
}

// runStream submits one stream, each request by its own goroutine, through the entry VMs
// in turn.
func (b *testbed) runStream(ctx context.Context, phase string, s stream, inFlight chan struct{}, rec *recorder) {
	var wg sync.WaitGroup
	defer wg.Wait()
	start := time.Now()
	for i := range int(s.rate * b.window.Seconds()) {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / s.rate * float64(time.Second)))))
		select {
		case inFlight <- struct{}{}:
		default:
			rec.addSkipped(s.flood)
			continue
		}
		wg.Go(func() {
			defer func() { <-inFlight }()
			key := api.RequestKey{Caller: s.team, Key: fmt.Sprintf("%s-%s-%d", phase, s.class, i)}
			rec.add(submit(ctx, b.entryClients[i%len(b.entryClients)], s, key))
		})
	}
}

func submit(ctx context.Context, c *client.Client, s stream, key api.RequestKey) result {
	wait := otherWait
	if s.flood {
		wait = floodWait
	}
	start := time.Now()
	st, err := c.Submit(ctx, api.SubmitRequest{
		Caller: key.Caller, Key: key.Key, Kind: requestKind, Team: s.team, Class: s.class,
		Resources:      api.Resources{MilliCPU: 1000, MemoryMB: 512},
		DeadlineMillis: requestDeadline.Milliseconds(), WaitMillis: wait.Milliseconds(),
	})
	return result{stream: s, key: key, status: st, err: asAPIError(err), latency: time.Since(start)}
}

// asAPIError keeps a typed refusal; any other error leaves the result unknown.
func asAPIError(err error) *api.Error {
	var e *api.Error
	if err == nil || errors.As(err, &e) {
		return e
	}
	return api.Errorf(api.CodeUnknownResult, "%v", err)
}

// resolveLimit bounds the calls of resolve in flight.
const resolveCallLimit = 64

// resolve asks again for every request without a final state, for at most otherWait each,
// so that the account at the end is complete.
func (b *testbed) resolvePending(ctx context.Context, results []result) {
	var wg sync.WaitGroup
	inFlight := make(chan struct{}, resolveCallLimit)
	for i := range results {
		r := &results[i]
		if isRefused(r.err) || r.status.State.IsFinal() {
			continue
		}
		inFlight <- struct{}{}
		wg.Go(func() {
			defer func() { <-inFlight }()
			st, err := b.operatorClient.Outcome(ctx, r.key, requestKind, otherWait)
			if err == nil {
				r.status, r.err = st, nil
			}
		})
	}
	wg.Wait()
}

// isRefused reports whether this copy, the only one sent, was certainly not accepted.
func isRefused(err *api.Error) bool {
	return err != nil && err.Code != api.CodeUnknownResult && err.Code != api.CodeInternal
}
