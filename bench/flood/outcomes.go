package main

import (
	"fmt"
	"sort"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/standin"
)

// checkOutcomes compares the outcomes that the callers know with the journals of the workers,
// prints the counts of both and returns the contradictions, the violations that the journals
// show and the number of requests without an outcome, if any.
func (b *testbed) checkOutcomes(phases []phase) ([]string, error) {
	starts, err := b.startsByKey()
	if err != nil {
		return nil, err
	}
	violations, err := standin.CheckJournals(nil, b.journals...)
	if err != nil {
		return nil, err
	}
	counts, reasons := map[string]int{}, map[string]int{}
	submitted := 0
	var failures []string
	for _, p := range phases {
		for _, r := range p.results {
			submitted++
			outcome := r.outcome()
			counts[outcome]++
			if r.err != nil {
				reasons[r.reason()]++
			}
			if contradiction := findContradiction(outcome, starts[r.key]); contradiction != "" {
				failures = append(failures, fmt.Sprintf("%s: %s", r.key, contradiction))
			}
		}
	}
	fmt.Printf("submitted %d = done %d + failed %d + not_run %d + unknown %d + refused %d; pending %d; keys started %d, more than once %d\n", submitted,
		counts["done"], counts["failed"], counts["not_run"], counts["unknown"], counts["refused"], counts["pending"], len(starts), countRepeated(starts))
	printReasons(reasons)
	for _, v := range violations {
		failures = append(failures, v.String())
	}
	if counts["pending"] > 0 {
		failures = append(failures, fmt.Sprintf("%d requests had no outcome at the end", counts["pending"]))
	}
	return failures, nil
}

// countRepeated counts the keys with more than one start. All work here is idempotent, so
// another start after the loss of a worker is allowed. CheckJournals finds runs that overlap.
func countRepeated(starts map[api.RequestKey]int) int {
	n := 0
	for _, k := range starts {
		if k > 1 {
			n++
		}
	}
	return n
}

// startsByKey counts the starts in the journals of all workers.
func (b *testbed) startsByKey() (map[api.RequestKey]int, error) {
	starts := map[api.RequestKey]int{}
	for _, path := range b.journals {
		events, err := standin.ReadJournal(path)
		if err != nil {
			return nil, err
		}
		for _, e := range events {
			if e.Kind == standin.EventStart {
				starts[e.Task().RequestKey]++
			}
		}
	}
	return starts, nil
}

// outcome returns the outcome that the caller knows: a state, "refused" or "pending".
func (r *result) outcome() string {
	switch {
	case isRefused(r.err):
		return "refused"
	case r.err != nil:
		return string(api.StateUnknown)
	case r.status.State.IsOutcome():
		return string(r.status.State)
	default:
		return "pending"
	}
}

// maxReasonLength is the length in bytes to which reasons are cut. Messages that differ only in
// figures after it are counted together.
const maxReasonLength = 60

// reason describes the error of a request.
func (r *result) reason() string {
	text := fmt.Sprintf("%s, not_run=%t: %s", r.err.Code, r.err.NotRun, r.err.Message)
	return text[:min(len(text), maxReasonLength)]
}

// printReasons prints the 12 most frequent reasons.
func printReasons(reasons map[string]int) {
	var lines []string
	for reason, n := range reasons {
		lines = append(lines, fmt.Sprintf("  %7d %s", n, reason))
	}
	sort.Sort(sort.Reverse(sort.StringSlice(lines)))
	for _, line := range lines[:min(len(lines), 12)] {
		fmt.Println(line)
	}
}

// findContradiction compares the outcome that a caller knows with the number of starts of its
// key. It returns "" if they agree.
func findContradiction(outcome string, starts int) string {
	switch {
	case outcome == string(api.StateDone) && starts == 0:
		return "done, but never started"
	case (outcome == string(api.StateNotRun) || outcome == "refused") && starts > 0:
		return fmt.Sprintf("%s, but started %d times", outcome, starts)
	}
	return ""
}
