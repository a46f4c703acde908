package control

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

const goodFile = `version: 7
routes:
  - name: draft-guarantee
    pool: drafting
    aliases: [draft-garantee]
    workload: batch
    class: urgent
pools:
  - name: drafting
    home: east
    shares: {red: 3}
    quotas:
      red: {milli_cpu: 64000, memory_mb: 128000, accelerators: 2}
`

// Guards against a mistake in the file that is dropped in silence, and against messages
// without the line or without what to type.
func TestParseTablesErrors(t *testing.T) {
	for _, test := range []struct{ about, file, want string }{
		{"unknown field", "routes:\n  - name: a\n    pol: b\n    pool: b\n", `line 3: the route has the unknown field "pol"; write "pool:"`},
		{"unknown section", "rutes: []\n", `line 1: the file has the unknown field "rutes"; write "routes:"`},
		{"unknown quota field", "pools:\n- name: a\n  home: b\n  quotas:\n    red: {cpu_milli: 1}\n", `line 5: the quota has the unknown field "cpu_milli"; known fields are milli_cpu, memory_mb, accelerators`},
		{"repeated field", "routes:\n- name: a\n  name: b\n  pool: c\n", `line 3: the route has "name" twice, first in line 2; remove one of them`},
		{"repeated team", "pools:\n- name: a\n  home: b\n  shares:\n    red: 1\n    red: 2\n", `line 6: shares has "red" twice, first in line 5; remove one of them`},
		{"missing field", "routes:\n- name: a\n", `line 2: the route has no pool; add "pool: NAME"`},
		{"wrong workload", "routes:\n- name: a\n  pool: b\n  workload: bacth\n", `line 4: workload is "bacth"; write "workload: batch"; allowed are service, batch, gang`},
		{"number as name", "routes:\n- name: 010\n  pool: b\n", `line 2: name is 010, not text; write name in quotes: "010"`},
		{"boolean as name", "routes:\n- name: true\n  pool: b\n", `line 2: name is true, not text; write name in quotes: "true"`},
		{"bad name", "routes:\n- name: a b\n  pool: b\n", `line 2: name "a b" contains ' '; allowed are letters, digits, '-', '_' and '.'; write "a-b"`},
		{"list as value", "routes:\n- name: [a]\n  pool: b\n", `line 2: name is a list; write "name: NAME"`},
		{"value as list", "routes: all\n", `line 1: routes is a single value; write a list whose entries begin with "- "`},
		{"share with unit", "pools:\n- name: a\n  home: b\n  shares: {red: 5%}\n", `line 4: red is "5%", not a whole number; write "red: NUMBER" without unit`},
		{"zero share", "pools:\n- name: a\n  home: b\n  shares: {red: 0}\n", `line 4: red is 0; write 1 or more`},
		{"negative quota", "pools:\n- name: a\n  home: b\n  quotas:\n    red:\n      milli_cpu: -4\n", `line 6: milli_cpu is -4; write 0 or more`},
		{"anchor", "routes: &r []\n", `line 1: routes uses a YAML anchor or reference; write the value out`},
		{"syntax", "routes:\n  - name: 'a\n", `line 2: not valid YAML: found unexpected end of stream; check the indentation and the quotes of this line and the one before`},
		{"empty", "", `line 1: the file is empty; write "routes:" and "pools:"`},
		{"two documents", "routes: []\n---\npools: []\n", `line 2: the file has a second document; remove the "---" between them`},
	} {
		t.Run(test.about, func(t *testing.T) {
			_, errs := ParseTables([]byte(test.file))
			qt.Assert(t, errs, qt.HasLen, 1, qt.Commentf("%v", errs))
			qt.Assert(t, errs[0].Error(), qt.Equals, test.want)
		})
	}
}

// Guards against a file that loses something between reading and writing.
func TestFormatTablesRoundTrip(t *testing.T) {
	tables, errs := ParseTables([]byte(goodFile))
	qt.Assert(t, errs, qt.HasLen, 0)
	qt.Assert(t, fmt.Sprint(tables), qt.Equals, "{7 [{draft-guarantee drafting [draft-garantee] batch urgent}] [{drafting east map[red:3] map[red:{64000 128000 2}]}]}")
	rapid.Check(t, func(t *rapid.T) {
		want := NormalizeTables(drawTables(t))
		for i := range want.Pools {
			if want.Pools[i].Shares["red"] == 0 {
				delete(want.Pools[i].Shares, "red")
			}
		}
		got, errs := ParseTables(FormatTables(want))
		if len(errs) > 0 || fmt.Sprint(NormalizeTables(got)) != fmt.Sprint(want) {
			t.Fatalf("got %+v, want %+v, errors %v", got, want, errs)
		}
	})
}

// Guards against input that stops the process, and against a file without errors that
// does not survive FormatTables.
func FuzzParseTables(f *testing.F) {
	f.Add([]byte(goodFile))
	f.Fuzz(func(t *testing.T, data []byte) {
		tables, errs := ParseTables(data)
		Check(tables, tables, nil, nil)
		if len(errs) > 0 {
			return
		}
		again, errs := ParseTables(FormatTables(tables))
		if len(errs) > 0 || fmt.Sprint(again) != fmt.Sprint(NormalizeTables(tables)) {
			t.Fatalf("%q became %q: %v", data, FormatTables(tables), errs)
		}
	})
}

// Guards against a command that stops the process or is applied in part, and against a
// state that cannot be restored.
func FuzzCommand(f *testing.F) {
	f.Add(EncodeRegisterVM(VM{Name: "a", NodeID: "a#1", Region: "r", FailureDomain: "d"}))
	f.Add(EncodeAssignReplicas(Partition{Name: "p", Replicas: []Replica{{"a", "a#1"}}}))
	f.Add(EncodeChange(change("1", 0, oneRoute("plan", "timing", "east"))))
	f.Add(newTestState().EncodeChange(change("1", 0, oneRoute("plan", "timing", "east"))))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := newTestState()
		s.applyNext(data)
		restored := New()
		if err := restored.Restore(s.Snapshot()); err != nil {
			t.Fatal(err)
		}
		if string(restored.Snapshot()) != string(s.Snapshot()) {
			t.Fatal("the restored state differs")
		}
	})
}
