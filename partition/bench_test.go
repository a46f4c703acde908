package partition

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// newBenchmarkOwner returns an owner with 50 synced workers of 8 slots, and their names.
func newBenchmarkOwner(b *testing.B) (*harness, []string) {
	h := newHarness(b)
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprintf("w%02d", i))
		h.addWorker(names[i], "i1")
	}
	return h, names
}

// BenchmarkRequests runs requests from submit to acknowledged end, in rounds of 400. One
// operation is one request with its accept, claim and outcome.
func BenchmarkRequests(b *testing.B) {
	h, names := newBenchmarkOwner(b)
	body := make([]byte, 200)
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; {
		n := min(400, b.N-done)
		for i := range n {
			h.submit(fmt.Sprint(done+i), func(s *Submit) { s.Request.Body = body })
		}
		h.commit()
		ended := map[string][]api.TaskEnd{}
		for i, d := range h.dispatches {
			h.answerDispatch(i, api.DispatchStarted, "i1")
			ended[d.Worker] = append(ended[d.Worker], taskEnd(d.Dispatch.Task, api.EndDone, "bond"))
		}
		h.dispatches = nil
		for _, w := range names {
			h.answerSync(w, "i1", withEnds(ended[w]...))
		}
		h.commit()
		done += n
		h.now += ms
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkLogBytes reports the log size in bytes of one request with a body of 200 B: for
// each command, and in total including the encoding of the batches.
func BenchmarkLogBytes(b *testing.B) {
	const requests = 200
	var accept, claim, outcome, total int
	for range b.N {
		h, names := newBenchmarkOwner(b)
		drain := func() {
			for len(h.log) > 0 {
				entry, commands, _ := decodeBatch(h.log[0])
				total += len(h.log[0])
				for i, c := range commands {
					switch size := len(entry.Commands[i]); {
					case c.Accept != nil:
						accept += size
					case c.Claim != nil:
						claim += size
					default:
						outcome += size
					}
				}
				h.handleActions(h.p.Apply(h.now, h.log[0]))
				h.log = h.log[1:]
			}
		}
		for i := range requests {
			h.submit(fmt.Sprintf("order-%06d", i), func(s *Submit) { s.Request.Body = make([]byte, 200) })
		}
		drain()
		ended := map[string][]api.TaskEnd{}
		for _, d := range h.dispatches {
			ended[d.Worker] = append(ended[d.Worker], taskEnd(d.Dispatch.Task, api.EndDone, "bond"))
		}
		for _, w := range names {
			h.answerSync(w, "i1", withEnds(ended[w]...))
		}
		drain()
	}
	n := float64(b.N * requests)
	b.ReportMetric(float64(accept)/n, "accept-B")
	b.ReportMetric(float64(claim)/n, "claim-B")
	b.ReportMetric(float64(outcome)/n, "outcome-B")
	b.ReportMetric(float64(total)/n, "total-B")
}

// BenchmarkCancelWave cancels many queued requests in a row. The cost of one cancel should
// not depend on their number.
func BenchmarkCancelWave(b *testing.B) {
	for _, wave := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(wave), func(b *testing.B) { benchmarkCancelWave(b, wave) })
	}
}

func benchmarkCancelWave(b *testing.B, wave int) {
	for range b.N {
		b.StopTimer()
		h := newHarness(b)
		for i := range wave {
			h.submit(fmt.Sprint(i), func(s *Submit) { s.WaitUntil = 0 })
		}
		h.commit()
		b.StartTimer()
		for i := range wave {
			h.waiter++
			h.handleActions(h.p.Step(h.now, Cancel{Waiter: h.waiter, WaitUntil: h.now + time.Minute, Key: key(fmt.Sprint(i))}))
		}
		h.commit()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*wave), "ns/cancel")
}
