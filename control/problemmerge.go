package control

import (
	"maps"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// MergeProblems joins the lists of several VMs: one entry for each problem, with the
// earliest time, the sum of the counts and all callers.
func MergeProblems(lists ...[]api.Problem) []api.Problem {
	merged := make(map[problemKey]api.Problem)
	for _, list := range lists {
		seen := make(map[problemKey]int)
		for _, p := range cloneProblems(list) {
			key := problemKey{kind: p.Kind, subject: p.Subject}
			seen[key]++
			key.ordinal = seen[key] - 1
			if first, ok := merged[key]; ok {
				p = joinProblems(first, p)
			}
			merged[key] = p
		}
	}
	out := slices.Collect(maps.Values(merged))
	sortNewestFirst(out)
	return out
}

// joinProblems keeps the text of the VM that has seen the problem more often.
func joinProblems(a, b api.Problem) api.Problem {
	if b.Count > a.Count {
		a, b = b, a
	}
	a.Count += b.Count
	a.FirstSeenUnixMillis = min(a.FirstSeenUnixMillis, b.FirstSeenUnixMillis)
	callers := append(a.Callers, b.Callers...)
	slices.Sort(callers)
	callers = slices.Compact(callers)
	a.Callers = callers[:min(len(callers), maxProblemCallers)]
	return a
}
