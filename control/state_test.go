package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/oleanderchute/oleanderchute/api"
)

// newTestState returns a state with the partitions "east" and "west".
func newTestState() *State {
	s := New()
	for _, region := range []string{"east", "west"} {
		s.Apply(s.Index()+1, EncodeAssignReplicas(Partition{Name: region, Replicas: []Replica{{VM: region + "-1", NodeID: region + "-1#a"}}}))
	}
	return s
}

func newTestChange(id string, base uint64, t api.Tables) Change {
	return Change{Request: api.ApplyRequest{ChangeID: id, BaseVersion: base, Operator: "op", Tables: t}, UnixMillis: 1000}
}

// applyNext applies data as the entry at the next index.
func (s *State) applyNext(data []byte) Result { return s.Apply(s.Index()+1, data) }

// tablesWithRoute returns tables with one route and its pool.
func tablesWithRoute(route, pool, home string) api.Tables {
	return api.Tables{Routes: []api.Route{{Name: route, Pool: pool}}, Pools: []api.Pool{{Name: pool, Home: home}}}
}

// drawTables draws tables that are mostly valid and use few names, so that successive
// changes affect the same entries.
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

// drawCommand draws a command that a leader with state s could propose, or an invalid one.
func drawCommand(t *rapid.T, s *State) []byte {
	id := fmt.Sprintf("c%d", rapid.IntRange(0, 30).Draw(t, "id"))
	base := s.Version()
	if rapid.IntRange(0, 4).Draw(t, "stale") == 0 {
		base = rapid.Uint64Range(0, s.Version()+1).Draw(t, "base")
	}
	c := newTestChange(id, base, drawTables(t))
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

// TestApplyProperties guards against replicas that diverge because Apply is not
// deterministic or a snapshot loses data, against versions that change without an accepted
// change, and against a resent change that gets another response than the original one.
func TestApplyProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRapidC(t)
		a, b := newTestState(), newTestState()
		originals := make(map[string]api.ApplyResponse)
		for range rapid.IntRange(1, 25).Draw(t, "n") {
			data, wantVersion := drawCommand(t, a), a.Version()
			ra, rb := a.applyNext(data), b.applyNext(data)
			c.Assert(ra, qt.DeepEquals, rb)
			c.Assert(string(a.Snapshot()), qt.Equals, string(b.Snapshot()))
			if ra.Response != nil && ra.Response.Accepted && !ra.Resent {
				wantVersion++
			}
			c.Assert(a.Version(), qt.Equals, wantVersion)
			if ra.Response != nil {
				cmd, err := decodeCommand(data)
				c.Assert(err, qt.IsNil)
				original, known := originals[cmd.Change.ChangeID]
				c.Assert(ra.Resent, qt.Equals, known)
				if known {
					c.Assert(*ra.Response, qt.DeepEquals, original)
				}
				originals[cmd.Change.ChangeID] = *ra.Response
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				b = New()
				c.Assert(b.Restore(a.Snapshot()), qt.IsNil)
			}
		}
	})
}

// TestOnlyOneConcurrentChangeIsAccepted guards against lost updates: two operators change
// the same version and both succeed.
func TestOnlyOneConcurrentChangeIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, s := newRapidC(t), newTestState()
		for i := range rapid.IntRange(0, 3).Draw(t, "earlier") {
			s.applyNext(s.EncodeChange(newTestChange(fmt.Sprint(i), s.Version(), tablesWithRoute("plan", "timing", "east"))))
		}
		base := s.Version()
		x := s.EncodeChange(newTestChange("x", base, tablesWithRoute(rapid.SampledFrom([]string{"plan", "issue"}).Draw(t, "x"), "timing", "east")))
		y := EncodeChange(newTestChange("y", base, tablesWithRoute(rapid.SampledFrom([]string{"plan", "issue"}).Draw(t, "y"), "timing", "east")))
		rx, ry := s.applyNext(x), s.applyNext(y)
		c.Assert([]bool{rx.Response.Accepted, ry.Response.Accepted}, qt.DeepEquals, []bool{true, false})
		c.Assert(ry.Response.Version, qt.Equals, base+1)
		c.Assert(ry.Response.Reason, qt.Contains, fmt.Sprintf("version %d by op is in force now", base+1))
		c.Assert(s.Version(), qt.Equals, base+1)
	})
}

