package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// host is one simulated machine: a clock, a disk and, while it is up, a node.
type host struct {
	cfg        Config
	node       *Node // nil while down
	rate       float64
	boot       time.Duration // true time of the last start
	disk       PersistentState
	copy       *PersistentState // an old copy of the disk
	pending    *Ready           // returned and not yet synced
	paused     bool
	cut        bool // the network loses everything from and to it
	rolledBack bool // an old copy of the disk was restored
}

func (h *host) local(t time.Duration) time.Duration {
	return time.Duration(float64(t-h.boot)*h.rate) + time.Second
}

func (h *host) trueTime(local time.Duration) time.Duration {
	return h.boot + time.Duration(float64(local-time.Second)/h.rate)
}

func (h *host) running() bool { return h.node != nil && !h.paused }

// cluster is a set of hosts with an unreliable network, and the checks on them.
type cluster struct {
	t       rapid.TB
	rng     *rand.Rand
	now     time.Duration
	hosts   map[NodeID]*host
	ids     []NodeID
	net     []Message
	loss    float64
	blocked map[[2]NodeID]bool // one-way links, from and to
	maxSync int                // with a probability of 1 in maxSync a Ready stays unsynced for a round
	// leaders holds the leader of each term; committed all committed entries, and
	// commitTimes the true time when the index was first known as committed.
	leaders     map[uint64]NodeID
	committed   []Entry
	commitTimes []time.Duration
	proposed    int
}

func newCluster(t rapid.TB, seed uint64, voters int, learners ...NodeID) *cluster {
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Second,
		hosts: map[NodeID]*host{}, leaders: map[uint64]NodeID{},
		blocked: map[[2]NodeID]bool{}}
	var vs []NodeID
	for i := range voters {
		vs = append(vs, NodeID(fmt.Sprintf("vm%d#5f2a9c", i+1)))
	}
	for _, id := range append(slices.Clone(vs), learners...) {
		c.add(Config{ID: id, Voters: vs, Learners: learners})
	}
	return c
}

func (c *cluster) add(cfg Config) {
	cfg.Group, cfg.Seed = "g", c.rng.Uint64()
	cfg.MaxAppendBytes, cfg.MaxInflightBytes, cfg.TrailingLogBytes = 200, 600, 300
	h := &host{cfg: cfg, rate: 0.995 + 0.005*float64(len(c.ids)%3)}
	c.hosts[cfg.ID] = h
	c.ids = append(c.ids, cfg.ID)
	c.start(h)
}

func (c *cluster) start(h *host) {
	h.boot, h.pending, h.paused = c.now, nil, false
	rec := h.disk
	rec.Entries = slices.Clone(rec.Entries)
	h.node = New(h.cfg, rec, h.local(c.now))
}

// crash loses what is not synced; sometimes a part of it, or all of it, was written.
func (c *cluster) crash(h *host) {
	if rd := h.pending; rd != nil && c.rng.IntN(2) == 0 {
		rd.Entries = rd.Entries[:c.rng.IntN(len(rd.Entries)+1)]
		h.persist(rd)
	}
	h.node, h.pending = nil, nil
	for _, o := range c.hosts {
		if o != h {
			o.copy = nil // its peers must remember for a rollback to be detected
		}
	}
}

func (h *host) persist(rd *Ready) {
	if rd.HardStateChanged {
		h.disk.HardState = rd.HardState
	}
	if rd.Snapshot != nil {
		h.disk.Snapshot, h.disk.Entries = *rd.Snapshot, nil
	}
	if len(rd.Entries) > 0 {
		keep := rd.Entries[0].Index - h.disk.Snapshot.Index - 1
		h.disk.Entries = append(slices.Clone(h.disk.Entries[:keep]), rd.Entries...)
	}
}

// take fetches a Ready, if there is one, and checks what it claims to be committed.
func (c *cluster) take(h *host) {
	if h.pending != nil {
		return
	}
	rd, ok := h.node.Ready()
	if !ok {
		return
	}
	h.pending = &rd
	if h.node.role == RoleStateLost && len(rd.Messages) > 0 {
		c.t.Fatalf("%s forgot and sends %+v", h.cfg.ID, rd.Messages)
	}
	c.checkCommitted(h, rd)
}

// sync persists the outstanding Ready, then sends, applies and advances.
func (c *cluster) sync(h *host) {
	if h.pending == nil {
		return
	}
	h.persist(h.pending)
	c.net = append(c.net, h.pending.Messages...)
	h.node.Advance(*h.pending)
	h.pending = nil
}

func (c *cluster) checkCommitted(h *host, rd Ready) {
	for _, e := range rd.Committed {
		if e.Index > uint64(len(c.committed)) {
			if e.Index != uint64(len(c.committed))+1 {
				c.t.Fatalf("%s commits %d after %d", h.cfg.ID, e.Index, len(c.committed))
			}
			c.committed = append(c.committed, e)
			c.commitTimes = append(c.commitTimes, c.now)
			continue
		}
		if !sameEntry(c.committed[e.Index-1], e) {
			c.t.Fatalf("%s commits %+v, before it was %+v", h.cfg.ID, e, c.committed[e.Index-1])
		}
	}
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

// deliver passes on or loses message i of the network.
func (c *cluster) deliver(i int) {
	m := c.net[i]
	c.net[i] = c.net[len(c.net)-1]
	c.net = c.net[:len(c.net)-1]
	from, to := c.hosts[m.From], c.hosts[m.To]
	lost := from.cut || to == nil || to.cut || c.blocked[[2]NodeID{m.From, m.To}]
	if lost || to.node == nil || c.rng.Float64() < c.loss {
		return
	}
	if to.paused {
		c.net = append(c.net, m) // stays in the socket until the host goes on
		return
	}
	to.node.Step(to.local(c.now), m)
}

// run lets d pass in steps, with all hosts that run at work.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += time.Duration(1+c.rng.IntN(20)) * time.Millisecond
		for _, id := range c.ids {
			if h := c.hosts[id]; h.running() {
				h.node.Tick(h.local(c.now))
				c.work(h)
			}
		}
		for k := len(c.net); k > 0; k-- {
			c.deliver(c.rng.IntN(len(c.net)))
		}
		c.check()
	}
}

