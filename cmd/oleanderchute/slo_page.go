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

// sloPageData is the data of the template.
type sloPageData struct {
	Time, VMs, Missing string
	Objectives         []sloPageObjective
}

type sloPageObjective struct {
	api.SLOObjective
	// PeriodRate is the burn rate over the budget period of 30 days.
	PeriodRate string
	Plots      []plot
}

// writeSLOPage writes the report as a self-contained HTML page that loads no other
// resources. The page is also well-formed XML.
func writeSLOPage(w io.Writer, r api.SLOReport) error {
	data := sloPageData{
		Time: formatUnixMillis(r.UnixMillis), VMs: strings.Join(r.VMs, ", "), Missing: strings.Join(r.Missing, ", "),
	}
	for _, o := range r.Objectives {
		page := sloPageObjective{SLOObjective: o, PeriodRate: fmt.Sprintf("%.2f", 1-o.BudgetLeft)}
		page.Plots = append(page.Plots, budgetPlot(o.BudgetLeft),
			burnRatePlot("Burn rate, last 6 h in steps of 5 min", o.Recent, "15:04"),
			burnRatePlot("Burn rate, last 30 days in steps of 6 h", o.Long, "Jan 2"))
		if o.Distribution != nil {
			page.Plots = append(page.Plots, distributionPlot(o.Distribution))
		}
		data.Objectives = append(data.Objectives, page)
	}
	return errors.WithStack(sloPageTemplate.Execute(w, data))
}

// sustainableRate is the burn rate at which the budget lasts exactly for its period.
const sustainableRate = 1

// burnRatePlot plots a history of burn rates and highlights steps above the sustainable rate.
func burnRatePlot(title string, points []api.SLOPoint, timeLayout string) plot {
	p := newPlot(title, 460, 150)
	maxRate := 1.25 * sustainableRate
	for _, point := range points {
		maxRate = max(maxRate, point.Rate)
	}
	for i, point := range points {
		at := time.UnixMilli(point.UnixMillis).UTC().Format("Jan 2 15:04")
		p.addColumn(i, len(points), point.Rate/maxRate, point.Rate > sustainableRate, fmt.Sprintf("%s: burn rate %.2f of %d samples", at, point.Rate, point.Samples))
	}
	p.addLimitLine(sustainableRate / maxRate)
	p.addVerticalLabels(fmt.Sprintf("%.1f", maxRate))
	if len(points) > 0 {
		first, last := points[0].UnixMillis, points[len(points)-1].UnixMillis
		p.addHorizontalLabels(time.UnixMilli(first).UTC().Format(timeLayout), time.UnixMilli(last).UTC().Format(timeLayout)+" UTC")
	}
	return p
}

// distributionPlot plots the distribution of values. The range of each bar is twice that of
// the previous bar.
func distributionPlot(d *api.SLODistribution) plot {
	p := newPlot(fmt.Sprintf("Values of 30 days: p50 %d ms, p99 %d ms, p99.9 %d ms, max %d ms", d.P50, d.P99, d.P999, d.Max), 460, 150)
	maxCount := int64(1)
	for _, b := range d.Buckets {
		maxCount = max(maxCount, b.Count)
	}
	for i, b := range d.Buckets {
		p.addColumn(i, len(d.Buckets), float64(b.Count)/float64(maxCount), false, fmt.Sprintf("up to %d ms: %d", b.UpperBoundMillis, b.Count))
	}
	p.addVerticalLabels(fmt.Sprint(maxCount))
	if n := len(d.Buckets); n > 0 {
		p.addHorizontalLabels(fmt.Sprintf("%d ms", d.Buckets[0].UpperBoundMillis), fmt.Sprintf("%d ms", d.Buckets[n-1].UpperBoundMillis))
	}
	return p
}

// budgetPlot plots the unused fraction of the budget.
func budgetPlot(left float64) plot {
	p := newPlot("Budget left: "+formatPercent(left), 460, 60)
	p.addHorizontalBar(min(max(left, 0), 1), left <= 0.1)
	p.addHorizontalLabels("0%", "100%")
	return p
}
