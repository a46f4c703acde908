package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
)

// Guards against a wrong exit code and against a message that does not say what to type.
func TestCommands(t *testing.T) {
	t.Setenv("OLEANDER_ADDRESS", "")
	t.Setenv("OLEANDER_OPERATOR", "ana")
	c := newStandinCluster(t)
	addr := "--address=" + c.URL
	good := writeFile(t, validTables)
	if code, _, errOut := runCommand(addr, "apply", good); code != exitOK {
		t.Fatal(errOut)
	}
	c.status = api.RequestStatus{Caller: "bank", Key: "k1", State: api.StateDone, Answer: []byte("bond")}
	file := func(content string) string { return writeFile(t, content) }
	request := []string{"k1", "--caller=bank", "--kind=plan"}
	for _, test := range []struct {
		about string
		args  []string
		code  int
		want  string // part of the output or of the error
	}{
		{"misspelled command", []string{"statsu"}, exitUsage, `unknown command "statsu"; type "oleanderchute status"`},
		{"unknown command", []string{"zzzz"}, exitUsage, `commands are serve, dev, check, apply`},
		{"no command", nil, exitUsage, "no command is given; commands are serve, dev, check"},
		{"misspelled flag", []string{"status", "--adress=x"}, exitUsage, `did you mean "--address"?`},
		{"misspelled choice", append([]string{"submit", "--class=urgnt"}, request...), exitUsage, `type "--class urgent"`},
		{"missing argument", []string{"check"}, exitUsage, `type "oleanderchute check --help" for an example`},
		{"missing address", []string{"status"}, exitUsage, `type "--address HOST:PORT" or set OLEANDER_ADDRESS`},
		{"bad address", []string{"--address=ftp://x", "status"}, exitUsage, `type "--address HOST:PORT"`},
		{"unreachable", []string{"--address=127.0.0.1:1", "--timeout=200ms", "status"}, exitUnreachable, "no answer from http://127.0.0.1:1"},
		{"check offline", []string{"check", good}, exitOK, "routes: 1, pools: 1, errors: 0, warnings: 0"},
		{"check from the standard input", []string{"check", "-"}, exitOK, "errors: 0"},
		{"check a missing file", []string{"check", "/none.yaml"}, exitFailed, "/none.yaml"},
		{"check a misspelled field", []string{"check", file("routes:\n- name: a\n  pol: b\n")}, exitFailed, `line 3: the route has the unknown field "pol"; write "pool:"`},
		{"check a misspelled pool", []string{"check", file(strings.Replace(validTables, "pool: timing", "pool: timng", 1))}, exitFailed, `write "pool: timing" in route "plan"`},
		{"check does not know homes offline", []string{"check", file(strings.Replace(validTables, "east", "esat", 1))}, exitOK, "errors: 0"},
		{"check asks the cluster", []string{addr, "check", file(strings.Replace(validTables, "east", "esat", 1))}, exitFailed, `write "home: east" in pool "timing"`},
		{"check with an unreachable cluster", []string{"--address=127.0.0.1:1", "--timeout=200ms", "check", good}, exitUnreachable, "no answer"},
		{"apply a file with errors", []string{addr, "apply", file("routes:\n- {name: a, pool: b}\n")}, exitFailed, "route_without_pool"},
		{"apply without version", []string{addr, "apply", good}, exitFailed, `then write "version: 1" at its top`},
		{"apply an old version", []string{addr, "apply", good, "--base=0"}, exitFailed, "version 1 by ana is in force now"},
		{"apply a refused home", []string{addr, "apply", "--base=1", file(strings.Replace(validTables, "east", "esat", 1))}, exitFailed, `remedy: write "home: east"`},
		{"diff", []string{addr, "diff", file(validTables + "  - name: draft\n    home: east\n")}, exitOK, "+ pool draft: home east"},
		{"diff without differences", []string{addr, "diff", good}, exitOK, "no difference to version 1"},
		{"tables", []string{addr, "tables"}, exitOK, "version: 1\nroutes:\n  - name: plan"},
		{"history", []string{addr, "history"}, exitOK, "VERSION"},
		{"routes", []string{addr, "routes"}, exitOK, "plan   timing  east"},
		{"misspelled route", []string{addr, "routes", "plam"}, exitFailed, `no route "plam"; type "oleanderchute routes plan"`},
		{"unknown route", []string{addr, "routes", "xyz"}, exitFailed, `"oleanderchute routes" lists those that exist`},
		{"misspelled pool", []string{addr, "pools", "timng"}, exitFailed, `type "oleanderchute pools timing"`},
		{"workers of a pool", []string{addr, "workers", "--pool=timing"}, exitOK, "w1"},
		{"workers of a misspelled pool", []string{addr, "workers", "--pool=timng"}, exitFailed, `type "oleanderchute workers --pool timing"`},
		{"problems without terminal control", []string{addr, "problems"}, exitOK, "warning unknown_kind \"pl\\x1b[2Jam\" (3 times since 1970-01-01T00:00:01Z)\n  m\n  nearest: plan\n  callers: ba?nk\n  remedy: send kind \"plan\""},
		{"status", []string{addr, "status"}, exitOK, "PARTITION"},
		{"explain", append([]string{addr, "explain"}, request...), exitOK, "memory_mb 4"},
		{"submit", append([]string{addr, "submit"}, request...), exitOK, "bank/k1"},
		{"submit a misspelled kind", []string{addr, "submit", "k1", "--caller=bank", "--kind=plam"}, exitFailed, "type \"--kind plan\"\n"},
		{"outcome", append([]string{addr, "outcome"}, request...), exitOK, "done"},
		{"cancel too late", append([]string{addr, "cancel"}, request...), exitFailed, "done"},
		{"drain", []string{addr, "drain"}, exitOK, "draining"},
		{"drain with two addresses and no VM", []string{addr, addr, "drain"}, exitUsage, `type "--vm NAME"`},
		{"version", []string{"version"}, exitOK, "oleanderchute"},
	} {
		t.Run(test.about, func(t *testing.T) {
			code, out, errOut := runCommand(test.args...)
			qt.Check(t, code, qt.Equals, test.code)
			qt.Check(t, out+errOut, qt.Contains, test.want)
			qt.Check(t, errOut == "" || code != exitOK, qt.IsTrue, qt.Commentf("%s", errOut))
		})
	}
}

