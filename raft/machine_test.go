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

// randomCluster is a cluster that is driven by random events.
type randomCluster struct {
	*cluster
	joinedHosts int
	hasRestored bool
}

func (m *randomCluster) pickHost(t *rapid.T) *host {
	return m.hosts[rapid.SampledFrom(m.ids).Draw(t, "host")]
}

// TestMain sets more checks and steps than rapid's defaults; flags on the command line
// override these values. With 700 checks the tests of this package take less than 60 s
// with -race on a machine that is half busy.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.steps": "100", "rapid.checks": "700"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

// The invariants of the log must hold under message loss, reordering, crashes, rollbacks of
// disks, pauses, clock drift, membership changes and compaction. Every user of the log
// relies on them.
func TestRandomEvents(t *testing.T) {
	coverage := map[string]int{} // shows whether the runs reach the states that they are meant to test
	rapid.Check(t, func(t *rapid.T) {
		m := &randomCluster{cluster: newCluster(t, rapid.Uint64().Draw(t, "seed"),
			rapid.SampledFrom([]int{1, 2, 3, 3, 3, 4, 5}).Draw(t, "voters"), "l1")}
		m.syncDelayOneIn = rapid.SampledFrom([]int{0, 2, 4}).Draw(t, "slow sync")
		m.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		m.run(2 * time.Second)
		proposeAndRun := func(t *rapid.T) {
			m.proposeSome(t)
			m.run(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		faults := []func(*rapid.T){m.skipTime, m.disturbMessage, m.takeOrSyncReady, m.crashOrStart, m.crashOrStart, m.togglePause, m.toggleIsolation, m.toggleLink, m.toggleLink}
		rare := []func(*rapid.T){m.backUpDisks, m.restoreDiskBackup, m.replaceHost, m.compactRandomHost, m.transferOrStepDown, m.transferOrStepDown}
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { m.checkInvariants() },
			"run":    proposeAndRun,
			"go on":  proposeAndRun, // the second name doubles the weight of this action
			"change": m.proposeChange,
			"fault":  func(t *rapid.T) { rapid.SampledFrom(faults).Draw(t, "fault")(t) },
			"rare":   func(t *rapid.T) { rapid.SampledFrom(rare).Draw(t, "rare")(t) },
		})
		m.healAndVerify()
		m.countCoverage(coverage)
	})
	t.Log(coverage)
}

// countCoverage adds the states that this run has reached to coverage.
func (m *randomCluster) countCoverage(coverage map[string]int) {
	coverage["runs"]++
	coverage["committed"] += len(m.committed)
	coverage["terms"] += len(m.leaders)
	for _, h := range m.hosts {
		for name, is := range map[string]bool{"restored": h.rolledBack, "forgot": h.disk.HardState.StateLost,
			"snapshots": h.disk.Snapshot.Index > 0, "leading": h.node != nil && h.node.role == RoleLeader} {
			if is {
				coverage[name]++
			}
		}
	}
}

// withLeader calls f with the leader, if there is one.
func (m *randomCluster) withLeader(f func(*host)) {
	if h := m.leader(); h != nil {
		f(h)
	}
}

// skipTime advances the time while no host runs, so that each host sees a gap.
func (m *randomCluster) skipTime(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond
}

// disturbMessage delivers, duplicates or drops a random message of the network.
func (m *randomCluster) disturbMessage(t *rapid.T) {
	if len(m.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(t, "message")
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		m.deliver(i)
	case 1:
		m.network = append(m.network, m.network[i])
	case 2:
		m.network = slices.Delete(m.network, i, i+1)
	}
}

// proposeSome makes the leader propose 0 to 30 entries.
func (m *randomCluster) proposeSome(t *rapid.T) {
	m.withLeader(func(h *host) {
		for range rapid.IntRange(0, 30).Draw(t, "count") {
			m.propose(h)
		}
	})
}

// takeOrSyncReady takes a Ready or syncs the one that was taken, so that other events can
// occur between the two.
func (m *randomCluster) takeOrSyncReady(t *rapid.T) {
	h := m.pickHost(t)
	switch {
	case !h.isRunning():
	case h.pending == nil:
		m.takeReady(h)
	default:
		m.syncReady(h)
	}
}

// crashOrStart starts the first host that is down, or else crashes a random host.
func (m *randomCluster) crashOrStart(t *rapid.T) {
	for _, id := range m.ids {
		if m.hosts[id].node == nil {
			m.start(m.hosts[id])
			return
		}
	}
	m.crash(m.pickHost(t))
}

func (m *randomCluster) togglePause(t *rapid.T) {
	h := m.pickHost(t)
	h.paused = h.node != nil && !h.paused
}

// toggleIsolation cuts or restores all links of a host.
func (m *randomCluster) toggleIsolation(t *rapid.T) {
	h := m.pickHost(t)
	h.isolated = !h.isolated
}

// toggleLink cuts or restores the link from one host to another, in three of four cases in
// both directions.
func (m *randomCluster) toggleLink(t *rapid.T) {
	a, b := m.pickHost(t).cfg.ID, m.pickHost(t).cfg.ID
	m.blockedLinks[[2]NodeID{a, b}] = !m.blockedLinks[[2]NodeID{a, b}]
	if rapid.IntRange(0, 3).Draw(t, "one way") > 0 {
		m.blockedLinks[[2]NodeID{b, a}] = m.blockedLinks[[2]NodeID{a, b}]
	}
}

