package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// firstFitScheduler is a Scheduler that places items in order of arrival, each on the first
// worker of the pool with enough free capacity.
type firstFitScheduler struct {
	workers     []*firstFitWorker
	queue       []api.RequestKey
	items       map[api.RequestKey]placement.Item
	allocated   map[taskKey]*firstFitWorker
	sizes       map[api.RequestKey]api.Resources
	refusal     *placement.Admission
	placedCount int
}

// taskKey identifies one task of an item.
type taskKey struct {
	key  api.RequestKey
	task int
}

// firstFitWorker is a worker with its allocations.
type firstFitWorker struct {
	placement.Worker
	placeable bool
	used      api.Resources
	tasks     int
}

func newFirstFitScheduler() Scheduler {
	return &firstFitScheduler{items: map[api.RequestKey]placement.Item{}, allocated: map[taskKey]*firstFitWorker{},
		sizes: map[api.RequestKey]api.Resources{}}
}

func (f *firstFitScheduler) worker(name string) *firstFitWorker {
	for _, w := range f.workers {
		if w.Name == name {
			return w
		}
	}
	return nil
}

func (f *firstFitScheduler) UpsertWorker(_ time.Duration, d placement.Worker) {
	if w := f.worker(d.Name); w != nil {
		w.Worker, w.placeable = d, true
		return
	}
	f.workers = append(f.workers, &firstFitWorker{Worker: d, placeable: true})
}

func (f *firstFitScheduler) SetPlaceable(_ time.Duration, name string, placeable bool) {
	f.worker(name).placeable = placeable
}

func (f *firstFitScheduler) RemoveWorker(_ time.Duration, name string) {
	w := f.worker(name)
	f.workers = slices.DeleteFunc(f.workers, func(x *firstFitWorker) bool { return x == w })
	for key, assigned := range f.allocated {
		if assigned == w {
			delete(f.allocated, key)
		}
	}
}

func (f *firstFitScheduler) SetPools([]api.Pool) {}

func (f *firstFitScheduler) Admit(time.Duration, placement.Item) placement.Admission {
	if f.refusal != nil {
		return *f.refusal
	}
	return placement.Admission{}
}

func (f *firstFitScheduler) Enqueue(_ time.Duration, item placement.Item) {
	if _, ok := f.items[item.Key]; ok {
		panic("enqueued twice: " + item.Key.String())
	}
	f.queue = append(f.queue, item.Key)
	f.items[item.Key] = item
}

func (f *firstFitScheduler) Cancel(key api.RequestKey) bool {
	_, ok := f.items[key]
	delete(f.items, key)
	return ok
}

func (f *firstFitScheduler) Decide(now time.Duration, limit int) (d placement.Decision) {
	var rest []api.RequestKey
	for i, key := range f.queue {
		item, ok := f.items[key]
		switch {
		case len(d.Placements) >= limit:
			f.queue = append(rest, f.queue[i:]...)
			return d
		case !ok:
		case item.Deadline > 0 && now > item.Deadline:
			delete(f.items, key)
			d.Expired = append(d.Expired, placement.Expired{Key: key})
		case !f.place(item, &d):
			rest = append(rest, key)
		}
	}
	f.queue = rest
	return d
}

func (f *firstFitScheduler) place(item placement.Item, d *placement.Decision) bool {
	p := placement.Placement{Key: item.Key}
	for task := range item.Tasks {
		w := f.findWorker(item)
		if w == nil {
			for task := range p.Workers {
				f.Release(0, item.Key, task)
			}
			return false
		}
		f.allocate(item, task, w)
		p.Workers = append(p.Workers, w.Name)
	}
	delete(f.items, item.Key)
	f.placedCount++
	d.Placements = append(d.Placements, p)
	return true
}

// findWorker returns the first worker with enough free capacity for one task, or nil.
func (f *firstFitScheduler) findWorker(item placement.Item) *firstFitWorker {
	for _, w := range f.workers {
		if w.Pool == item.Pool && w.placeable && w.tasks < w.Slots && item.Resources.Add(w.used).Fits(w.Capacity) {
			return w
		}
	}
	return nil
}

func (f *firstFitScheduler) allocate(item placement.Item, task int, w *firstFitWorker) {
	if f.allocated[taskKey{item.Key, task}] != nil {
		panic("allocated twice: " + item.Key.String())
	}
	f.allocated[taskKey{item.Key, task}] = w
	w.used, w.tasks = w.used.Add(item.Resources), w.tasks+1
	f.sizes[item.Key] = item.Resources
}

func (f *firstFitScheduler) Allocate(_ time.Duration, item placement.Item, task int, worker string) {
	f.allocate(item, task, f.worker(worker))
}

func (f *firstFitScheduler) Release(_ time.Duration, key api.RequestKey, task int) {
	if w := f.allocated[taskKey{key, task}]; w != nil {
		w.used, w.tasks = w.used.Sub(f.sizes[key]), w.tasks-1
		delete(f.allocated, taskKey{key, task})
	}
}

func (f *firstFitScheduler) ReportOutcome(time.Duration, string, string, placement.Outcome, time.Duration) {
}
func (f *firstFitScheduler) ReportUsage(time.Duration, api.RequestKey, api.Resources) {}

func (f *firstFitScheduler) Explain(_ time.Duration, key api.RequestKey) placement.Explanation {
	_, ok := f.items[key]
	return placement.Explanation{Found: ok}
}

func (f *firstFitScheduler) Stats() SchedulerStats {
	return SchedulerStats{Queued: len(f.items), Running: len(f.allocated), Workers: len(f.workers)}
}
