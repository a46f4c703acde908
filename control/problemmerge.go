package control

import (
	"maps"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// MergeProblems merges the problem lists of several VMs, each as returned by
// ProblemLog.List. The result has one entry per problem, with the earliest time at which
// it was first seen, the sum of the counts and the union of the callers, of which it keeps
// at most maxCallersPerUnknownKind. It is sorted newest first.
func MergeProblems(lists ...[]api.Problem) []api.Problem {
	merged := make(map[problemKey]api.Problem)
	for _, list := range lists {
		seen := make(map[problemKey]int)
		for _, p := range cloneProblems(list) {
			key := problemKey{kind: p.Kind, subject: p.Subject}
			seen[key]++
			key.ordinal = seen[key] - 1
			if first, ok := merged[key]; ok {
				p = mergeDuplicates(first, p)
			}
			merged[key] = p
		}
	}
	out := slices.Collect(maps.Values(merged))
	sortNewestFirst(out)
	return out
}

// mergeDuplicates merges two reports of the same problem. It keeps the texts of the report
// with the higher count.
func mergeDuplicates(a, b api.Problem) api.Problem {
	if b.Count > a.Count {
		a, b = b, a
	}
	a.Count += b.Count
	a.FirstSeenUnixMillis = earlierTime(a.FirstSeenUnixMillis, b.FirstSeenUnixMillis)
	callers := append(a.Callers, b.Callers...)
	slices.Sort(callers)
	callers = slices.Compact(callers)
	a.Callers = callers[:min(len(callers), maxCallersPerUnknownKind)]
	return a
}

// earlierTime returns the earlier of two times, of which 0 is unknown.
func earlierTime(a, b int64) int64 {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