func (m *randomCluster) compactRandomHost(t *rapid.T) {
	if h := m.pickHost(t); h.isRunning() {
		m.compact(h)
	}
}

// transferOrStepDown makes the leader transfer its leadership to a random host. If the
// host is not a suitable voter, the leader steps down.
func (m *randomCluster) transferOrStepDown(t *rapid.T) {
	to := m.pickHost(t).cfg.ID
	m.withLeader(func(h *host) {
		if h.node.TransferLeadership(h.localTime(m.now), to) != nil {
			h.node.StepDown()
		}
	})
}

// backUpDisks keeps a copy of each disk for restoreDiskBackup.
func (m *randomCluster) backUpDisks(*rapid.T) {
	for _, id := range m.ids {
		d := m.hosts[id].disk
		d.Entries = slices.Clone(d.Entries)
		m.hosts[id].diskBackup = &d
	}
}

// restoreDiskBackup replaces the disk of one voter by an old copy. It does so only if the
// loss can be detected: the peers that have observed later states are up and can answer
// MsgRecovery, and the set of voters has not changed since the copy.
func (m *randomCluster) restoreDiskBackup(t *rapid.T) {
	h := m.pickHost(t)
	if m.hasRestored || h.diskBackup == nil || h.diskBackup.HardState.StartCount == 0 || voterCount(h, *h.diskBackup) < 2 || voterCount(h, h.disk) < 2 {
		return
	}
	for _, id := range m.ids {
		o := m.hosts[id]
		if o != h && (o.node == nil || o.node.role == RoleRecovering || len(o.node.membership.Voters) == 1) {
			return
		}
	}
	loss := m.lossRate
	m.endFaults()
	m.hasRestored, h.rolledBack = true, true
	h.disk = *h.diskBackup
	m.start(h)
	m.run(700 * time.Millisecond)
	m.lossRate = loss
}

// voterCount returns the number of voters in the membership on a disk of h.
func voterCount(h *host, disk PersistentState) int { return len(New(h.cfg, disk, 0).membership.Voters) }

// replaceHost replaces a host by one with an empty disk, which has a new ID.
func (m *randomCluster) replaceHost(t *rapid.T) {
	h := m.pickHost(t)
	if m.joinedHosts >= 2 {
		return
	}
	if h.node != nil {
		m.crash(h)
	}
	h.disk, h.diskBackup = PersistentState{}, nil
	m.joinedHosts++
	m.ids = slices.DeleteFunc(m.ids, func(id NodeID) bool { return id == h.cfg.ID })
	m.hosts[h.cfg.ID] = &host{cfg: h.cfg, clockRate: 1} // stays down
	m.addHost(Config{ID: NodeID(fmt.Sprintf("n%d", m.joinedHosts))})
}

// proposeChange proposes a membership change that is valid for a random host: a node that
// is no member is added as a learner, any other is promoted or, in one of six cases,
// removed.
func (m *randomCluster) proposeChange(t *rapid.T) {
	id := m.pickHost(t).cfg.ID
	remove := rapid.IntRange(0, 5).Draw(t, "remove") == 0
	m.withLeader(func(h *host) {
		c := MembershipChange{PromoteLearner, id}
		switch ms := h.node.membership; {
		case remove:
			c.Kind = RemoveMember
		case !ms.IsMember(id):
			c.Kind = AddLearner
		}
		if h.node.ProposeMembershipChange(h.localTime(m.now), c) == nil && c.Kind != AddLearner {
			for _, o := range m.hosts {
				o.diskBackup = nil
			}
		}
	})
}

// endFaults makes the network reliable and resumes all paused hosts.
func (m *randomCluster) endFaults() {
	m.lossRate = 0
	clear(m.blockedLinks)
	for _, h := range m.hosts {
		h.isolated, h.paused = false, false
	}
}

// healAndVerify ends all faults. If a quorum of voters is healthy, it expects that the
// group elects a leader, still has all committed entries, commits new ones, and that all
// members catch up.
func (m *randomCluster) healAndVerify() {
	m.endFaults()
	m.syncDelayOneIn = 0
	for _, id := range m.ids {
		if m.hosts[id].node == nil {
			m.start(m.hosts[id])
		}
	}
	m.run(200 * time.Millisecond)
	if !m.hasHealthyQuorum() {
		return
	}
	h := m.waitForLeader()
	if h.node.log.commit < uint64(len(m.committed)) {
		m.t.Fatalf("the leader %s knows %d of %d committed entries", h.cfg.ID, h.node.log.commit, len(m.committed))
	}
	healedAt := m.now
	m.waitUntil("no proposal is committed", func(*host) bool {
		m.withLeader(func(h *host) { m.propose(h) })
		k := len(m.committed) - 1
		return m.commitTimes[k] > healedAt && len(m.committed[k].Data) > 0
	})
	targetIndex := uint64(len(m.committed))
	m.waitUntil("a member does not catch up", func(h *host) bool {
		return !slices.ContainsFunc(h.node.membership.members(), func(id NodeID) bool {
			n := m.hosts[id].node
			return n != nil && n.role != RoleStateLost && n.log.applied < targetIndex
		})
	})
}

// hasHealthyQuorum reports whether a quorum of voters is up and has lost no state, for the
// current membership of every host.
func (m *randomCluster) hasHealthyQuorum() bool {
	hasMembership := false
	for _, id := range m.ids {
		ms := m.hosts[id].node.membership
		hasMembership = hasMembership || len(ms.Voters) > 0
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
	return hasMembership
}
