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

// Help returns the detailed help of the command.
func (SLOCmd) Help() string {
	return `Example: oleanderchute slo --html burn.html
  BURN columns are multiples of the rate at which the budget of 30 days lasts 30 days; see docs/slo.md.`
}

// Run prints the report. Alerts do not change the exit code; scripts read them from the
// JSON output.
func (c *SLOCmd) Run(a *app) error {
	report, err := callCluster(a, (*client.Client).SLO)
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writeSLOPageFile(c.HTML, report); err != nil {
			return err
		}
	}
	return a.print(report, func() { a.printSLOReport(report, c.HTML) })
}

// writeSLOPageFile writes the HTML page of the report to a file and replaces an existing one.
func writeSLOPageFile(name string, report api.SLOReport) error {
	var page strings.Builder
	if err := writeSLOPage(&page, report); err != nil {
		return err
	}
	return errors.WithStack(os.WriteFile(name, []byte(page.String()), 0o644))
}

// printSLOReport prints the report for people. pageFile is the HTML page that was written,
// if any.
func (a *app) printSLOReport(r api.SLOReport, pageFile string) {
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
	a.printTable(header, rows)
	for _, o := range r.Objectives {
		for _, alert := range o.Alerts {
			a.printLinef("%s alert for %s: %s", alert.Pair, o.Objective, alert.Message)
		}
	}
	if len(r.Missing) > 0 {
		a.printLinef("no data from: %s", strings.Join(r.Missing, ", "))
	}
	if pageFile != "" {
		a.printLinef("page: %s", pageFile)
	}
}

func sloRow(o api.SLOObjective) []string {
	row := []string{o.Objective, strconv.FormatUint(o.Good, 10), strconv.FormatUint(o.Bad, 10), formatPercent(o.BudgetLeft)}
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

func formatPercent(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) }
