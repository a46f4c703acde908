package partition

import (
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
	for _, r := range o.p.ordered {
		l := o.requests[r.Spec.Key]
		if l == nil || l.rec != r || l.phase != phaseQueued || l.queuedPool == o.p.poolOf(&r.Spec) {
			continue
		}
		o.sched.Cancel(l.key)
		o.enqueueOrClose(now, l)
	}
}

// Waiting counts the requests that have not started, by kind, route and pool. It returns nil on a replica that is
// not the owner.
func (p *Partition) Waiting() []api.WaitingRequests {
	if p.owner == nil {
		return nil
	}
	var list []api.WaitingRequests
	positions := map[api.WaitingRequests]int{}
	for _, r := range p.ordered {
		l := p.owner.requests[r.Spec.Key]
		if r.dropped || l == nil || l.phase == phaseOutcome || l.phase == phaseActive || l.phase == phaseClosing {
			continue
		}
		group := api.WaitingRequests{Kind: r.Spec.RequestedKind, Route: r.Spec.Kind, Pool: p.poolOf(&r.Spec)}
		i, ok := positions[group]
		if !ok {
			i = len(list)
			positions[group] = i
			list = append(list, group)
		}
		list[i].Count++
	}
	return list
}
