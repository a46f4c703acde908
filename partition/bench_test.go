package partition

import (
	"fmt"
	"testing"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// benchOwner returns an owner with 50 synced workers of 8 slots.
func newBenchmarkOwner(b *testing.B) (*harness, []string) {
	x := newHarness(b)
	var names []string
	for i := range 50 {
		names = append(names, fmt.Sprintf("w%02d", i))
		x.addWorker(names[i], "i1")
	}
	return x, names
}

// BenchmarkRequests runs requests from submit to the acknowledged end, 400 at a time. One
// operation is one request with its accept, claim and outcome.
func BenchmarkRequests(b *testing.B) {
	x, names := newBenchmarkOwner(b)
	body := make([]byte, 200)
	b.ReportAllocs()
	b.ResetTimer()
	for done := 0; done < b.N; {
		n := min(400, b.N-done)
		for i := range n {
			x.submit(fmt.Sprint(done+i), func(s *Submit) { s.Request.Body = body })
		}
		x.commit()
		ended := map[string][]api.TaskEnd{}
		for i, d := range x.dispatches {
			x.answerDispatch(i, api.DispatchStarted, "i1")
			ended[d.Worker] = append(ended[d.Worker], taskEnd(d.Dispatch.Task, api.EndDone, "bond"))
		}
		x.dispatches = nil
		for _, w := range names {
			x.answerSync(w, "i1", withEnds(ended[w]...))
		}
		x.commit()
		done += n
		x.now += ms
	}
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkLogBytes reports the bytes of log for one request with a body of 200 B, by
// command and in total with the batches around them.
func BenchmarkLogBytes(b *testing.B) {
	const requests = 200
	var accept, claim, outcome, total int
	for range b.N {
		x, names := newBenchmarkOwner(b)
		drain := func() {
			for len(x.log) > 0 {
				entry, commands, _ := decodeBatch(x.log[0])
				total += len(x.log[0])
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
				x.handleActions(x.p.Apply(x.now, x.log[0]))
				x.log = x.log[1:]
			}
		}
		for i := range requests {
			x.submit(fmt.Sprintf("order-%06d", i), func(s *Submit) { s.Request.Body = make([]byte, 200) })
		}
		drain()
		ended := map[string][]api.TaskEnd{}
		for _, d := range x.dispatches {
			ended[d.Worker] = append(ended[d.Worker], taskEnd(d.Dispatch.Task, api.EndDone, "bond"))
		}
		for _, w := range names {
			x.answerSync(w, "i1", withEnds(ended[w]...))
		}
		drain()
	}
	n := float64(b.N * requests)
	b.ReportMetric(float64(accept)/n, "accept-B")
	b.ReportMetric(float64(claim)/n, "claim-B")
	b.ReportMetric(float64(outcome)/n, "outcome-B")
	b.ReportMetric(float64(total)/n, "total-B")
}

// BenchmarkCancelWave cancels queued requests in one wave; the cost of one cancel should
// not depend on the size of the wave.
func BenchmarkCancelWave(b *testing.B) {
	for _, wave := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(wave), func(b *testing.B) { benchmarkCancelWave(b, wave) })
	}
}

func benchmarkCancelWave(b *testing.B, wave int) {
	for range b.N {
		b.StopTimer()
		x := newHarness(b)
		for i := range wave {
			x.submit(fmt.Sprint(i), func(s *Submit) { s.WaitUntil = 0 })
		}
		x.commit()
		b.StartTimer()
		for i := range wave {
			x.waiter++
			x.handleActions(x.p.Step(x.now, Cancel{Waiter: x.waiter, WaitUntil: x.now + time.Minute, Key: key(fmt.Sprint(i))}))
		}
		x.commit()
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*wave), "ns/cancel")
}
