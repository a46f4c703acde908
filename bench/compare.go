package bench

// Row is one line of the table.
type Row struct {
	Policy        string
	Result        *Result
	RetainedShare *RetainedShare // nil for a workload without a flood
}

// Compare runs the workload under every policy.
func Compare(seed uint64, w *Workload) []Row {
	var rows []Row
	calm := Policies(seed)
	for i, p := range Policies(seed) {
		row := Row{Policy: p.Name, Result: Run(p.Policy, w)}
		if class := w.floodClass(); class != "" {
			without := w.WithoutFlood()
			kept := MeasureRetainedShare(row.Result, Run(calm[i].Policy, &without), class, w.Teams)
			row.RetainedShare = &kept
		}
		rows = append(rows, row)
	}
	return rows
}
