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

func (r *randomCluster) pickHost(t *rapid.T) *host {
	return r.hosts[rapid.SampledFrom(r.ids).Draw(t, "host")]
}

// TestMain sets more checks and steps than rapid's defaults; flags on the command line
// override these values. With 700 checks the tests of this package take less than 60 s
// with -race on a machine at half load.
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
		r := &randomCluster{cluster: newCluster(t, rapid.Uint64().Draw(t, "seed"),
			rapid.SampledFrom([]int{1, 2, 3, 3, 3, 4, 5}).Draw(t, "voters"), "l1")}
		r.syncDelayOneIn = rapid.SampledFrom([]int{0, 2, 4}).Draw(t, "slow sync")
		r.lossRate = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		r.run(2 * time.Second)
		proposeAndRun := func(t *rapid.T) {
			r.proposeSome(t)
			r.run(time.Duration(rapid.IntRange(10, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		faults := []func(*rapid.T){r.skipTime, r.disturbMessage, r.takeOrSyncReady, r.crashOrStart, r.crashOrStart, r.togglePause, r.toggleIsolation, r.toggleLink, r.toggleLink}
		rare := []func(*rapid.T){r.backUpDisks, r.restoreDiskBackup, r.replaceHost, r.compactRandomHost, r.transferOrStepDown, r.transferOrStepDown}
		t.Repeat(map[string]func(*rapid.T){
			"":       func(*rapid.T) { r.checkInvariants() },
			"run":    proposeAndRun,
			"go on":  proposeAndRun, // the second name doubles the weight of this action
			"change": r.proposeChange,
			"fault":  func(t *rapid.T) { rapid.SampledFrom(faults).Draw(t, "fault")(t) },
			"rare":   func(t *rapid.T) { rapid.SampledFrom(rare).Draw(t, "rare")(t) },
		})
		r.healAndVerify()
		r.countCoverage(coverage)
	})
	t.Log(coverage)
}

// countCoverage adds the states that this run has reached to coverage.
func (r *randomCluster) countCoverage(coverage map[string]int) {
	coverage["runs"]++
	coverage["committed"] += len(r.committed)
	coverage["terms"] += len(r.leaders)
	for _, h := range r.hosts {
		for name, isReached := range map[string]bool{"restored": h.rolledBack, "state lost": h.disk.HardState.StateLost,
			"snapshots": h.disk.Snapshot.Index > 0, "leading": h.node != nil && h.node.role == RoleLeader} {
			if isReached {
				coverage[name]++
			}
		}
	}
}

// withLeader calls f with the leader, if there is one.
func (r *randomCluster) withLeader(f func(*host)) {
	if h := r.leader(); h != nil {
		f(h)
	}
}

// skipTime advances the time while no host runs, so that each host sees a gap.
func (r *randomCluster) skipTime(t *rapid.T) {
	r.now += time.Duration(rapid.IntRange(1, 1200).Draw(t, "ms")) * time.Millisecond
}

// disturbMessage delivers, duplicates or drops a random message of the network.
func (r *randomCluster) disturbMessage(t *rapid.T) {
	if len(r.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(r.network)-1).Draw(t, "message")
	switch rapid.IntRange(0, 2).Draw(t, "what") {
	case 0:
		r.deliver(i)
	case 1:
		r.network = append(r.network, r.network[i])
	case 2:
		r.network = slices.Delete(r.network, i, i+1)
	}
}

// proposeSome makes the leader propose 0 to 30 entries.
func (r *randomCluster) proposeSome(t *rapid.T) {
	r.withLeader(func(h *host) {
		for range rapid.IntRange(0, 30).Draw(t, "count") {
			r.propose(h)
		}
	})
}

// takeOrSyncReady takes a Ready or syncs the one that was taken, so that other events can
// occur between the two.
func (r *randomCluster) takeOrSyncReady(t *rapid.T) {
	h := r.pickHost(t)
	switch {
	case !h.isRunning():
	case h.pending == nil:
		r.takeReady(h)
	default:
		r.syncReady(h)
	}
}

// crashOrStart starts the first host that is down, or else crashes a random host.
func (r *randomCluster) crashOrStart(t *rapid.T) {
	for _, id := range r.ids {
		if r.hosts[id].node == nil {
			r.start(r.hosts[id])
			return
		}
	}
	r.crash(r.pickHost(t))
}

func (r *randomCluster) togglePause(t *rapid.T) {
	h := r.pickHost(t)
	h.paused = h.node != nil && !h.paused
}

// toggleIsolation cuts or restores all links of a host.
func (r *randomCluster) toggleIsolation(t *rapid.T) {
	h := r.pickHost(t)
	h.isolated = !h.isolated
}

// toggleLink cuts or restores the link from one host to another, in three of four cases in
// both directions.
func (r *randomCluster) toggleLink(t *rapid.T) {
	a, b := r.pickHost(t).cfg.ID, r.pickHost(t).cfg.ID
	r.blockedLinks[[2]NodeID{a, b}] = !r.blockedLinks[[2]NodeID{a, b}]
	if rapid.IntRange(0, 3).Draw(t, "one way") > 0 {
		r.blockedLinks[[2]NodeID{b, a}] = r.blockedLinks[[2]NodeID{a, b}]
	}
}

func (r *randomCluster) compactRandomHost(t *rapid.T) {
	if h := r.pickHost(t); h.isRunning() {
		r.compact(h)
	}
}

// transferOrStepDown makes the leader transfer its leadership to a random host. If the
// host is not a suitable voter, the leader hands over or steps down.
func (r *randomCluster) transferOrStepDown(t *rapid.T) {
	target := r.pickHost(t).cfg.ID
	r.withLeader(func(h *host) {
		if h.node.TransferLeadership(h.localTime(r.now), target) == nil {
			return
		}
		if rapid.Bool().Draw(t, "hand over") {
			r.network = append(r.network, h.node.HandOver(h.localTime(r.now))...)
			return
		}
		h.node.StepDown()
	})
}

// backUpDisks keeps a copy of each disk for restoreDiskBackup.
func (r *randomCluster) backUpDisks(*rapid.T) {
	for _, id := range r.ids {
		d := r.hosts[id].disk
		d.Entries = slices.Clone(d.Entries)
		r.hosts[id].diskBackup = &d
	}
}

// restoreDiskBackup replaces the disk of one voter by an old copy. It does so only if the
// loss can be detected: the peers that have observed later states are up and can answer
// MsgRecovery, and the set of voters has not changed since the copy.
func (r *randomCluster) restoreDiskBackup(t *rapid.T) {
	h := r.pickHost(t)
	if r.hasRestored || h.diskBackup == nil || h.diskBackup.HardState.StartCount == 0 || voterCount(h, *h.diskBackup) < 2 || voterCount(h, h.disk) < 2 {
		return
	}
	for _, id := range r.ids {
		o := r.hosts[id]
		if o != h && (o.node == nil || o.node.role == RoleRecovering || len(o.node.membership.Voters) == 1) {
			return
		}
	}
	loss := r.lossRate
	r.endFaults()
	r.hasRestored, h.rolledBack = true, true
	h.disk = *h.diskBackup
	r.start(h)
	r.run(700 * time.Millisecond)
	r.lossRate = loss
}

// voterCount returns the number of voters in the membership on a disk of h.
func voterCount(h *host, disk PersistentState) int { return len(New(h.cfg, disk, 0).membership.Voters) }

// replaceHost replaces a host by one with an empty disk, which has a new ID and the same address.
func (r *randomCluster) replaceHost(t *rapid.T) {
	h := r.pickHost(t)
	if r.joinedHosts >= 2 {
		return
	}
	if h.node != nil {
		r.crash(h)
	}
	h.disk, h.diskBackup = PersistentState{}, nil
	r.joinedHosts++
	r.ids = slices.DeleteFunc(r.ids, func(id NodeID) bool { return id == h.cfg.ID })
	id := NodeID(fmt.Sprintf("n%d", r.joinedHosts))
	r.addHost(Config{ID: id})
	r.hosts[h.cfg.ID] = &host{cfg: h.cfg, clockRate: 1, successor: r.hosts[id]} // stays down
}

// proposeChange proposes a membership change that is valid for a random host: a node that
// is not a member is added as a learner, any other is promoted or, in one of six cases,
// removed.
func (r *randomCluster) proposeChange(t *rapid.T) {
	id := r.pickHost(t).cfg.ID
	remove := rapid.IntRange(0, 5).Draw(t, "remove") == 0
	r.withLeader(func(h *host) {
		c := MembershipChange{PromoteLearner, id}
		switch ms := h.node.membership; {
		case remove:
			c.Kind = RemoveMember
		case !ms.IsMember(id):
			c.Kind = AddLearner
		}
		if h.node.ProposeMembershipChange(h.localTime(r.now), c) == nil && c.Kind != AddLearner {
			for _, o := range r.hosts {
				o.diskBackup = nil
			}
		}
	})
}

// endFaults makes the network reliable and resumes all paused hosts.
func (r *randomCluster) endFaults() {
	r.lossRate = 0
	clear(r.blockedLinks)
	for _, h := range r.hosts {
		h.isolated, h.paused = false, false
	}
}

// healAndVerify ends all faults. If a quorum of voters is healthy, it expects that the
// group elects a leader, still has all committed entries, commits new ones, and that all
// members catch up.
func (r *randomCluster) healAndVerify() {
	r.endFaults()
	r.syncDelayOneIn = 0
	for _, id := range r.ids {
		if r.hosts[id].node == nil {
			r.start(r.hosts[id])
		}
	}
	r.run(200 * time.Millisecond)
	if !r.hasHealthyQuorum() {
		return
	}
	h := r.waitForLeader()
	if h.node.log.commit < uint64(len(r.committed)) {
		r.t.Fatalf("the leader %s knows %d of %d committed entries", h.cfg.ID, h.node.log.commit, len(r.committed))
	}
	healedAt := r.now
	r.waitUntil("no proposal is committed", func(*host) bool {
		r.withLeader(func(h *host) { r.propose(h) })
		k := len(r.committed) - 1
		return r.commitTimes[k] > healedAt && len(r.committed[k].Data) > 0
	})
	targetIndex := uint64(len(r.committed))
	r.waitUntil("a member does not catch up", func(h *host) bool {
		return !slices.ContainsFunc(h.node.membership.members(), func(id NodeID) bool {
			n := r.hosts[id].node
			return n != nil && n.role != RoleStateLost && n.log.applied < targetIndex
		})
	})
}

// hasHealthyQuorum reports whether a quorum of voters is up and has lost no state, for the
// current membership of every host.
func (r *randomCluster) hasHealthyQuorum() bool {
	hasMembership := false
	for _, id := range r.ids {
		ms := r.hosts[id].node.membership
		hasMembership = hasMembership || len(ms.Voters) > 0
		up := 0
		for _, v := range ms.Voters {
			if h := r.hosts[v]; h != nil && h.node != nil && h.node.role != RoleStateLost {
				up++
			}
		}
		if len(ms.Voters) > 0 && up < ms.quorum() {
			return false
		}
	}
	return hasMembership
}
