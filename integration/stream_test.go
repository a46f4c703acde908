package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// streamPlan describes a stream of requests from several callers.
type streamPlan struct {
	seed    uint64
	callers int
	// maxRequests limits the number of requests of all callers together.
	maxRequests int
	// maxPause is the longest pause of a caller between two requests.
	maxPause time.Duration
	// minRunTime and maxRunTime limit the run time of a task.
	minRunTime, maxRunTime time.Duration
}

// defaultStream returns a plan for about 100 requests per second, half of them non-idempotent.
func defaultStream(seed uint64) streamPlan {
	return streamPlan{seed: seed, callers: 12, maxRequests: 900, maxPause: 120 * time.Millisecond, minRunTime: 5 * time.Millisecond, maxRunTime: 60 * time.Millisecond}
}

// callerWait is how long one call waits for an outcome. A caller resends a request for the
// client's 30 s.
const callerWait = 8 * time.Second

// requestStream is a running stream of requests.
type requestStream struct {
	ledger *requestLedger
	sent   atomic.Int64
	stop   context.CancelFunc
	wg     sync.WaitGroup
}

// startStream starts the callers. They submit no new requests after end is called or when the
// plan's maxRequests is reached, but always wait for a request in flight.
func (cl *cluster) startStream(plan streamPlan) *requestStream {
	ctx, stop := context.WithCancel(context.Background())
	s := &requestStream{ledger: newRequestLedger(), stop: stop}
	cl.c.Cleanup(stop)
	for i := range plan.callers {
		caller := cl.caller(i)
		random := rand.New(rand.NewPCG(plan.seed, uint64(i)))
		s.wg.Go(func() { s.runCaller(ctx, plan, caller, random, i) })
	}
	return s
}

// end stops new requests, waits for those in flight and returns the ledger of all requests.
func (s *requestStream) end() *requestLedger {
	s.stop()
	s.wg.Wait()
	return s.ledger
}

// awaitSent waits until the stream has sent n more requests.
func (cl *cluster) awaitSent(s *requestStream, n int64) {
	cl.c.Helper()
	want := s.sent.Load() + n
	waitFor(cl.c, fmt.Sprintf("%d more requests", n), 30*time.Second, func() bool { return s.sent.Load() >= want })
}

// runCaller submits the requests of one caller and records the responses.
func (s *requestStream) runCaller(ctx context.Context, plan streamPlan, caller *client.Client, random *rand.Rand, index int) {
	for n := 0; ctx.Err() == nil && s.sent.Add(1) <= int64(plan.maxRequests); n++ {
		r, want := plan.request(random, fmt.Sprintf("caller%d", index), fmt.Sprintf("k%d", n))
		e := s.ledger.add(r, want)
		start := time.Now()
		st, err := caller.Submit(context.Background(), r)
		s.ledger.recordResponse(e, st, time.Since(start), err)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(plan.maxPause) + 1))):
		}
	}
}

// request returns a random request and its expected answer. One in 16 fails at the worker.
func (p streamPlan) request(random *rand.Rand, caller, key string) (api.SubmitRequest, []byte) {
	runTime := p.minRunTime + time.Duration(random.Int64N(int64(p.maxRunTime-p.minRunTime)+1))
	kind := kindNorth
	if random.IntN(3) == 0 {
		kind = kindSouth
	}
	answer := "answer to " + caller + "/" + key
	if random.IntN(16) == 0 {
		return newRequest(caller, key, kind, random.IntN(2) == 0, program{RunMillis: runTime.Milliseconds(), Fail: true}), nil
	}
	return newRequest(caller, key, kind, random.IntN(2) == 0, program{RunMillis: runTime.Milliseconds(), Answer: answer}), []byte(answer)
}

// program is the request body that tells a stand-in worker how to run the task.
type program struct {
	RunMillis   int64  `json:"run_ms"`
	Answer      string `json:"answer,omitempty"`
	AnswerBytes int    `json:"answer_bytes,omitempty"`
	Fail        bool   `json:"fail,omitempty"`
}

func newRequest(caller, key, kind string, nonIdempotent bool, p program) api.SubmitRequest {
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // a struct of strings, numbers and booleans can always be encoded
	}
	return api.SubmitRequest{
		Caller: caller, Key: key, Kind: kind, NonIdempotent: nonIdempotent, Body: body,
		Resources: api.Resources{MilliCPU: 1000, MemoryMB: 512}, WaitMillis: callerWait.Milliseconds(),
	}
}
