package bench

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// baselineStrategy is how a baseline picks the next item and its workers.
type baselineStrategy int

const (
	// strategyArrivalOrder starts items strictly in order of arrival, each task on the first
	// worker that it fits on. An item that does not fit blocks all later ones.
	strategyArrivalOrder baselineStrategy = iota
	// strategyRandomFit tries items in order of arrival, each task on random workers. An item
	// that does not fit blocks no others.
	strategyRandomFit
	// strategyPriority applies strategyArrivalOrder to each class, the most urgent first. A
	// blocked class does not block less urgent ones.
	strategyPriority
)

const (
	// randomTryLimit is the number of random workers that strategyRandomFit tries for a task.
	randomTryLimit = 32
	// scanLimit is the number of items that do not fit after which strategyRandomFit ends a
	// decision.
	scanLimit = 64
)

// baseline is a scheduler without admission, fair shares, reservations or tracking of failing workers.
type baseline struct {
	strategy baselineStrategy
	random   *rand.Rand
	workers  []*workerState
	byName   map[string]*workerState
	queues   [3][]*placement.Item    // by class under strategyPriority, else only the first
	queued   map[api.RequestKey]bool // items in queues that are not canceled
	running  map[api.RequestKey]*runningItem
}

// workerState is the free capacity of one worker.
type workerState struct {
	name         string
	freeCapacity api.Resources
	freeSlots    int
}

// runningItem is a started item.
type runningItem struct {
	resources api.Resources // of each task
	workers   []*workerState
}

func newBaseline(seed uint64, strategy baselineStrategy) *baseline {
	return &baseline{
		strategy: strategy, random: rand.New(rand.NewPCG(seed, 1)), byName: map[string]*workerState{},
		queued: map[api.RequestKey]bool{}, running: map[api.RequestKey]*runningItem{},
	}
}

func (b *baseline) UpsertWorker(_ time.Duration, worker placement.Worker) {
	state := &workerState{worker.Name, worker.Capacity, worker.Slots}
	b.workers = append(b.workers, state)
	b.byName[worker.Name] = state
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

func (b *baseline) Decide(now time.Duration, max int) placement.Decision {
	var d placement.Decision
	for q := range b.queues {
		b.decideQueue(now, max, &b.queues[q], &d)
	}
	return d
}

// decideQueue starts items of one queue and keeps the others in their order.
func (b *baseline) decideQueue(now time.Duration, max int, queue *[]*placement.Item, d *placement.Decision) {
	items, examined := *queue, 0
	var blocked []*placement.Item
	for examined < len(items) && len(d.Placements) < max && len(blocked) < scanLimit {
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
	// The blocked items move up to the items that were not examined.
	head := examined - len(blocked)
	copy(items[head:examined], blocked)
	*queue = items[head:]
}

// tryStart places all tasks of the item or none.
func (b *baseline) tryStart(item *placement.Item, d *placement.Decision) bool {
	running := &runningItem{resources: item.Resources}
	var names []string
	for range item.Tasks {
		worker := b.pickWorker(item.Resources)
		if worker == nil {
			for _, worker := range running.workers {
				worker.adjust(item.Resources, 1)
			}
			return false
		}
		worker.adjust(item.Resources, -1)
		running.workers = append(running.workers, worker)
		names = append(names, worker.name)
	}
	delete(b.queued, item.Key)
	b.running[item.Key] = running
	d.Placements = append(d.Placements, placement.Placement{Key: item.Key, Workers: names})
	return true
}

// pickWorker returns a worker with free capacity for a task, or nil.
func (b *baseline) pickWorker(r api.Resources) *workerState {
	if b.strategy == strategyRandomFit {
		for range randomTryLimit {
			if worker := b.workers[b.random.IntN(len(b.workers))]; worker.fits(r) {
				return worker
			}
		}
		return nil
	}
	for _, worker := range b.workers {
		if worker.fits(r) {
			return worker
		}
	}
	return nil
}

func (w *workerState) fits(r api.Resources) bool { return w.freeSlots > 0 && r.Fits(w.freeCapacity) }

// adjust releases (sign 1) or allocates (sign -1) the capacity for one task.
func (w *workerState) adjust(task api.Resources, sign int) {
	if sign > 0 {
		w.freeCapacity = w.freeCapacity.Add(task)
	} else {
		w.freeCapacity = w.freeCapacity.Sub(task)
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
