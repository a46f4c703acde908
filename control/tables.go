package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// CloneTables returns a deep copy of t.
func CloneTables(t api.Tables) api.Tables {
	out := api.Tables{Version: t.Version}
	for _, r := range t.Routes {
		out.Routes = append(out.Routes, cloneRoute(r))
	}
	for _, p := range t.Pools {
		out.Pools = append(out.Pools, clonePool(p))
	}
	return out
}

// NormalizeTables returns a copy of t in canonical form, which is the form that the state
// machine stores: routes, pools and aliases are sorted by name, and empty lists and maps
// are nil. Equivalent tables are deeply equal in this form.
func NormalizeTables(t api.Tables) api.Tables {
	out := CloneTables(t)
	for i := range out.Routes {
		slices.Sort(out.Routes[i].Aliases)
	}
	slices.SortStableFunc(out.Routes, func(a, b api.Route) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortStableFunc(out.Pools, func(a, b api.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func cloneRoute(r api.Route) api.Route {
	r.Aliases = append([]string(nil), r.Aliases...)
	return r
}

func clonePool(p api.Pool) api.Pool {
	p.Shares, p.Quotas = cloneMap(p.Shares), cloneMap(p.Quotas)
	return p
}

func cloneMap[V any](m map[string]V) map[string]V {
	if len(m) == 0 {
		return nil
	}
	return maps.Clone(m)
}

func routeEqual(a, b api.Route) bool {
	return a.Name == b.Name && a.Pool == b.Pool && a.Workload == b.Workload && a.Class == b.Class &&
		slices.Equal(a.Aliases, b.Aliases)
}

func poolEqual(a, b api.Pool) bool {
	return a.Name == b.Name && a.Home == b.Home && maps.Equal(a.Shares, b.Shares) && maps.Equal(a.Quotas, b.Quotas)
}

// homesByPool returns the home partition of each pool by pool name.
func homesByPool(t api.Tables) map[string]string {
	out := make(map[string]string, len(t.Pools))
	for _, p := range t.Pools {
		out[p.Name] = p.Home
	}
	return out
}
