package main

import (
	"encoding/json"
	"encoding/xml"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/slo"
)

// sampleReport returns a report with an outage in the last hour and a kind that needs
// escaping.
func sampleReport(t *testing.T) api.SLOReport {
	objectives, err := slo.ParseAll([]string{"wait:<script>alert(1)</script>:urgent:2.2s:99.9", "answer:*:*:99.9"})
	qt.Assert(t, err, qt.IsNil)
	set := slo.NewSet(objectives)
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for i := range 3000 {
		at := now.Add(-time.Duration(i) * 5 * time.Minute)
		set.Record(at, slo.Sample{Indicator: slo.Wait, Kind: objectives[0].Kind, Class: api.ClassUrgent, Value: time.Duration(i%400) * 5 * time.Millisecond})
		set.Record(at, slo.Sample{Indicator: slo.Answer, Bad: i < 12})
	}
	report := set.Report(now)
	report.VMs, report.Missing = []string{"vm1"}, []string{"vm2"}
	return report
}

// Guards against output that omits an alert, a VM without data or the path of the page.
func TestSLOCommand(t *testing.T) {
	report := sampleReport(t)
	web := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, r.URL.Path, qt.Equals, "/v1/slo")
		_ = json.NewEncoder(w).Encode(report)
	}))
	defer web.Close()
	file := filepath.Join(t.TempDir(), "burn.html")
	exit, out, errOut := runCommand("--address", web.URL, "slo", "--html", file)
	qt.Assert(t, exit, qt.Equals, exitOK, qt.Commentf("%s", errOut))
	for _, want := range []string{"BURN 5m", "answer:*:*:99.9", "fast alert for answer:*:*:99.9", "no data from: vm2", "page: " + file} {
		qt.Check(t, out, qt.Contains, want)
	}
	page, err := os.ReadFile(file)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, string(page), qt.Contains, "<svg")

	exit, out, _ = runCommand("--address", web.URL, "--output=json", "slo")
	qt.Assert(t, exit, qt.Equals, exitOK)
	var got api.SLOReport
	qt.Assert(t, json.Unmarshal([]byte(out), &got), qt.IsNil)
	qt.Assert(t, got, qt.DeepEquals, report)
}

// Guards against a page that browsers cannot render, that loads other resources, or that
// runs a script contained in a name.
func TestSLOPageIsWellFormedAndSelfContained(t *testing.T) {
	var page strings.Builder
	qt.Assert(t, writeSLOPage(&page, sampleReport(t)), qt.IsNil)
	for _, bad := range []string{"://", "<script", "<link", "url(", "src=", "href=", "NaN", "Inf", "ZgotmplZ"} {
		qt.Check(t, strings.Contains(page.String(), bad), qt.IsFalse, qt.Commentf("%s", bad))
	}
	names := map[string]int{}
	dec := xml.NewDecoder(strings.NewReader(page.String()))
	for {
		token, err := dec.Token()
		if err == io.EOF {
			break
		}
		qt.Assert(t, err, qt.IsNil)
		if e, ok := token.(xml.StartElement); ok {
			names[e.Name.Local]++
			checkAttributeRange(t, e)
		}
	}
	qt.Check(t, names["svg"], qt.Equals, 7) // four plots with waits and three without
	qt.Check(t, names["rect"] > 2*(72+120), qt.IsTrue)
}

// checkAttributeRange checks that coordinates and lengths are numbers from 0 to the width of
// a plot.
func checkAttributeRange(t *testing.T, e xml.StartElement) {
	for _, a := range e.Attr {
		switch a.Name.Local {
		case "x", "y", "width", "height", "x1", "x2", "y1", "y2":
			v, err := strconv.ParseFloat(a.Value, 64)
			qt.Check(t, err == nil && v >= 0 && v <= 460, qt.IsTrue, qt.Commentf("%s %s=%q", e.Name.Local, a.Name.Local, a.Value))
		}
	}
}

// Guards against a settings page that differs from the flags.
func TestSettingsPage(t *testing.T) {
	var cli CLI
	parser, err := kong.New(&cli)
	qt.Assert(t, err, qt.IsNil)
	page, err := os.ReadFile("../../docs/settings.md")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(page), qt.Equals, settingsPage(parser.Model),
		qt.Commentf("docs/settings.md differs from the flags of serve; run \"go generate ./cmd/oleanderchute\""))
}

// Guards against a default of the flag --slo that differs from the objectives of a daemon
// that starts without the flag, as dev does.
func TestDefaultObjectives(t *testing.T) {
	var cli CLI
	parser, err := kong.New(&cli)
	qt.Assert(t, err, qt.IsNil)
	_, err = parser.Parse([]string{"serve", "--vm=a", "--region=r", "--failure-domain=f"})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, cli.Serve.SLO, qt.DeepEquals, slo.Defaults())
}
