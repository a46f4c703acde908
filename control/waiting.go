package control

import (
	"cmp"
	"fmt"

	"github.com/oleanderchute/oleanderchute/api"
)

// CheckWaiting returns a warning for each kind of accepted requests that have not started and that no route of the
// tables serves. Such requests stay in the queue of the pool where they are.
func CheckWaiting(t api.Tables, waiting []api.WaitingRequests) []api.Problem {
	r := NewResolver(t, nil)
	type group struct{ kind, pool string }
	counts := map[group]int{}
	var order []group
	for _, w := range waiting {
		if w.Kind != "" && r.serves(w.Kind) || r.serves(w.Route) {
			continue
		}
		g := group{cmp.Or(w.Kind, w.Route), w.Pool}
		if counts[g] == 0 {
			order = append(order, g)
		}
		counts[g] += w.Count
	}
	var problems []api.Problem
	for _, g := range order {
		problems = append(problems, newWaitingWithoutRouteProblem(r, g.kind, g.pool, counts[g]))
	}
	sortProblems(problems)
	return problems
}

func newWaitingWithoutRouteProblem(r *Resolver, kind, pool string, count int) api.Problem {
	message := fmt.Sprintf("no route serves kind %q, and accepted requests of it wait for pool %q: %d", kind, pool, count)
	if _, ok := r.Pool(pool); !ok {
		message += ", which the tables do not have"
	}
	near := r.NearestRoute(kind)
	target := "the route that should run them"
	if near != "" {
		target = fmt.Sprintf("route %q", near)
	}
	return newWarningProblem(ProblemWaitingWithoutRoute, kind, near, message,
		fmt.Sprintf("write \"aliases: [%s]\" in %s, or the callers cancel them", kind, target))
}
