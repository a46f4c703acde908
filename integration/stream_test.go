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
	// most bounds the number of requests.
	maxRequests int
	// pause is the longest pause of one caller between two requests.
	maxPause time.Duration
	// shortestRun and longestRun bound the run time of a task.
	minRunTime, maxRunTime time.Duration
}

// defaultStream is about 100 requests a second, half of them non-idempotent.
func defaultStream(seed uint64) streamPlan {
	return streamPlan{seed: seed, callers: 12, maxRequests: 900, maxPause: 120 * time.Millisecond, minRunTime: 5 * time.Millisecond, maxRunTime: 60 * time.Millisecond}
}

// callerWait is how long one call waits for an outcome; a caller's resends go on for the
// client's 30 s.
const callerWait = 8 * time.Second

// requestStream is a running stream of requests.
type requestStream struct {
	ledger *requestLedger
	sent   atomic.Int64
	stop   context.CancelFunc
	wg     sync.WaitGroup
}

// startStream starts the callers. They stop taking new requests after end is called or
// when the plan's number is reached; a request in flight is always waited for.
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

// end stops new requests and waits for those in flight.
func (s *requestStream) end() *requestLedger {
	s.stop()
	s.wg.Wait()
	return s.ledger
}

// waitSent waits until the stream has sent n further requests.
func (cl *cluster) awaitSent(s *requestStream, n int64) {
	cl.c.Helper()
	want := s.sent.Load() + n
	waitFor(cl.c, fmt.Sprintf("%d further requests", n), 30*time.Second, func() bool { return s.sent.Load() >= want })
}

func (s *requestStream) runCaller(ctx context.Context, plan streamPlan, caller *client.Client, random *rand.Rand, index int) {
	for n := 0; ctx.Err() == nil && s.sent.Add(1) <= int64(plan.maxRequests); n++ {
		r, want := plan.request(random, fmt.Sprintf("caller%d", index), fmt.Sprintf("k%d", n))
		e := s.ledger.add(r, want)
		start := time.Now()
		st, err := caller.Submit(context.Background(), r)
		s.ledger.recordReply(e, st, time.Since(start), err)
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(plan.maxPause) + 1))):
		}
	}
}

// request returns a request and its answer. One in 16 fails at the worker.
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

// program is the body that tells a stand-in worker what to do.
type program struct {
	RunMillis   int64  `json:"run_ms"`
	Answer      string `json:"answer,omitempty"`
	AnswerBytes int    `json:"answer_bytes,omitempty"`
	Fail        bool   `json:"fail,omitempty"`
}

func newRequest(caller, key, kind string, nonIdempotent bool, p program) api.SubmitRequest {
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // a struct of plain fields is always encoded
	}
	return api.SubmitRequest{
		Caller: caller, Key: key, Kind: kind, NonIdempotent: nonIdempotent, Body: body,
		Resources: api.Resources{MilliCPU: 1000, MemoryMB: 512}, WaitMillis: callerWait.Milliseconds(),
	}
}
