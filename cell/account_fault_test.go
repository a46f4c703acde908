package cell

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/transport"
)

// partition drops, while it is set, what a VM sends to the others or what it receives in reply.
type partition struct {
	mu                          sync.Mutex
	dropsRequests, dropsReplies bool
	conns                       []net.Conn
}

func (p *partition) active() (dropsRequests, dropsReplies bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dropsRequests, p.dropsReplies
}

func (p *partition) set(requests, replies bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropsRequests, p.dropsReplies = requests, replies
}

// heal ends the partition. It closes the connections, since they have lost data.
func (p *partition) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropsRequests, p.dropsReplies = false, false
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = nil
}

func (p *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	if requests, _ := p.active(); requests {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, conn)
	return &partitionedConn{conn, p}, nil
}

// partitionedConn is a connection through a partition.
type partitionedConn struct {
	net.Conn
	partition *partition
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if requests, _ := c.partition.active(); requests {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if _, replies := c.partition.active(); err != nil || !replies {
			return n, err
		}
	}
}

// partitionable puts a partition between a VM and all keepers.
func (tc *testCell) partitionable(n *Node) *partition {
	p := &partition{}
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	for _, address := range tc.seeds {
		if old := n.peers.links[address]; old != nil {
			old.peer.Close()
		}
		n.peers.links[address] = &peerLink{peer: transport.NewPeer(address, transport.PeerOptions{CallTimeout: callTimeout, Dial: p.dial})}
	}
	return p
}

func stateCall(id job.ID) Call { return Call{Kind: QueryJob, Host: "h", Path: "/d/" + id.String()} }

// Guards against an entry VM that decides by what it knew before it was partitioned: it would serve a
// withdrawn key, or refuse a new one, after it has come back.
func TestKeysAtAnEntryVMThatWasPartitioned(t *testing.T) {
	tc := newTestCell(t, 3)
	entry := tc.start(freeAddress(tc.c), "", false)
	p := tc.partitionable(entry)
	keeper := tc.nodes[tc.seeds[0]].node
	put := func(version int64, keys ...string) {
		tc.c.Helper()
		tc.eventually("configuration acknowledged", func() bool {
			config := accountConfig(version, map[string][]string{"ada": keys})
			return forwardCall(keeper, Call{Kind: PutConfig, Config: config}).Code == OK
		})
	}
	put(1, "old")
	tc.c.Assert(forwardCall(entry, submitCall("/d/"+job.ID(1).String()).withKey("old")).Code, qt.Equals, OK)
	for version, keys := range [][2]string{2: {"old", "new"}, 3: {"new", "old"}, 4: {"old", "new"}} {
		if version < 2 {
			continue
		}
		withdrawn, added := keys[0], keys[1]
		tc.c.Assert(forwardCall(entry, stateCall(1).withKey(withdrawn)).Code, qt.Equals, OK)
		p.set(true, true)
		put(int64(version), added)
		for _, key := range keys {
			ctx, cancel := context.WithTimeout(context.Background(), 2*attemptTimeout)
			code := entry.Forward(ctx, stateCall(1).withKey(key)).Code
			cancel()
			tc.c.Check(code == Unavailable || code == Unknown, qt.IsTrue, qt.Commentf("key %q during the partition: %v", key, code))
		}
		waiting := make(chan Code, 1) // of a call that arrives during the partition and is served after it
		go func() { waiting <- forwardCall(entry, stateCall(1).withKey(withdrawn)).Code }()
		p.heal()
		tc.c.Check(forwardCall(entry, stateCall(1).withKey(withdrawn)).Code, qt.Equals, Unauthenticated)
		tc.c.Check(forwardCall(entry, stateCall(1).withKey(added)).Code, qt.Equals, OK)
		tc.c.Check(<-waiting, qt.Equals, Unauthenticated)
	}
}