// tickAll lets d pass on all nodes.
func (c *cluster) tickAll(d time.Duration) {
	c.now += d
	for _, id := range c.ids {
		c.hosts[id].node.Tick(c.hosts[id].local(c.now))
	}
}

// settle exchanges messages without loss or delay until there are none, and without
// checks, for benchmarks and single rules; seen is called for each message.
func (c *cluster) settle(seen func(Message)) {
	for again := true; again; {
		again = false
		for _, id := range c.ids {
			for _, m := range flush(c.hosts[id].node) {
				again = true
				seen(m)
				c.hosts[m.To].node.Step(c.hosts[m.To].local(c.now), m)
			}
		}
	}
}

func (c *cluster) work(h *host) {
	c.take(h)
	if c.maxSync == 0 || c.rng.IntN(c.maxSync) > 0 {
		c.sync(h)
	}
}

// leader returns the running leader with the highest term, nil if there is none.
func (c *cluster) leader() *host {
	var best *host
	for _, id := range c.ids {
		h := c.hosts[id]
		if h.running() && h.node.role == RoleLeader && (best == nil || h.node.hs.Term > best.node.hs.Term) {
			best = h
		}
	}
	return best
}

func (c *cluster) propose(h *host) bool {
	c.proposed++
	_, _, err := h.node.Propose(h.local(c.now), fmt.Appendf(nil, "entry %d", c.proposed))
	return err == nil
}

// compact replaces the applied log by a snapshot, on disk too.
func (c *cluster) compact(h *host) {
	index := h.node.log.applied
	if h.pending != nil {
		return
	}
	s, err := h.node.Compact(index, fmt.Appendf(nil, "state %d", index))
	if err != nil {
		return
	}
	if drop := int(index - h.disk.Snapshot.Index); drop <= len(h.disk.Entries) {
		h.disk.Snapshot, h.disk.Entries = s, slices.Clone(h.disk.Entries[drop:])
	}
}

// leaseAt asks a copy of the node, so that a paused node does not notice the time.
func leaseAt(n *Node, now time.Duration) bool {
	c := *n
	c.rng = rand.New(rand.NewPCG(1, 1))
	return c.LeaseValid(now)
}

// check verifies the invariants of the whole cluster at this true time.
func (c *cluster) check() {
	lease := NodeID("")
	for _, id := range c.ids {
		h := c.hosts[id]
		if h.node == nil {
			continue
		}
		if h.node.role == RoleLeader {
			if old := c.leaders[h.node.hs.Term]; old != "" && old != id {
				c.t.Fatalf("term %d has the leaders %s and %s", h.node.hs.Term, old, id)
			}
			c.leaders[h.node.hs.Term] = id
		}
		if leaseAt(h.node, h.local(c.now)) {
			if lease != "" {
				c.t.Fatalf("%s and %s hold a lease at the same time", lease, id)
			}
			lease = id
		}
		if h.node.role == RoleStateLost && !h.rolledBack {
			c.t.Fatalf("%s forgot without a rollback", id)
		}
		c.checkConfirmed(h)
	}
	c.checkLogs()
}

// checkConfirmed verifies that ConfirmedAt covers everything committed before its time.
func (c *cluster) checkConfirmed(h *host) {
	at, commit := h.node.ConfirmedAt()
	if at == 0 {
		return
	}
	if commit < uint64(len(c.commitTimes)) && c.commitTimes[commit] < h.trueTime(at)-time.Microsecond {
		c.t.Fatalf("%s confirms commit %d at %v, but %d was committed at %v",
			h.cfg.ID, commit, h.trueTime(at), commit+1, c.commitTimes[commit])
	}
}

// checkLogs verifies log matching: equal index and term mean equal logs up to there.
func (c *cluster) checkLogs() {
	var last *raftLog
	for _, id := range c.ids {
		if n := c.hosts[id].node; n != nil {
			if last != nil {
				c.compare(last, &n.log)
			}
			last = &n.log
		}
	}
}

func (c *cluster) compare(a, b *raftLog) {
	same := false
	for i := min(a.last(), b.last()); i > max(a.prevIndex, b.prevIndex); i-- {
		ea, eb := a.slice(i, i)[0], b.slice(i, i)[0]
		same = same || ea.Term == eb.Term
		if same && !sameEntry(ea, eb) {
			c.t.Fatalf("logs do not match at %d: %+v and %+v", i, ea, eb)
		}
	}
}

// waitLeader runs until a leader holds its lease and has applied an entry of its term.
func (c *cluster) waitLeader() *host {
	c.await("no leader", func(h *host) bool {
		return h.node.log.appliedTerm == h.node.hs.Term && h.node.LeaseValid(h.local(c.now))
	})
	return c.leader()
}

// await runs until done reports true of the leader; it fails after 10 s.
func (c *cluster) await(failure string, done func(*host) bool) {
	for range 200 {
		c.run(50 * time.Millisecond)
		if h := c.leader(); h != nil && done(h) {
			return
		}
	}
	for _, id := range c.ids {
		if h := c.hosts[id]; h.node != nil {
			c.t.Logf("%+v", h.node.Status())
		}
	}
	c.t.Fatalf("%s within 10 s", failure)
}
