package cell

import (
	"cmp"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/job"
	"github.com/oleanderchute/oleanderchute/raft"
	"github.com/oleanderchute/oleanderchute/replica"
)

// machineStatus is the status of one machine of the membership model.
type machineStatus byte

const (
	machineUnused machineStatus = iota // a spare that was never started
	machineUp
	machineSilent // cut off or without power; it returns with its disk
	machineGone   // never returns
)

// modelMachine is one machine of the membership model, with the seats that its identities hold.
type modelMachine struct {
	status      machineStatus
	incarnation byte // of the disk; the identity is the address with this number
	registered  byte // the newest incarnation that the leader knows, 0 if none
	voters      byte // bit i is set if incarnation i is a voter
	learners    byte
	silentFor   byte // as the leader knows: 0 alive, 1 over voterSilenceTimeout, 2 over learnerSilenceTimeout
	isLost      bool // counts as lost until the machines have been stable
}

// modelState is a state of the membership model. Machines are interchangeable, so the state is
// kept sorted.
type modelState [7]modelMachine

func (s modelState) sorted() modelState {
	slices.SortFunc(s[:], func(a, b modelMachine) int { return cmp.Compare(a.key(), b.key()) })
	return s
}

// key orders machines; it differs for machines that differ.
func (m modelMachine) key() uint64 {
	key := uint64(0)
	if m.isLost {
		key = 1
	}
	for _, b := range []byte{byte(m.status), m.incarnation, m.registered, m.voters, m.learners, m.silentFor} {
		key = key<<8 | uint64(b)
	}
	return key
}

// modelNodeID returns the identity of an incarnation of a machine, such as "3#1".
func modelNodeID(machine, incarnation int) raft.NodeID {
	return raft.NodeID([]byte{'0' + byte(machine), '#', '0' + byte(incarnation)})
}

// parseModelNodeID is the inverse of modelNodeID.
func parseModelNodeID(id raft.NodeID) (machine, incarnation int) {
	return int(id[0] - '0'), int(id[2] - '0')
}

func (s modelState) lost() int {
	n := 0
	for _, m := range s {
		if m.isLost {
			n++
		}
	}
	return n
}

// view returns what the leader knows in this state.
func (s modelState) view() membershipView {
	var current raft.Membership
	var registered []job.Member
	for i, m := range s {
		for k := range 8 {
			if m.voters>>k&1 == 1 {
				current.Voters = append(current.Voters, modelNodeID(i, k))
			}
			if m.learners>>k&1 == 1 {
				current.Learners = append(current.Learners, modelNodeID(i, k))
			}
		}
		if m.registered > 0 {
			registered = append(registered, job.Member{Address: string([]byte{'0' + byte(i)}), NodeID: string(modelNodeID(i, int(m.registered)))})
		}
	}
	return newMembershipView(current, registered, 5, func(id raft.NodeID) time.Duration {
		machine, _ := parseModelNodeID(id)
		return [...]time.Duration{0, voterSilenceTimeout, learnerSilenceTimeout}[s[machine].silentFor]
	})
}

// presentVoters returns the number of voters whose disk is present, and that of all voters.
func (s modelState) presentVoters() (present, all int) {
	for _, m := range s {
		for k := range 8 {
			if m.voters>>k&1 == 1 {
				all++
				if m.status == machineUp && int(m.incarnation) == k {
					present++
				}
			}
		}
	}
	return present, all
}

// reconcile registers the machines that are up and makes the next membership change, if there
// is one that can be committed now.
func (s modelState) reconcile() modelState {
	for i := range s {
		if s[i].status == machineUp {
			s[i].registered, s[i].silentFor = s[i].incarnation, 0
		}
	}
	view := s.view()
	change, ok := replica.NextMembershipChange(view.current, view.desired())
	if !ok {
		return s
	}
	machine, incarnation := parseModelNodeID(change.ID)
	m, bit := &s[machine], byte(1)<<incarnation
	switch change.Kind {
	case raft.AddLearner:
		m.learners |= bit
	case raft.PromoteLearner:
		if m.status == machineUp && int(m.incarnation) == incarnation { // else it has not caught up
			m.learners, m.voters = m.learners&^bit, m.voters|bit
		}
	case raft.RemoveMember:
		m.learners, m.voters = m.learners&^bit, m.voters&^bit
	}
	return s
}

