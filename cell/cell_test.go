package cell

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/oleanderchute/oleanderchute/dispatch"
	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/raft"
)

// fakePool is a set of workers that carry out every order and end each task done after a
// while. It implements WorkerClient and is safe for concurrent use.
type fakePool struct {
	mu     sync.Mutex
	began  time.Time
	starts map[job.TaskRef]int
	runs   map[string]map[job.TaskRef]uint32
	ended  map[string][]dispatch.EndedRun
	last   map[string]uint64
	length time.Duration
}

func newFakePool() *fakePool {
	return &fakePool{began: time.Now(), starts: map[job.TaskRef]int{}, runs: map[string]map[job.TaskRef]uint32{},
		ended: map[string][]dispatch.EndedRun{}, last: map[string]uint64{}, length: 150 * time.Millisecond}
}

func (p *fakePool) clock() int64 { return 1 + time.Since(p.began).Milliseconds() }

func (p *fakePool) RenewLease(ctx context.Context, o dispatch.RenewLease) (dispatch.Reply, dispatch.Report) {
	for end := time.Now().Add(o.MaxWait); ; time.Sleep(5 * time.Millisecond) {
		p.mu.Lock()
		name := o.Worker.Name
		for len(p.ended[name]) > 0 && p.ended[name][0].Number <= o.AckedEnd {
			p.ended[name] = p.ended[name][1:]
		}
		if len(p.ended[name]) > 0 || !time.Now().Before(end) {
			r := dispatch.Report{StartedMillis: o.Worker.StartedMillis, ClockMillis: p.clock(), Ended: append([]dispatch.EndedRun(nil), p.ended[name]...)}
			for ref, run := range p.runs[name] {
				r.Running = append(r.Running, dispatch.RunningTask{Task: ref, Run: run})
			}
			p.mu.Unlock()
			return dispatch.Accepted, r
		}
		p.mu.Unlock()
		if ctx.Err() != nil {
			return dispatch.NoReply, dispatch.Report{}
		}
	}
}

func (p *fakePool) Start(_ context.Context, o dispatch.Start) (dispatch.Reply, int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := o.Worker.Name
	if p.runs[name] == nil {
		p.runs[name] = map[job.TaskRef]uint32{}
	}
	if p.runs[name][o.Task] == o.Run {
		return dispatch.Accepted, p.clock()
	}
	p.starts[o.Task]++
	p.runs[name][o.Task] = o.Run
	time.AfterFunc(p.length, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.runs[name][o.Task] == o.Run {
			delete(p.runs[name], o.Task)
			p.last[name]++
			p.ended[name] = append(p.ended[name], dispatch.EndedRun{Number: p.last[name], Task: o.Task, Run: o.Run, Kind: job.EndDone})
		}
	})
	return dispatch.Accepted, p.clock()
}

func (p *fakePool) Stop(_ context.Context, o dispatch.Stop) (dispatch.Reply, int64) {
	return dispatch.RefusedRunEnded, p.clock()
}

// noAdvisor is used by queues that need no advice.
type noAdvisor struct{}

func (noAdvisor) Advise(context.Context, job.StepRef, []string) ([]Grant, time.Duration, error) {
	return nil, 0, nil
}

// testCell is a cell in one process.
type testCell struct {
	c     *qt.C
	pool  *fakePool
	seeds []string
	nodes map[string]*testNode
}

type testNode struct {
	node   *Node
	cancel context.CancelFunc
	ended  chan struct{}
	dir    string
}

func freeAddress(c *qt.C) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	return l.Addr().String()
}

func newTestCell(t *testing.T, keepers int) *testCell {
	c := qt.New(t)
	tc := &testCell{c: c, pool: newFakePool(), nodes: map[string]*testNode{}}
	for range keepers {
		tc.seeds = append(tc.seeds, freeAddress(c))
	}
	for _, s := range tc.seeds {
		tc.start(s, c.TempDir(), true)
	}
	t.Cleanup(func() {
		for a := range tc.nodes {
			tc.stop(a)
		}
	})
	return tc
}

