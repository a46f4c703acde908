package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/oleanderchute/oleanderchute/api"
)

// newTestState returns a state with partitions "east" and "west".
func newTestState() *State {
	s := New()
	for _, region := range []string{"east", "west"} {
		s.Apply(s.Index()+1, EncodeAssignReplicas(Partition{Name: region, Replicas: []Replica{{VM: region + "-1", NodeID: region + "-1#a"}}}))
	}
	return s
}

func change(id string, base uint64, t api.Tables) Change {
	return Change{Request: api.ApplyRequest{ChangeID: id, BaseVersion: base, Operator: "op", Tables: t}, UnixMillis: 1000}
}

func (s *State) applyNext(data []byte) Result { return s.Apply(s.Index()+1, data) }

func oneRoute(route, pool, home string) api.Tables {
	return api.Tables{Routes: []api.Route{{Name: route, Pool: pool}}, Pools: []api.Pool{{Name: pool, Home: home}}}
}

// drawTables yields mostly valid tables over few names, so that changes interact.
func drawTables(t *rapid.T) api.Tables {
	var out api.Tables
	for _, pool := range []string{"draft", "issue", "timing"} {
		if home := rapid.SampledFrom([]string{"", "east", "west", "east", "east"}).Draw(t, "home"); home != "" {
			p := api.Pool{Name: pool, Home: home}
			if rapid.Bool().Draw(t, "shares") {
				p.Shares = map[string]int64{"red": rapid.Int64Range(0, 9).Draw(t, "share"), "blue": 2}
			}
			out.Pools = append(out.Pools, p)
		}
	}
	for _, name := range []string{"guarantee", "plan", "recalibrate"} {
		if len(out.Pools) > 0 && rapid.Bool().Draw(t, "route") {
			r := api.Route{Name: name, Pool: rapid.SampledFrom(out.Pools).Draw(t, "pool").Name}
			r.Aliases = rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"garantee", "plam", "plan"}), 0, 2, rapid.ID).Draw(t, "aliases")
			out.Routes = append(out.Routes, r)
		}
	}
	return out
}

// drawCommand yields a command as the leader with state s could propose it.
func drawCommand(t *rapid.T, s *State) []byte {
	id := fmt.Sprintf("c%d", rapid.IntRange(0, 30).Draw(t, "id"))
	base := s.Version()
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		base = rapid.Uint64Range(0, s.Version()+1).Draw(t, "base")
	}
	c := change(id, base, drawTables(t))
	c.Workers = []WorkerInfo{{Worker: "w1", Pool: "draft"}, {Worker: "w2", Pool: "isue"}}
	vm := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "vm")
	switch rapid.IntRange(0, 9).Draw(t, "command") {
	case 0:
		return EncodeRegisterVM(VM{Name: vm, NodeID: vm + "#1", Region: "east", FailureDomain: "d1", HasDisk: true})
	case 1:
		return EncodeDeregisterVM(vm)
	case 2:
		return EncodeAssignReplicas(Partition{Name: vm, Replicas: []Replica{{VM: vm, NodeID: vm + "#1"}}})
	case 3:
		return []byte(vm)
	case 4:
		return EncodeChange(c)
	default:
		return s.EncodeChange(c)
	}
}

// Guards against replicas that diverge: by a nondeterministic Apply, by a snapshot that
// loses something, or by a version or first answer that changes.
func TestApplyProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newC(t)
		a, b := newTestState(), newTestState()
		first := make(map[string]api.ApplyResponse)
		for range rapid.IntRange(1, 25).Draw(t, "n") {
			data, before := drawCommand(t, a), a.Version()
			ra, rb := a.applyNext(data), b.applyNext(data)
			c.Assert(ra, qt.DeepEquals, rb)
			c.Assert(string(a.Snapshot()), qt.Equals, string(b.Snapshot()))
			if ra.Response != nil && ra.Response.Accepted && !ra.Resent {
				before++
			}
			c.Assert(a.Version(), qt.Equals, before)
			if ra.Response != nil {
				cmd, err := decodeCommand(data)
				c.Assert(err, qt.IsNil)
				was, known := first[cmd.Change.ChangeID]
				c.Assert(ra.Resent, qt.Equals, known)
				if known {
					c.Assert(*ra.Response, qt.DeepEquals, was)
				}
				first[cmd.Change.ChangeID] = *ra.Response
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				b = New()
				c.Assert(b.Restore(a.Snapshot()), qt.IsNil)
			}
		}
	})
}

