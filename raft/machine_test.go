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

// TestMain makes longer random runs than rapid's defaults; its flags override these.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.steps": "100", "rapid.checks": "1000"} {
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
	var total totals
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
		rare := []func(*rapid.T){m.copyDisks, m.restore, m.loseDisk, m.compactOne, m.transfer, m.stepDown}
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { m.check() },
			"run":    normal,
			"go on":  normal, // a second name doubles the weight
			"change": m.change,
			"fault":  func(t *rapid.T) { rapid.SampledFrom(faults).Draw(t, "fault")(t) },
			"rare":   func(t *rapid.T) { rapid.SampledFrom(rare).Draw(t, "rare")(t) },
		})
		m.heal()
		total.add(m)
	})
	t.Logf("%+v", total)
}

// totals shows whether the random runs reach what they are meant to test.
type totals struct{ Runs, Committed, Terms, Restored, Forgot, Snapshots, Promoted, Healed int }

func (s *totals) add(m *machine) {
	s.Runs++
	s.Committed += len(m.committed)
	s.Terms += len(m.leaders)
	s.Restored += count(m.restored)
	s.Healed += count(m.healthy())
	for _, h := range m.hosts {
		s.Snapshots += count(h.disk.Snapshot.Index > 0)
		s.Forgot += count(h.disk.HardState.Forgot)
		s.Promoted += count(h.node != nil && h.cfg.ID[0] != 'v' && h.node.role != RoleLearner)
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
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

func (m *machine) cutOff(t *rapid.T) {
	h := m.pick(t)
	h.cut = !h.cut
}

// cutLink cuts or restores the link between two hosts, sometimes in one direction only.
func (m *machine) cutLink(t *rapid.T) {
	a, b := m.pick(t).cfg.ID, m.pick(t).cfg.ID
	blocked := !m.blocked[[2]NodeID{a, b}]
	m.blocked[[2]NodeID{a, b}] = blocked
	if rapid.IntRange(0, 3).Draw(t, "one way") > 0 {
		m.blocked[[2]NodeID{b, a}] = blocked
	}
}

func (m *machine) compactOne(t *rapid.T) {
	if h := m.pick(t); h.running() {
		m.compact(h)
	}
}

func (m *machine) transfer(t *rapid.T) {
	to := m.pick(t).cfg.ID
	m.onLeader(func(h *host) { _ = h.node.TransferLeadership(h.local(m.now), to) })
}

func (m *machine) stepDown(*rapid.T) {
	m.onLeader(func(h *host) { h.node.StepDown() })
}

func (m *machine) copyDisks(*rapid.T) {
	for _, id := range m.ids {
		h := m.hosts[id]
		d := h.disk
		d.Entries = slices.Clone(d.Entries)
		h.copy = &d
	}
}

// restore puts an old copy on the disk of one voter. The peers that remember its later
// state are up and answer its hello, and the voters are the same, which is the condition
// for detection.
func (m *machine) restore(t *rapid.T) {
	h := m.pick(t)
	if m.restored || h.copy == nil || h.copy.HardState.Starts == 0 || voters(h, *h.copy) < 2 || voters(h, h.disk) < 2 {
		return
	}
	for _, id := range m.ids {
		o := m.hosts[id]
		if o != h && (o.node == nil || o.node.role == RoleRecovering || len(o.node.membership.Voters) == 1) {
			return
		}
	}
	for _, o := range m.hosts {
		o.paused = false
	}
	m.restored, h.rolledBack = true, true
	h.disk = *h.copy
	m.start(h)
	for range 3 {
		m.exchangeHellos(h)
	}
}

// voters is the number of voters that a disk of h knows of.
func voters(h *host, disk Recovered) int { return len(New(h.cfg, disk, 0).membership.Voters) }

// exchangeHellos delivers the hellos of h and the answers at once.
func (m *machine) exchangeHellos(h *host) {
	m.take(h)
	m.sync(h)
	for _, kind := range []MessageKind{MsgHello, MsgHelloResponse} {
		for i := 0; i < len(m.net); i++ {
			msg := m.net[i]
			to := m.hosts[msg.To]
			if msg.Kind != kind || msg.From != h.cfg.ID && to != h || to == nil || to.node == nil {
				continue
			}
			to.node.Step(to.local(m.now), msg)
			m.sync(to)
			m.take(to)
			m.sync(to)
		}
	}
}

// loseDisk replaces a host by one with an empty disk and so a new identity.
func (m *machine) loseDisk(t *rapid.T) {
	h := m.pick(t)
	if m.joined >= 2 {
		return
	}
	if h.node != nil {
		m.crash(h)
	}
	h.disk, h.copy = Recovered{}, nil
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
		c := Change{PromoteLearner, id}
		switch ms := h.node.membership; {
		case remove:
			c.Kind = RemoveMember
		case !ms.IsMember(id):
			c.Kind = AddLearner
		}
		if h.node.ProposeMembership(h.local(m.now), c) == nil && c.Kind != AddLearner {
			for _, o := range m.hosts {
				o.copy = nil
			}
		}
	})
}

// heal ends all faults and expects that a group whose voters are a healthy quorum
// elects a leader, keeps everything committed and commits more.
func (m *machine) heal() {
	m.loss, m.maxSync = 0, 0
	clear(m.blocked)
	for _, id := range m.ids {
		h := m.hosts[id]
		h.cut, h.paused = false, false
		if h.node == nil {
			m.start(h)
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
	for range 100 {
		m.onLeader(func(h *host) { m.propose(h) })
		m.run(100 * time.Millisecond)
		if k := len(m.committed); m.commitTimes[k-1] > before && len(m.committed[k-1].Data) > 0 {
			m.catchUp()
			return
		}
	}
	m.t.Fatalf("no proposal is committed within 10 s after all faults have ended")
}

// catchUp expects that every member that is up receives everything committed so far.
func (m *machine) catchUp() {
	goal := uint64(len(m.committed))
	for range 100 {
		m.run(100 * time.Millisecond)
		behind := false
		if h := m.leader(); h != nil {
			for _, id := range h.node.membership.members() {
				n := m.hosts[id].node
				behind = behind || n != nil && n.role != RoleForgot && n.log.applied < goal
			}
			if !behind {
				return
			}
		}
	}
	m.t.Fatalf("a member does not reach the committed entry %d within 10 s", goal)
}

// healthy reports whether, by every membership in force somewhere, a quorum is up.
func (m *machine) healthy() bool {
	known := false
	for _, id := range m.ids {
		ms := m.hosts[id].node.membership
		known = known || len(ms.Voters) > 0
		up := 0
		for _, v := range ms.Voters {
			if h := m.hosts[v]; h != nil && h.node != nil && h.node.role != RoleForgot {
				up++
			}
		}
		if len(ms.Voters) > 0 && up < ms.quorum() {
			return false
		}
	}
	return known
}