func (tc *testCell) start(address, dir string, first bool) *Node {
	s := Settings{Address: address, Seeds: tc.seeds, FirstStart: first, FaultTolerance: 1,
		Dispatch: dispatch.Settings{MaxLease: 10 * time.Second, StopTimeout: 400 * time.Millisecond, EndedJobRetention: time.Minute}}
	if dir != "" {
		s.DataDir, s.PublicAddress = filepath.Join(dir, "data"), address
	}
	n, err := New(s, tc.pool, noAdvisor{}, zap.NewNop())
	tc.c.Assert(err, qt.IsNil)
	listener, err := net.Listen("tcp", address)
	tc.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	tn := &testNode{n, cancel, make(chan struct{}), dir}
	tc.nodes[address] = tn
	go func() {
		defer close(tn.ended)
		if err := n.Run(ctx, listener); err != nil {
			tc.c.Errorf("%s: %v", address, err)
		}
	}()
	return n
}

func (tc *testCell) stop(address string) {
	tn := tc.nodes[address]
	tn.cancel()
	<-tn.ended
	delete(tc.nodes, address)
}

// onLoop runs fn on a keeper's loop.
func (tc *testCell) onLoop(address string, fn func(h *host)) {
	n := tc.nodes[address].node
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	tc.c.Assert(n.loop.Call(ctx, func() { fn(n.host) }), qt.IsNil)
}

func ask(n *Node, call Call) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return n.Forward(ctx, call)
}

func (tc *testCell) eventually(what string, fn func() bool) {
	tc.c.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if fn() {
			return
		}
	}
	tc.c.Fatalf("not within 20 s: %s", what)
}

func testConfig(version int64) *job.Config {
	return &job.Config{Version: version, Document: fmt.Appendf(nil, "v%d", version), Pools: []job.Pool{{Name: "desk"}},
		Queues: []job.Queue{{Name: "drafts", Host: "h", Prefix: "/d/", Pool: "desk", MaxAttempts: 3, SlackFactor: 2, TargetMillis: 500}}}
}

func (tc *testCell) announce(n *Node, name string) {
	w := job.Worker{Name: name, StartedMillis: 5, Address: name + ":1", Pool: "desk", Capacity: job.Resources{MilliCPU: 4000, MemoryMB: 4000}}
	r := ask(n, Call{Kind: Announce, Announcement: &Announcement{Worker: w, ClockMillis: tc.pool.clock(), Sequence: 1}})
	tc.c.Assert(r.Code, qt.Equals, OK)
}

func submit(n *Node, id job.ID, tasks int) Reply {
	spec := &job.Spec{Steps: []job.Step{{Count: tasks, TaskResources: job.Resources{MilliCPU: 500, MemoryMB: 10}, EstimateMillis: 150}}}
	return ask(n, Call{Kind: SubmitJob, Host: "h", Path: "/d/" + id.String(), Spec: spec})
}

func status(n *Node, id job.ID) JobStatus {
	return ask(n, Call{Kind: QueryJob, Host: "h", Path: "/d/" + id.String()}).Status
}

