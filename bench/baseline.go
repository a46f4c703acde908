package bench

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// order is how a baseline picks the next item and worker.
type order int

const (
	// orderArrival starts items strictly in order of arrival, each on the first worker
	// with room; the first that does not fit holds up all others.
	orderArrival order = iota
	// orderRandom tries the first items in order of arrival, each on random workers.
	orderRandom
	// orderPriority is orderArrival within each class; a class that is held up lets
	// less urgent ones go on.
	orderPriority
)

// randomTries bounds the workers that orderRandom tries for a task, and scanLimit the
// items that it tries in one decision.
const (
	randomTries = 32
	scanLimit   = 64
)

// baseline is a scheduler without admission, shares, holds or health.
type baseline struct {
	order   order
	random  *rand.Rand
	workers []*account
	byName  map[string]*account
	queues  [3][]*placement.Item
	queued  map[api.RequestKey]bool
	running map[api.RequestKey]*placed
}

// account is the free room of one worker.
type account struct {
	name  string
	free  api.Resources
	slots int
}

type placed struct {
	resources api.Resources
	workers   []*account
}

func newBaseline(seed uint64, o order) *baseline {
	return &baseline{
		order: o, random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*account{},
		queued: map[api.RequestKey]bool{}, running: map[api.RequestKey]*placed{},
	}
}

func (b *baseline) UpsertWorker(_ time.Duration, w placement.Worker) {
	a := &account{w.Name, w.Capacity, w.Slots}
	b.workers = append(b.workers, a)
	b.byName[w.Name] = a
}

func (b *baseline) Admit(time.Duration, placement.Item) placement.Admission {
	return placement.Admission{}
}

func (b *baseline) Enqueue(_ time.Duration, item placement.Item) {
	q := 0
	if b.order == orderPriority {
		q = map[api.Class]int{api.ClassUrgent: 0, api.ClassNormal: 1, api.ClassLow: 2}[item.Class]
	}
	b.queues[q] = append(b.queues[q], &item)
	b.queued[item.Key] = true
}

func (b *baseline) Cancel(key api.RequestKey) bool {
	found := b.queued[key]
	delete(b.queued, key)
	return found
}

func (b *baseline) Decide(now time.Duration, max int) placement.Decision {
	var d placement.Decision
	for q := range b.queues {
		b.decideQueue(now, max, &b.queues[q], &d)
	}
	return d
}

// decideQueue starts items of one queue and leaves the others in their order.
func (b *baseline) decideQueue(now time.Duration, max int, queue *[]*placement.Item, d *placement.Decision) {
	items, passed := *queue, 0
	var kept []*placement.Item
	for passed < len(items) && len(d.Placements) < max && len(kept) < scanLimit {
		item := items[passed]
		switch {
		case !b.queued[item.Key]:
		case item.Deadline > 0 && item.Deadline < now:
			delete(b.queued, item.Key)
			d.Expired = append(d.Expired, placement.Expired{Key: item.Key})
		case b.start(item, d):
		default:
			kept = append(kept, item)
		}
		passed++
		if len(kept) > 0 && b.order != orderRandom {
			break
		}
	}
	// The kept items move to just before the rest.
	rest := passed - len(kept)
	copy(items[rest:passed], kept)
	*queue = items[rest:]
}

// start places all tasks of the item or none.
func (b *baseline) start(item *placement.Item, d *placement.Decision) bool {
	p := &placed{resources: item.Resources}
	var names []string
	for range item.Tasks {
		a := b.pick(item.Resources)
		if a == nil {
			for _, a := range p.workers {
				a.give(item.Resources, 1)
			}
			return false
		}
		a.give(item.Resources, -1)
		p.workers = append(p.workers, a)
		names = append(names, a.name)
	}
	delete(b.queued, item.Key)
	b.running[item.Key] = p
	d.Placements = append(d.Placements, placement.Placement{Key: item.Key, Workers: names})
	return true
}

func (b *baseline) pick(r api.Resources) *account {
	if b.order == orderRandom {
		for range randomTries {
			if a := b.workers[b.random.IntN(len(b.workers))]; a.fits(r) {
				return a
			}
		}
		return nil
	}
	for _, a := range b.workers {
		if a.fits(r) {
			return a
		}
	}
	return nil
}

func (a *account) fits(r api.Resources) bool { return a.slots > 0 && r.Fits(a.free) }

// give returns (sign 1) or takes (sign -1) the room of one task.
func (a *account) give(r api.Resources, sign int) {
	if sign > 0 {
		a.free = a.free.Add(r)
	} else {
		a.free = a.free.Sub(r)
	}
	a.slots += sign
}

func (b *baseline) Release(_ time.Duration, key api.RequestKey, task int) {
	p := b.running[key]
	p.workers[task].give(p.resources, 1)
	if task == len(p.workers)-1 {
		delete(b.running, key)
	}
}

func (b *baseline) ReportOutcome(time.Duration, string, string, placement.Outcome, time.Duration) {}

func (b *baseline) ReportUsage(time.Duration, api.RequestKey, api.Resources) {}
