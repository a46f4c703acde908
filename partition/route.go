package partition

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// indexRoutes returns the routes of tables by the kinds that they serve. A name comes before an alias.
func indexRoutes(t api.Tables) map[string]*api.Route {
	byKind := map[string]*api.Route{}
	for i := range t.Routes {
		for _, alias := range t.Routes[i].Aliases {
			byKind[alias] = &t.Routes[i]
		}
	}
	for i := range t.Routes {
		byKind[t.Routes[i].Name] = &t.Routes[i]
	}
	return byKind
}

// routeOf returns the route that now serves a request: by the kind that its caller sent, or else by the name that
// its route had. It returns nil if there is none any more.
func (p *Partition) routeOf(s *spec) *api.Route {
	if r := p.routesByKind[s.RequestedKind]; r != nil && s.RequestedKind != "" {
		return r
	}
	return p.routesByKind[s.Kind]
}

// poolOf returns the pool for the next attempt of a request. Without a route it stays in the pool of its accept.
func (p *Partition) poolOf(s *spec) string {
	if r := p.routeOf(s); r != nil {
		return r.Pool
	}
	return s.Pool
}

// requeueMoved moves the queued requests whose route names another pool now to the queue of that pool, in order of
// acceptance. Attempts that have begun stay where they are: only the next one of the request follows the route.
func (o *owner) requeueMoved(now time.Duration) {
	var moved []*liveRequest
	for _, l := range o.requests {
		if l.phase == phaseQueued && l.queuedPool != o.p.poolOf(&l.rec.Spec) {
			moved = append(moved, l)
		}
	}
	slices.SortFunc(moved, func(a, b *liveRequest) int { return cmp.Compare(a.rec.Index, b.rec.Index) })
	for _, l := range moved {
		o.sched.Cancel(l.key)
		o.enqueueOrClose(now, l)
	}
}

// Waiting counts the requests that have no attempt now, by kind, route and pool. It returns nil on a replica that
// is not the owner.
func (p *Partition) Waiting() []api.WaitingRequests {
	if p.owner == nil {
		return nil
	}
	counts := map[api.WaitingRequests]int{}
	for _, l := range p.owner.requests {
		switch l.phase {
		case phaseQueued, phaseBackoff, phaseAwaitingLeaseEnd:
			s := &l.rec.Spec
			counts[api.WaitingRequests{Kind: s.RequestedKind, Route: s.Kind, Pool: p.poolOf(s)}]++
		}
	}
	var list []api.WaitingRequests
	for group, n := range counts {
		group.Count = n
		list = append(list, group)
	}
	slices.SortFunc(list, func(a, b api.WaitingRequests) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Pool, b.Pool))
	})
	return list
}