// Guards against exit codes from which a script cannot tell the outcome of a request.
func TestOutcomeExitCodes(t *testing.T) {
	c := newStandinCluster(t)
	for state, want := range map[api.State][2]int{
		api.StateQueued: {exitOK, exitOK}, api.StateRunning: {exitOK, exitOK}, api.StateDone: {exitOK, exitFailed},
		api.StateFailed: {exitFailed, exitFailed}, api.StateNotRun: {exitFailed, exitOK}, api.StateUnknown: {exitUnknown, exitUnknown},
	} {
		c.status = api.RequestStatus{State: state, Answer: []byte("bond")}
		file := filepath.Join(t.TempDir(), "answer")
		outcome, _, _ := runCommand("--address", c.URL, "outcome", "k1", "--caller=bank", "--kind=plan", "--answer", file)
		cancel, _, _ := runCommand("--address", c.URL, "cancel", "k1", "--caller=bank", "--kind=plan")
		qt.Check(t, [2]int{outcome, cancel}, qt.Equals, want, qt.Commentf("%s", state))
		data, _ := os.ReadFile(file)
		qt.Check(t, string(data) == "bond", qt.Equals, state == api.StateDone)
	}
}

// Guards against a change of which the operator cannot find out, after its responses were
// lost, whether it took effect, and against a resend that counts as a second change.
func TestApplyAfterLostResponses(t *testing.T) {
	c := newStandinCluster(t)
	file := writeFile(t, validTables)
	c.responsesToLose = 1
	code, out, _ := runCommand("--address", c.URL, "apply", file)
	qt.Assert(t, code, qt.Equals, exitOK)
	qt.Assert(t, out, qt.Contains, "accepted: version 1 is in force")

	c.responsesToLose = 1000
	code, _, errOut := runCommand("--address", c.URL, "--timeout=300ms", "apply", file, "--base=1")
	qt.Assert(t, code, qt.Equals, exitUnknown)
	_, suggested, found := strings.Cut(errOut, `type "oleanderchute `)
	qt.Assert(t, found, qt.IsTrue, qt.Commentf("%s", errOut))
	c.mu.Lock()
	c.responsesToLose = 0
	c.mu.Unlock()
	resendArgs := strings.Fields(strings.TrimSuffix(strings.TrimSpace(suggested), `"`))
	code, out, errOut = runCommand(append([]string{"--address", c.URL}, resendArgs...)...)
	qt.Assert(t, code, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	qt.Assert(t, out, qt.Contains, "accepted: version 2 is in force")
	qt.Assert(t, c.state.Version(), qt.Equals, uint64(2))
}

// Guards against output that is not valid JSON and against errors without their code.
func TestJSONOutput(t *testing.T) {
	c := newStandinCluster(t)
	file := writeFile(t, validTables)
	runCommand("--address", c.URL, "apply", file)
	for _, args := range []string{"tables", "routes", "pools", "workers", "history", "problems", "status", "diff " + file, "check " + file, "drain", "explain k --caller=a --kind=plan", "version"} {
		code, out, errOut := runCommand(append([]string{"--address", c.URL, "--output=json"}, strings.Fields(args)...)...)
		qt.Check(t, code, qt.Equals, exitOK, qt.Commentf("%s: %s", args, errOut))
		qt.Check(t, json.Valid([]byte(out)), qt.IsTrue, qt.Commentf("%s: %s", args, out))
	}
	code, _, errOut := runCommand("--address", c.URL, "--output=json", "submit", "k", "--caller=a", "--kind=plam")
	var got errorOutput
	qt.Assert(t, json.Unmarshal([]byte(errOut), &got), qt.IsNil)
	qt.Assert(t, []any{code, got.ExitCode, got.Error.Code, got.Error.Nearest}, qt.DeepEquals, []any{1, 1, api.CodeNoRoute, "plan"})
}

// Guards against a command without an example in its help.
func TestHelpHasExamples(t *testing.T) {
	parser, err := kong.New(&CLI{})
	qt.Assert(t, err, qt.IsNil)
	for _, n := range parser.Model.Leaves(true) {
		code, out, _ := runCommand(n.Name, "--help")
		qt.Check(t, code, qt.Equals, exitOK)
		qt.Check(t, out, qt.Contains, "Example: oleanderchute", qt.Commentf("%s", n.Name))
	}
	_, out, _ := runCommand("--help")
	qt.Assert(t, out, qt.Contains, "Exit codes: 0 ok; 1 refused or failed; 2 usage; 3 no VM reachable or available;")
}
