package control

import (
	"fmt"
	"maps"
	"slices"

	"github.com/oleanderchute/oleanderchute/api"
)

// Resolver finds the route and pool that serve a kind, for one version of the tables. Its
// results never change, and it is safe for concurrent use. The routes and pools that it
// returns are shared and must not be modified.
type Resolver struct {
	tables        api.Tables
	routesByName  map[string]int // index into tables.Routes
	routesByAlias map[string]int // index into tables.Routes
	poolsByName   map[string]int // index into tables.Pools
	kindNames     *nameIndex     // route names and aliases
	poolNames     *nameIndex
	nearestKinds  nearestCache
	homesByKind   map[string]string // also of kinds that only earlier tables served
}

// NewResolver returns a resolver for t, which must not be modified afterwards. homesByKind has the
// home of each kind that these or earlier tables serve.
func NewResolver(t api.Tables, homesByKind map[string]string) *Resolver {
	r := &Resolver{tables: t, homesByKind: maps.Clone(homesByKind), routesByName: make(map[string]int), routesByAlias: make(map[string]int), poolsByName: make(map[string]int)}
	var kinds, pools []string
	for i, route := range t.Routes {
		r.routesByName[route.Name] = i
		kinds = append(kinds, route.Name)
		for _, a := range route.Aliases {
			r.routesByAlias[a] = i
			kinds = append(kinds, a)
		}
	}
	for i, p := range t.Pools {
		r.poolsByName[p.Name] = i
		pools = append(pools, p.Name)
	}
	slices.Sort(pools)
	r.kindNames, r.poolNames = newNameIndex(kinds), newNameIndex(pools)
	return r
}

// Version returns the version of the tables that the resolver uses.
func (r *Resolver) Version() uint64 { return r.tables.Version }

// Resolve returns the route and pool that serve kind: the route with exactly that name or
// else the one with that alias. It never returns a route that is only similar. If no
// route matches, the error has CodeNoRoute and suggests the nearest route.
func (r *Resolver) Resolve(kind string) (api.Route, api.Pool, *api.Error) {
	i, ok := r.routesByName[kind]
	if !ok {
		i, ok = r.routesByAlias[kind]
	}
	if !ok {
		return api.Route{}, api.Pool{}, r.noRouteError(kind)
	}
	route := r.tables.Routes[i]
	pool, ok := r.Pool(route.Pool)
	if !ok {
		return api.Route{}, api.Pool{}, api.Errorf(api.CodeNoRoute, "route %q names pool %q, which does not exist", route.Name, route.Pool)
	}
	return route, pool, nil
}

// Home returns the home partition of a kind that a route serves or once served, since requests that were
// accepted under a kind stay there.
func (r *Resolver) Home(kind string) (string, *api.Error) {
	_, pool, err := r.Resolve(kind)
	if err == nil {
		return pool.Home, nil
	}
	if home, ok := r.homesByKind[kind]; ok {
		return home, nil
	}
	return "", err
}

// serves reports whether a route has kind as its name or alias.
func (r *Resolver) serves(kind string) bool {
	_, isName := r.routesByName[kind]
	_, isAlias := r.routesByAlias[kind]
	return isName || isAlias
}

// noRouteError returns the error for a kind that no route serves.
func (r *Resolver) noRouteError(kind string) *api.Error {
	shown := truncate(kind, maxNameBytes)
	err := api.Errorf(api.CodeNoRoute, "no route serves kind %q; \"oleanderchute routes\" lists those that exist", shown)
	// NotRun stays false: the request may have run earlier, while a route served the kind,
	// and only the owner of its key knows.
	err.Field = "kind"
	if near := r.NearestRoute(kind); near != "" {
		err.Nearest = near
		err.Message = fmt.Sprintf("no route serves kind %q; send kind %q, or an operator adds \"aliases: [%s]\" to that route", shown, near, shown)
	}
	if _, ok := r.homesByKind[kind]; ok {
		err.Message += "; a request that was accepted while a route served it goes on, ask for its outcome by key with this kind"
	}
	return err
}

// NearestRoute returns the name of the route whose name or alias is most similar to kind,
// or "" if none is similar enough.
func (r *Resolver) NearestRoute(kind string) string {
	near := r.nearestKinds.get(kind, r.kindNames.nearest)
	if i, ok := r.routesByAlias[near]; ok {
		return r.tables.Routes[i].Name
	}
	return near
}

// Pool returns the pool with the given name and whether it exists.
func (r *Resolver) Pool(name string) (api.Pool, bool) {
	i, ok := r.poolsByName[name]
	if !ok {
		return api.Pool{}, false
	}
	return r.tables.Pools[i], true
}

// NearestPool returns the pool name that is most similar to name, or "" if none is
// similar enough.
func (r *Resolver) NearestPool(name string) string { return r.poolNames.nearest(name) }

// Resolve calls Resolver.Resolve for the tables in force.
func (s *State) Resolve(kind string) (api.Route, api.Pool, *api.Error) {
	return s.resolver.Resolve(kind)
}

// Resolver returns a resolver for the tables in force. The resolver does not reflect later
// changes, so callers should get a new one after each Apply.
func (s *State) Resolver() *Resolver { return s.resolver }
