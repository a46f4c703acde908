package bench

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// order is how a baseline picks the next item and worker.
type baselineStrategy int

const (
	// orderArrival starts items strictly in order of arrival, each on the first worker
	// with room; the first that does not fit holds up all others.
	strategyArrivalOrder baselineStrategy = iota
	// orderRandom tries the first items in order of arrival, each on random workers.
	strategyRandomFit
	// orderPriority is orderArrival within each class; a class that is held up lets
	// less urgent ones go on.
	strategyPriority
)

// randomTries bounds the workers that orderRandom tries for a task, and scanLimit the
// items that it tries in one decision.
const (
	randomTryLimit = 32
	scanLimit      = 64
)

// baseline is a scheduler without admission, shares, holds or health.
type baseline struct {
	strategy baselineStrategy
	random   *rand.Rand
	workers  []*workerState
	byName   map[string]*workerState
	queues   [3][]*placement.Item
	queued   map[api.RequestKey]bool
	running  map[api.RequestKey]*runningItem
}

// account is the free room of one worker.
type workerState struct {
	name      string
	free      api.Resources
	freeSlots int
}

type runningItem struct {
	resources api.Resources
	workers   []*workerState
}

func newBaseline(seed uint64, strategy baselineStrategy) *baseline {
	return &baseline{
		strategy: strategy, random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*workerState{},
		queued: map[api.RequestKey]bool{}, running: map[api.RequestKey]*runningItem{},
	}
}

func (b *baseline) UpsertWorker(_ time.Duration, w placement.Worker) {
	a := &workerState{w.Name, w.Capacity, w.Slots}
	b.workers = append(b.workers, a)
	b.byName[w.Name] = a
}

func (b *baseline) Admit(time.Duration, placement.Item) placement.Admission {
	return placement.Admission{}
}

func (b *baseline) Enqueue(_ time.Duration, item placement.Item) {
	q := 0
	if b.strategy == strategyPriority {
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

func (b *baseline) Decide(now time.Duration, limit int) placement.Decision {
	var d placement.Decision
	for q := range b.queues {
		b.decideQueue(now, limit, &b.queues[q], &d)
	}
	return d
}

// decideQueue starts items of one queue and leaves the others in their order.
func (b *baseline) decideQueue(now time.Duration, limit int, queue *[]*placement.Item, d *placement.Decision) {
	items, examined := *queue, 0
	var blocked []*placement.Item
	for examined < len(items) && len(d.Placements) < limit && len(blocked) < scanLimit {
		item := items[examined]
		switch {
		case !b.queued[item.Key]:
		case item.Deadline > 0 && item.Deadline < now:
			delete(b.queued, item.Key)
			d.Expired = append(d.Expired, placement.Expired{Key: item.Key})
		case b.tryStart(item, d):
		default:
			blocked = append(blocked, item)
		}
		examined++
		if len(blocked) > 0 && b.strategy != strategyRandomFit {
			break
		}
	}
	// The kept items move to just before the rest.
	head := examined - len(blocked)
	copy(items[head:examined], blocked)
	*queue = items[head:]
}

// start places all tasks of the item or none.
func (b *baseline) tryStart(item *placement.Item, d *placement.Decision) bool {
	running := &runningItem{resources: item.Resources}
	var names []string
	for range item.Tasks {
		a := b.pickWorker(item.Resources)
		if a == nil {
			for _, a := range running.workers {
				a.adjust(item.Resources, 1)
			}
			return false
		}
		a.adjust(item.Resources, -1)
		running.workers = append(running.workers, a)
		names = append(names, a.name)
	}
	delete(b.queued, item.Key)
	b.running[item.Key] = running
	d.Placements = append(d.Placements, placement.Placement{Key: item.Key, Workers: names})
	return true
}

func (b *baseline) pickWorker(r api.Resources) *workerState {
	if b.strategy == strategyRandomFit {
		for range randomTryLimit {
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

func (w *workerState) fits(r api.Resources) bool { return w.freeSlots > 0 && r.Fits(w.free) }

// give returns (sign 1) or takes (sign -1) the room of one task.
func (w *workerState) adjust(task api.Resources, sign int) {
	if sign > 0 {
		w.free = w.free.Add(task)
	} else {
		w.free = w.free.Sub(task)
	}
	w.freeSlots += sign
}

func (b *baseline) Release(_ time.Duration, key api.RequestKey, task int) {
	running := b.running[key]
	running.workers[task].adjust(running.resources, 1)
	if task == len(running.workers)-1 {
		delete(b.running, key)
	}
}

func (b *baseline) ReportOutcome(time.Duration, string, string, placement.Outcome, time.Duration) {}

func (b *baseline) ReportUsage(time.Duration, api.RequestKey, api.Resources) {}
