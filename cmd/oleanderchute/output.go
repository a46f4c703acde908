package main

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/oleanderchute/oleanderchute/api"
)

// print prints value as JSON, or calls printText if the output is for people.
func (a *app) print(value any, printText func()) error {
	if a.Output != "json" {
		printText()
		return nil
	}
	if v := reflect.ValueOf(value); v.Kind() == reflect.Slice && v.IsNil() {
		value = []any{} // scripts expect a list, not null
	}
	enc := json.NewEncoder(a.out)
	enc.SetIndent("", "  ")
	return enc.Encode(value)
}

// printTable prints a header and rows in aligned columns.
func (a *app) printTable(header []string, rows [][]string) {
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	writeRow(w, header)
	for _, row := range rows {
		writeRow(w, row)
	}
	_ = w.Flush()
}

func writeRow(w *tabwriter.Writer, cells []string) {
	printableCells := make([]string, len(cells))
	for i, cell := range cells {
		printableCells[i] = printable(cell)
		if cell == "" {
			printableCells[i] = "-"
		}
	}
	fmt.Fprintln(w, strings.Join(printableCells, "\t"))
}

// printable replaces characters that would break the layout or control the terminal. It is
// needed because names in the output come from callers.
func printable(s string) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsPrint(r) {
			return r
		}
		return '?'
	}, s)
}

// printLinef prints one line to the standard output.
func (a *app) printLinef(format string, args ...any) {
	fmt.Fprintln(a.out, printable(fmt.Sprintf(format, args...)))
}

func formatUnixMillis(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func formatResources(r api.Resources) string {
	s := fmt.Sprintf("%dm %dMB", r.MilliCPU, r.MemoryMB)
	if r.Accelerators != 0 {
		s += fmt.Sprintf(" %dacc", r.Accelerators)
	}
	return s
}

// printProblemList prints one block for each problem.
func (a *app) printProblemList(list []api.Problem) {
	for _, p := range list {
		seen := ""
		if p.Count > 0 {
			seen = fmt.Sprintf(" (%d times since %s)", p.Count, formatUnixMillis(p.FirstSeenUnixMillis))
		}
		a.printLinef("%s %s %q%s", p.Severity, p.Kind, p.Subject, seen)
		fmt.Fprintln(a.out, "  "+printable(p.Message))
		if p.Nearest != "" {
			fmt.Fprintln(a.out, "  nearest: "+printable(p.Nearest))
		}
		if len(p.Callers) > 0 {
			fmt.Fprintln(a.out, "  callers: "+printable(strings.Join(p.Callers, ", ")))
		}
		if p.Remedy != "" {
			fmt.Fprintln(a.out, "  remedy: "+printable(p.Remedy))
		}
	}
}
