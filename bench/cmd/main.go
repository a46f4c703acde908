// Command cmd prints the measurement of the placement policies as a table.
package main

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/olekukonko/tablewriter"

	"github.com/oleanderchute/oleanderchute/bench"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the workloads and policies")
	only := flag.String("only", "", "run the workloads whose name contains this")
	flag.Parse()
	for _, w := range bench.Workloads(*seed) {
		if strings.Contains(w.Name, *only) {
			measure(*seed, &w)
		}
	}
}

// measure prints the table of one workload.
func measure(seed uint64, w *bench.Workload) {
	fmt.Printf("\n%s (%d workers, %d requests, seed %d)\n", w.Name, len(w.Workers), len(w.Arrivals), seed)
	table := tablewriter.NewWriter(os.Stdout)
	table.SetAutoFormatHeaders(false)
	table.SetHeader([]string{"policy", "median wait", "p99 wait", "urgent p99", "kept", "worst team", "own classes", "packed", "overused", "refused", "expired", "of others", "failed", "decisions/s", "p99 decision"})
	for _, row := range bench.Compare(seed, w) {
		r := row.Result
		table.Append([]string{
			row.Policy, milliseconds(r.MedianWait), milliseconds(r.P99Wait), milliseconds(r.UrgentP99),
			kept(row.RetainedShare, 0), kept(row.RetainedShare, 1), kept(row.RetainedShare, 2), fmt.Sprintf("%.1f%%", 100*r.Utilization), fmt.Sprintf("%.1f%%", 100*r.Overuse), fmt.Sprint(r.Refused), fmt.Sprint(r.Expired),
			fmt.Sprint(r.RefusedOtherTeams), fmt.Sprint(r.Failed), fmt.Sprintf("%.0f", r.DecisionsPerSecond), r.P99Decision.Round(time.Microsecond).String(),
		})
	}
	table.Render()
}

func milliseconds(d time.Duration) string { return d.Round(time.Millisecond).String() }

// kept returns one figure of k as a percentage.
func kept(k *bench.RetainedShare, figure int) string {
	if k == nil {
		return "-"
	}
	return fmt.Sprintf("%.1f%%", 100*[...]float64{k.OtherTeams, k.WorstTeam, k.OtherClasses}[figure])
}
