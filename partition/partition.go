package partition

import (
	"time"

	"github.com/oleanderchute/oleanderchute/api"
)

// Partition holds the records of one partition and, while this replica is the owner, the
// soft state that goes with them. One goroutine owns it.
type Partition struct {
	cfg          Config
	newScheduler func() Scheduler
	tables       api.Tables
	// suspended is true while the embedder does not allow placing.
	suspended bool

	// The following fields are replicated; they change only in Apply and Restore.
	// ordered lists the records by acceptance; dropped ones stay in it until they are
	// half of it.
	records   map[api.RequestKey]*record
	ordered   []*record
	dropped   int
	nextIndex uint64
	// workers holds the newest announcement of each worker, so that a new owner reaches
	// them before their task leases end.
	workers map[string]api.Announcement
	// epoch is the highest epoch of an applied batch. Batches of lower epochs have no
	// effect, since their owner's knowledge is outdated.
	epoch uint64

	// owner is the soft state of the current ownership; nil if there is none.
	owner *owner
}

// New returns an empty partition without ownership. newScheduler is called at each
// BecameOwner, since accounts and queues are rebuilt at each change of owner.
func New(cfg Config, newScheduler func() Scheduler) *Partition {
	return &Partition{
		cfg:          cfg.withDefaults(),
		newScheduler: newScheduler,
		records:      map[api.RequestKey]*record{},
		workers:      map[string]api.Announcement{},
	}
}

// Step takes one event and returns what is to be done. While this replica is not the
// owner, callers' events are answered with CodeUnavailable and all others return nothing.
func (p *Partition) Step(now time.Duration, event Event) []Action {
	switch e := event.(type) {
	case TablesChanged:
		p.tables = e.Tables
		if p.owner != nil {
			p.owner.sched.SetPools(e.Tables.Pools)
		}
	case PlacementAllowed:
		p.suspended = !e.Allowed
	case LostOwnership:
		return p.loseOwnership()
	case BecameOwner:
		actions := p.loseOwnership()
		p.owner = newOwner(now, p, e)
		return append(actions, p.finish(now, true)...)
	}
	if p.owner == nil {
		return refuse(event)
	}
	_, tick := event.(Tick)
	p.owner.step(now, event)
	return p.finish(now, tick)
}

// finish completes a Step or Apply of the owner and returns the collected actions.
func (p *Partition) finish(now time.Duration, tick bool) []Action {
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
	if !p.suspended {
		o.decide(now, tick)
	}
	o.flush(now)
	actions := o.actions
	o.actions = nil
	return actions
}

// loseOwnership drops the soft state and answers all waiters.
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

// refuse answers a caller whose call reached a replica that is not the owner. NotRun is
// not set, since an earlier copy of the request may have been accepted.
func refuse(event Event) []Action {
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
