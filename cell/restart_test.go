package cell

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/raft"
)

// timeline is a zap core that records when each message was logged.
type timeline struct {
	zapcore.LevelEnabler
	mu    sync.Mutex
	times map[string][]time.Time // by message
}

func newTimeline() *timeline {
	return &timeline{LevelEnabler: zap.InfoLevel, times: map[string][]time.Time{}}
}

func (l *timeline) clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.times)
}

// mark records an event that is not logged.
func (l *timeline) mark(message string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times[message] = append(l.times[message], time.Now())
}

// at returns when a message was logged for the nth time, counted from 1; the zero time if it was not.
func (l *timeline) at(message string, nth int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.times[message]) < nth {
		return time.Time{}
	}
	return l.times[message][nth-1]
}

func (l *timeline) count(message string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.times[message])
}

// With implements zapcore.Core.
func (l *timeline) With([]zapcore.Field) zapcore.Core { return l }

// Check implements zapcore.Core.
func (l *timeline) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return ce.AddCore(e, l)
}

// Write implements zapcore.Core.
func (l *timeline) Write(e zapcore.Entry, _ []zapcore.Field) error {
	l.mark(e.Message)
	return nil
}

// Sync implements zapcore.Core.
func (l *timeline) Sync() error { return nil }

// markElection marks when a keeper first has the role of the leader, before its first entry is committed.
func (tc *testCell) markElection(l *timeline, nodes []*Node) {
	for {
		for _, n := range nodes {
			isLeader := make(chan bool, 1)
			n.eventLoop.Post(func() { isLeader <- n.host.group.Node.Role() == raft.RoleLeader })
			select {
			case <-time.After(5 * time.Millisecond): // the data folder is not open yet
			case is := <-isLeader:
				if is {
					l.mark("elected")
					return
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against calls that wait for a leader long after it was elected, because the entry VM asks others or
// has no connection to it, after a restart of all keepers during which hundreds of runs have ended.
// It logs the table in docs/design/outages.md.
func TestFirstAcceptedJobAfterARestartOfAllKeepers(t *testing.T) {
	tc := newTestCell(t, 5)
	lines := newTimeline()
	tc.log = tc.log.WithOptions(zap.WrapCore(func(core zapcore.Core) zapcore.Core { return zapcore.NewTee(core, lines) }))
	entry := tc.start(freeAddress(tc.c), "", false)
	tc.c.Assert(forwardCall(entry, Call{Kind: PutConfig, Config: testConfig(1)}).Code, qt.Equals, OK)
	const workers, runsPerWorker = 350, 2
	tc.workers.taskDuration = 4 * time.Second
	var group sync.WaitGroup
	for i := range workers {
		group.Go(func() { tc.announce(entry, fmt.Sprintf("w%d", i)) })
	}
	group.Wait()
	for i := range workers * runsPerWorker / 20 {
		spec := &job.Spec{Steps: []job.Step{{Count: 20, TaskResources: job.Resources{MilliCPU: 2000, MemoryMB: 10}, EstimateMillis: 4000}}}
		r := forwardCall(entry, Call{Kind: SubmitJob, Host: "h", Path: "/d/" + job.ID(i+1).String(), Spec: spec})
		tc.c.Assert(r.Code, qt.Equals, OK)
	}
	tc.eventually("all tasks run", func() bool {
		tc.workers.mu.Lock()
		defer tc.workers.mu.Unlock()
		return len(tc.workers.starts) >= workers*runsPerWorker
	})
	tc.awaitRunning(workers * runsPerWorker)
	dirs := map[string]string{}
	for _, s := range tc.seeds {
		dirs[s] = tc.nodes[s].dir
	}
	for _, s := range tc.seeds {
		group.Go(func() { tc.nodes[s].cancel(); <-tc.nodes[s].stopped })
	}
	group.Wait()
	time.Sleep(3500 * time.Millisecond)
	ended := 0
	tc.eventually("hundreds of runs have ended", func() bool {
		tc.workers.mu.Lock()
		defer tc.workers.mu.Unlock()
		ended = 0
		for _, runs := range tc.workers.ended {
			ended += len(runs)
		}
		return ended >= workers*runsPerWorker*9/10
	})

	lines.clear()
	restarted := time.Now()
	var nodes []*Node
	for _, s := range tc.seeds {
		nodes = append(nodes, tc.start(s, dirs[s], false))
	}
	go tc.markElection(lines, nodes)
	first := make(chan time.Time, 1)
	done := make(chan struct{})
	var calls sync.WaitGroup
	codes := map[Code]int{}
	var mu sync.Mutex
	calls.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(20 * time.Millisecond):
			}
			calls.Go(func() {
				r := submit(entry, job.ID(10_000+i), 1)
				mu.Lock()
				defer mu.Unlock()
				codes[r.Code]++
				if r.Code == OK {
					select {
					case first <- time.Now():
					default:
					}
				}
			})
		}
	})
	accepted := <-first
	recorded := lines.count("run ended")
	close(done)
	calls.Wait()
	for _, event := range []struct {
		message string
		nth     int
	}{{"replica opened", 3}, {"elected", 1}, {"leadership gained", 1}, {"leader found", 1}, {"job accepted", 1}} {
		t.Logf("%-18s %5d ms", event.message, lines.at(event.message, event.nth).Sub(restarted).Milliseconds())
	}
	t.Logf("%-18s %5d ms, ends recorded by then: %d of %d", "first reply", accepted.Sub(restarted).Milliseconds(), recorded, ended)
	foundAt, gainedAt := lines.at("leader found", 1), time.Time{}
	for i := range lines.count("leadership gained") { // the first election may be followed by another one
		if at := lines.at("leadership gained", i+1); at.Before(foundAt) {
			gainedAt = at
		}
	}
	found := foundAt.Sub(gainedAt)
	tc.c.Check(codes, qt.DeepEquals, map[Code]int{OK: codes[OK]})
	// The connection to the leader is made again, and one probe may wait for another VM.
	tc.c.Check(found < dialTimeout+maxDialBackoff+probeTimeout, qt.IsTrue, qt.Commentf("the leader was found after %v", found))
	tc.eventually("all ended runs are recorded", func() bool { return lines.count("run ended") >= ended })
}

// awaitRunning waits until the leader knows that n runs have started.
func (tc *testCell) awaitRunning(n int) {
	tc.c.Helper()
	tc.eventually("all starts are confirmed", func() bool {
		started := 0
		tc.onEventLoop(tc.leader(), func(h *replicaHost) {
			h.state.Jobs(func(j *job.Job) {
				if h.scheduler.HasStarted(j) {
					started += 20
				}
			})
		})
		return started >= n
	})
}
