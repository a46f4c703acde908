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
	// steadyLoadFactor is the steady load as a fraction of the fleet's capacity.
	steadyLoadFactor = 0.6
	// floodFactor is the load of a flood as a multiple of the fleet's capacity.
	floodFactor = 10
	// maxOtherCalls and maxFloodCalls bound the calls in flight. They are separate so that
	// the flood does not delay the submission of other work in this process.
	maxOtherCalls = 1000
	maxFloodCalls = 1500
	// otherWait is how long calls of other teams wait for an outcome. floodWait, the wait of
	// flood calls, is short, so that they end and new ones can be submitted.
	otherWait = 4 * time.Second
	floodWait = 500 * time.Millisecond
	// requestDeadline is the deadline of every request. Without it the requests of a flood
	// would stay queued up to the limit of their class, which is 8 h for low work.
	requestDeadline = 3 * time.Second
)

// stream is the requests of one team in one class at a fixed rate.
type stream struct {
	team  string
	class api.Class
	rate  float64 // requests per second
	flood bool
}

// steadyStreams returns the mixed load of the other teams.
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

// floodStream returns a flood of one class by team red.
func (o options) floodStream(class api.Class) stream {
	return stream{team: "red", class: class, rate: o.tasksPerSecond() * floodFactor, flood: true}
}

// result is the result of one request as its caller sees it.
type result struct {
	stream  stream
	key     api.RequestKey
	status  api.RequestStatus // zero after an error
	err     *api.Error        // nil unless the request was refused or its result is unknown
	latency time.Duration
}

// recorder collects the results of one phase and counts the scheduled requests that were not
// submitted because too many calls were in flight.
type recorder struct {
	mu      sync.Mutex
	results []result     // guarded by mu
	skipped map[bool]int // by whether the request belongs to the flood; guarded by mu
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

// runStreams submits all streams for one window and waits for the calls in flight.
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

// runStream submits one stream, each request in its own goroutine, through the entry VMs in
// turn. The capacity of inFlight bounds the calls in flight.
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

// asAPIError returns the API error in err, or an error that says that the result is unknown if
// err is of another kind. It returns nil for nil.
func asAPIError(err error) *api.Error {
	var e *api.Error
	if err == nil || errors.As(err, &e) {
		return e
	}
	return api.Errorf(api.CodeUnknownResult, "%v", err)
}

// resolveCallLimit bounds the calls of resolvePending in flight.
const resolveCallLimit = 64

// resolvePending asks again for the outcome of every request without a final state, for at most
// otherWait each, so that the check of all outcomes at the end is complete.
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

// isRefused reports whether err says that the request was certainly not accepted. Each request
// is sent only once, so no other copy of it can have been accepted.
func isRefused(err *api.Error) bool {
	return err != nil && err.Code != api.CodeUnknownResult && err.Code != api.CodeInternal
}
