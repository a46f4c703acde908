package raft

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machine drives a cluster with random events.
type machine struct {
	*cluster
	joined   int
	restored bool
}

func (m *machine) pick(t *rapid.T) *host {
	return m.hosts[rapid.SampledFrom(m.ids).Draw(t, "host")]
}

// TestMain makes longer random runs than rapid's defaults; its flags override these. 700
// runs keep the package under 60 s with -race on a machine that is half busy.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.steps": "100", "rapid.checks": "700"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// A violated invariant under loss, reordering, crashes, rollback, pauses, clock drift,
// membership changes or compaction breaks the guarantees of everything above the log.
func TestRandomEvents(t *testing.T) {
	seen := map[string]int{} // shows whether the runs reach what they are meant to test
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{cluster: newCluster(t, rapid.Uint64().Draw(t, "seed"),
			rapid.SampledFrom([]int{1, 2, 3, 3, 3, 4, 5}).Draw(t, "voters"), "l1")}
		m.maxSync = rapid.SampledFrom([]int{0, 2, 4}).Draw(t, "slow sync")
		m.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		m.run(2 * time.Second)
		normal := func(t *rapid.T) {
			m.proposals(t)
			m.run(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		faults := []func(*rapid.T){m.jump, m.message, m.partialWork, m.crashOrStart, m.crashOrStart, m.pause, m.cutOff, m.cutLink, m.cutLink}
		rare := []func(*rapid.T){m.copyDisks, m.restore, m.loseDisk, m.compactOne, m.handOver, m.handOver}
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { m.check() },
			"run":    normal,
			"go on":  normal, // a second name doubles the weight
			"change": m.change,
			"fault":  func(t *rapid.T) { rapid.SampledFrom(faults).Draw(t, "fault")(t) },
			"rare":   func(t *rapid.T) { rapid.SampledFrom(rare).Draw(t, "rare")(t) },
		})
		m.heal()
		m.count(seen)
	})
	t.Log(seen)
}

func (m *machine) count(seen map[string]int) {
	seen["runs"]++
	seen["committed"] += len(m.committed)
	seen["terms"] += len(m.leaders)
	for _, h := range m.hosts {
		for name, is := range map[string]bool{"restored": h.rolledBack, "forgot": h.disk.HardState.StateLost,
			"snapshots": h.disk.Snapshot.Index > 0, "leading": h.node != nil && h.node.role == RoleLeader} {
			if is {
				seen[name]++
			}
		}
	}
}

func (m *machine) onLeader(f func(*host)) {
	if h := m.leader(); h != nil {
		f(h)
	}
}

// jump lets time pass while nobody is scheduled; whoever wakes first sees the gap.
func (m *machine) jump(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond
}

func (m *machine) message(t *rapid.T) {
	if len(m.net) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.net)-1).Draw(t, "message")
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		m.deliver(i)
	case 1:
		m.net = append(m.net, m.net[i])
	case 2:
		m.net = slices.Delete(m.net, i, i+1)
	}
}

func (m *machine) proposals(t *rapid.T) {
	m.onLeader(func(h *host) {
		for range rapid.IntRange(0, 30).Draw(t, "count") {
			m.propose(h)
		}
	})
}

// partialWork takes or syncs a Ready, so that other events come between the two.
func (m *machine) partialWork(t *rapid.T) {
	h := m.pick(t)
	switch {
	case !h.running():
	case h.pending == nil:
		m.take(h)
	default:
		m.sync(h)
	}
}

func (m *machine) crashOrStart(t *rapid.T) {
	for _, id := range m.ids {
		if m.hosts[id].node == nil {
			m.start(m.hosts[id])
			return
		}
	}
	m.crash(m.pick(t))
}

func (m *machine) pause(t *rapid.T) {
	h := m.pick(t)
	h.paused = h.node != nil && !h.paused
}

// cutOff cuts or restores all links of a host.
func (m *machine) cutOff(t *rapid.T) {
	h := m.pick(t)
	h.cut = !h.cut
}

// cutLink cuts or restores the link from one host to another, mostly in both directions.
func (m *machine) cutLink(t *rapid.T) {
	a, b := m.pick(t).cfg.ID, m.pick(t).cfg.ID
	m.blocked[[2]NodeID{a, b}] = !m.blocked[[2]NodeID{a, b}]
	if rapid.IntRange(0, 3).Draw(t, "one way") > 0 {
		m.blocked[[2]NodeID{b, a}] = m.blocked[[2]NodeID{a, b}]
	}
}

func (m *machine) compactOne(t *rapid.T) {
	if h := m.pick(t); h.running() {
		m.compact(h)
	}
}

