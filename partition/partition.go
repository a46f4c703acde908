package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Partition holds the replicated records of one partition and, while this replica is the
// owner, the owner's soft state. It must be used by one goroutine only.
type Partition struct {
	cfg          Config
	newScheduler func() Scheduler
	tables       api.Tables
	routesByKind map[string]*api.Route // of tables
	// placementSuspended is set while the application does not allow placements.
	placementSuspended bool

	// The fields from records to epoch are replicated and change only in Apply and Restore.
	// ordered lists the records by acceptance. Dropped records stay in it until they are
	// more than half of it; droppedCount counts them.
	records      map[api.RequestKey]*record
	ordered      []*record
	droppedCount int
	nextIndex    uint64
	// workers holds the newest announcement of each worker, so that a new owner can reach
	// the workers before their task leases end.
	workers map[string]api.Announcement
	// epoch is the highest epoch of an applied batch. Batches of lower epochs have no
	// effect, since their owner's state is outdated.
	epoch uint64

	// owner is the soft state of the current ownership; nil if this replica is not the owner.
	owner *owner
}

// New returns an empty partition that is not the owner. newScheduler is called at each
// BecameOwner, since allocations and queues are rebuilt at each change of owner.
func New(cfg Config, newScheduler func() Scheduler) *Partition {
	return &Partition{
		cfg:          cfg.withDefaults(),
		newScheduler: newScheduler,
		records:      map[api.RequestKey]*record{},
		workers:      map[string]api.Announcement{},
	}
}

// Step handles one event and returns the actions that the application has to carry out. While
// this replica is not the owner, it answers Submit, Query and Cancel with CodeUnavailable and
// returns no action for other events.
func (p *Partition) Step(now time.Duration, event Event) []Action {
	switch e := event.(type) {
	case TablesChanged:
		p.tables, p.routesByKind = e.Tables, indexRoutes(e.Tables)
		if p.owner != nil {
			p.owner.sched.SetPools(e.Tables.Pools)
			p.owner.requeueMoved(now)
		}
	case PlacementAllowed:
		p.placementSuspended = !e.Allowed
	case LostOwnership:
		return p.loseOwnership()
	case BecameOwner:
		actions := p.loseOwnership()
		p.owner = newOwner(now, p, e)
		return append(actions, p.completeStep(now, true)...)
	}
	if p.owner == nil {
		return refuseNotOwner(event)
	}
	_, tick := event.(Tick)
	p.owner.step(now, event)
	return p.completeStep(now, tick)
}

// completeStep completes a Step or Apply of the owner and returns the collected actions.
func (p *Partition) completeStep(now time.Duration, tick bool) []Action {
	o := p.owner
	if o.dispute == nil {
		o.runTimers(now)
		if tick {
			o.tick(now)
		}
	}
	if o.dispute != nil {
		return append(p.loseOwnership(), *o.dispute)
	}
	if !p.placementSuspended {
		o.decide(now, tick)
	}
	o.flush(now)
	actions := o.actions
	o.actions = nil
	return actions
}

// loseOwnership drops the soft state and answers all waiters with CodeUnknownResult.
func (p *Partition) loseOwnership() []Action {
	if p.owner == nil {
		return nil
	}
	o := p.owner
	p.owner = nil
	o.actions = nil
	o.answerAll(api.Errorf(api.CodeUnknownResult, "the partition's owner has changed; ask again by key"))
	return o.actions
}

// refuseNotOwner answers a call that reached a replica that is not the owner. It does not set
// NotRun, since an earlier copy of the request may have been accepted.
func refuseNotOwner(event Event) []Action {
	var waiter WaiterID
	switch e := event.(type) {
	case Submit:
		waiter = e.Waiter
	case Query:
		waiter = e.Waiter
	case Cancel:
		waiter = e.Waiter
	default:
		return nil
	}
	return []Action{Reply{Waiter: waiter, Err: api.Errorf(api.CodeUnavailable, "this VM does not own the partition")}}
}
