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
	policiesWithoutFlood := Policies(seed)
	for i, p := range Policies(seed) {
		row := Row{Policy: p.Name, Result: Run(p.Policy, w)}
		if class := w.floodClass(); class != "" {
			withoutFlood := w.WithoutFlood()
			retained := MeasureRetainedShare(row.Result, Run(policiesWithoutFlood[i].Policy, &withoutFlood), class, w.Teams)
			row.RetainedShare = &retained
		}
		rows = append(rows, row)
	}
	return rows
}
