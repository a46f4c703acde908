package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/client"
)

// SLOCmd shows error budgets and burn rates.
type SLOCmd struct {
	HTML string `name:"html" type:"path" placeholder:"FILE" help:"Also write a page with plots to this file."`
}

// Help shows an example.
func (SLOCmd) Help() string {
	return `Example: oleanderchute slo --html burn.html
  BURN columns are multiples of the rate at which the budget of 30 days lasts 30 days; see docs/slo.md.`
}

// Run shows the report. Alerts do not change the exit code; scripts read them from the
// JSON output.
func (c *SLOCmd) Run(a *app) error {
	report, err := fetchOne(a, (*client.Client).SLO)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writeSLOPage(c.HTML, report); err != nil {
			return err
		}
	}
	return a.print(report, func() { a.slo(report, c.HTML) })
}

// writeSLOPage replaces the file by a page that shows the report.
func writeSLOPage(name string, report api.SLOReport) error {
	var page strings.Builder
	if err := sloPage(&page, report); err != nil {
		return err
	}
	return errors.WithStack(os.WriteFile(name, []byte(page.String()), 0o644))
}

// slo writes the report for people.
func (a *app) slo(r api.SLOReport, page string) {
	header := []string{"OBJECTIVE", "GOOD", "BAD", "BUDGET LEFT"}
	if len(r.Objectives) > 0 {
		for _, b := range r.Objectives[0].BurnRates {
			header = append(header, "BURN "+b.Window)
		}
	}
	header = append(header, "P99", "ALERTS")
	var rows [][]string
	for _, o := range r.Objectives {
		rows = append(rows, sloRow(o))
	}
	a.table(header, rows)
	for _, o := range r.Objectives {
		for _, alert := range o.Alerts {
			a.linef("%s alert for %s: %s", alert.Pair, o.Objective, alert.Message)
		}
	}
	if len(r.Missing) > 0 {
		a.linef("no data from: %s", strings.Join(r.Missing, ", "))
	}
	if page != "" {
		a.linef("page: %s", page)
	}
}

func sloRow(o api.SLOObjective) []string {
	row := []string{o.Objective, strconv.FormatUint(o.Good, 10), strconv.FormatUint(o.Bad, 10), percent(o.BudgetLeft)}
	for _, b := range o.BurnRates {
		row = append(row, fmt.Sprintf("%.2f", b.Rate))
	}
	p99 := ""
	if o.Distribution != nil {
		p99 = fmt.Sprintf("%d ms", o.Distribution.P99)
	}
	var alerts []string
	for _, alert := range o.Alerts {
		alerts = append(alerts, alert.Pair)
	}
	return append(row, p99, strings.Join(alerts, ", "))
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