// Guards against a withdrawn key that works again at the next leader, a valid one that is refused while the
// leader changes, a job that runs although its caller was told that the key is invalid, and an accepted job
// that ends with its key.
func TestKeysWithdrawnWhileTheLeaderChanges(t *testing.T) {
	tc := newTestCell(t, 3)
	entry := tc.start(freeAddress(tc.c), "", false)
	key := func(version int) string { return fmt.Sprintf("key-%d", version) }
	put := func(version int) bool {
		config := accountConfig(int64(version), map[string][]string{"ada": {key(version)}})
		for end := time.Now().Add(recoveryLimit); time.Now().Before(end); {
			if forwardCall(entry, Call{Kind: PutConfig, Config: config}).Code == OK {
				return true
			}
		}
		return false
	}
	tc.c.Assert(put(1), qt.IsTrue)
	tc.announce(entry, "w1")

	// requested and acknowledged are the newest version that was sent and that was acknowledged.
	var requested, acknowledged atomic.Int64
	requested.Store(1)
	acknowledged.Store(1)
	var mu sync.Mutex
	replies := map[job.ID]Code{}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for caller := range 4 {
		callers.Go(func() {
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id, version := job.ID(caller<<32+n), acknowledged.Load()
				code := forwardCall(entry, submitCall("/d/"+id.String()).withKey(key(int(version)))).Code
				if code == Unauthenticated && requested.Load() == version {
					tc.c.Errorf("job %v: the key of version %d was refused and no later version was sent", id, version)
				}
				mu.Lock()
				replies[id] = code
				mu.Unlock()
			}
		})
	}
	for i, change := range []func(leader string){
		func(leader string) {
			tc.onEventLoop(leader, func(h *replicaHost) { h.transferLeadership(h.node.eventLoop.Now()) })
		},
		func(leader string) {
			tc.onEventLoop(leader, func(h *replicaHost) { h.group.Node.StepDown() })
		},
		func(leader string) {
			dir := tc.nodes[leader].dir
			tc.stop(leader)
			tc.start(leader, dir, false)
		},
	} {
		version := i + 2
		requested.Store(int64(version))
		leader := tc.leader()
		done := make(chan bool, 1)
		go func() { done <- put(version) }()
		change(leader)
		tc.c.Assert(<-done, qt.IsTrue)
		acknowledged.Store(int64(version))
		id := job.ID(100<<32 + version)
		tc.c.Check(forwardCall(entry, submitCall("/d/"+id.String()).withKey(key(version-1))).Code, qt.Equals, Unauthenticated)
		tc.c.Check(forwardCall(entry, submitCall("/d/"+id.String()).withKey(key(version))).Code, qt.Equals, OK)
	}
	close(stop)
	callers.Wait()
	accepted, refused := 0, 0
	for id, code := range replies {
		call := stateCall(id).withKey(key(int(acknowledged.Load())))
		switch code {
		case OK:
			accepted++
			tc.eventually("accepted job done", func() bool { return forwardCall(entry, call).Status == JobCompleted })
		case Unauthenticated:
			refused++
			tc.c.Check(forwardCall(entry, call).Code, qt.Equals, NoJob, qt.Commentf("job %v", id))
		}
	}
	tc.c.Check(accepted > 0, qt.IsTrue)
	t.Logf("%d accepted, %d refused, %d others", accepted, refused, len(replies)-accepted-refused)
}