// Guards against a lost update: two operators change the same version and both succeed.
func TestOnlyOneConcurrentChangeIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, s := newC(t), newTestState()
		for i := range rapid.IntRange(0, 3).Draw(t, "earlier") {
			s.applyNext(s.EncodeChange(change(fmt.Sprint(i), s.Version(), oneRoute("plan", "timing", "east"))))
		}
		base := s.Version()
		x := s.EncodeChange(change("x", base, oneRoute(rapid.SampledFrom([]string{"plan", "issue"}).Draw(t, "x"), "timing", "east")))
		y := EncodeChange(change("y", base, oneRoute(rapid.SampledFrom([]string{"plan", "issue"}).Draw(t, "y"), "timing", "east")))
		rx, ry := s.applyNext(x), s.applyNext(y)
		c.Assert([]bool{rx.Response.Accepted, ry.Response.Accepted}, qt.DeepEquals, []bool{true, false})
		c.Assert(ry.Response.Version, qt.Equals, base+1)
		c.Assert(ry.Response.Reason, qt.Contains, fmt.Sprintf("version %d by op is in force now", base+1))
		c.Assert(s.Version(), qt.Equals, base+1)
	})
}

// Guards against a resent change that is answered anew or carried out twice after many
// changes and a restart, and against a memory of change ids without bound.
func TestResendReturnsOriginalResponse(t *testing.T) {
	c, s := qt.New(t), newTestState()
	send := func(s *State, i int) Result {
		return s.applyNext(s.EncodeChange(change(fmt.Sprint(i), uint64(i), oneRoute("plan", "timing", "east"))))
	}
	const n = maxAnswers + 500
	for i := range n {
		c.Assert(send(s, i).Response.Accepted, qt.IsTrue)
	}
	restored := New()
	c.Assert(restored.Restore(s.Snapshot()), qt.IsNil)
	for _, i := range []int{n - maxAnswers, n - 500, n - 1} {
		c.Assert(send(restored, i), qt.DeepEquals, Result{Response: &api.ApplyResponse{Accepted: true, Version: uint64(i) + 1, Problems: send(s, i).Response.Problems}, Resent: true})
	}
	c.Assert(send(restored, 499).Response.Accepted, qt.IsFalse)
	c.Assert(len(restored.answers.byID), qt.Equals, maxAnswers)
	c.Assert(restored.Version(), qt.Equals, uint64(n))
	c.Assert(restored.History(), qt.HasLen, maxHistory)
	c.Assert(restored.History()[0].Version, qt.Equals, uint64(n))
}

// Guards against answers, and so snapshots, that repeat the warnings of the tables in
// force with each change, and against a new warning that is left out.
func TestResponsesOmitWarningsInForce(t *testing.T) {
	c, s := qt.New(t), newTestState()
	kinds := func(id string, tables api.Tables) (out []string) {
		restored := New()
		c.Assert(restored.Restore(s.Snapshot()), qt.IsNil)
		s = restored
		for _, p := range s.applyNext(s.EncodeChange(change(id, s.Version(), tables))).Response.Problems {
			out = append(out, p.Kind)
		}
		return out
	}
	tables := oneRoute("plan", "timing", "east")
	tables.Pools = append(tables.Pools, api.Pool{Name: "spare", Home: "east"})
	c.Assert(kinds("1", tables), qt.DeepEquals, []string{ProblemPoolWithoutRoute})
	c.Assert(kinds("2", tables), qt.HasLen, 0)
	tables.Pools = append(tables.Pools, api.Pool{Name: "Spare", Home: "east"})
	c.Assert(kinds("3", tables), qt.DeepEquals, []string{ProblemNearDuplicatePool, ProblemPoolWithoutRoute})
	c.Assert(kinds("4", oneRoute("plan", "timing", "east")), qt.HasLen, 0)
	c.Assert(kinds("5", tables), qt.HasLen, 3)
}

// Guards against a delta that gives other tables than the whole tables would.
func TestDeltaEqualsCompleteTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, a, b := newC(t), newTestState(), newTestState()
		for i := range 6 {
			ch := change(fmt.Sprint(i), a.Version(), drawTables(t))
			c.Assert(string(a.EncodeChange(ch)), qt.Equals, string(a.EncodeChange(ch)))
			c.Assert(a.applyNext(a.EncodeChange(ch)), qt.DeepEquals, b.applyNext(EncodeChange(ch)))
			c.Assert(string(a.Snapshot()), qt.Equals, string(b.Snapshot()))
		}
	})
}

