package main

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/oleanderchute/oleanderchute/api"
)

//go:embed slo_page.html
var sloPageText string

var sloPageTemplate = template.Must(template.New("slo").Parse(sloPageText))

// sloPageData is what the template shows.
type sloPageData struct {
	Time, VMs, Missing string
	Objectives         []sloPageObjective
}

type sloPageObjective struct {
	api.SLOObjective
	// WholeRate is the burn rate over the budget's period.
	PeriodRate string
	Plots      []plot
}

// sloPage writes a self-contained HTML page: it refers to nothing outside itself. The
// page is also well-formed XML.
func sloPage(w io.Writer, r api.SLOReport) error {
	data := sloPageData{
		Time: unixMillis(r.UnixMillis), VMs: strings.Join(r.VMs, ", "), Missing: strings.Join(r.Missing, ", "),
	}
	for _, o := range r.Objectives {
		page := sloPageObjective{SLOObjective: o, PeriodRate: fmt.Sprintf("%.2f", 1-o.BudgetLeft)}
		page.Plots = append(page.Plots, budgetPlot(o.BudgetLeft),
			burnPlot("Burn rate, last 6 h in steps of 5 min", o.Recent, "15:04"),
			burnPlot("Burn rate, last 30 days in steps of 6 h", o.Long, "Jan 2"))
		if o.Distribution != nil {
			page.Plots = append(page.Plots, waitPlot(o.Distribution))
		}
		data.Objectives = append(data.Objectives, page)
	}
	return errors.WithStack(sloPageTemplate.Execute(w, data))
}

// sustainable is the burn rate at which the budget lasts exactly for its period.
const sustainable = 1

// burnPlot shows a history of burn rates. Steps over the sustainable rate are marked.
func burnPlot(title string, points []api.SLOPoint, format string) plot {
	p := newPlot(title, 460, 150)
	top := 1.25 * sustainable
	for _, x := range points {
		top = max(top, x.Rate)
	}
	for i, x := range points {
		at := time.UnixMilli(x.UnixMillis).UTC().Format("Jan 2 15:04")
		p.column(i, len(points), x.Rate/top, x.Rate > sustainable, fmt.Sprintf("%s: burn rate %.2f of %d samples", at, x.Rate, x.Samples))
	}
	p.limit(sustainable / top)
	p.scale(fmt.Sprintf("%.1f", top))
	if len(points) > 0 {
		first, last := points[0].UnixMillis, points[len(points)-1].UnixMillis
		p.ends(time.UnixMilli(first).UTC().Format(format), time.UnixMilli(last).UTC().Format(format)+" UTC")
	}
	return p
}

// waitPlot shows the distribution of waits; the bars double in width.
func waitPlot(w *api.SLODistribution) plot {
	p := newPlot(fmt.Sprintf("Values of 30 days: p50 %d ms, p99 %d ms, p99.9 %d ms, max %d ms", w.P50, w.P99, w.P999, w.Max), 460, 150)
	top := int64(1)
	for _, b := range w.Buckets {
		top = max(top, b.Count)
	}
	for i, b := range w.Buckets {
		p.column(i, len(w.Buckets), float64(b.Count)/float64(top), false, fmt.Sprintf("up to %d ms: %d", b.UpperBoundMillis, b.Count))
	}
	p.scale(fmt.Sprint(top))
	if n := len(w.Buckets); n > 0 {
		p.ends(fmt.Sprintf("%d ms", w.Buckets[0].UpperBoundMillis), fmt.Sprintf("%d ms", w.Buckets[n-1].UpperBoundMillis))
	}
	return p
}

// budgetPlot shows the unused share of the budget.
func budgetPlot(left float64) plot {
	p := newPlot("Budget left: "+percent(left), 460, 60)
	p.row(min(max(left, 0), 1), left <= 0.1)
	p.ends("0%", "100%")
	return p
}
