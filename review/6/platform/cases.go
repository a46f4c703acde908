package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// deployment is a small deployment with its workers.
type deployment struct {
	*system
	workers []*worker
}

// deploy starts a deployment of five core and two edge machines, sends the configuration and starts workers of 32 cores
// and 64 GB.
func deploy(rec *recorder, workers int, queues ...queue) (*deployment, error) {
	s, err := newSystem(rec, 5, 2)
	if err != nil {
		return nil, err
	}
	d := &deployment{system: s}
	if err := s.putConfig(configOf(7, queues...)); err != nil {
		d.close()
		return nil, err
	}
	for i := range workers {
		w, err := newWorker(s, i, 32000, 65536)
		if err != nil {
			d.close()
			return nil, err
		}
		d.workers = append(d.workers, w)
	}
	time.Sleep(6 * time.Second) // until all five voters are there
	return d, nil
}

func (d *deployment) close() {
	for _, w := range d.workers {
		if !w.isGone() {
			w.close()
		}
	}
	d.stop()
}

// workerOf returns the worker on which a task runs, or nil.
func (d *deployment) workerOf(task string) *worker {
	for _, w := range d.workers {
		w.mu.Lock()
		r := w.running[task]
		w.mu.Unlock()
		if r != nil {
			return w
		}
	}
	return nil
}

// isDone reports whether a run of a task is done.
func (d *deployment) isDone(task string) bool {
	for _, w := range d.workers {
		w.mu.Lock()
		done := w.done[task]
		w.mu.Unlock()
		if done {
			return true
		}
	}
	return false
}

// hasRoomTwice reports whether two tasks of that size fit on sound workers beside what runs there.
func (d *deployment) hasRoomTwice(cpu, mem int64) bool {
	n := int64(0)
	for _, w := range d.workers {
		freeCPU, freeMem := w.free()
		if !w.isGone() && freeCPU >= 0 && freeMem >= 0 {
			n += min(freeCPU/cpu, freeMem/mem)
		}
	}
	return n >= 2
}

// usedShare returns the share of the workers' processors that is in use.
func (d *deployment) usedShare() float64 {
	total, free := int64(0), int64(0)
	for _, w := range d.workers {
		f, _ := w.free()
		total, free = total+w.cpu, free+f
	}
	return 1 - float64(free)/float64(total)
}

// watchIdle watches, for a time, tasks whose turn has come. It returns those that did not run for 3 s on end
// while there was capacity for them twice over, with the share of the capacity that was in use then.
func (d *deployment) watchIdle(duration time.Duration, tasks map[string]step) map[string]float64 {
	const patience = 3 * time.Second
	since, broken := map[string]time.Time{}, map[string]float64{}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for task, s := range tasks {
			if d.workerOf(task) != nil || d.isDone(task) || !d.hasRoomTwice(s.CPU, s.Memory) {
				delete(since, task)
				continue
			}
			if since[task].IsZero() {
				since[task] = time.Now()
			}
			if _, known := broken[task]; !known && time.Since(since[task]) > patience {
				broken[task] = d.usedShare()
				d.rec.say("task %s has not run for 3 s; %.0f%% of the capacity is in use", task, 100*broken[task])
			}
		}
	}
	return broken
}

func (d *deployment) recordRunning() {
	for _, w := range d.workers {
		cpu, mem := w.free()
		d.rec.add("%s: %d cores and %d MB free, runs %v", w.id, cpu/1000, mem, w.tasks())
	}
}

// failedServices lets tasks that last fail. After that they have to be started again.
func failedServices(rec *recorder, trouble bool) (bool, error) {
	d, err := deploy(rec, 3, urgentQueue, normalQueue, batchQueue)
	if err != nil {
		return false, err
	}
	defer d.close()
	const failurePeriod = 35 * time.Second
	size := step{Count: 1, CPU: 2000, Memory: 2048, LongRunning: true}
	tasks := map[string]step{}
	var names []string
	for range 8 {
		j := newJob(normalQueue, size, 0)
		if err := d.submit(j); err != nil {
			return false, err
		}
		tasks[j.task(0)] = size
		names = append(names, j.task(0))
	}
	if !waitFor(10*time.Second, func() bool { return d.allRun(names) }) {
		return false, fmt.Errorf("the tasks did not start")
	}
	rec.say("8 services run")
	if trouble {
		d.letTasksFail(names, failurePeriod, 12*time.Second)
	} else {
		time.Sleep(failurePeriod)
	}
	rec.say("no task fails from now on")
	time.Sleep(10 * time.Second) // 6 s after its last run each task has to run, and the 4 s before are calm
	d.recordRunning()
	broken := d.watchIdle(12*time.Second, tasks)
	d.recordRunning()
	for _, task := range names {
		id, _, _ := strings.Cut(task, ".")
		_, state := d.call(http.MethodGet, &job{id: id, queue: normalQueue}, nil)
		rec.say("service %s: shown as %s, runs: %v", id, state, d.workerOf(task) != nil)
	}
	rec.say("%d of 8 services were not started again", len(broken))
	return len(broken) > 0, nil
}

func (d *deployment) allRun(tasks []string) bool {
	for _, task := range tasks {
		if d.workerOf(task) == nil {
			return false
		}
	}
	return true
}

// letTasksFail lets each running task fail at random times, with the mean time between two failures of a task.
func (d *deployment) letTasksFail(tasks []string, duration, mean time.Duration) {
	const interval = 50 * time.Millisecond
	failures := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		for _, task := range tasks {
			if rand.Float64() >= float64(interval)/float64(mean) {
				continue
			}
			if w := d.workerOf(task); w != nil && w.fail(task) {
				failures++
			}
		}
	}
	d.rec.say("%d runs failed", failures)
}

