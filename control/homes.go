package control

import (
	"fmt"
	"maps"

	"github.com/oleanderchute/oleanderchute/api"
)

// homes records the home partition of every pool and of every kind (route name or alias)
// that was ever in force. A name that is removed and added again must keep its home.
// Otherwise two successive changes could move the key of a resent request to a second
// home, and the request could run twice.
type homes struct {
	Pools map[string]string `cbor:"1,keyasint"`
	Kinds map[string]string `cbor:"2,keyasint"`
}

func newHomes() homes {
	return homes{Pools: make(map[string]string), Kinds: make(map[string]string)}
}

// recordTables records the homes of all names in tables that have passed Check.
func (h homes) recordTables(t api.Tables) {
	pools := homesByPool(t)
	maps.Copy(h.Pools, pools)
	for _, r := range t.Routes {
		h.Kinds[r.Name] = pools[r.Pool]
		for _, a := range r.Aliases {
			h.Kinds[a] = pools[r.Pool]
		}
	}
}

// findChanges returns a problem of severity error for each name in t whose home differs
// from the recorded one.
func (h homes) findChanges(t api.Tables) []api.Problem {
	var out []api.Problem
	pools := homesByPool(t)
	for _, p := range t.Pools {
		if recorded, ok := h.Pools[p.Name]; ok && recorded != p.Home {
			out = append(out, poolHomeChangedProblem(p.Name, recorded, p.Home))
		}
	}
	for _, r := range t.Routes {
		home, ok := pools[r.Pool]
		if !ok {
			continue // reported as ProblemRouteWithoutPool
		}
		for _, kind := range append([]string{r.Name}, r.Aliases...) {
			if recorded, ok := h.Kinds[kind]; ok && recorded != home {
				out = append(out, kindHomeChangedProblem(kind, r, recorded, home))
			}
		}
	}
	return out
}

func poolHomeChangedProblem(pool, recorded, home string) api.Problem {
	return api.Problem{
		Kind: ProblemPoolHomeChanged, Severity: api.SeverityError, Subject: pool, Nearest: recorded,
		Message: fmt.Sprintf("pool %q has home %q, which never changes; the change says %q", pool, recorded, home),
		Remedy:  fmt.Sprintf("write \"home: %s\" for pool %q, or give the pool in %q a new name", recorded, pool, home),
	}
}

func kindHomeChangedProblem(kind string, r api.Route, recorded, home string) api.Problem {
	return api.Problem{
		Kind: ProblemRouteHomeChanged, Severity: api.SeverityError, Subject: kind,
		Message: fmt.Sprintf("kind %q has home %q; pool %q of route %q has home %q, so a resent request could run twice",
			kind, recorded, r.Pool, r.Name, home),
		Remedy: fmt.Sprintf("choose a pool with home %q for kind %q, or add the route under a new name", recorded, kind),
	}
}