// timePasses lets the leader notice silence.
func (s modelState) timePasses() modelState {
	for i := range s {
		if (s[i].status == machineSilent || s[i].status == machineGone) && s[i].silentFor < 2 {
			s[i].silentFor++
		}
	}
	return s
}

// membershipStableTime is the time without faults after which the group again has its number
// of voters and all of them are present, if enough keepers are: a silent voter is noticed,
// and the change of each seat takes three steps of ReconcileInterval.
const membershipStableTime = 4 * time.Second

// stableReconciles bounds the changes in membershipStableTime: one per ReconcileInterval after
// the silence of a voter was noticed.
const stableReconciles = int((membershipStableTime - voterSilenceTimeout) / replica.ReconcileInterval)

// settle lets the machines be stable for membershipStableTime.
func (s modelState) settle() modelState {
	for i := range s {
		if s[i].status != machineUp {
			s[i].silentFor = max(s[i].silentFor, 1)
		}
	}
	for range stableReconciles {
		s = s.reconcile()
	}
	for i := range s {
		if s[i].status != machineSilent {
			s[i].isLost = false
		}
	}
	return s
}

// faults returns the states after one fault or return of a machine. At most two machines are
// lost at once.
func (s modelState) faults() []modelState {
	var out []modelState
	spare := slices.IndexFunc(s[:], func(m modelMachine) bool { return m.status == machineUnused })
	for i, m := range s {
		lose := func(change func(*modelState)) {
			next := s
			next[i].isLost = true
			change(&next)
			if next.lost() <= 2 {
				out = append(out, next)
			}
		}
		switch {
		case m.status == machineUp && m.incarnation < 3:
			lose(func(n *modelState) { n[i].incarnation++ })
			fallthrough
		case m.status == machineUp:
			lose(func(n *modelState) { n[i].status = machineSilent })
			if spare >= 0 {
				lose(func(n *modelState) {
					n[i].status = machineGone
					n[spare] = modelMachine{status: machineUp, incarnation: 1}
				})
			}
		case m.status == machineSilent:
			next := s
			next[i].status = machineUp // it still counts as lost until the machines were stable
			out = append(out, next)
		}
	}
	return out
}

// Guards against a membership in which two further losses end the cell, whatever was lost,
// replaced or silent before, while at most two machines are lost at once, and whenever the
// leader changes; and against one that does not recover its tolerance in membershipStableTime.
func TestMembershipToleratesTwoLossesInEveryState(t *testing.T) {
	c := qt.New(t)
	var start modelState
	for i := range 5 {
		start[i] = modelMachine{status: machineUp, incarnation: 1, registered: 1, voters: 1 << 1}
	}
	start = start.sorted()
	// Four or five faults take too long with the race detector: MODEL_FAULTS=5 by hand.
	maxFaults := 3
	if n, err := strconv.Atoi(os.Getenv("MODEL_FAULTS")); err == nil {
		maxFaults = n
	}
	seen, frontier := map[modelState]bool{start: true}, []modelState{start}
	for depth := 0; depth <= maxFaults; depth++ {
		var next []modelState
		for len(frontier) > 0 { // all that happens without a further fault
			s := frontier[0]
			frontier = frontier[1:]
			if present, all := s.presentVoters(); present < all/2+1 {
				c.Fatalf("after %d faults %d of %d voters are present: %v", depth, present, all, s)
			}
			settled := s.settle()
			silent := 0
			for _, m := range settled {
				if m.status == machineSilent {
					silent++
				}
			}
			present, all := settled.presentVoters()
			if all > 5 || present < 5-silent || silent == 0 && len(settled.view().missingVoters()) > 0 {
				c.Fatalf("after %d faults and a stable time %d of %d voters are present: %v", depth, present, all, settled)
			}
			newLeader := s
			for i := range newLeader {
				newLeader[i].silentFor = 0
			}
			for _, n := range []modelState{s.reconcile(), s.timePasses(), newLeader, settled} {
				if n = n.sorted(); !seen[n] {
					seen[n] = true
					frontier = append(frontier, n)
				}
			}
			for _, n := range s.faults() {
				if n = n.sorted(); !seen[n] && depth < maxFaults {
					seen[n] = true
					next = append(next, n)
				}
			}
		}
		frontier = next
	}
	c.Logf("%d states", len(seen))
}