// TestResendReturnsOriginalResponse guards against a resent change that gets a new response
// or is applied twice after many other changes and a restart, and against a response cache
// that grows without limit.
func TestResendReturnsOriginalResponse(t *testing.T) {
	c, s := qt.New(t), newTestState()
	send := func(s *State, i int) Result {
		return s.applyNext(s.EncodeChange(newTestChange(fmt.Sprint(i), uint64(i), tablesWithRoute("plan", "timing", "east"))))
	}
	const n = maxCachedResponses + 500
	for i := range n {
		c.Assert(send(s, i).Response.Accepted, qt.IsTrue)
	}
	restored := New()
	c.Assert(restored.Restore(s.Snapshot()), qt.IsNil)
	for _, i := range []int{n - maxCachedResponses, n - 500, n - 1} {
		c.Assert(send(restored, i), qt.DeepEquals, Result{Response: &api.ApplyResponse{Accepted: true, Version: uint64(i) + 1, Problems: send(s, i).Response.Problems}, Resent: true})
	}
	c.Assert(send(restored, 499).Response.Accepted, qt.IsFalse)
	c.Assert(len(restored.responses.indexByID), qt.Equals, maxCachedResponses)
	c.Assert(restored.Version(), qt.Equals, uint64(n))
	c.Assert(restored.History(), qt.HasLen, maxHistory)
	c.Assert(restored.History()[0].Version, qt.Equals, uint64(n))
}

// TestResponsesOmitWarningsInForce guards against responses that repeat the warnings of the
// tables in force, which would also enlarge the snapshots, and against new warnings that
// are omitted.
func TestResponsesOmitWarningsInForce(t *testing.T) {
	c, s := qt.New(t), newTestState()
	problemKinds := func(id string, tables api.Tables) (out []string) {
		restored := New()
		c.Assert(restored.Restore(s.Snapshot()), qt.IsNil)
		s = restored
		for _, p := range s.applyNext(s.EncodeChange(newTestChange(id, s.Version(), tables))).Response.Problems {
			out = append(out, p.Kind)
		}
		return out
	}
	tables := tablesWithRoute("plan", "timing", "east")
	tables.Pools = append(tables.Pools, api.Pool{Name: "spare", Home: "east"})
	c.Assert(problemKinds("1", tables), qt.DeepEquals, []string{ProblemPoolWithoutRoute})
	c.Assert(problemKinds("2", tables), qt.HasLen, 0)
	tables.Pools = append(tables.Pools, api.Pool{Name: "Spare", Home: "east"})
	c.Assert(problemKinds("3", tables), qt.DeepEquals, []string{ProblemNearDuplicatePool, ProblemPoolWithoutRoute})
	c.Assert(problemKinds("4", tablesWithRoute("plan", "timing", "east")), qt.HasLen, 0)
	c.Assert(problemKinds("5", tables), qt.HasLen, 3)
}

// TestDeltaEqualsCompleteTables guards against a delta that results in other tables than the
// command with the complete tables.
func TestDeltaEqualsCompleteTables(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, a, b := newRapidC(t), newTestState(), newTestState()
		for i := range 6 {
			ch := newTestChange(fmt.Sprint(i), a.Version(), drawTables(t))
			c.Assert(string(a.EncodeChange(ch)), qt.Equals, string(a.EncodeChange(ch)))
			c.Assert(a.applyNext(a.EncodeChange(ch)), qt.DeepEquals, b.applyNext(EncodeChange(ch)))
			c.Assert(string(a.Snapshot()), qt.Equals, string(b.Snapshot()))
		}
	})
}

