package bench

// Row is the measurements of one policy in a comparison.
type Row struct {
	Policy        string
	Result        *Result
	RetainedShare *RetainedShare // nil for a workload without a flood
}

// Compare runs the workload under every policy. For a workload with a flood it also runs each
// policy without the flood, to measure the share that other work retains.
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