// spareCapacity lets a task that lasts fail while the more urgent queue uses three quarters of the workers.
func spareCapacity(rec *recorder, trouble bool) (bool, error) {
	d, err := deploy(rec, 4, urgentQueue, normalQueue, batchQueue)
	if err != nil {
		return false, err
	}
	defer d.close()
	size := step{Count: 1, CPU: 8000, Memory: 8192, LongRunning: true}
	service := newJob(batchQueue, size, 0)
	urgent := step{Count: 12, CPU: 8000, Memory: 8192, LongRunning: true}
	others := newJob(urgentQueue, urgent, 0)
	var names []string
	for _, j := range []*job{service, others} {
		if err := d.submit(j); err != nil {
			return false, err
		}
		for i := range 12 {
			if j == others || i == 0 {
				names = append(names, j.task(i))
			}
		}
		if !waitFor(10*time.Second, func() bool { return d.allRun(names) }) {
			return false, fmt.Errorf("the tasks did not start")
		}
	}
	rec.say("all services run; %.0f%% of the capacity is in use", 100*d.usedShare())
	time.Sleep(5 * time.Second)
	if trouble {
		rec.say("the task of the batch queue fails once")
		d.workerOf(service.task(0)).fail(service.task(0))
	}
	time.Sleep(6 * time.Second)
	d.recordRunning()
	broken := d.watchIdle(20*time.Second, map[string]step{service.task(0): size})
	d.recordRunning()
	_, state := d.call(http.MethodGet, service, nil)
	rec.say("service %s: shown as %s, runs: %v", service.id, state, d.workerOf(service.task(0)) != nil)
	return len(broken) > 0, nil
}

// cancelled kills the leader while a quarter of the jobs is being cancelled.
func cancelled(rec *recorder, trouble bool) (bool, error) {
	d, err := deploy(rec, 4, urgentQueue, normalQueue, batchQueue)
	if err != nil {
		return false, err
	}
	defer d.close()
	for _, w := range d.workers {
		w.distance = 12 * time.Millisecond // another region
	}
	const count, width = 80, 30
	var jobs []*job
	var names []string
	for range count {
		j := newJob(normalQueue, step{Count: width, CPU: 40, Memory: 20, LongRunning: true}, 0)
		jobs = append(jobs, j)
		for i := range width {
			names = append(names, j.task(i))
		}
	}
	var failed atomic.Int64
	inParallel(jobs, 16, func(j *job) {
		if d.submit(j) != nil {
			failed.Add(1)
		}
	})
	if failed.Load() > 0 || !waitFor(10*time.Second, func() bool { return d.allRun(names) }) {
		return false, fmt.Errorf("the tasks did not start")
	}
	rec.say("%d services of %d tasks run", count, width)
	leader := d.leader()
	if leader == nil {
		return false, fmt.Errorf("no worker was told a leader")
	}
	time.Sleep(2 * time.Second)
	toCancel := jobs[:count/4]
	if trouble {
		time.AfterFunc(500*time.Millisecond, func() { d.kill(leader) })
	}
	var ackedAt sync.Map
	began := time.Now()
	inParallel(toCancel, len(toCancel), func(j *job) {
		time.Sleep(time.Duration(rand.Int64N(int64(time.Second)))) // in the course of a second
		if status := d.cancel(j); status != 0 {
			ackedAt.Store(j.id, time.Now())
		}
	})
	rec.say("all cancels are answered after %.1f s", time.Since(began).Seconds())
	// The leader was started again a second after its end. Then the core is calm for stable_window_ms, and a task
	// of a cancelled job has to be gone after cancel_ms and stop_timeout_ms more.
	wait := time.Second + stableWindow + cancelBound + stopBound + time.Second
	time.Sleep(wait)
	left := 0
	var stillRunning []*job
	for _, j := range toCancel {
		at, acked := ackedAt.Load(j.id)
		var running []string
		for i := range width {
			if w := d.workerOf(j.task(i)); w != nil && acked {
				running = append(running, j.task(i)+" on "+w.id)
			}
		}
		if len(running) == 0 {
			continue
		}
		left += len(running)
		_, state := d.call(http.MethodGet, j, nil)
		rec.say("job %s, shown as %s: %d tasks run %.1f s after the cancelling was acknowledged", j.id, state, len(running), time.Since(at.(time.Time)).Seconds())
		rec.add("running: %v", running)
		stillRunning = append(stillRunning, j)
	}
	rec.say("%d of %d tasks of cancelled jobs run on", left, len(toCancel)*width)
	d.cancelAgain(stillRunning, width)
	return left > 0, nil
}

// cancelAgain cancels jobs once more and records how many of their tasks run when they should be gone.
func (d *deployment) cancelAgain(jobs []*job, width int) {
	for _, j := range jobs {
		d.cancel(j)
	}
	time.Sleep(cancelBound + stopBound)
	left := 0
	for _, j := range jobs {
		for i := range width {
			if d.workerOf(j.task(i)) != nil {
				left++
			}
		}
	}
	d.rec.say("%d tasks run after they were cancelled again", left)
}

// leader returns the core machine to which the workers send their heartbeats, nil if they differ.
func (d *deployment) leader() *machine {
	var leader *machine
	for _, w := range d.workers {
		m := d.keeperAt(w.leaderAddress())
		if m == nil || leader != nil && m != leader {
			return nil
		}
		leader = m
	}
	return leader
}

// inParallel calls fn for each job, a number of them at a time.
func inParallel(jobs []*job, width int, fn func(*job)) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, width)
	for _, j := range jobs {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			fn(j)
			<-slots
		}()
	}
	wg.Wait()
}
