package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"
)

// host is a simulated machine with a clock, a disk and, while it is up, a node.
type host struct {
	cfg        Config
	node       *Node // nil while down
	clockRate  float64
	bootTime   time.Duration // simulation time of the last start
	disk       PersistentState
	diskBackup *PersistentState // an old copy of the disk
	pending    *Ready           // the Ready that was returned and is not yet synced
	paused     bool
	isolated   bool  // the network drops all messages from and to this host
	rolledBack bool  // an old copy of the disk was restored
	successor  *host // the host that has its address since it was replaced; nil if it was not
}

// localTime converts a simulation time to the time of the host's clock.
func (h *host) localTime(t time.Duration) time.Duration {
	return time.Duration(float64(t-h.bootTime)*h.clockRate) + time.Second
}

// simulationTime converts a time of the host's clock to the simulation time.
func (h *host) simulationTime(local time.Duration) time.Duration {
	return h.bootTime + time.Duration(float64(local-time.Second)/h.clockRate)
}

func (h *host) isRunning() bool { return h.node != nil && !h.paused }

// cluster is a set of hosts with an unreliable network. It checks their invariants.
type cluster struct {
	t            rapid.TB
	rng          *rand.Rand
	now          time.Duration
	hosts        map[NodeID]*host
	ids          []NodeID
	network      []Message
	lossRate     float64
	blockedLinks map[[2]NodeID]bool // one-way links, from and to
	// syncDelayOneIn is the inverse of the probability that a Ready stays unsynced for one
	// round; 0 means that every Ready is synced.
	syncDelayOneIn int
	// leaders holds the leader of each term, committed all committed entries, and
	// commitTimes the simulation times at which the entries were first returned as
	// committed by any node.
	leaders     map[uint64]NodeID
	committed   []Entry
	commitTimes []time.Duration
	proposed    int
}

func newCluster(t rapid.TB, seed uint64, voters int, learners ...NodeID) *cluster {
	c := &cluster{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Second,
		hosts: map[NodeID]*host{}, leaders: map[uint64]NodeID{},
		blockedLinks: map[[2]NodeID]bool{}}
	var vs []NodeID
	for i := range voters {
		vs = append(vs, NodeID(fmt.Sprintf("vm%d#5f2a9c", i+1)))
	}
	for _, id := range append(slices.Clone(vs), learners...) {
		c.addHost(Config{ID: id, Voters: vs, Learners: learners})
	}
	return c
}

func (c *cluster) addHost(cfg Config) {
	cfg.Group, cfg.Seed = "g", c.rng.Uint64()
	cfg.MaxAppendBytes, cfg.MaxInflightBytes, cfg.TrailingLogBytes = 200, 600, 300
	h := &host{cfg: cfg, clockRate: 0.995 + 0.005*float64(len(c.ids)%3)}
	c.hosts[cfg.ID] = h
	c.ids = append(c.ids, cfg.ID)
	c.start(h)
}

func (c *cluster) start(h *host) {
	h.bootTime, h.pending, h.paused = c.now, nil, false
	persisted := h.disk
	persisted.Entries = slices.Clone(persisted.Entries)
	h.node = New(h.cfg, persisted, h.localTime(c.now))
}