// Guards against a key with two homes, which could run a resent request twice.
func TestHomesNeverChange(t *testing.T) {
	two := func(routePool string) api.Tables {
		return api.Tables{Routes: []api.Route{{Name: "plan", Pool: routePool, Aliases: []string{"plam"}}},
			Pools: []api.Pool{{Name: "e1", Home: "east"}, {Name: "e2", Home: "east"}, {Name: "w1", Home: "west"}}}
	}
	alias := two("e1")
	alias.Routes = []api.Route{{Name: "other", Pool: "w1", Aliases: []string{"plam"}}}
	rehomed := two("e1")
	rehomed.Pools[0].Home = "west"
	for _, test := range []struct {
		about, problem string
		between, next  api.Tables
	}{
		{"move within the home", "", two("e1"), two("e2")},
		{"move to another home", ProblemRouteHomeChanged, two("e1"), two("w1")},
		{"move to another home after a removal", ProblemRouteHomeChanged, api.Tables{}, two("w1")},
		{"pool changes home", ProblemPoolHomeChanged, two("e1"), rehomed},
		{"pool changes home after a removal", ProblemPoolHomeChanged, api.Tables{}, rehomed},
		{"alias goes to another home", ProblemRouteHomeChanged, api.Tables{}, alias},
		{"unknown home", ProblemUnknownHome, two("e1"), oneRoute("new", "new", "eest")},
	} {
		c, s := qt.New(t), newTestState()
		c.Assert(s.applyNext(s.EncodeChange(change("1", 0, two("e1")))).Response.Accepted, qt.IsTrue)
		c.Assert(s.applyNext(s.EncodeChange(change("2", 1, test.between))).Response.Accepted, qt.IsTrue)
		restored := New()
		c.Assert(restored.Restore(s.Snapshot()), qt.IsNil)
		got := restored.applyNext(restored.EncodeChange(change("3", 2, test.next))).Response
		c.Assert(got.Accepted, qt.Equals, test.problem == "", qt.Commentf("%s: %+v", test.about, got))
		if test.problem != "" {
			c.Assert(got.Problems[0].Kind, qt.Equals, test.problem, qt.Commentf("%s", test.about))
			c.Assert(got.Version, qt.Equals, uint64(2))
		}
	}
}

// Guards against a reader that changes the state through a returned value.
func TestReadsReturnCopies(t *testing.T) {
	c, s := qt.New(t), newTestState()
	tables := oneRoute("plan", "timing", "east")
	tables.Routes[0].Aliases = []string{"plam"}
	tables.Pools[0].Shares = map[string]int64{"red": 1}
	s.applyNext(s.EncodeChange(change("1", 0, tables)))
	s.applyNext(EncodeRegisterVM(VM{Name: "a", NodeID: "a#1", Region: "east", FailureDomain: "d"}))
	before := string(s.Snapshot())
	got := s.Tables()
	got.Routes[0].Aliases[0], got.Routes[0].Name = "x", "x"
	got.Pools[0].Shares["red"] = 7
	s.VMs()[0].Name = "x"
	s.Partitions()[0].Replicas[0].VM = "x"
	s.History()[0].ChangeID = "x"
	c.Assert(string(s.Snapshot()), qt.Equals, before)
}

// Guards against a guess: only an exact name or an accepted alias is served.
func TestResolve(t *testing.T) {
	c, s := qt.New(t), newTestState()
	tables := oneRoute("draft-guarantee", "drafting", "east")
	tables.Routes[0].Aliases = []string{"draft-garantee"}
	s.applyNext(s.EncodeChange(change("1", 0, tables)))
	for kind, nearest := range map[string]string{
		"draft-guarantee": "", "draft-garantee": "",
		"draft_guarantee": "draft-guarantee", "Draft-Guarantee": "draft-guarantee", "dratf-guarantee": "draft-guarantee",
		"guarantee": "draft-guarantee", "drаft-guаrаntee": "draft-guarantee", "timing": "-", "": "-",
	} {
		route, pool, err := s.Resolve(kind)
		if nearest == "" {
			c.Assert(err == nil, qt.IsTrue)
			c.Assert([]string{route.Name, pool.Home}, qt.DeepEquals, []string{"draft-guarantee", "east"})
			continue
		}
		// A route that was withdrawn may have run the key: an entry VM cannot say not_run.
		c.Assert([]any{err.Code, err.NotRun}, qt.DeepEquals, []any{api.CodeNoRoute, false})
		c.Assert(err.Nearest == nearest || err.Nearest+"-" == nearest, qt.IsTrue, qt.Commentf("%q: %v", kind, err))
	}
}

// Guards against an entry that is applied twice, and against damaged input that changes
// the state or stops the process.
func TestRefusedCommandsHaveNoEffect(t *testing.T) {
	c, s := qt.New(t), newTestState()
	before := string(s.Snapshot())
	c.Assert(s.Apply(s.Index(), EncodeRegisterVM(VM{Name: "a", NodeID: "a#1", Region: "r", FailureDomain: "d"})).Err, qt.IsNotNil)
	c.Assert(string(s.Snapshot()), qt.Equals, before)
	for _, data := range [][]byte{nil, {0xff}, mustEncode(command{}), EncodeDeregisterVM("none"), EncodeRegisterVM(VM{}),
		EncodeAssignReplicas(Partition{Name: "p"}), EncodeAssignReplicas(Partition{Name: "p", Replicas: []Replica{{"a", "1"}, {"a", "2"}}}),
		EncodeChange(change("", 0, api.Tables{}))} {
		c.Assert(s.applyNext(data).Err, qt.IsNotNil)
	}
	s.index -= 8
	c.Assert(string(s.Snapshot()), qt.Equals, before)
	c.Assert(s.Restore([]byte{1}), qt.IsNotNil)
	c.Assert(string(s.Snapshot()), qt.Equals, before)
}
