package control

import (
	"fmt"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// Resolver answers which route and pool serve a kind. Its answers never change, and it
// is safe for concurrent use. The routes and pools it returns are shared and must not be changed.
type Resolver struct {
	tables api.Tables
	routes map[string]int // by name
	alias  map[string]int // route by alias
	pools  map[string]int // by name
	kinds  *nameIndex     // names and aliases
	pool   *nameIndex
	near   nearCache
}

// NewResolver returns a resolver for tables that nobody changes afterwards.
func NewResolver(t api.Tables) *Resolver {
	r := &Resolver{tables: t, routes: make(map[string]int), alias: make(map[string]int), pools: make(map[string]int)}
	var kinds, pools []string
	for i, route := range t.Routes {
		r.routes[route.Name] = i
		kinds = append(kinds, route.Name)
		for _, a := range route.Aliases {
			r.alias[a] = i
			kinds = append(kinds, a)
		}
	}
	for i, p := range t.Pools {
		r.pools[p.Name] = i
		pools = append(pools, p.Name)
	}
	slices.Sort(pools)
	r.kinds, r.pool = newNameIndex(kinds), newNameIndex(pools)
	return r
}

// Version returns the version of the tables that the resolver answers from.
func (r *Resolver) Version() uint64 { return r.tables.Version }

// Resolve returns the route and pool that serve kind: the route of that exact name, or
// else the one with that alias. It never guesses; the error has CodeNoRoute and names
// the nearest route.
func (r *Resolver) Resolve(kind string) (api.Route, api.Pool, *api.Error) {
	i, ok := r.routes[kind]
	if !ok {
		i, ok = r.alias[kind]
	}
	if !ok {
		return api.Route{}, api.Pool{}, r.noRoute(kind)
	}
	route := r.tables.Routes[i]
	pool, ok := r.Pool(route.Pool)
	if !ok {
		return api.Route{}, api.Pool{}, api.Errorf(api.CodeNoRoute, "route %q names pool %q, which does not exist", route.Name, route.Pool)
	}
	return route, pool, nil
}

// serves reports whether a route has kind as its name or alias.
func (r *Resolver) serves(kind string) bool {
	_, name := r.routes[kind]
	_, alias := r.alias[kind]
	return name || alias
}

func (r *Resolver) noRoute(kind string) *api.Error {
	shown := truncate(kind, maxNameBytes)
	err := api.Errorf(api.CodeNoRoute, "no route serves kind %q; \"oleanderchute routes\" lists those that exist", shown)
	// NotRun stays false: the key may have run while a route served the kind, and only its
	// owner knows.
	err.Field = "kind"
	if near := r.NearestRoute(kind); near != "" {
		err.Nearest = near
		err.Message = fmt.Sprintf("no route serves kind %q; send kind %q, or an operator adds \"aliases: [%s]\" to that route", shown, near, shown)
	}
	return err
}

// NearestRoute returns the name of the route that kind is probably meant for, or "".
func (r *Resolver) NearestRoute(kind string) string {
	near := r.near.get(kind, r.kinds.nearest)
	if i, ok := r.alias[near]; ok {
		return r.tables.Routes[i].Name
	}
	return near
}

// Pool returns the pool of that name.
func (r *Resolver) Pool(name string) (api.Pool, bool) {
	i, ok := r.pools[name]
	if !ok {
		return api.Pool{}, false
	}
	return r.tables.Pools[i], true
}

// NearestPool returns the name of the pool that name is probably meant for, or "".
func (r *Resolver) NearestPool(name string) string { return r.pool.nearest(name) }

// Resolve is Resolver.Resolve for the tables in force.
func (s *State) Resolve(kind string) (api.Route, api.Pool, *api.Error) {
	return s.resolver.Resolve(kind)
}

// Resolver returns the resolver for the tables in force. It does not follow later
// changes; take a new one after each Apply.
func (s *State) Resolver() *Resolver { return s.resolver }