// handOver makes the leader transfer its leadership to a random host, or step down.
func (m *machine) handOver(t *rapid.T) {
	to := m.pick(t).cfg.ID
	m.onLeader(func(h *host) {
		if h.node.TransferLeadership(h.local(m.now), to) != nil {
			h.node.StepDown()
		}
	})
}

func (m *machine) copyDisks(*rapid.T) {
	for _, id := range m.ids {
		d := m.hosts[id].disk
		d.Entries = slices.Clone(d.Entries)
		m.hosts[id].copy = &d
	}
}

// restore puts an old copy on the disk of one voter. The peers that remember its later
// state are up and answer its hello, and the voters are the same, which is the condition
// for detection.
func (m *machine) restore(t *rapid.T) {
	h := m.pick(t)
	if m.restored || h.copy == nil || h.copy.HardState.StartCount == 0 || voters(h, *h.copy) < 2 || voters(h, h.disk) < 2 {
		return
	}
	for _, id := range m.ids {
		o := m.hosts[id]
		if o != h && (o.node == nil || o.node.role == RoleRecovering || len(o.node.membership.Voters) == 1) {
			return
		}
	}
	loss := m.loss
	m.endFaults()
	m.restored, h.rolledBack = true, true
	h.disk = *h.copy
	m.start(h)
	m.run(700 * time.Millisecond)
	m.loss = loss
}

// voters is the number of voters that a disk of h knows of.
func voters(h *host, disk PersistentState) int { return len(New(h.cfg, disk, 0).membership.Voters) }

// loseDisk replaces a host by one with an empty disk and so a new identity.
func (m *machine) loseDisk(t *rapid.T) {
	h := m.pick(t)
	if m.joined >= 2 {
		return
	}
	if h.node != nil {
		m.crash(h)
	}
	h.disk, h.copy = PersistentState{}, nil
	m.joined++
	m.ids = slices.DeleteFunc(m.ids, func(id NodeID) bool { return id == h.cfg.ID })
	m.hosts[h.cfg.ID] = &host{cfg: h.cfg, rate: 1} // stays down
	m.add(Config{ID: NodeID(fmt.Sprintf("n%d", m.joined))})
}

// change proposes a change that suits a random host: a stranger is added, a learner
// promoted, a voter sometimes removed.
func (m *machine) change(t *rapid.T) {
	id := m.pick(t).cfg.ID
	remove := rapid.IntRange(0, 5).Draw(t, "remove") == 0
	m.onLeader(func(h *host) {
		c := MembershipChange{PromoteLearner, id}
		switch ms := h.node.membership; {
		case remove:
			c.Kind = RemoveMember
		case !ms.IsMember(id):
			c.Kind = AddLearner
		}
		if h.node.ProposeMembershipChange(h.local(m.now), c) == nil && c.Kind != AddLearner {
			for _, o := range m.hosts {
				o.copy = nil
			}
		}
	})
}

// endFaults makes the network reliable and lets all hosts run that are up.
func (m *machine) endFaults() {
	m.loss = 0
	clear(m.blocked)
	for _, h := range m.hosts {
		h.cut, h.paused = false, false
	}
}

// heal ends all faults and expects that a group whose voters are a healthy quorum elects
// a leader, keeps everything committed, commits more and lets all members catch up.
func (m *machine) heal() {
	m.endFaults()
	m.maxSync = 0
	for _, id := range m.ids {
		if m.hosts[id].node == nil {
			m.start(m.hosts[id])
		}
	}
	m.run(200 * time.Millisecond)
	if !m.healthy() {
		return
	}
	h := m.waitLeader()
	if h.node.log.commit < uint64(len(m.committed)) {
		m.t.Fatalf("the leader %s knows %d of %d committed entries", h.cfg.ID, h.node.log.commit, len(m.committed))
	}
	before := m.now
	m.await("no proposal is committed", func(*host) bool {
		m.onLeader(func(h *host) { m.propose(h) })
		k := len(m.committed) - 1
		return m.commitTimes[k] > before && len(m.committed[k].Data) > 0
	})
	goal := uint64(len(m.committed))
	m.await("a member does not catch up", func(h *host) bool {
		return !slices.ContainsFunc(h.node.membership.members(), func(id NodeID) bool {
			n := m.hosts[id].node
			return n != nil && n.role != RoleStateLost && n.log.applied < goal
		})
	})
}

// healthy reports whether, by every membership in force somewhere, a quorum is up.
func (m *machine) healthy() bool {
	known := false
	for _, id := range m.ids {
		ms := m.hosts[id].node.membership
		known = known || len(ms.Voters) > 0
		up := 0
		for _, v := range ms.Voters {
			if h := m.hosts[v]; h != nil && h.node != nil && h.node.role != RoleStateLost {
				up++
			}
		}
		if len(ms.Voters) > 0 && up < ms.quorum() {
			return false
		}
	}
	return known
}
