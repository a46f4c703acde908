package bench

import "fmt"

// Row is one line of the table.
type Row struct {
	Policy          string
	Result          *Result
	Kept, KeptWorst string // "-" for a workload without a flood
}

// Compare runs the workload under every policy.
func Compare(seed uint64, w *Workload) []Row {
	var rows []Row
	calm := Policies(seed)
	for i, p := range Policies(seed) {
		row := Row{Policy: p.Name, Result: Run(p.Policy, w), Kept: "-", KeptWorst: "-"}
		if w.hasFlood() {
			without := w.Without()
			all, worst := Kept(row.Result, Run(calm[i].Policy, &without), w.OwedTeams)
			row.Kept, row.KeptWorst = fmt.Sprintf("%.1f%%", 100*all), fmt.Sprintf("%.1f%%", 100*worst)
		}
		rows = append(rows, row)
	}
	return rows
}