// Guards against a caller that is told that its key is invalid, which means that nothing was done, after an
// attempt whose reply was lost and that stored its job while the key was valid.
func TestKeyWithdrawnAfterALostReply(t *testing.T) {
	tc := newTestCell(t, 3)
	entry := tc.start(freeAddress(tc.c), "", false)
	keeper := tc.nodes[tc.seeds[0]].node
	p := tc.partitionable(entry)
	put := func(version int64, key string) {
		tc.c.Helper()
		config := accountConfig(version, map[string][]string{"ada": {key}})
		tc.c.Assert(forwardCall(keeper, Call{Kind: PutConfig, Config: config}).Code, qt.Equals, OK)
	}
	put(1, "old")
	tc.c.Assert(forwardCall(entry, submitCall("/d/"+job.ID(1).String()).withKey("old")).Code, qt.Equals, OK)
	p.set(false, true)
	code := make(chan Code, 1)
	go func() { code <- forwardCall(entry, submitCall("/d/"+job.ID(2).String()).withKey("old")).Code }()
	tc.eventually("job stored", func() bool { return forwardCall(keeper, stateCall(2).withKey("old")).Code == OK })
	put(2, "new")
	p.heal()
	tc.c.Check(<-code, qt.Equals, Unknown)
	tc.c.Check(forwardCall(keeper, stateCall(2).withKey("new")).Code, qt.Equals, OK)
}

// Guards against a caller that is told that its id is in use, which means that its job is not stored, after an
// attempt whose reply was lost and that stored the job before its key became that of another account.
func TestKeyMovedAfterALostReply(t *testing.T) {
	tc := newTestCell(t, 3)
	entry := tc.start(freeAddress(tc.c), "", false)
	keeper := tc.nodes[tc.seeds[0]].node
	p := tc.partitionable(entry)
	put := func(version int64, keys map[string][]string) {
		tc.c.Helper()
		tc.c.Assert(forwardCall(keeper, Call{Kind: PutConfig, Config: accountConfig(version, keys)}).Code, qt.Equals, OK)
	}
	put(1, map[string][]string{"ada": {"moved"}})
	tc.c.Assert(forwardCall(entry, submitCall("/d/"+job.ID(1).String()).withKey("moved")).Code, qt.Equals, OK)
	p.set(false, true)
	code := make(chan Code, 1)
	go func() { code <- forwardCall(entry, submitCall("/d/"+job.ID(2).String()).withKey("moved")).Code }()
	tc.eventually("job stored", func() bool { return forwardCall(keeper, stateCall(2).withKey("moved")).Code == OK })
	put(2, map[string][]string{"ada": {"kept"}, "bob": {"moved"}})
	p.heal()
	tc.c.Check(<-code, qt.Equals, Unknown)
	tc.c.Check(forwardCall(keeper, stateCall(2).withKey("kept")).Code, qt.Equals, OK)
}

// Guards against the same for other kinds and codes: only a refusal that a changed configuration may have
// caused after the job was stored is replaced.
func TestRefusalAfterAnUnclearAttemptIsUnclear(t *testing.T) {
	for _, test := range []struct {
		kind      Kind
		uncertain bool
		code      Code
		want      Code
	}{
		{SubmitJob, true, Unauthenticated, Unknown},
		{CancelJob, true, Unauthenticated, Unknown},
		{SubmitJob, true, NoQueue, Unknown},
		{CancelJob, true, NoQueue, Unknown},
		{SubmitJob, true, Conflict, Unknown},
		{SubmitJob, false, Conflict, Conflict},
		{QueryJob, true, NoQueue, NoQueue},
		{QueryJob, true, Unauthenticated, Unauthenticated},
		{SubmitJob, false, Unauthenticated, Unauthenticated},
		{SubmitJob, true, NoQueue, Unknown}, // the route may have been removed between the attempts
		{CancelJob, true, NoQueue, Unknown},
		{QueryJob, true, NoQueue, NoQueue},
		{SubmitJob, false, NoQueue, NoQueue},
		{SubmitJob, true, OK, OK},
		{SubmitJob, true, LimitExceeded, LimitExceeded}, // the leader has looked for the job first
		{CancelJob, true, NoJob, NoJob},
	} {
		qt.Check(t, settle(Call{Kind: test.kind}, Reply{Code: test.code}, test.uncertain).Code, qt.Equals, test.want, qt.Commentf("%+v", test))
	}
}