// TestHomesNeverChange guards against a key with two homes, for which a resent request
// could run twice.
func TestHomesNeverChange(t *testing.T) {
	tablesRoutedTo := func(routePool string) api.Tables {
		return api.Tables{Routes: []api.Route{{Name: "plan", Pool: routePool, Aliases: []string{"plam"}}},
			Pools: []api.Pool{{Name: "e1", Home: "east"}, {Name: "e2", Home: "east"}, {Name: "w1", Home: "west"}}}
	}
	aliasMoved := tablesRoutedTo("e1")
	aliasMoved.Routes = []api.Route{{Name: "other", Pool: "w1", Aliases: []string{"plam"}}}
	rehomed := tablesRoutedTo("e1")
	rehomed.Pools[0].Home = "west"
	for _, test := range []struct {
		name, problem string
		between, next api.Tables
	}{
		{"move within the home", "", tablesRoutedTo("e1"), tablesRoutedTo("e2")},
		{"move to another home", ProblemRouteHomeChanged, tablesRoutedTo("e1"), tablesRoutedTo("w1")},
		{"move to another home after a removal", ProblemRouteHomeChanged, api.Tables{}, tablesRoutedTo("w1")},
		{"pool changes home", ProblemPoolHomeChanged, tablesRoutedTo("e1"), rehomed},
		{"pool changes home after a removal", ProblemPoolHomeChanged, api.Tables{}, rehomed},
		{"alias goes to another home", ProblemRouteHomeChanged, api.Tables{}, aliasMoved},
		{"unknown home", ProblemUnknownHome, tablesRoutedTo("e1"), tablesWithRoute("new", "new", "eest")},
	} {
		c, s := qt.New(t), newTestState()
		c.Assert(s.applyNext(s.EncodeChange(newTestChange("1", 0, tablesRoutedTo("e1")))).Response.Accepted, qt.IsTrue)
		c.Assert(s.applyNext(s.EncodeChange(newTestChange("2", 1, test.between))).Response.Accepted, qt.IsTrue)
		restored := New()
		c.Assert(restored.Restore(s.Snapshot()), qt.IsNil)
		got := restored.applyNext(restored.EncodeChange(newTestChange("3", 2, test.next))).Response
		c.Assert(got.Accepted, qt.Equals, test.problem == "", qt.Commentf("%s: %+v", test.name, got))
		if test.problem != "" {
			c.Assert(got.Problems[0].Kind, qt.Equals, test.problem, qt.Commentf("%s", test.name))
			c.Assert(got.Version, qt.Equals, uint64(2))
		}
	}
}

// TestReadsReturnCopies guards against callers that modify the state through a returned
// value.
func TestReadsReturnCopies(t *testing.T) {
	c, s := qt.New(t), newTestState()
	tables := tablesWithRoute("plan", "timing", "east")
	tables.Routes[0].Aliases = []string{"plam"}
	tables.Pools[0].Shares = map[string]int64{"red": 1}
	s.applyNext(s.EncodeChange(newTestChange("1", 0, tables)))
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

// TestResolve guards against kinds that are served although they are only similar to a
// route: only an exact name or an alias of a route is served.
func TestResolve(t *testing.T) {
	c, s := qt.New(t), newTestState()
	tables := tablesWithRoute("draft-guarantee", "drafting", "east")
	tables.Routes[0].Aliases = []string{"draft-garantee"}
	s.applyNext(s.EncodeChange(newTestChange("1", 0, tables)))
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
		// A removed route may have served the request earlier, so an entry VM cannot
		// report not_run.
		c.Assert([]any{err.Code, err.NotRun}, qt.DeepEquals, []any{api.CodeNoRoute, false})
		c.Assert(err.Nearest == nearest || err.Nearest+"-" == nearest, qt.IsTrue, qt.Commentf("%q: %v", kind, err))
	}
}

// TestRefusedCommandsHaveNoEffect guards against entries that are applied twice, and
// against invalid input that changes the state or causes a panic.
func TestRefusedCommandsHaveNoEffect(t *testing.T) {
	c, s := qt.New(t), newTestState()
	before := string(s.Snapshot())
	c.Assert(s.Apply(s.Index(), EncodeRegisterVM(VM{Name: "a", NodeID: "a#1", Region: "r", FailureDomain: "d"})).Err, qt.IsNotNil)
	c.Assert(string(s.Snapshot()), qt.Equals, before)
	for _, data := range [][]byte{nil, {0xff}, mustEncode(command{}), EncodeDeregisterVM("none"), EncodeRegisterVM(VM{}),
		EncodeAssignReplicas(Partition{Name: "p"}), EncodeAssignReplicas(Partition{Name: "p", Replicas: []Replica{{"a", "1"}, {"a", "2"}}}),
		EncodeChange(newTestChange("", 0, api.Tables{}))} {
		c.Assert(s.applyNext(data).Err, qt.IsNotNil)
	}
	s.index -= 8
	c.Assert(string(s.Snapshot()), qt.Equals, before)
	c.Assert(s.Restore([]byte{1}), qt.IsNotNil)
	c.Assert(string(s.Snapshot()), qt.Equals, before)
}
