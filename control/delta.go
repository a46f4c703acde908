package control

import (
	"cmp"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// Delta is the difference between two versions of the tables. PutRoutes and PutPools hold
// the entries that were added or changed; DropRoutes and DropPools hold the names of the
// entries that were removed. All lists are sorted by name.
type Delta struct {
	PutRoutes  []api.Route `json:"put_routes,omitempty" cbor:"1,keyasint,omitempty"`
	DropRoutes []string    `json:"drop_routes,omitempty" cbor:"2,keyasint,omitempty"`
	PutPools   []api.Pool  `json:"put_pools,omitempty" cbor:"3,keyasint,omitempty"`
	DropPools  []string    `json:"drop_pools,omitempty" cbor:"4,keyasint,omitempty"`
}

// IsEmpty reports whether the delta changes nothing.
func (d Delta) IsEmpty() bool { return d.routeCount()+d.poolCount() == 0 }

// routeCount returns the number of added, changed and removed routes.
func (d Delta) routeCount() int { return len(d.PutRoutes) + len(d.DropRoutes) }

// poolCount returns the number of added, changed and removed pools.
func (d Delta) poolCount() int { return len(d.PutPools) + len(d.DropPools) }

// Diff returns the delta that turns old into new. Names should be unique within each
// table; of entries with the same name only the last one is used.
func Diff(old, new api.Tables) Delta {
	old, new = NormalizeTables(old), NormalizeTables(new)
	var d Delta
	d.PutRoutes, d.DropRoutes = diffList(old.Routes, new.Routes, routeName, routeEqual)
	d.PutPools, d.DropPools = diffList(old.Pools, new.Pools, poolName, poolEqual)
	return d
}

// patch returns the tables that result from applying d to base, which must be normalized.
// The version stays that of base.
func (d Delta) patch(base api.Tables) api.Tables {
	return NormalizeTables(api.Tables{
		Version: base.Version,
		Routes:  patchList(base.Routes, d.PutRoutes, d.DropRoutes, routeName),
		Pools:   patchList(base.Pools, d.PutPools, d.DropPools, poolName),
	})
}

func routeName(r api.Route) string { return r.Name }
func poolName(p api.Pool) string   { return p.Name }

// diffList returns the entries of new that are missing in old or differ from it, and the
// names of the entries that only old has.
func diffList[T any](old, new []T, name func(T) string, equal func(a, b T) bool) (put []T, drop []string) {
	before, after := indexByName(old, name), indexByName(new, name)
	for n, v := range after {
		if o, ok := before[n]; !ok || !equal(o, v) {
			put = append(put, v)
		}
	}
	for n := range before {
		if _, ok := after[n]; !ok {
			drop = append(drop, n)
		}
	}
	slices.SortFunc(put, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	slices.Sort(drop)
	return put, drop
}

// patchList returns the entries of put, followed by the entries of base that neither put
// nor drop names.
func patchList[T any](base, put []T, drop []string, name func(T) string) []T {
	overridden := indexByName(put, name)
	for _, n := range drop {
		var zero T
		overridden[n] = zero
	}
	out := slices.Clone(put)
	for _, v := range base {
		if _, ok := overridden[name(v)]; !ok {
			out = append(out, v)
		}
	}
	return out
}

// indexByName returns a map from name to entry. Of entries with the same name it keeps the
// last.
func indexByName[T any](list []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, v := range list {
		out[name(v)] = v
	}
	return out
}

// hasUniqueNames reports whether route names and pool names are unique, which a Delta
// requires.
func hasUniqueNames(t api.Tables) bool {
	return len(indexByName(t.Routes, routeName)) == len(t.Routes) && len(indexByName(t.Pools, poolName)) == len(t.Pools)
}
