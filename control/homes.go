package control

import (
	"fmt"
	"maps"

	"github.com/oleanderchute/oleanderchute/api"
)

// homes remembers the home partition of every pool and of every kind (route name or
// alias) that was ever in force. A name that is dropped and added again keeps its home;
// otherwise two changes in a row could give the key of a resent request a second home,
// and the request could run twice.
type homes struct {
	Pools map[string]string `cbor:"1,keyasint"`
	Kinds map[string]string `cbor:"2,keyasint"`
}

func newHomes() homes {
	return homes{Pools: make(map[string]string), Kinds: make(map[string]string)}
}

// record adds the names of tables that have passed the checks.
func (h homes) record(t api.Tables) {
	pools := poolHomes(t)
	maps.Copy(h.Pools, pools)
	for _, r := range t.Routes {
		h.Kinds[r.Name] = pools[r.Pool]
		for _, a := range r.Aliases {
			h.Kinds[a] = pools[r.Pool]
		}
	}
}

// check returns an error problem for each name that would change its home.
func (h homes) check(t api.Tables) []api.Problem {
	var out []api.Problem
	pools := poolHomes(t)
	for _, p := range t.Pools {
		if was, ok := h.Pools[p.Name]; ok && was != p.Home {
			out = append(out, poolHomeProblem(p.Name, was, p.Home))
		}
	}
	for _, r := range t.Routes {
		home, ok := pools[r.Pool]
		if !ok {
			continue // reported as a route without pool
		}
		for _, kind := range append([]string{r.Name}, r.Aliases...) {
			if was, ok := h.Kinds[kind]; ok && was != home {
				out = append(out, kindHomeProblem(kind, r, was, home))
			}
		}
	}
	return out
}

func poolHomeProblem(pool, was, home string) api.Problem {
	return api.Problem{
		Kind: ProblemPoolHomeChanged, Severity: api.SeverityError, Subject: pool, Nearest: was,
		Message: fmt.Sprintf("pool %q has home %q, which never changes; the change says %q", pool, was, home),
		Remedy:  fmt.Sprintf("write \"home: %s\" for pool %q, or give the pool in %q a new name", was, pool, home),
	}
}

func kindHomeProblem(kind string, r api.Route, was, home string) api.Problem {
	return api.Problem{
		Kind: ProblemRouteHomeChanged, Severity: api.SeverityError, Subject: kind,
		Message: fmt.Sprintf("kind %q has home %q; pool %q of route %q has home %q, so a resent request could run twice",
			kind, was, r.Pool, r.Name, home),
		Remedy: fmt.Sprintf("choose a pool with home %q for kind %q, or add the route under a new name", was, kind),
	}
}