// Guards against a job that is lost, run twice or forgotten when its leader is replaced,
// and against a keeper with an emptied disk that does not return to the group.
func TestJobsSurviveTheLossOfALeaderAndOfADisk(t *testing.T) {
	tc := newTestCell(t, 3)
	entryAddress := freeAddress(tc.c)
	entry := tc.start(entryAddress, "", false)
	tc.c.Assert(ask(entry, Call{Kind: PutConfig, Config: testConfig(3)}).Code, qt.Equals, OK)
	tc.announce(entry, "w1")
	tc.announce(entry, "w2")
	for i := range 5 {
		tc.c.Assert(submit(entry, job.ID(i+1), 3).Code, qt.Equals, OK)
	}
	leader := entry.finder.next()
	dir := tc.nodes[leader].dir
	tc.stop(leader)
	for i := range 5 {
		tc.c.Assert(submit(entry, job.ID(i+1), 3).Code, qt.Equals, OK) // again, at the next leader
		tc.eventually("job done", func() bool { return status(entry, job.ID(i+1)) == JobCompleted })
	}
	for ref, n := range tc.pool.starts {
		tc.c.Check(n, qt.Equals, 1, qt.Commentf("%v", ref))
	}
	// The former leader returns without its disk, and then another keeper goes away.
	tc.start(leader, filepath.Join(dir, "new"), false)
	tc.eventually("the emptied keeper votes", func() bool {
		var id raft.NodeID
		tc.onLoop(leader, func(h *host) { id = h.group.Node.ID() })
		votes := 0
		for _, s := range tc.seeds {
			tc.onLoop(s, func(h *host) {
				if h.group.Node.Status().Membership.IsVoter(id) {
					votes++
				}
			})
		}
		return votes == 3
	})
	for _, s := range tc.seeds {
		if s != leader {
			tc.stop(s)
			break
		}
	}
	tc.c.Assert(submit(entry, 77, 2).Code, qt.Equals, OK)
	r := ask(entry, Call{Kind: GetConfig})
	tc.c.Assert(string(r.Document), qt.Equals, "v3")
}

// Guards against answers that are not what the state says: unknown queues and jobs, a
// version that is not higher, and a call while nobody leads.
func TestRepliesMatchState(t *testing.T) {
	tc := newTestCell(t, 3)
	n := tc.nodes[tc.seeds[0]].node
	tc.c.Assert(submit(n, 1, 1).Code, qt.Equals, NoConfig)
	tc.c.Assert(ask(n, Call{Kind: GetConfig}).Code, qt.Equals, NoConfig)
	tc.c.Assert(ask(n, Call{Kind: PutConfig, Config: testConfig(5)}).Code, qt.Equals, OK)
	tc.c.Assert(ask(n, Call{Kind: PutConfig, Config: testConfig(4)}).Code, qt.Equals, OK)
	tc.c.Assert(string(ask(n, Call{Kind: GetConfig}).Document), qt.Equals, "v5")
	bad := testConfig(9)
	bad.Queues[0].Pool = "dsek"
	tc.c.Assert(ask(n, Call{Kind: PutConfig, Config: bad}).Code, qt.Equals, BadCall)
	tc.c.Assert(ask(n, Call{Kind: SubmitJob, Host: "x", Path: "/d/0000000000000001"}).Code, qt.Equals, NoQueue)
	tc.c.Assert(ask(n, Call{Kind: QueryJob, Host: "h", Path: "/d/0000000000000001"}).Code, qt.Equals, NoJob)
	tc.c.Assert(ask(n, Call{Kind: CancelJob, Host: "h", Path: "/d/0000000000000001"}).Code, qt.Equals, NoJob)
	tc.c.Assert(ask(n, Call{Kind: SubmitJob, Host: "h", Path: "/d/xyz", Spec: &job.Spec{}}).Code, qt.Equals, BadCall)
	tc.c.Assert(submit(n, 1, 1).Code, qt.Equals, OK)
	tc.c.Assert(ask(n, Call{Kind: CountPending, Host: "h", Path: "/d/"}).Pending, qt.Equals, 1)
	tc.c.Assert(ask(n, Call{Kind: CancelJob, Host: "h", Path: "/d/0000000000000001"}).Code, qt.Equals, OK)
	tc.c.Assert(status(n, 1), qt.Equals, JobCanceled)
	tc.stop(tc.seeds[1])
	tc.stop(tc.seeds[2])
	time.Sleep(leaderLease) // until its end a leader may answer: nobody else can have led
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	r := n.Forward(ctx, Call{Kind: GetConfig})
	tc.c.Assert(r.Code == Unavailable || r.Code == Unknown, qt.IsTrue, qt.Commentf("%v", r.Code))
}
