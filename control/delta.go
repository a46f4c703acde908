package control

import (
	"cmp"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// Delta is the difference between two tables, by name. Put lists hold what is new or
// altered, Drop lists the names that are gone. All lists are sorted by name.
type Delta struct {
	PutRoutes  []api.Route `json:"put_routes,omitempty" cbor:"1,keyasint,omitempty"`
	DropRoutes []string    `json:"drop_routes,omitempty" cbor:"2,keyasint,omitempty"`
	PutPools   []api.Pool  `json:"put_pools,omitempty" cbor:"3,keyasint,omitempty"`
	DropPools  []string    `json:"drop_pools,omitempty" cbor:"4,keyasint,omitempty"`
}

// IsEmpty reports whether the two tables are equal.
func (d Delta) IsEmpty() bool { return d.routes()+d.pools() == 0 }

func (d Delta) routes() int { return len(d.PutRoutes) + len(d.DropRoutes) }
func (d Delta) pools() int  { return len(d.PutPools) + len(d.DropPools) }

// Diff returns what turns old into new. Names must be unique within each table; of
// duplicates the last one counts.
func Diff(old, new api.Tables) Delta {
	old, new = NormalizeTables(old), NormalizeTables(new)
	var d Delta
	d.PutRoutes, d.DropRoutes = diffList(old.Routes, new.Routes, routeName, routeEqual)
	d.PutPools, d.DropPools = diffList(old.Pools, new.Pools, poolName, poolEqual)
	return d
}

// patch returns base with d carried out. Base must be normalized.
func (d Delta) patch(base api.Tables) api.Tables {
	return NormalizeTables(api.Tables{
		Version: base.Version,
		Routes:  patchList(base.Routes, d.PutRoutes, d.DropRoutes, routeName),
		Pools:   patchList(base.Pools, d.PutPools, d.DropPools, poolName),
	})
}

func routeName(r api.Route) string { return r.Name }
func poolName(p api.Pool) string   { return p.Name }

func diffList[T any](old, new []T, name func(T) string, equal func(a, b T) bool) (put []T, drop []string) {
	before, after := byName(old, name), byName(new, name)
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

func patchList[T any](base, put []T, drop []string, name func(T) string) []T {
	replaced := byName(put, name)
	for _, n := range drop {
		var none T
		replaced[n] = none
	}
	out := slices.Clone(put)
	for _, v := range base {
		if _, ok := replaced[name(v)]; !ok {
			out = append(out, v)
		}
	}
	return out
}

func byName[T any](list []T, name func(T) string) map[string]T {
	out := make(map[string]T, len(list))
	for _, v := range list {
		out[name(v)] = v
	}
	return out
}

// hasUniqueNames reports whether a Delta can express the tables.
func hasUniqueNames(t api.Tables) bool {
	return len(byName(t.Routes, routeName)) == len(t.Routes) && len(byName(t.Pools, poolName)) == len(t.Pools)
}