// crash stops the node of h. A pending Ready is lost, except that with a probability of 1/2
// its hard state and a random number of its entries, possibly all, were written before.
func (c *cluster) crash(h *host) {
	if rd := h.pending; rd != nil && c.rng.IntN(2) == 0 {
		rd.Entries = rd.Entries[:c.rng.IntN(len(rd.Entries)+1)]
		h.persist(rd)
	}
	h.node, h.pending = nil, nil
	for _, o := range c.hosts {
		if o != h {
			o.diskBackup = nil // a rollback is only detected if the peers still hold their observed states
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

// takeReady takes a Ready from the node, if there is one, and checks its committed entries.
func (c *cluster) takeReady(h *host) {
	if h.pending != nil {
		return
	}
	rd, ok := h.node.Ready()
	if !ok {
		return
	}
	h.pending = &rd
	if h.node.role == RoleStateLost && len(rd.Messages) > 0 {
		c.t.Fatalf("%s has lost state but sends %+v", h.cfg.ID, rd.Messages)
	}
	c.checkCommitted(h, rd)
}

// syncReady persists the pending Ready, sends its messages and advances the node.
func (c *cluster) syncReady(h *host) {
	if h.pending == nil {
		return
	}
	h.persist(h.pending)
	c.network = append(c.network, h.pending.Messages...)
	h.node.Advance(*h.pending)
	h.pending = nil
}

// checkCommitted verifies that the committed entries of rd are those that other nodes have
// returned, or follow them without a gap.
func (c *cluster) checkCommitted(h *host, rd Ready) {
	for _, e := range rd.Committed {
		if e.Index > uint64(len(c.committed)) {
			if e.Index != uint64(len(c.committed))+1 {
				c.t.Fatalf("%s commits entry %d, but the last committed entry is %d", h.cfg.ID, e.Index, len(c.committed))
			}
			c.committed = append(c.committed, e)
			c.commitTimes = append(c.commitTimes, c.now)
			continue
		}
		if !sameEntry(c.committed[e.Index-1], e) {
			c.t.Fatalf("%s commits %+v, but %+v was committed at this index", h.cfg.ID, e, c.committed[e.Index-1])
		}
	}
}

func sameEntry(a, b Entry) bool {
	return a.Index == b.Index && a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

// deliver removes message i from the network and passes it to its recipient or drops it. If the
// recipient was replaced, the host that has its address receives the message.
func (c *cluster) deliver(i int) {
	m := c.network[i]
	c.network[i] = c.network[len(c.network)-1]
	c.network = c.network[:len(c.network)-1]
	from, to := c.hosts[m.From], c.hosts[m.To]
	for to != nil && to.successor != nil {
		to = to.successor
	}
	lost := from.isolated || to == nil || to.isolated || c.blockedLinks[[2]NodeID{m.From, m.To}]
	if lost || to.node == nil || c.rng.Float64() < c.lossRate {
		return
	}
	if to.paused {
		c.network = append(c.network, m) // stays in the socket buffer until the host resumes
		return
	}
	to.node.Step(to.localTime(c.now), m)
}

// run advances the time by d in random steps. In each step all running hosts do their
// work, messages are delivered and the invariants are checked.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.now += time.Duration(1+c.rng.IntN(20)) * time.Millisecond
		for _, id := range c.ids {
			if h := c.hosts[id]; h.isRunning() {
				h.node.Tick(h.localTime(c.now))
				c.processReady(h)
			}
		}
		for k := len(c.network); k > 0; k-- {
			c.deliver(c.rng.IntN(len(c.network)))
		}
		c.checkInvariants()
	}
}

// tickAll advances the time by d in one step and calls Tick on all nodes.
func (c *cluster) tickAll(d time.Duration) {
	c.now += d
	for _, id := range c.ids {
		c.hosts[id].node.Tick(c.hosts[id].localTime(c.now))
	}
}

// deliverAll delivers messages without loss or delay until there are none. It runs no
// checks; benchmarks and tests of single rules use it. onMessage is called for each
// message.
func (c *cluster) deliverAll(onMessage func(Message)) {
	for again := true; again; {
		again = false
		for _, id := range c.ids {
			for _, m := range drainReady(c.hosts[id].node) {
				again = true
				onMessage(m)
				c.hosts[m.To].node.Step(c.hosts[m.To].localTime(c.now), m)
			}
		}
	}
}

// processReady takes a Ready and usually syncs it; see syncDelayOneIn.
func (c *cluster) processReady(h *host) {
	c.takeReady(h)
	if c.syncDelayOneIn == 0 || c.rng.IntN(c.syncDelayOneIn) > 0 {
		c.syncReady(h)
		return
	}
	c.network = append(c.network, h.node.MessagesDuringSave()...)
}

// leader returns the running leader with the highest term, or nil if there is none.
func (c *cluster) leader() *host {
	var best *host
	for _, id := range c.ids {
		h := c.hosts[id]
		if h.isRunning() && h.node.role == RoleLeader && (best == nil || h.node.hardState.Term > best.node.hardState.Term) {
			best = h
		}
	}
	return best
}

// propose proposes a numbered entry on h and reports whether it was accepted.
func (c *cluster) propose(h *host) bool {
	c.proposed++
	_, _, err := h.node.Propose(h.localTime(c.now), fmt.Appendf(nil, "entry %d", c.proposed))
	return err == nil
}

// compact replaces the applied log of h by a snapshot, in memory and on disk.
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

// leaseValidAt calls LeaseValid on a copy of the node, so that the clock of a paused node
// does not advance.
func leaseValidAt(n *Node, now time.Duration) bool {
	c := *n
	c.rng = rand.New(rand.NewPCG(1, 1))
	return c.LeaseValid(now)
}

// checkInvariants verifies the invariants of the whole cluster at the current simulation
// time.
func (c *cluster) checkInvariants() {
	leaseHolder := NodeID("")
	for _, id := range c.ids {
		h := c.hosts[id]
		if h.node == nil {
			continue
		}
		if h.node.role == RoleLeader {
			if old := c.leaders[h.node.hardState.Term]; old != "" && old != id {
				c.t.Fatalf("term %d has the leaders %s and %s", h.node.hardState.Term, old, id)
			}
			c.leaders[h.node.hardState.Term] = id
		}
		if leaseValidAt(h.node, h.localTime(c.now)) {
			if leaseHolder != "" {
				c.t.Fatalf("%s and %s hold a lease at the same time", leaseHolder, id)
			}
			leaseHolder = id
		}
		if h.node.role == RoleStateLost && !h.rolledBack {
			c.t.Fatalf("%s reports lost state without a rollback", id)
		}
		c.checkConfirmed(h)
	}
	c.checkLogs()
}

// checkConfirmed verifies that the index that ConfirmedAt returns covers every entry that
// was committed before the time that it returns.
func (c *cluster) checkConfirmed(h *host) {
	at, commit := h.node.ConfirmedAt()
	if at == 0 {
		return
	}
	if commit < uint64(len(c.commitTimes)) && c.commitTimes[commit] < h.simulationTime(at)-time.Microsecond {
		c.t.Fatalf("%s confirms commit %d at %v, but %d was committed at %v",
			h.cfg.ID, commit, h.simulationTime(at), commit+1, c.commitTimes[commit])
	}
}

// checkLogs verifies the log matching property: if two logs hold an entry with the same
// index and term, they are equal up to that entry.
func (c *cluster) checkLogs() {
	var last *raftLog
	for _, id := range c.ids {
		if n := c.hosts[id].node; n != nil {
			if last != nil {
				c.compareLogs(last, &n.log)
			}
			last = &n.log
		}
	}
}

func (c *cluster) compareLogs(a, b *raftLog) {
	hasMatched := false
	for i := min(a.lastIndex(), b.lastIndex()); i > max(a.prevIndex, b.prevIndex); i-- {
		ea, eb := a.slice(i, i)[0], b.slice(i, i)[0]
		hasMatched = hasMatched || ea.Term == eb.Term
		if hasMatched && !sameEntry(ea, eb) {
			c.t.Fatalf("logs do not match at %d: %+v and %+v", i, ea, eb)
		}
	}
}

// waitForLeader runs until a leader holds the lease and has applied an entry of its term.
func (c *cluster) waitForLeader() *host {
	c.waitUntil("no leader", func(h *host) bool {
		return h.node.log.appliedTerm == h.node.hardState.Term && h.node.LeaseValid(h.localTime(c.now))
	})
	return c.leader()
}

// waitUntil runs until isDone reports true for the leader. It fails after 10 s of
// simulation time.
func (c *cluster) waitUntil(problem string, isDone func(*host) bool) {
	for range 200 {
		c.run(50 * time.Millisecond)
		if h := c.leader(); h != nil && isDone(h) {
			return
		}
	}
	for _, id := range c.ids {
		if h := c.hosts[id]; h.node != nil {
			c.t.Logf("%+v", h.node.Status())
		}
	}
	c.t.Fatalf("%s within 10 s", problem)
}
