package partition

import (
	"slices"
	"time"

	"github.com/oleanderchute/oleanderchute/api"
	"github.com/oleanderchute/oleanderchute/placement"
)

// firstFit is a Scheduler that places in the order of arrival on the first worker of the
// pool that has room.
type firstFit struct {
	workers  []*fitWorker
	queue    []api.RequestKey
	items    map[api.RequestKey]placement.Item
	reserved map[fitTask]*fitWorker
	sizes    map[api.RequestKey]api.Resources
	refuse   *placement.Admission
	starts   int
}

// fitTask is one task of an item.
type fitTask struct {
	key  api.RequestKey
	task int
}

type fitWorker struct {
	placement.Worker
	placeable bool
	used      api.Resources
	tasks     int
}

func newFirstFit() Scheduler {
	return &firstFit{items: map[api.RequestKey]placement.Item{}, reserved: map[fitTask]*fitWorker{},
		sizes: map[api.RequestKey]api.Resources{}}
}

func (f *firstFit) find(name string) *fitWorker {
	for _, w := range f.workers {
		if w.Name == name {
			return w
		}
	}
	return nil
}

func (f *firstFit) UpsertWorker(_ time.Duration, d placement.Worker) {
	if w := f.find(d.Name); w != nil {
		w.Worker, w.placeable = d, true
		return
	}
	f.workers = append(f.workers, &fitWorker{Worker: d, placeable: true})
}

func (f *firstFit) SetPlaceable(_ time.Duration, name string, placeable bool) {
	f.find(name).placeable = placeable
}

func (f *firstFit) RemoveWorker(_ time.Duration, name string) {
	w := f.find(name)
	f.workers = slices.DeleteFunc(f.workers, func(x *fitWorker) bool { return x == w })
	for key, r := range f.reserved {
		if r == w {
			delete(f.reserved, key)
		}
	}
}

func (f *firstFit) SetPools([]api.Pool) {}

func (f *firstFit) Admit(time.Duration, placement.Item) placement.Admission {
	if f.refuse != nil {
		return *f.refuse
	}
	return placement.Admission{}
}

func (f *firstFit) Enqueue(_ time.Duration, item placement.Item) {
	if _, ok := f.items[item.Key]; ok {
		panic("enqueued twice: " + item.Key.String())
	}
	f.queue = append(f.queue, item.Key)
	f.items[item.Key] = item
}

func (f *firstFit) Cancel(key api.RequestKey) bool {
	_, ok := f.items[key]
	delete(f.items, key)
	return ok
}

func (f *firstFit) Decide(now time.Duration, limit int) (d placement.Decision) {
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

func (f *firstFit) place(item placement.Item, d *placement.Decision) bool {
	p := placement.Placement{Key: item.Key}
	for task := range item.Tasks {
		w := f.room(item)
		if w == nil {
			for task := range p.Workers {
				f.Release(0, item.Key, task)
			}
			return false
		}
		f.take(item, task, w)
		p.Workers = append(p.Workers, w.Name)
	}
	delete(f.items, item.Key)
	f.starts++
	d.Placements = append(d.Placements, p)
	return true
}

// room returns the first worker with room for one task.
func (f *firstFit) room(item placement.Item) *fitWorker {
	for _, w := range f.workers {
		if w.Pool == item.Pool && w.placeable && w.tasks < w.Slots && item.Resources.Add(w.used).Fits(w.Capacity) {
			return w
		}
	}
	return nil
}

func (f *firstFit) take(item placement.Item, task int, w *fitWorker) {
	if f.reserved[fitTask{item.Key, task}] != nil {
		panic("reserved twice: " + item.Key.String())
	}
	f.reserved[fitTask{item.Key, task}] = w
	w.used, w.tasks = w.used.Add(item.Resources), w.tasks+1
	f.sizes[item.Key] = item.Resources
}

func (f *firstFit) Reserve(_ time.Duration, item placement.Item, task int, worker string) {
	f.take(item, task, f.find(worker))
}

func (f *firstFit) Release(_ time.Duration, key api.RequestKey, task int) {
	if w := f.reserved[fitTask{key, task}]; w != nil {
		w.used, w.tasks = w.used.Sub(f.sizes[key]), w.tasks-1
		delete(f.reserved, fitTask{key, task})
	}
}

func (f *firstFit) ReportOutcome(time.Duration, string, string, placement.Outcome, time.Duration) {}
func (f *firstFit) ReportUsage(time.Duration, api.RequestKey, api.Resources)                      {}

func (f *firstFit) Explain(_ time.Duration, key api.RequestKey) placement.Explanation {
	_, ok := f.items[key]
	return placement.Explanation{Found: ok}
}

func (f *firstFit) Stats() SchedulerStats {
	return SchedulerStats{Queued: len(f.items), Running: len(f.reserved), Workers: len(f.workers)}
}
